#ifndef EELGRASSPIN_TESTS_SOAK_GUARANTEE_CHECKER_H_
#define EELGRASSPIN_TESTS_SOAK_GUARANTEE_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eelgrasspin/units.h"

namespace eelgrasspin::soak {

/// What callers and backend servers see, checked against what the system
/// promises. Knows no network and no clock.
class GuaranteeChecker {
 public:
  /// A caller sends a request; one that is not repeatable may run once.
  void request_sent(const std::string& id, bool repeatable);
  /// A server begins to run it. `holders` are all servers that hold its key.
  void execution_started(const std::string& id, const std::string& server,
                         const std::vector<std::string>& holders);
  /// A grant arrives with an epoch that another server has seen as `seen`.
  void grant_received(const std::string& server, std::uint64_t epoch,
                      std::uint64_t other_epoch);
  /// A server that has been leaving for `since` is sent a request, through a
  /// daemon that nothing disturbs if `in_touch`.
  void execution_started_while_draining(const std::string& id,
                                        const std::string& server,
                                        Duration draining_time,
                                        bool undisturbed);
  /// The caller has its answer.
  void response_received(const std::string& id, int status,
                         const std::string& server, bool body_correct);
  /// The connection ended without an answer, around a stop in good order and
  /// nothing else.
  void lost_in_graceful_stop(const std::string& id);
  /// A process serves by a version of the configuration, `behind` after a
  /// later one was published.
  void version_observed(const std::string& process, std::uint64_t version,
                        std::optional<Duration> outdated_for, bool undisturbed);
  /// A process ended that nobody had ended, or not in good order.
  void ended_unexpectedly(const std::string& process, int status);
  /// The faults are over for long and something is still not served.
  void not_recovered(const std::string& what);

  /// Checks what only the end shows; call once.
  void finish();
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t requests() const { return requests_.size(); }
  std::size_t served() const { return served_; }

 private:
  struct Request {
    bool repeatable = true;
    std::vector<std::string> executing_servers;
    int status = 0;
    bool lost_in_graceful_stop = false;
  };
  void add_violation(std::string what);

  std::map<std::string, Request> requests_;
  std::map<std::string, std::uint64_t> latest_versions_;
  std::vector<std::string> violations_;
  std::size_t served_ = 0;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_GUARANTEE_CHECKER_H_
