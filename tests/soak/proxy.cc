#include "tests/soak/proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "io/endpoint.h"

namespace eelgrasspin::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// One connection and its continuation to the target.
class Proxy::Pair : public std::enable_shared_from_this<Proxy::Pair> {
 public:
  Pair(Proxy& proxy, tcp::socket caller)
      : proxy_(&proxy),
        caller_(std::move(caller)),
        target_(proxy.io_),
        timers_{asio::steady_timer(proxy.io_), asio::steady_timer(proxy.io_)} {}

  void start() {
    target_.async_connect(proxy_->target_,
                          [self = shared_from_this()](error_code failed) {
                            if (failed) return self->end();
                            self->pump(0);
                            self->pump(1);
                          });
  }

  /// Once harmed, a connection stays so: what it lost does not come back.
  void harm(LinkFault fault) {
    if (fault == LinkFault::kRefused) return end();
    if (fault == LinkFault::kSilent) silent_ = true;
    if (fault == LinkFault::kAnswersLost) answers_lost_ = true;
  }

  void end() {
    if (proxy_ == nullptr) return;
    error_code ignored;
    // An abrupt end, as of a process that was killed.
    caller_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  void close() {
    if (proxy_ == nullptr) return;
    error_code ignored;
    caller_.close(ignored);
    target_.close(ignored);
    for (auto& timer : timers_) timer.cancel();
    auto self = shared_from_this();
    std::exchange(proxy_, nullptr)->pairs_.erase(self);
  }

 private:
  /// Direction 0 is from the caller to the target, 1 the way back.
  void pump(std::size_t direction) {
    tcp::socket& from = direction == 0 ? caller_ : target_;
    from.async_read_some(asio::buffer(buffers_[direction]),
                         [self = shared_from_this(), direction](
                             error_code failed, std::size_t count) {
                           if (self->proxy_ == nullptr) return;
                           if (failed)
                             return self->silent_ ? void() : self->close();
                           self->pass_on(direction, count);
                         });
  }

  void pass_on(std::size_t direction, std::size_t count) {
    if (silent_ || (direction == 1 && answers_lost_)) return pump(direction);
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
    if (silent_) return pump(direction);
    tcp::socket& to = direction == 0 ? target_ : caller_;
    asio::async_write(
        to, asio::buffer(buffers_[direction], count),
        [self = shared_from_this(), direction](error_code failed, std::size_t) {
          if (self->proxy_ == nullptr) return;
          if (failed) return self->close();
          self->pump(direction);
        });
  }

  Proxy* proxy_;
  tcp::socket caller_;
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
  auto pairs = pairs_;
  for (const auto& pair : pairs) pair->end();
}

Endpoint Proxy::endpoint() const {
  return Endpoint("127.0.0.1:" +
                  std::to_string(acceptor_.local_endpoint().port()));
}

void Proxy::set_fault(LinkFault fault, Duration delay) {
  fault_ = fault;
  delay_ = delay;
  auto pairs = pairs_;
  for (const auto& pair : pairs) pair->harm(fault);
}

void Proxy::accept() {
  acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed && fault_ != LinkFault::kRefused) {
      auto pair = std::make_shared<Pair>(*this, std::move(socket));
      pairs_.insert(pair);
      pair->harm(fault_);
      pair->start();
    }
    accept();
  });
}

}  // namespace eelgrasspin::soak
