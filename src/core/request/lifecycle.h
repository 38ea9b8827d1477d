#ifndef EELGRASSPIN_CORE_REQUEST_LIFECYCLE_H_
#define EELGRASSPIN_CORE_REQUEST_LIFECYCLE_H_

#include "core/effect.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// The ends of a request. Each function ends it exactly once and makes
/// references to it invalid.
namespace eelgrasspin::core::request {

struct Refusal {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  Duration retry_after{0};
  Epoch newer_epoch;
};

OpenRequest* find_open(core::State& state, RequestId id);

/// Relays the attempt's answer to whoever sent the request.
void end_answered(core::State& state, OpenRequest& request, AttemptId attempt,
                  Now now, Effects& effects);

/// Tells whoever sent the request that it ended without an answer. A request
/// with an earlier attempt of unknown outcome is never told "not run".
void end_refused(core::State& state, OpenRequest& request, Refusal refusal,
                 Now now, Effects& effects);

/// Whoever sent the request has gone: cancels what is under way.
void end_cancelled(core::State& state, OpenRequest& request, Now now,
                   Effects& effects);

/// Gives up on the attempt under way; at a server it counts as running until
/// the service's execution limit has passed.
void cancel_attempt(core::State& state, OpenRequest& request, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LIFECYCLE_H_
