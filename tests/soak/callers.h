#ifndef EELGRASSPIN_TESTS_SOAK_CALLERS_H_
#define EELGRASSPIN_TESTS_SOAK_CALLERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <vector>

#include "io/http_client.h"
#include "tests/soak/fleet.h"

namespace eelgrasspin::soak {

/// Simulated callers. Each sends its requests to one daemon, one at a time, and
/// reuses its connection until that fails or is closed.
class Callers {
 public:
  /// The operation that a caller requests: one with a key, one that runs at
  /// most once, one of both, or one whose answer tells the configuration
  /// version in force.
  enum class Kind { kKeyed, kAtMostOnce, kKeyedAtMostOnce, kVersion };

  Callers(Fleet& fleet, std::uint32_t seed);
  /// Stops sending new requests; answers to open ones are still checked.
  void stop() { stopped_ = true; }
  /// Number of requests to this daemon that were answered 200 since the last
  /// call.
  std::size_t take_served_count(const Daemon& daemon);

 private:
  struct Caller {
    Caller(boost::asio::io_context& io, Daemon& target, Kind request_kind)
        : daemon(target), kind(request_kind), timer(io), leave_timer(io) {}
    Daemon& daemon;
    Kind kind;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer leave_timer;
    std::shared_ptr<io::HttpConnection> connection;
    std::string open_id;  ///< Of the request without an answer; or empty.
    std::size_t served = 0;
  };

  void schedule_request(Caller& caller, Duration delay);
  void send_request(Caller& caller);
  /// Lets some callers close their connection before the answer.
  void schedule_leave(Caller& caller, const std::string& id);
  void request_ended(Caller& caller, const std::string& id,
                     const std::string& expected_body,
                     std::uint64_t incarnation, TimePoint sent,
                     const io::HttpResult& result);

  Fleet& fleet_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::uint64_t sent_ = 0;
  bool stopped_ = false;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_CALLERS_H_
