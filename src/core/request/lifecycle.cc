#include "core/request/lifecycle.h"

#include "core/request/accounts.h"
#include "core/request/front_queue.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

void leave_stage(core::State& state, OpenRequest& request) {
  if (request.stage == Stage::kHeld) --state.request.held;
  if (request.stage == Stage::kQueued) remove_queued(state, request);
}

void forget(core::State& state, OpenRequest& request) {
  leave_stage(state, request);
  state.request.open.erase(request.id);
}

}  // namespace

OpenRequest* find_open(core::State& state, RequestId id) {
  auto it = state.request.open.find(id);
  return it == state.request.open.end() ? nullptr : &it->second;
}

void end_answered(core::State& state, OpenRequest& request, AttemptId attempt,
                  Now now, Effects& effects) {
  effects.push_back(RelayAnswer{request.id, attempt});
  count_end(state, request, Outcome::kAnswered, Reason::kNone, now);
  forget(state, request);
}

void end_refused(core::State& state, OpenRequest& request, Refusal refusal,
                 Now now, Effects& effects) {
  if (request.maybe_ran) refusal.outcome = Outcome::kUnknown;
  effects.push_back(RefuseRequest{request.id, refusal.outcome, refusal.reason,
                                  refusal.retry_after, refusal.newer_epoch});
  count_end(state, request, refusal.outcome, refusal.reason, now);
  forget(state, request);
}

void end_cancelled(core::State& state, OpenRequest& request, Now now,
                   Effects& effects) {
  bool sent = request.stage == Stage::kAtServer ||
              request.stage == Stage::kAtFront || request.maybe_ran;
  cancel_attempt(state, request, effects);
  count_end(state, request, sent ? Outcome::kUnknown : Outcome::kNotRun,
            Reason::kCancelled, now);
  forget(state, request);
}

void cancel_attempt(core::State& state, OpenRequest& request,
                    Effects& effects) {
  bool under_way =
      request.stage == Stage::kAtServer || request.stage == Stage::kAtFront;
  if (!under_way) return;
  effects.push_back(CancelAttempt{request.id, request.attempt});
  if (request.stage == Stage::kAtServer) abandon_occupancy(state, request);
}

}  // namespace eelgrasspin::core::request
