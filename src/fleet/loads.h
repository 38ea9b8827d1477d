#ifndef EELGRASSPIN_FLEET_LOADS_H_
#define EELGRASSPIN_FLEET_LOADS_H_

#include "fleet/state.h"

/// Load of the servers that comes from other daemons. Daemons of the own zone
/// report theirs in heartbeats. For every other zone its relay reports the sum
/// over its daemons, which then replaces what those daemons report directly.
namespace eelgrasspin::fleet {

/// Replaces the loads that `peer` reported before by those of its present
/// heartbeat. They are not counted if a relay reports those of its zone.
void replace_loads(State& state, PeerState& peer,
                   const std::vector<Heartbeat::Load>& before);
/// Subtracts the loads of `peer` from the sums, if they are counted.
void discount_loads(State& state, PeerState& peer);
/// Replaces the loads of a zone by those that its relay reports.
void on_zone_loads(State& state, const HeartbeatBatch& batch, TimePoint now);
/// Subtracts the loads of daemons and zones that have timed out.
void expire_loads(State& state, TimePoint now);

/// Requests of this daemon, and of those of its zone that are alive, at each
/// server; for daemons of other regions only where matters_to_other_regions().
std::vector<Heartbeat::Load> own_zone_loads(const State& state,
                                            bool other_region);
/// Requests of this daemon at each server, chosen likewise.
std::vector<Heartbeat::Load> own_loads(const State& state, bool other_region);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LOADS_H_
