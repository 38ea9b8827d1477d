#ifndef EELGRASSPIN_CORE_REQUEST_LIFECYCLE_H_
#define EELGRASSPIN_CORE_REQUEST_LIFECYCLE_H_

#include "core/effect.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Ways in which a request ends. Each `end_` function removes the request,
/// which makes references to it invalid.
namespace eelgrasspin::core::request {

/// Why a request ends without an answer of its server.
struct Refusal {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  Duration retry_after{0};
  Epoch newer_epoch;
  std::uint16_t earlier_status = 0;  ///< With kRepeatAnswered only.
};

/// Null if the request has ended.
OpenRequest* find_open(core::State& state, RequestId id);

/// Relays the attempt's answer to the sender of the request.
void end_answered(core::State& state, OpenRequest& request,
                  const AttemptAnswered& answer, Now now, Effects& effects);

/// Notifies the sender that the request ended without an answer. If an earlier
/// attempt had an unknown outcome, the request ends as unknown, never as not
/// run.
void end_refused(core::State& state, OpenRequest& request, Refusal refusal,
                 Now now, Effects& effects);

/// Ends a request whose sender has disconnected, and cancels its attempt.
void end_cancelled(core::State& state, OpenRequest& request, Now now,
                   Effects& effects);

/// Cancels the current attempt, if any. At a server it counts as running until
/// the service's execution limit has passed.
void cancel_attempt(core::State& state, OpenRequest& request, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LIFECYCLE_H_
