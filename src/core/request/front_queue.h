#ifndef EELGRASSPIN_CORE_REQUEST_FRONT_QUEUE_H_
#define EELGRASSPIN_CORE_REQUEST_FRONT_QUEUE_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// The queue of the front of one backend server: bounded, fair between callers,
/// aware of deadlines, newest first while more than half full, and never more
/// requests at the server than it runs at once.
namespace eelgrasspin::core::request {

/// Queues a request for `server`, or ends it as refused.
void enqueue(core::State& state, OpenRequest& request, const ServerName& server,
             Now now, Effects& effects);

/// Takes a waiting request out of its queue.
void remove_queued(core::State& state, const OpenRequest& request);

/// Sends what may be sent to `server` now, and ends what cannot be sent any
/// more.
void pump(core::State& state, const ServerName& server, Now now,
          Effects& effects);
void pump_all(core::State& state, Now now, Effects& effects);

/// Takes the end of an attempt at a backend server.
void on_server_attempt_ended(core::State& state, OpenRequest& request,
                             const AttemptResult& result, Now now,
                             Effects& effects);

/// The answer of the request's attempt is no longer awaited; its server may
/// still be working on it until the execution limit has passed.
void abandon_occupancy(core::State& state, const OpenRequest& request);

/// Forgets abandoned attempts whose execution limit has passed.
void expire_occupancies(core::State& state, Now now);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_FRONT_QUEUE_H_
