#include "core/request/front_queue.h"

#include <algorithm>
#include <utility>

#include "core/ownership/ownership.h"
#include "core/request/entry.h"
#include "core/request/intents.h"
#include "core/request/lifecycle.h"
#include "core/request/quarantine.h"
#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

/// Result of a pass over a queue.
struct Scan {
  std::vector<RequestId> quarantined;
  std::vector<RequestId> expired;
  std::vector<RequestId> not_owned;  ///< Their owner has another front.
  std::optional<RequestId> next;
  ownership::SendCheck check;
};

std::uint32_t queue_limit(const core::State& state,
                          const ServiceName& service) {
  const ServiceRoutes* routes = find_service(state.request.routing, service);
  return routes == nullptr ? config::kDefaultQueueLimit
                           : routes->declaration.queue_limit;
}

Duration execution_limit(const core::State& state, const ServiceName& service) {
  const ServiceRoutes* routes = find_service(state.request.routing, service);
  return routes == nullptr ? config::kDefaultExecutionLimit
                           : routes->declaration.execution_limit;
}

bool has_required_intent(const core::State& state, const OpenRequest& request) {
  return request.intent == IntentPhase::kNotNeeded ||
         request.intent == IntentPhase::kRecorded ||
         !state.guards.record_intent;
}

/// Adds one waiting request to the scan; true if it is the next to send.
bool classify(const core::State& state, const ServerName& server, RequestId id,
              Now now, Scan& scan) {
  const OpenRequest& request = state.request.open.at(id);
  Duration service_time = state.request.queues.at(server).mean_service_time;
  if (state.guards.check_queue_deadline &&
      now.mono + service_time >= request.deadline) {
    scan.expired.push_back(id);
    return false;
  }
  if (is_quarantined(state, request.fingerprint, now)) {
    scan.quarantined.push_back(id);
    return false;
  }
  ownership::SendCheck check =
      ownership::check_send(state, server, request.slot, request.key, now);
  if (check.permission == ownership::SendPermission::kNotFront)
    scan.not_owned.push_back(id);
  if (check.permission != ownership::SendPermission::kSend) return false;
  if (!has_required_intent(state, request)) return false;
  scan.next = id;
  scan.check = check;
  return true;
}

/// Scans the waiting requests caller by caller (round robin), starting after
/// the caller served last, until it finds one to send.
Scan scan_queue(const core::State& state, const ServerName& server,
                const FrontQueue& queue, std::uint32_t limit, Now now) {
  Scan scan;
  auto from = queue.waiting.upper_bound(queue.last_served);
  bool newest_first = queue.size > limit / 2;
  auto scan_caller = [&](auto begin, auto end) {
    return std::any_of(begin, end, [&](RequestId id) {
      return classify(state, server, id, now, scan);
    });
  };
  auto scan_callers = [&](auto begin, auto end) {
    return std::any_of(begin, end, [&](const auto& caller_queue) {
      const std::deque<RequestId>& ids = caller_queue.second;
      return newest_first ? scan_caller(ids.rbegin(), ids.rend())
                          : scan_caller(ids.begin(), ids.end());
    });
  };
  if (!scan_callers(from, queue.waiting.end()))
    scan_callers(queue.waiting.begin(), from);
  return scan;
}

void send_to_server(core::State& state, FrontQueue& queue, OpenRequest& request,
                    const ServerName& server, const ownership::SendCheck& check,
                    Now now, Effects& effects) {
  const ServerDeclaration* declared = server_declaration(state.cache, server);
  const ServiceRoutes* routes =
      find_service(state.request.routing, request.head.service);
  queue.last_served = request.head.caller;
  remove_queued(state, request);
  request.stage = Stage::kAtServer;
  request.attempt = AttemptId(state.request.next_attempt++);
  request.sent_at = now.mono;
  ++request.attempts;
  bool is_override = routes != nullptr &&
                     find_route(*routes, request.slot, request.key).is_override;
  queue.sent_attempts[request.attempt] = {.slot = request.slot,
                                          .key = request.key,
                                          .is_override = is_override,
                                          .sent_at = now.mono,
                                          .counted_until = {}};
  ++state.counters[Counter::kRequestsToServers];
  effects.push_back(SendToServer{
      request.id, request.attempt, server, declared->address, request.slot,
      request.key, check.epoch, check.front_epoch, request.deadline - now.mono,
      request.execution_class != ExecutionClass::kAtMostOnce});
}

void end_expired(core::State& state, const std::vector<RequestId>& ids, Now now,
                 Effects& effects) {
  for (RequestId id : ids) {
    OpenRequest* request = find_open(state, id);
    if (request == nullptr) continue;
    end_refused(state, *request, expiry_refusal(*request), now, effects);
  }
}

void end_quarantined(core::State& state, const std::vector<RequestId>& ids,
                     Now now, Effects& effects) {
  for (RequestId id : ids) {
    OpenRequest* request = find_open(state, id);
    if (request == nullptr) continue;
    ++state.counters[Counter::kQuarantineRefusals];
    end_refused(state, *request, {.reason = Reason::kQuarantined}, now,
                effects);
  }
}

void reroute(core::State& state, const std::vector<RequestId>& ids, Now now,
             Effects& effects) {
  for (RequestId id : ids) {
    OpenRequest* request = find_open(state, id);
    if (request == nullptr) continue;
    remove_queued(state, *request);
    if (withdraw_intent(state, *request)) continue;
    request->stage = Stage::kHeld;
    ++state.request.held;
    on_not_run(state, *request, {.reason = Reason::kMoved}, now, effects);
  }
}

/// Evicts the newest request of the caller with the most waiting ones, for a
/// caller below its fair share of a full queue; false if that caller has its
/// share already, or if no caller has at least two more.
bool evict_for(core::State& state, FrontQueue& queue, const CallerName& caller,
               std::uint32_t limit, Now now, Effects& effects) {
  auto own = queue.waiting.find(caller);
  std::size_t own_count = own == queue.waiting.end() ? 0 : own->second.size();
  std::size_t caller_count = queue.waiting.size() + (own_count == 0 ? 1 : 0);
  if (own_count >= std::max<std::size_t>(1, limit / caller_count)) return false;
  auto largest = std::max_element(queue.waiting.begin(), queue.waiting.end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.size() < b.second.size();
                                  });
  if (largest == queue.waiting.end() || largest->second.size() <= own_count + 1)
    return false;
  OpenRequest& evicted = state.request.open.at(largest->second.back());
  end_refused(state, evicted,
              {.reason = Reason::kCallerOverShare,
               .retry_after = config::kShedRetryAfter},
              now, effects);
  return true;
}

void refuse_full(core::State& state, OpenRequest& request,
                 const FrontQueue& queue, Now now, Effects& effects) {
  bool only_caller =
      queue.waiting.size() == 1 && queue.waiting.contains(request.head.caller);
  end_refused(
      state, request,
      {.reason = only_caller ? Reason::kQueueFull : Reason::kCallerOverShare,
       .retry_after = config::kShedRetryAfter},
      now, effects);
}

/// Puts a request back at the head of its caller's queue.
void requeue(core::State& state, OpenRequest& request) {
  FrontQueue& queue = state.request.queues[request.server];
  request.stage = Stage::kQueued;
  queue.waiting[request.head.caller].push_front(request.id);
  ++queue.size;
}

void close_attempt(core::State& state, const OpenRequest& request,
                   const AttemptResult& result) {
  if (std::holds_alternative<AttemptUnknown>(result)) {
    abandon_attempt(state, request);
    return;
  }
  state.request.queues[request.server].sent_attempts.erase(request.attempt);
}

/// Each answer has a weight of 1/8 in the moving average of a server's service
/// time.
constexpr int kServiceTimeWeightDivisor = 8;

void update_service_time(core::State& state, const OpenRequest& request,
                         const AttemptResult& result, Now now) {
  if (!std::holds_alternative<AttemptAnswered>(result)) return;
  Duration& mean = state.request.queues[request.server].mean_service_time;
  mean += (now.mono - request.sent_at - mean) / kServiceTimeWeightDivisor;
}

bool should_pause_queue(Reason reason) {
  return reason == Reason::kOwnerUnreachable ||
         reason == Reason::kGrantRefused || reason == Reason::kMoved;
}

}  // namespace

void enqueue(core::State& state, OpenRequest& request, const ServerName& server,
             Now now, Effects& effects) {
  auto entry = state.request.queues.try_emplace(server).first;
  FrontQueue& queue = entry->second;
  if (is_quarantined(state, request.fingerprint, now)) {
    ++state.counters[Counter::kQuarantineRefusals];
    end_refused(state, request, {.reason = Reason::kQuarantined}, now, effects);
    return;
  }
  std::uint32_t limit = queue_limit(state, request.head.service);
  if (queue.size >= limit &&
      !evict_for(state, queue, request.head.caller, limit, now, effects)) {
    refuse_full(state, request, queue, now, effects);
    return;
  }
  if (request.stage == Stage::kHeld) --state.request.held;
  request.stage = Stage::kQueued;
  request.server = server;
  queue.waiting[request.head.caller].push_back(request.id);
  ++queue.size;
  count_load(queue.load, request.slot, request.key, now);
  if (!enqueue_intent(state, request)) {
    end_refused(state, request, {.reason = Reason::kRepeatInProgress}, now,
                effects);
    return;
  }
  process_queue(state, entry->first, now, effects);
}

void remove_queued(core::State& state, const OpenRequest& request) {
  FrontQueue& queue = state.request.queues[request.server];
  auto caller_queue = queue.waiting.find(request.head.caller);
  if (caller_queue == queue.waiting.end()) return;
  queue.size -=
      static_cast<std::uint32_t>(std::erase(caller_queue->second, request.id));
  if (caller_queue->second.empty()) queue.waiting.erase(caller_queue);
}

void process_queue(core::State& state, const ServerName& server, Now now,
                   Effects& effects) {
  FrontQueue& queue = state.request.queues[server];
  const ServerDeclaration* declared = server_declaration(state.cache, server);
  std::uint32_t concurrency = declared == nullptr ? 0 : declared->concurrency;
  std::uint32_t limit =
      declared == nullptr ? 0 : queue_limit(state, declared->service);
  while (queue.size > 0) {
    Scan scan = scan_queue(state, server, queue, limit, now);
    end_expired(state, scan.expired, now, effects);
    end_quarantined(state, scan.quarantined, now, effects);
    reroute(state, scan.not_owned, now, effects);
    bool has_capacity = queue.sent_attempts.size() < concurrency;
    if (!scan.next || !has_capacity || now.mono < queue.paused_until) return;
    send_to_server(state, queue, state.request.open.at(*scan.next), server,
                   scan.check, now, effects);
  }
}

void process_all_queues(core::State& state, Now now, Effects& effects) {
  for (auto& [server, queue] : state.request.queues) {
    if (queue.size > 0) process_queue(state, server, now, effects);
  }
}

void on_server_attempt_ended(core::State& state, OpenRequest& request,
                             const AttemptResult& result, Now now,
                             Effects& effects) {
  ServerName server = request.server;
  close_attempt(state, request, result);
  update_service_time(state, request, result, now);
  update_strikes(state, request, result, now);
  if (std::holds_alternative<AttemptAnswered>(result)) {
    end_answered(state, request, std::get<AttemptAnswered>(result), now,
                 effects);
  } else if (const auto* not_run = std::get_if<AttemptNotRun>(&result)) {
    if (should_pause_queue(not_run->reason)) {
      request.last_refusal = not_run->reason;
      state.request.queues[server].paused_until =
          now.mono + config::kRetryDelay;
      requeue(state, request);
    } else {
      end_refused(
          state, request,
          {.reason = not_run->reason, .retry_after = not_run->retry_after}, now,
          effects);
    }
  } else {
    on_unknown(state, request, std::get<AttemptUnknown>(result), now, effects);
  }
  process_queue(state, server, now, effects);
}

void abandon_attempt(core::State& state, const OpenRequest& request) {
  auto& sent_attempts = state.request.queues[request.server].sent_attempts;
  auto it = sent_attempts.find(request.attempt);
  if (it == sent_attempts.end()) return;
  it->second.counted_until =
      it->second.sent_at + execution_limit(state, request.head.service);
}

void expire_abandoned_attempts(core::State& state, Now now) {
  for (auto& [server, queue] : state.request.queues) {
    decay_load(queue.load, now);
    std::erase_if(queue.sent_attempts, [&](const auto& item) {
      return item.second.counted_until &&
             now.mono >= *item.second.counted_until;
    });
  }
}

std::uint32_t running(const core::State& state, const ServerName& server,
                      SlotId slot, const Key& key) {
  auto it = state.request.queues.find(server);
  if (it == state.request.queues.end()) return 0;
  return static_cast<std::uint32_t>(
      std::count_if(it->second.sent_attempts.begin(),
                    it->second.sent_attempts.end(), [&](const auto& item) {
                      const SentAttempt& sent = item.second;
                      if (!key.empty()) return sent.key == key;
                      return sent.slot == slot && !sent.is_override;
                    }));
}

std::uint32_t running(const core::State& state, const ServerName& server) {
  auto it = state.request.queues.find(server);
  return it == state.request.queues.end()
             ? 0
             : static_cast<std::uint32_t>(it->second.sent_attempts.size());
}

std::uint32_t queued(const core::State& state, const ServerName& server) {
  auto it = state.request.queues.find(server);
  return it == state.request.queues.end() ? 0 : it->second.size;
}

}  // namespace eelgrasspin::core::request
