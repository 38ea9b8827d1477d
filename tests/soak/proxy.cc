#include "tests/soak/proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "io/endpoint.h"

namespace eelgrasspin::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

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
    Duration delay =
        proxy_->fault_ == LinkFault::kDelayed ? proxy_->delay_ : Duration(0);
    timers_[direction].expires_after(delay);
    timers_[direction].async_wait(
        [self = shared_from_this(), direction, count](error_code failed) {
          if (failed || self->proxy_ == nullptr) return;
          self->write(direction, count);
        });
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
