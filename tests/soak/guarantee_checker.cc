#include "tests/soak/guarantee_checker.h"

#include <algorithm>

namespace eelgrasspin::soak {
namespace {

/// Time until every daemon has stopped sending to a draining server or uses a
/// new configuration: the platform's usual bound, with a margin for scheduling
/// on a busy machine.
constexpr Duration kPropagationLimit = milliseconds(2300);
constexpr std::size_t kMaxReported = 20;
/// A request must not reach a server later than this after its caller has left,
/// save for a few that were on their way.
constexpr Duration kMaxTimeAfterLeaving = milliseconds(500);
constexpr std::size_t kMaxLateExecutions = 3;

bool status_means_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string format_ms(Duration duration) {
  return std::to_string(to_ms(duration)) + "ms";
}

}  // namespace

void GuaranteeChecker::add_violation(std::string what) {
  if (violations_.size() < kMaxReported) violations_.push_back(std::move(what));
}

void GuaranteeChecker::request_sent(const std::string& id, bool repeatable) {
  requests_[id].repeatable = repeatable;
}

void GuaranteeChecker::caller_left(const std::string& id, TimePoint at) {
  requests_[id].left_at = at;
}

void GuaranteeChecker::execution_started(
    const std::string& id, const std::string& server,
    const std::vector<std::string>& holders, TimePoint at) {
  auto found = requests_.find(id);
  if (found == requests_.end()) return add_violation("unasked: " + id);
  found->second.executing_servers.push_back(server);
  const auto& left_at = found->second.left_at;
  if (left_at && at - *left_at > kMaxTimeAfterLeaving) {
    late_executions_.push_back(id + " after " + format_ms(at - *left_at));
  }
  for (const std::string& holder : holders) {
    if (holder == server) continue;
    std::string what = "two owners: " + id;
    what.append(" runs at ").append(server).append(", ").append(holder);
    add_violation(what.append(" holds its key"));
  }
}

void GuaranteeChecker::grant_received(const std::string& server,
                                      std::uint64_t epoch,
                                      std::uint64_t other_epoch) {
  if (epoch > other_epoch) return;
  add_violation("epoch not above: " + server + " is granted keys at " +
                std::to_string(epoch) + ", another has seen " +
                std::to_string(other_epoch));
}

void GuaranteeChecker::execution_started_while_draining(
    const std::string& id, const std::string& server, Duration draining_time,
    bool undisturbed) {
  if (!undisturbed || draining_time <= kPropagationLimit) return;
  add_violation("leaving server used: " + id + " at " + server + " after " +
                format_ms(draining_time));
}

void GuaranteeChecker::response_received(const std::string& id, int status,
                                         const std::string& server,
                                         bool body_correct) {
  Request& request = requests_[id];
  request.status = status;
  if (status != 200) return;
  ++served_;
  bool executed_there = std::find(request.executing_servers.begin(),
                                  request.executing_servers.end(),
                                  server) != request.executing_servers.end();
  if (!executed_there || !body_correct) {
    add_violation("mixed: " + id + " is answered for " + server);
  }
}

void GuaranteeChecker::lost_in_graceful_stop(const std::string& id) {
  requests_[id].lost_in_graceful_stop = true;
}

void GuaranteeChecker::version_observed(const std::string& process,
                                        std::uint64_t version,
                                        std::optional<Duration> outdated_for,
                                        bool undisturbed) {
  std::uint64_t& latest = latest_versions_[process];
  if (version < latest) {
    add_violation("configuration back: " + process + " at " +
                  std::to_string(version) + " after " + std::to_string(latest));
  }
  latest = std::max(latest, version);
  if (undisturbed && outdated_for && *outdated_for > kPropagationLimit) {
    add_violation("configuration late: " + process + " at " +
                  std::to_string(version) + ", " + format_ms(*outdated_for) +
                  " after the next");
  }
}

void GuaranteeChecker::ended_unexpectedly(const std::string& process,
                                          int status) {
  add_violation("ended by itself: " + process + ", status " +
                std::to_string(status));
}

void GuaranteeChecker::not_recovered(const std::string& what) {
  add_violation("not recovered: " + what);
}

void GuaranteeChecker::finish() {
  if (late_executions_.size() > kMaxLateExecutions) {
    add_violation("gone: " + std::to_string(late_executions_.size()) +
                  " requests ran after their callers had left, first " +
                  late_executions_.front());
  }
  for (const auto& [id, request] : requests_) {
    if (request.repeatable) continue;
    if (request.executing_servers.size() > 1) add_violation("twice: " + id);
    if (status_means_not_run(request.status) &&
        !request.executing_servers.empty()) {
      add_violation("refused: " + id + " was answered " +
                    std::to_string(request.status) + " and ran");
    }
    if (request.lost_in_graceful_stop && !request.executing_servers.empty()) {
      add_violation("lost: " + id +
                    " ran, and a stop in good order cut its answer");
    }
  }
}

}  // namespace eelgrasspin::soak
