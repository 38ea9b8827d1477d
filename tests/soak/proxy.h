#ifndef EELGRASSPIN_TESTS_SOAK_PROXY_H_
#define EELGRASSPIN_TESTS_SOAK_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::soak {

enum class LinkFault {
  kNone,
  kDelayed,      ///< Each chunk of data is delayed by `delay`.
  kRefused,      ///< Open connections are reset, new ones closed at once.
  kAnswersLost,  ///< Data from the target is dropped.
  kSilent,       ///< Data is dropped both ways, on new connections too.
  /// A server's refusal is sent once more when the next request arrives; every
  /// other copy names no request.
  kRefusalsRepeated,
  /// A request whose body has not arrived with its head is refused; the rest of
  /// the body is read and dropped.
  kRefusedEarly,
};

/// Whether the fault is one of the link, and not of what the server answers.
inline bool is_link_down(LinkFault fault) {
  return fault != LinkFault::kNone && fault != LinkFault::kRefusalsRepeated &&
         fault != LinkFault::kRefusedEarly;
}

/// A TCP proxy on loopback that injects faults into the connections made
/// through it. Data that a fault drops is never delivered later.
class Proxy {
 public:
  Proxy(boost::asio::io_context& io, const Endpoint& target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// The address to connect to instead of the target.
  Endpoint endpoint() const;
  void set_fault(LinkFault fault, Duration delay = Duration(0));
  LinkFault fault() const { return fault_; }
  Duration delay() const { return delay_; }

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
  LinkFault fault_ = LinkFault::kNone;
  Duration delay_{0};
  bool copies_name_request_ = false;  ///< The next copy of a refusal does.
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_PROXY_H_
