#ifndef EELGRASSPIN_TESTS_RAW_SERVER_H_
#define EELGRASSPIN_TESTS_RAW_SERVER_H_

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"
#include "io/http_types.h"
#include "names.h"

namespace eelgrasspin {

/// How a server ends a connection on which it has answered.
enum class ConnectionEnd : std::uint8_t {
  kKept,
  kClosed,
  kHalfClosed,  ///< Sends no more and reads the rest of the request.
  kReset,
};

/// An answer as it is sent. The server adds the request's id and a stamp to its
/// header.
struct RawAnswer {
  std::string header;  ///< Status line and fields with their line ends.
  std::vector<std::string> body_parts;  ///< Sent one after the other.
  ConnectionEnd end = ConnectionEnd::kKept;
  Duration end_delay{0};  ///< Between the last part and the end.
  /// Answers once it has read the whole request, otherwise after the header.
  bool after_whole_request = false;
};

/// A server that sends the bytes of an answer as they are given.
/// `receive_buffer_bytes` is the size of its sockets' receive buffers; 0: the
/// system's default. With a small one, an upload that it does not read stays
/// with its sender.
class RawServer {
 public:
  RawServer(boost::asio::io_context& io, RawAnswer answer,
            int receive_buffer_bytes = 0)
      : io_(io), answer_(std::move(answer)), acceptor_(io) {
    using boost::asio::ip::tcp;
    tcp::endpoint any_port(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any_port.protocol());
    if (receive_buffer_bytes > 0) {
      acceptor_.set_option(
          tcp::acceptor::receive_buffer_size(receive_buffer_bytes));
    }
    acceptor_.bind(any_port);
    acceptor_.listen();
    accept();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& peer : peers_) {
      peer->abandoned = true;
      peer->timer.cancel();
      peer->socket.close(ignored);
    }
  }

  /// Replaces the answer to later requests.
  void set_answer(RawAnswer answer) { answer_ = std::move(answer); }

  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  std::size_t requests() const { return requests_; }
  /// Bytes of bodies that it has read.
  std::size_t body_bytes_read() const { return body_bytes_read_; }

 private:
  static constexpr Duration kPartInterval = milliseconds(30);

  struct Peer {
    Peer(boost::asio::io_context& io, boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)), timer(io) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 64 * 1024> buffer{};
    std::string header;  ///< Of the request.
    std::size_t body_bytes_left = 0;
    bool answering = false;  ///< Further input is the rest of the request.
    bool abandoned = false;  ///< The server is gone.
  };
  using PeerPointer = std::shared_ptr<Peer>;

  void accept() {
    acceptor_.async_accept([this](boost::system::error_code failed,
                                  boost::asio::ip::tcp::socket socket) {
      if (failed) return;
      peers_.push_back(std::make_shared<Peer>(io_, std::move(socket)));
      read(peers_.back());
      accept();
    });
  }

  void read(const PeerPointer& peer) {
    peer->socket.async_read_some(
        boost::asio::buffer(peer->buffer),
        [this, peer](boost::system::error_code failed, std::size_t count) {
          if (failed || peer->abandoned) return;
          on_read(peer, {peer->buffer.data(), count});
        });
  }

  void on_read(const PeerPointer& peer, std::string_view bytes) {
    if (peer->answering) {
      body_bytes_read_ += bytes.size();
      return read(peer);
    }
    if (peer->body_bytes_left > 0) {
      count_body(*peer, bytes.size());
    } else if (!complete_header(*peer, bytes)) {
      return read(peer);
    }
    if (answer_.after_whole_request && peer->body_bytes_left > 0) {
      return read(peer);
    }
    answer(peer);
  }

  /// Adds bytes to the request's header. Those after its end are of the body.
  bool complete_header(Peer& peer, std::string_view bytes) {
    peer.header.append(bytes);
    std::size_t end = peer.header.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    end += 4;
    ++requests_;
    std::size_t surplus_bytes = peer.header.size() - end;
    peer.header.resize(end);
    peer.body_bytes_left =
        io::parse_number(request_field("Content-Length", peer.header))
            .value_or(0);
    count_body(peer, surplus_bytes);
    return true;
  }

  void count_body(Peer& peer, std::size_t bytes) {
    body_bytes_read_ += bytes;
    peer.body_bytes_left -= std::min(peer.body_bytes_left, bytes);
  }

  static std::string request_field(const std::string& name,
                                   const std::string& header) {
    std::size_t start = header.find(name + ": ");
    if (start == std::string::npos) return "";
    start += name.size() + 2;
    return header.substr(start, header.find("\r\n", start) - start);
  }

  void answer(const PeerPointer& peer) {
    peer->answering = true;
    std::string id = request_field(platform::kRequestIdHeader, peer->header);
    peer->header.clear();
    std::size_t first_line_end = answer_.header.find("\r\n") + 2;
    std::string text = answer_.header;
    text.insert(first_line_end,
                std::string(platform::kRequestIdHeader) + ": " + id + "\r\n" +
                    platform::kResponseStampHeader + ": stamp-raw\r\n");
    send(peer, text + "\r\n" +
                   (answer_.body_parts.empty() ? "" : answer_.body_parts[0]));
    send_part(peer, 1);
  }

  static void send(const PeerPointer& peer, const std::string& text) {
    boost::system::error_code ignored;
    boost::asio::write(peer->socket, boost::asio::buffer(text), ignored);
  }

  void send_part(const PeerPointer& peer, std::size_t part) {
    if (part >= answer_.body_parts.size()) return schedule_end(peer);
    run_after(peer, kPartInterval, [this, peer, part] {
      send(peer, answer_.body_parts[part]);
      send_part(peer, part + 1);
    });
  }

  void schedule_end(const PeerPointer& peer) {
    if (answer_.end_delay.count() == 0) return end(peer);
    run_after(peer, answer_.end_delay, [this, peer] { end(peer); });
  }

  template <class Step>
  static void run_after(const PeerPointer& peer, Duration delay, Step step) {
    peer->timer.expires_after(delay);
    peer->timer.async_wait([peer, step](boost::system::error_code failed) {
      if (!failed && !peer->abandoned) step();
    });
  }

  void end(const PeerPointer& peer) {
    boost::system::error_code ignored;
    switch (answer_.end) {
      case ConnectionEnd::kKept:
        peer->answering = peer->body_bytes_left > 0;
        return read(peer);
      case ConnectionEnd::kClosed:
        peer->socket.close(ignored);
        return;
      case ConnectionEnd::kHalfClosed:
        peer->socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
        return read(peer);
      case ConnectionEnd::kReset:
        peer->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                ignored);
        peer->socket.close(ignored);
        return;
    }
  }

  boost::asio::io_context& io_;
  RawAnswer answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<PeerPointer> peers_;
  std::size_t requests_ = 0;
  std::size_t body_bytes_read_ = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TESTS_RAW_SERVER_H_
