#ifndef EELGRASSPIN_CORE_REQUEST_ENTRY_H_
#define EELGRASSPIN_CORE_REQUEST_ENTRY_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Admission of requests, the way to their owner, and what follows an attempt.
namespace eelgrasspin::core::request {

void on_arrived(core::State& state, const RequestArrived& arrived, Now now,
                Effects& effects);

/// Sends a held request on its way if its key has a usable owner.
void dispatch(core::State& state, OpenRequest& request, Now now,
              Effects& effects);

/// Looks again at held requests: all of them after a change of routes, else
/// those whose pause is over.
void dispatch_held(core::State& state, bool routes_changed, Now now,
                   Effects& effects);

/// Takes the end of an attempt through another daemon.
void on_front_attempt_ended(core::State& state, OpenRequest& request,
                            const AttemptResult& result, Now now,
                            Effects& effects);

/// An attempt provably did not run. The request is not in a queue any more.
void on_not_run(core::State& state, OpenRequest& request,
                const AttemptNotRun& result, Now now, Effects& effects);

/// An attempt was sent and its answer was not seen.
void on_unknown(core::State& state, OpenRequest& request,
                const AttemptUnknown& result, Now now, Effects& effects);

/// Ends requests whose deadline has passed.
void expire_requests(core::State& state, Now now, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_ENTRY_H_
