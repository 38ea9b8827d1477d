#ifndef EELGRASSPIN_CORE_REQUEST_FRONT_QUEUE_H_
#define EELGRASSPIN_CORE_REQUEST_FRONT_QUEUE_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// The queue that a front keeps for each of its backend servers: bounded, fair
/// between callers, aware of deadlines, and LIFO while more than half full. It
/// never sends more requests than the server runs concurrently.
namespace eelgrasspin::core::request {

/// Queues a request for `server`, or refuses it.
void enqueue(core::State& state, OpenRequest& request, const ServerName& server,
             Now now, Effects& effects);

/// Removes a waiting request from its queue.
void remove_queued(core::State& state, const OpenRequest& request);

/// Sends the waiting requests that `server` can take now, and ends or reroutes
/// those that can no longer be sent to it.
void process_queue(core::State& state, const ServerName& server, Now now,
                   Effects& effects);
void process_all_queues(core::State& state, Now now, Effects& effects);

/// Handles the end of an attempt at a backend server.
void on_server_attempt_ended(core::State& state, OpenRequest& request,
                             const AttemptResult& result, Now now,
                             Effects& effects);

/// Stops waiting for the answer of the request's attempt. It still counts as
/// running at the server until the execution limit has passed.
void abandon_attempt(core::State& state, const OpenRequest& request);

/// Removes abandoned attempts whose execution limit has passed, and decays the
/// load counts.
void expire_abandoned_attempts(core::State& state, Now now);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_FRONT_QUEUE_H_
