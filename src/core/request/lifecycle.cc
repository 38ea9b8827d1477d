#include "core/request/lifecycle.h"

#include "core/request/accounts.h"
#include "core/request/front_queue.h"
#include "core/request/intents.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

void leave_stage(core::State& state, OpenRequest& request) {
  if (request.stage == Stage::kHeld) --state.request.held;
  if (request.stage == Stage::kQueued) remove_queued(state, request);
}

void erase_request(core::State& state, OpenRequest& request) {
  leave_stage(state, request);
  state.request.open.erase(request.id);
}

}  // namespace

OpenRequest* find_open(core::State& state, RequestId id) {
  auto it = state.request.open.find(id);
  return it == state.request.open.end() ? nullptr : &it->second;
}

void end_answered(core::State& state, OpenRequest& request,
                  const AttemptAnswered& answer, Now now, Effects& effects) {
  effects.push_back(RelayAnswer{request.id, request.attempt});
  end_intent(state, request, Outcome::kAnswered, answer.status);
  count_end(state, request, Outcome::kAnswered, Reason::kNone, now);
  erase_request(state, request);
}

void end_refused(core::State& state, OpenRequest& request, Refusal refusal,
                 Now now, Effects& effects) {
  if (request.maybe_ran) refusal.outcome = Outcome::kUnknown;
  effects.push_back(RefuseRequest{request.id, refusal.outcome, refusal.reason,
                                  refusal.retry_after, refusal.newer_epoch,
                                  refusal.earlier_status});
  end_intent(state, request, refusal.outcome, 0);
  count_end(state, request, refusal.outcome, refusal.reason, now);
  erase_request(state, request);
}

void end_cancelled(core::State& state, OpenRequest& request, Now now,
                   Effects& effects) {
  bool sent = request.stage == Stage::kAtServer ||
              request.stage == Stage::kAtFront || request.maybe_ran;
  Outcome outcome = sent ? Outcome::kUnknown : Outcome::kNotRun;
  cancel_attempt(state, request, effects);
  end_intent(state, request, outcome, 0);
  count_end(state, request, outcome, Reason::kCancelled, now);
  erase_request(state, request);
}

void cancel_attempt(core::State& state, OpenRequest& request,
                    Effects& effects) {
  bool has_attempt =
      request.stage == Stage::kAtServer || request.stage == Stage::kAtFront;
  if (!has_attempt) return;
  effects.push_back(CancelAttempt{request.id, request.attempt});
  if (request.stage == Stage::kAtServer) abandon_attempt(state, request);
}

}  // namespace eelgrasspin::core::request
