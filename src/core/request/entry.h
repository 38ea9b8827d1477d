#ifndef EELGRASSPIN_CORE_REQUEST_ENTRY_H_
#define EELGRASSPIN_CORE_REQUEST_ENTRY_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/lifecycle.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Requests at their entry: admission, routing to the owner's front, and
/// retries.
namespace eelgrasspin::core::request {

/// Admits or refuses a request that a caller or another daemon sent.
void on_arrived(core::State& state, const RequestArrived& arrived, Now now,
                Effects& effects);

/// Routes a held request: queues it if this daemon is the front of the key's
/// owner, else forwards it to the front; it stays held without a usable owner.
/// A forwarded request that is not for a front of this daemon is refused.
void dispatch(core::State& state, OpenRequest& request, Now now,
              Effects& effects);

/// Dispatches held requests again: all of them after a change of routes, else
/// those whose retry pause is over.
void dispatch_held(core::State& state, bool routes_changed, Now now,
                   Effects& effects);

/// Handles the end of an attempt through another daemon.
void on_front_attempt_ended(core::State& state, OpenRequest& request,
                            const AttemptResult& result, Now now,
                            Effects& effects);

/// Handles an attempt that provably did not run: holds the request for another
/// attempt or refuses it. The request must have left its queue.
void on_not_run(core::State& state, OpenRequest& request,
                const AttemptNotRun& result, Now now, Effects& effects);

/// Handles an attempt that was sent and whose outcome is unknown: holds the
/// request for a retry or ends it as unknown.
void on_unknown(core::State& state, OpenRequest& request,
                const AttemptUnknown& result, Now now, Effects& effects);

/// The refusal with which a request ends when its deadline passes now.
Refusal expiry_refusal(const OpenRequest& request);

/// Ends requests whose deadline has passed.
void expire_requests(core::State& state, Now now, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_ENTRY_H_
