#ifndef EELGRASSPIN_TESTS_SOAK_GUARANTEE_CHECKER_H_
#define EELGRASSPIN_TESTS_SOAK_GUARANTEE_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eelgrasspin/units.h"

namespace eelgrasspin::soak {

/// Checks what callers and backend servers observe against the guarantees of
/// the system. Uses neither network nor clock.
class GuaranteeChecker {
 public:
  /// A caller sends a request. One that is not repeatable runs at most once.
  void request_sent(const std::string& id, bool repeatable);
  /// The caller closes its connection without waiting for the answer.
  void caller_left(const std::string& id, TimePoint at);
  /// A server starts to execute a request at `at`. `holders` are all servers
  /// that hold its key.
  void execution_started(const std::string& id, const std::string& server,
                         const std::vector<std::string>& holders, TimePoint at);
  /// A server receives a grant of a key of which another server has received a
  /// grant at `other_epoch`.
  void grant_received(const std::string& server, std::uint64_t epoch,
                      std::uint64_t other_epoch);
  /// A server executes a request `draining_time` after it began to drain.
  /// `undisturbed` tells whether time bounds apply to the daemon that sent it.
  void execution_started_while_draining(const std::string& id,
                                        const std::string& server,
                                        Duration draining_time,
                                        bool undisturbed);
  /// The caller receives its answer. `server` is the one that the answer names.
  void response_received(const std::string& id, int status,
                         const std::string& server, bool body_correct);
  /// The connection ended without the answer that the daemon still had to give:
  /// its graceful stop was the only disturbance.
  void lost_in_graceful_stop(const std::string& id);
  /// A process uses a configuration version. `outdated_for` is the time since
  /// the next one was published, if any.
  void version_observed(const std::string& process, std::uint64_t version,
                        std::optional<Duration> outdated_for, bool undisturbed);
  /// A process ended that was neither killed nor ordered to stop, or it was
  /// ordered to stop and failed.
  void ended_unexpectedly(const std::string& process, int status);
  /// The system did not serve in time at the start or after the last fault, or
  /// a process could not be started.
  void not_recovered(const std::string& what);

  /// Checks the guarantees that need all requests to have ended. Call once.
  void finish();
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t requests() const { return requests_.size(); }
  std::size_t served() const { return served_; }

 private:
  struct Request {
    bool repeatable = true;
    std::vector<std::string> executing_servers;
    int status = 0;
    std::optional<TimePoint> left_at;
    bool lost_in_graceful_stop = false;
  };
  void add_violation(std::string what);

  std::map<std::string, Request> requests_;
  std::map<std::string, std::uint64_t> latest_versions_;
  std::vector<std::string> violations_;
  std::vector<std::string> late_executions_;  ///< After their callers left.
  std::size_t served_ = 0;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_GUARANTEE_CHECKER_H_
