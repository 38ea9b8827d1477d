#ifndef EELGRASSPIN_FLEET_LEARNING_H_
#define EELGRASSPIN_FLEET_LEARNING_H_

#include "fleet/choice.h"
#include "fleet/state.h"

/// Measurements from the outcomes and latencies of requests: service time and
/// success rate of each server, and the load of each key.
namespace eelgrasspin::fleet {

/// Expected time of one request in one slot of the server.
Duration service_time(const State& state, const ServerState& server,
                      TimePoint now);
Candidate candidate_of(const State& state, const ServerState& server,
                       TimePoint now);
/// Records the latency of an answer. `load` is the number of requests that the
/// server had when this one was sent.
void record_latency(State& state, ServerState& server, Duration latency,
                    std::uint32_t load, TimePoint now);
/// Records whether a server served a request successfully.
void record_outcome(ServerState& server, bool succeeded, TimePoint now);

void count_key_request(State& state, const ServiceName& service, ShardKey key,
                       TimePoint now);
/// Decayed request counts of this daemon's keys. `recent`: those with the
/// shorter half-life, scaled so that the same rate gives the same count.
std::map<ShardKey, double> key_request_counts(const State& state,
                                              const ServiceName& service,
                                              bool recent, TimePoint now);
/// Decays the request counts of all keys and drops those near 0.
void decay_key_loads(State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LEARNING_H_
