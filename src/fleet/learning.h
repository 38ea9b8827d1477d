#ifndef EELGRASSPIN_FLEET_LEARNING_H_
#define EELGRASSPIN_FLEET_LEARNING_H_

#include "fleet/choice.h"
#include "fleet/state.h"

/// What outcomes and latencies teach about servers, and which keys are hot.
namespace eelgrasspin::fleet {

Duration service_time(const State& state, const ServerState& server,
                      TimePoint now);
Candidate candidate_of(const State& state, const ServerState& server,
                       TimePoint now);
/// An answer came this long after the request was sent to a server that then
/// had `load` requests.
void record_latency(State& state, ServerState& server, Duration latency,
                    std::uint32_t load, TimePoint now);
void record_outcome(ServerState& server, bool succeeded, TimePoint now);

void count_key_request(State& state, const ServiceName& service, ShardKey key,
                       TimePoint now);
/// Lets the heat of keys that are no longer asked for fade.
void decay_key_loads(State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LEARNING_H_
