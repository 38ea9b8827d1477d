#ifndef EELGRASSPIN_TESTS_REFUSAL_REPEATING_SERVER_H_
#define EELGRASSPIN_TESTS_REFUSAL_REPEATING_SERVER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/ids.h"
#include "names.h"

namespace eelgrasspin {

/// A backend server that refuses the first request and runs the later ones. On
/// the connection of the refusal it sends the refusal once more before the next
/// answer.
class RefusalRepeatingServer {
 public:
  explicit RefusalRepeatingServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  /// Ids of the requests that ran.
  const std::vector<std::string>& ran() const { return ran_; }

 private:
  struct Peer {
    explicit Peer(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string refusal;
  };

  void accept() {
    acceptor_.async_accept([this](boost::system::error_code failed,
                                  boost::asio::ip::tcp::socket socket) {
      if (failed) return;
      read(peers_.emplace_back(std::move(socket)));
      accept();
    });
  }

  void read(Peer& peer) {
    peer.socket.async_read_some(
        boost::asio::buffer(peer.buffer),
        [this, &peer](boost::system::error_code failed, std::size_t count) {
          if (failed) return;
          answer(peer, std::string_view(peer.buffer.data(), count));
          read(peer);
        });
  }

  void answer(Peer& peer, std::string_view request) {
    std::string id = request_id(request);
    std::string id_field =
        std::string(platform::kRequestIdHeader) + ": " + id + "\r\n";
    if (!refused_) {
      refused_ = true;
      peer.refusal = "HTTP/1.1 503 Service Unavailable\r\n" + id_field +
                     platform::kNotRunHeader +
                     ": 1\r\nContent-Length: 0\r\n\r\n";
      return send(peer, peer.refusal);
    }
    ran_.push_back(id);
    send(peer, peer.refusal + "HTTP/1.1 200 OK\r\n" + id_field +
                   platform::kResponseStampHeader +
                   ": stamp\r\nContent-Length: 2\r\n\r\nok");
  }

  static std::string request_id(std::string_view request) {
    std::string name = std::string(platform::kRequestIdHeader) + ": ";
    std::size_t at = request.find(name);
    if (at == std::string_view::npos) return {};
    std::string_view rest = request.substr(at + name.size());
    return std::string(rest.substr(0, rest.find("\r\n")));
  }

  static void send(Peer& peer, const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(peer.socket, boost::asio::buffer(bytes), ignored);
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<Peer> peers_;
  std::vector<std::string> ran_;
  bool refused_ = false;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TESTS_REFUSAL_REPEATING_SERVER_H_
