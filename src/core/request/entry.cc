#include "core/request/entry.h"

#include <algorithm>
#include <utility>

#include "core/operator/operators.h"
#include "core/ownership/ownership.h"
#include "core/request/accounts.h"
#include "core/request/admission.h"
#include "core/request/front_queue.h"
#include "core/request/lifecycle.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

/// Whether another attempt may succeed after this refusal, at the owner that a
/// newer map names.
bool is_retryable(Reason reason) {
  switch (reason) {
    case Reason::kMoved:
    case Reason::kGrantRefused:
    case Reason::kOwnerUnreachable:
    case Reason::kNoOwner:
    case Reason::kStopping:
      return true;
    default:
      return false;
  }
}

void hold(core::State& state, OpenRequest& request, TimePoint try_after) {
  if (request.stage != Stage::kHeld) ++state.request.held;
  request.stage = Stage::kHeld;
  request.try_after = try_after;
}

Epoch known_epoch(const core::State& state, const OpenRequest& request) {
  const ServiceRoutes* routes =
      find_service(state.request.routing, request.head.service);
  if (routes == nullptr) return Epoch(0);
  Route route = find_route(*routes, request.slot, request.key);
  return route.owner == nullptr ? Epoch(0) : route.owner->epoch;
}

Duration forwarded_time_left(const OpenRequest& request, Now now) {
  Duration left = request.deadline - now.mono;
  return left - std::min<Duration>(config::kForwardMargin, left / 4);
}

void send_to_front(core::State& state, OpenRequest& request, const Owner& owner,
                   const FrontAddress& front, Now now, Effects& effects) {
  --state.request.held;
  request.stage = Stage::kAtFront;
  request.server = owner.server;
  request.attempt = AttemptId(state.request.next_attempt++);
  request.sent_at = now.mono;
  ++request.attempts;
  ++state.counters[Counter::kRequestsForwardedOut];
  effects.push_back(SendToFront{
      request.id, request.attempt, front.endpoint, owner.server, request.slot,
      request.key, owner.epoch, forwarded_time_left(request, now),
      request.execution_class != ExecutionClass::kAtMostOnce});
}

/// Queues a forwarded request if this daemon is the front of its target server
/// and that server owns the key; refuses it otherwise. It is never forwarded
/// again.
void accept_forwarded(core::State& state, OpenRequest& request,
                      const Route& route, const FrontAddress* front, Now now,
                      Effects& effects) {
  bool is_for_this_front = route.owner != nullptr && front != nullptr &&
                           route.owner->server == request.target_server &&
                           front->daemon == state.self.name;
  if (is_for_this_front) {
    enqueue(state, request, request.target_server, now, effects);
    return;
  }
  end_refused(
      state, request,
      {.reason = Reason::kMoved, .newer_epoch = known_epoch(state, request)},
      now, effects);
}

/// Keeps a request held while its key has no usable owner; refuses it if too
/// many are held.
void hold_until_routed(core::State& state, OpenRequest& request, Now now,
                       Effects& effects) {
  if (request.last_refusal == Reason::kNone)
    request.last_refusal = Reason::kNoOwner;
  request.try_after = now.mono + config::kRetryDelay;
  if (state.request.held <= config::kMaxHeldRequests) return;
  end_refused(
      state, request,
      {.reason = Reason::kNoOwner, .retry_after = config::kShedRetryAfter}, now,
      effects);
}

bool may_retry(const OpenRequest& request, const AttemptUnknown& result,
               Now now) {
  return request.from_caller &&
         request.execution_class != ExecutionClass::kAtMostOnce &&
         request.attempts < config::kMaxAttempts && !result.connection_closed &&
         result.reason != Reason::kServerFailed &&
         result.reason != Reason::kTimeoutAfterSend &&
         now.mono < request.deadline;
}

}  // namespace

void on_arrived(core::State& state, const RequestArrived& arrived, Now now,
                Effects& effects) {
  if (state.request.open.contains(arrived.id)) return;
  OpenRequest& request = open_request(state, arrived, now);
  std::optional<Refusal> refusal = check_admission(state, request, now);
  if (refusal) {
    end_refused(state, request, *refusal, now, effects);
    return;
  }
  dispatch(state, request, now, effects);
}

void dispatch(core::State& state, OpenRequest& request, Now now,
              Effects& effects) {
  const ServiceRoutes* routes =
      find_service(state.request.routing, request.head.service);
  Route route = routes == nullptr
                    ? Route()
                    : find_route(*routes, request.slot, request.key);
  const FrontAddress* front =
      route.owner == nullptr
          ? nullptr
          : find_front(state.request.routing, route.owner->server);
  if (!request.from_caller) {
    accept_forwarded(state, request, route, front, now, effects);
    return;
  }
  bool usable = front != nullptr && route.owner->phase == SlotPhase::kOwned;
  if (!usable) {
    hold_until_routed(state, request, now, effects);
  } else if (front->daemon == state.self.name) {
    enqueue(state, request, route.owner->server, now, effects);
  } else {
    send_to_front(state, request, *route.owner, *front, now, effects);
  }
}

void dispatch_held(core::State& state, bool routes_changed, Now now,
                   Effects& effects) {
  if (state.request.held == 0) return;
  std::vector<RequestId> due;
  for (const auto& [id, request] : state.request.open) {
    if (request.stage != Stage::kHeld) continue;
    if (routes_changed || now.mono >= request.try_after) due.push_back(id);
  }
  for (RequestId id : due) {
    OpenRequest* request = find_open(state, id);
    if (request != nullptr && request->stage == Stage::kHeld)
      dispatch(state, *request, now, effects);
  }
}

void on_front_attempt_ended(core::State& state, OpenRequest& request,
                            const AttemptResult& result, Now now,
                            Effects& effects) {
  if (std::holds_alternative<AttemptAnswered>(result)) {
    end_answered(state, request, std::get<AttemptAnswered>(result), now,
                 effects);
  } else if (const auto* not_run = std::get_if<AttemptNotRun>(&result)) {
    on_not_run(state, request, *not_run, now, effects);
  } else {
    on_unknown(state, request, std::get<AttemptUnknown>(result), now, effects);
  }
}

void on_not_run(core::State& state, OpenRequest& request,
                const AttemptNotRun& result, Now now, Effects& effects) {
  if (request.from_caller && is_retryable(result.reason)) {
    request.last_refusal = result.reason;
    hold(state, request, now.mono + config::kRetryDelay);
    return;
  }
  end_refused(state, request,
              {.reason = result.reason,
               .retry_after = result.retry_after,
               .newer_epoch = known_epoch(state, request),
               .earlier_status = result.earlier_status},
              now, effects);
}

void on_unknown(core::State& state, OpenRequest& request,
                const AttemptUnknown& result, Now now, Effects& effects) {
  request.maybe_ran = true;
  bool retryable = may_retry(request, result, now);
  if (retryable && try_spend_retry(state, request)) {
    request.last_refusal = result.reason;
    hold(state, request, now.mono);
    return;
  }
  Reason reason = result.connection_closed ? Reason::kServerFailed
                  : retryable              ? Reason::kRetryBudgetSpent
                                           : result.reason;
  end_refused(state, request, {.outcome = Outcome::kUnknown, .reason = reason},
              now, effects);
}

Refusal expiry_refusal(const OpenRequest& request) {
  switch (request.stage) {
    case Stage::kHeld:
      return {.reason = request.last_refusal};
    case Stage::kWithdrawing:
      return {.reason = Reason::kMoved};
    case Stage::kQueued:
      if (request.intent == IntentPhase::kPending ||
          request.intent == IntentPhase::kSubmitted)
        return {.reason = Reason::kIntentNotRecorded};
      return {.reason = request.last_refusal == Reason::kNone
                            ? Reason::kDeadlinePassed
                            : request.last_refusal};
    case Stage::kAtServer:
    case Stage::kAtFront:
      return {.outcome = Outcome::kUnknown,
              .reason = Reason::kTimeoutAfterSend};
  }
  return {};
}

void expire_requests(core::State& state, Now now, Effects& effects) {
  std::vector<RequestId> due;
  for (const auto& [id, request] : state.request.open) {
    bool is_queued = request.stage == Stage::kQueued;
    if (is_queued && !state.guards.check_queue_deadline) continue;
    if (now.mono >= request.deadline) due.push_back(id);
  }
  for (RequestId id : due) {
    OpenRequest* request = find_open(state, id);
    if (request == nullptr) continue;
    cancel_attempt(state, *request, effects);
    end_refused(state, *request, expiry_refusal(*request), now, effects);
  }
}

}  // namespace eelgrasspin::core::request
