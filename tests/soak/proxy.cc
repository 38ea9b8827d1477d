#include "tests/soak/proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "io/endpoint.h"
#include "names.h"

namespace eelgrasspin::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxRefusedBodyBytes = 16 * 1024 * 1024;

struct EarlyRefusal {
  std::string response;
  std::uint64_t body_bytes_left = 0;
};

/// The refusal of a request of which only a part has arrived.
std::optional<EarlyRefusal> refuse_early(std::string_view data) {
  http::request_parser<http::string_body> parser;
  parser.body_limit(kMaxRefusedBodyBytes);
  parser.eager(true);
  error_code failed;
  parser.put(asio::buffer(data), failed);
  if (!parser.is_header_done() || parser.is_done()) return std::nullopt;
  auto left = parser.content_length_remaining();
  auto id = parser.get().find(platform::kRequestIdHeader);
  if (!left || id == parser.get().end()) return std::nullopt;
  return EarlyRefusal{"HTTP/1.1 503 Service Unavailable\r\n" +
                          std::string(platform::kNotRunHeader) + ": 1\r\n" +
                          std::string(platform::kRequestIdHeader) + ": " +
                          std::string(id->value()) +
                          "\r\nContent-Length: 0\r\n\r\n",
                      *left};
}

/// The refusal without the field that names its request.
std::string without_request_id(std::string refusal) {
  std::size_t start = refusal.find(platform::kRequestIdHeader);
  if (start == std::string::npos) return refusal;
  std::size_t end = refusal.find("\r\n", start);
  if (end == std::string::npos) return refusal;
  return refusal.erase(start, end + 2 - start);
}

bool is_refusal(std::string_view data) {
  return data.starts_with("HTTP/1.1 503") &&
         data.find(platform::kNotRunHeader) != std::string_view::npos;
}

}  // namespace

/// A connection from a client and the matching one to the target.
class Proxy::Connection
    : public std::enable_shared_from_this<Proxy::Connection> {
 public:
  Connection(Proxy& proxy, tcp::socket client)
      : proxy_(&proxy),
        client_(std::move(client)),
        target_(proxy.io_),
        timers_{asio::steady_timer(proxy.io_), asio::steady_timer(proxy.io_)} {}

  void start() {
    target_.async_connect(proxy_->target_,
                          [self = shared_from_this()](error_code failed) {
                            if (failed) return self->reset();
                            self->read(0);
                            self->read(1);
                          });
  }

  /// Silence and lost answers stay with a connection when the fault ends, since
  /// the dropped data would be missing from its stream.
  void apply_fault(LinkFault fault) {
    if (fault == LinkFault::kRefused) return reset();
    if (fault == LinkFault::kSilent) silent_ = true;
    if (fault == LinkFault::kAnswersLost) answers_lost_ = true;
  }

  void reset() {
    if (proxy_ == nullptr) return;
    error_code ignored;
    // Closes with a TCP reset, as if the process had been killed.
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  void close() {
    if (proxy_ == nullptr) return;
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    for (auto& timer : timers_) timer.cancel();
    auto self = shared_from_this();
    std::exchange(proxy_, nullptr)->connections_.erase(self);
  }

 private:
  /// Direction 0 is from the client to the target, 1 is the reverse.
  void read(std::size_t direction) {
    tcp::socket& from = direction == 0 ? client_ : target_;
    from.async_read_some(asio::buffer(buffers_[direction]),
                         [self = shared_from_this(), direction](
                             error_code failed, std::size_t count) {
                           if (self->proxy_ == nullptr) return;
                           if (failed)
                             return self->silent_ ? void() : self->close();
                           self->forward(direction, count);
                         });
  }

  void forward(std::size_t direction, std::size_t count) {
    if (silent_ || (direction == 1 && answers_lost_)) return read(direction);
    std::string_view data(buffers_[direction].data(), count);
    if (direction == 1) {
      bool repeat = proxy_->fault_ == LinkFault::kRefusalsRepeated;
      repeated_ = repeat && is_refusal(data) ? std::string(data) : "";
    } else if (!repeated_.empty()) {
      bool name_request = std::exchange(proxy_->copies_name_request_,
                                        !proxy_->copies_name_request_);
      inject(name_request ? repeated_ : without_request_id(repeated_));
      repeated_.clear();
    } else if (body_bytes_to_drop_ > 0) {
      body_bytes_to_drop_ -=
          std::min<std::uint64_t>(body_bytes_to_drop_, count);
      return read(direction);
    } else if (proxy_->fault_ == LinkFault::kRefusedEarly) {
      if (auto refusal = refuse_early(data)) {
        body_bytes_to_drop_ = refusal->body_bytes_left;
        inject(refusal->response);
        return read(direction);
      }
    }
    Duration delay =
        proxy_->fault_ == LinkFault::kDelayed ? proxy_->delay_ : Duration(0);
    timers_[direction].expires_after(delay);
    timers_[direction].async_wait(
        [self = shared_from_this(), direction, count](error_code failed) {
          if (failed || self->proxy_ == nullptr) return;
          self->write(direction, count);
        });
  }

  /// Sends the client bytes that the target has not sent. No other write to the
  /// client is in progress, since it waits for an answer.
  void inject(std::string bytes) {
    auto data = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(
        client_, asio::buffer(*data),
        [self = shared_from_this(), data](error_code, std::size_t) {});
  }

  void write(std::size_t direction, std::size_t count) {
    if (silent_) return read(direction);
    tcp::socket& to = direction == 0 ? target_ : client_;
    asio::async_write(
        to, asio::buffer(buffers_[direction], count),
        [self = shared_from_this(), direction](error_code failed, std::size_t) {
          if (self->proxy_ == nullptr) return;
          if (failed) return self->close();
          self->read(direction);
        });
  }

  Proxy* proxy_;
  tcp::socket client_;
  tcp::socket target_;
  std::array<asio::steady_timer, 2> timers_;
  std::array<std::array<char, 16'384>, 2> buffers_{};
  bool silent_ = false;
  bool answers_lost_ = false;
  std::string repeated_;  ///< Sent when the next request arrives.
  std::uint64_t body_bytes_to_drop_ = 0;
};

Proxy::Proxy(asio::io_context& io, const Endpoint& target)
    : io_(io),
      target_(*io::parse_endpoint(target)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
  accept();
}

Proxy::~Proxy() {
  auto connections = connections_;
  for (const auto& connection : connections) connection->reset();
}

Endpoint Proxy::endpoint() const {
  return Endpoint("127.0.0.1:" +
                  std::to_string(acceptor_.local_endpoint().port()));
}

void Proxy::set_fault(LinkFault fault, Duration delay) {
  fault_ = fault;
  delay_ = delay;
  auto connections = connections_;
  for (const auto& connection : connections) connection->apply_fault(fault);
}

void Proxy::accept() {
  acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed && fault_ != LinkFault::kRefused) {
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->apply_fault(fault_);
      connection->start();
    }
    accept();
  });
}

}  // namespace eelgrasspin::soak
