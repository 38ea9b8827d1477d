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

/// What a look through a queue found.
struct Scan {
  std::vector<RequestId> quarantined;
  std::vector<RequestId> expired;
  std::vector<RequestId> gone;
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

bool may_send(const core::State& state, const OpenRequest& request) {
  return request.intent == IntentPhase::kNotNeeded ||
         request.intent == IntentPhase::kRecorded ||
         !state.guards.record_intent;
}

/// Sorts one waiting request into the scan; true if it is the next to send.
bool examine(const core::State& state, const ServerName& server, RequestId id,
             Now now, Scan& scan) {
  const OpenRequest& request = state.request.open.at(id);
  Duration work = state.request.queues.at(server).mean_work;
  if (state.guards.check_queue_deadline &&
      now.mono + work >= request.deadline) {
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
    scan.gone.push_back(id);
  if (check.permission != ownership::SendPermission::kSend) return false;
  if (!may_send(state, request)) return false;
  scan.next = id;
  scan.check = check;
  return true;
}

/// Looks through the callers in turn, after the one served last.
Scan scan_queue(const core::State& state, const ServerName& server,
                const FrontQueue& queue, std::uint32_t limit, Now now) {
  Scan scan;
  auto from = queue.waiting.upper_bound(queue.last_served);
  bool newest_first = queue.size > limit / 2;
  auto scan_line = [&](auto begin, auto end) {
    return std::any_of(begin, end, [&](RequestId id) {
      return examine(state, server, id, now, scan);
    });
  };
  auto scan_callers = [&](auto begin, auto end) {
    return std::any_of(begin, end, [&](const auto& line) {
      const std::deque<RequestId>& ids = line.second;
      return newest_first ? scan_line(ids.rbegin(), ids.rend())
                          : scan_line(ids.begin(), ids.end());
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
  bool carved_out = routes != nullptr &&
                    find_route(*routes, request.slot, request.key).carved_out;
  queue.occupied[request.attempt] = {.slot = request.slot,
                                     .key = request.key,
                                     .carved_out = carved_out,
                                     .sent_at = now.mono,
                                     .until = {}};
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
    end_refused(state, *request, expiry_of(*request), now, effects);
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

void send_away(core::State& state, const std::vector<RequestId>& ids, Now now,
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

/// Makes room in a full queue for a caller below its share; false if the
/// caller has its share already.
bool make_room(core::State& state, FrontQueue& queue, const CallerName& caller,
               std::uint32_t limit, Now now, Effects& effects) {
  auto mine = queue.waiting.find(caller);
  std::size_t have = mine == queue.waiting.end() ? 0 : mine->second.size();
  std::size_t callers = queue.waiting.size() + (have == 0 ? 1 : 0);
  if (have >= std::max<std::size_t>(1, limit / callers)) return false;
  auto largest = std::max_element(queue.waiting.begin(), queue.waiting.end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.size() < b.second.size();
                                  });
  if (largest == queue.waiting.end() || largest->second.size() <= have + 1)
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
  bool alone =
      queue.waiting.size() == 1 && queue.waiting.contains(request.head.caller);
  end_refused(state, request,
              {.reason = alone ? Reason::kQueueFull : Reason::kCallerOverShare,
               .retry_after = config::kShedRetryAfter},
              now, effects);
}

/// Puts a request back at the head of its caller's line.
void requeue(core::State& state, OpenRequest& request) {
  FrontQueue& queue = state.request.queues[request.server];
  request.stage = Stage::kQueued;
  queue.waiting[request.head.caller].push_front(request.id);
  ++queue.size;
}

void release_occupancy(core::State& state, const OpenRequest& request,
                       const AttemptResult& result) {
  if (std::holds_alternative<AttemptUnknown>(result)) {
    abandon_occupancy(state, request);
    return;
  }
  state.request.queues[request.server].occupied.erase(request.attempt);
}

/// Weight of one answer in the moving average of the time a server takes.
constexpr int kWorkWeight = 8;

void note_work(core::State& state, const OpenRequest& request,
               const AttemptResult& result, Now now) {
  if (!std::holds_alternative<AttemptAnswered>(result)) return;
  Duration& mean = state.request.queues[request.server].mean_work;
  mean += (now.mono - request.sent_at - mean) / kWorkWeight;
}

bool pauses_queue(Reason reason) {
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
      !make_room(state, queue, request.head.caller, limit, now, effects)) {
    refuse_full(state, request, queue, now, effects);
    return;
  }
  if (request.stage == Stage::kHeld) --state.request.held;
  request.stage = Stage::kQueued;
  request.server = server;
  queue.waiting[request.head.caller].push_back(request.id);
  ++queue.size;
  count_load(queue.load, request.slot, request.key, now);
  if (!want_intent(state, request)) {
    end_refused(state, request, {.reason = Reason::kRepeatInProgress}, now,
                effects);
    return;
  }
  pump(state, entry->first, now, effects);
}

void remove_queued(core::State& state, const OpenRequest& request) {
  FrontQueue& queue = state.request.queues[request.server];
  auto line = queue.waiting.find(request.head.caller);
  if (line == queue.waiting.end()) return;
  queue.size -=
      static_cast<std::uint32_t>(std::erase(line->second, request.id));
  if (line->second.empty()) queue.waiting.erase(line);
}

void pump(core::State& state, const ServerName& server, Now now,
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
    send_away(state, scan.gone, now, effects);
    bool free = queue.occupied.size() < concurrency;
    if (!scan.next || !free || now.mono < queue.paused_until) return;
    send_to_server(state, queue, state.request.open.at(*scan.next), server,
                   scan.check, now, effects);
  }
}

void pump_all(core::State& state, Now now, Effects& effects) {
  for (auto& [server, queue] : state.request.queues) {
    if (queue.size > 0) pump(state, server, now, effects);
  }
}

void on_server_attempt_ended(core::State& state, OpenRequest& request,
                             const AttemptResult& result, Now now,
                             Effects& effects) {
  ServerName server = request.server;
  release_occupancy(state, request, result);
  note_work(state, request, result, now);
  note_suspect(state, request, result, now);
  if (std::holds_alternative<AttemptAnswered>(result)) {
    end_answered(state, request, std::get<AttemptAnswered>(result), now,
                 effects);
  } else if (const auto* not_run = std::get_if<AttemptNotRun>(&result)) {
    if (pauses_queue(not_run->reason)) {
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
  pump(state, server, now, effects);
}

void abandon_occupancy(core::State& state, const OpenRequest& request) {
  auto& occupied = state.request.queues[request.server].occupied;
  auto it = occupied.find(request.attempt);
  if (it == occupied.end()) return;
  it->second.until =
      it->second.sent_at + execution_limit(state, request.head.service);
}

void expire_occupancies(core::State& state, Now now) {
  for (auto& [server, queue] : state.request.queues) {
    age_load(queue.load, now);
    std::erase_if(queue.occupied, [&](const auto& item) {
      return item.second.until && now.mono >= *item.second.until;
    });
  }
}

std::uint32_t running(const core::State& state, const ServerName& server,
                      SlotId slot, const Key& key) {
  auto it = state.request.queues.find(server);
  if (it == state.request.queues.end()) return 0;
  return static_cast<std::uint32_t>(
      std::count_if(it->second.occupied.begin(), it->second.occupied.end(),
                    [&](const auto& item) {
                      const Occupancy& occupancy = item.second;
                      if (!key.empty()) return occupancy.key == key;
                      return occupancy.slot == slot && !occupancy.carved_out;
                    }));
}

std::uint32_t running(const core::State& state, const ServerName& server) {
  auto it = state.request.queues.find(server);
  return it == state.request.queues.end()
             ? 0
             : static_cast<std::uint32_t>(it->second.occupied.size());
}

std::uint32_t queued(const core::State& state, const ServerName& server) {
  auto it = state.request.queues.find(server);
  return it == state.request.queues.end() ? 0 : it->second.size;
}

}  // namespace eelgrasspin::core::request
