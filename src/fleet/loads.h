#ifndef EELGRASSPIN_FLEET_LOADS_H_
#define EELGRASSPIN_FLEET_LOADS_H_

#include "fleet/state.h"

/// Requests of the other daemons at the servers. Daemons of the own zone report
/// them one by one; those of each other zone are summed up by its relay, so
/// that the cost of a message does not grow with the daemons of a zone.
namespace eelgrasspin::fleet {

/// Replaces the loads that `peer` reported before by those of its present
/// heartbeat. They are not counted if a relay reports those of its zone.
void replace_loads(State& state, PeerState& peer,
                   const std::vector<Heartbeat::Load>& before);
/// Takes the loads of `peer` out of the sums.
void discount_loads(State& state, PeerState& peer);
/// Replaces the loads of a zone by those that its relay reports.
void on_zone_loads(State& state, const HeartbeatBatch& batch, TimePoint now);
/// Takes out the loads of daemons and zones that have timed out.
void expire_loads(State& state, TimePoint now);

/// Requests of this daemon, and of those of its zone that are alive, at each
/// server; for daemons of other regions only where matters_to_other_regions().
std::vector<Heartbeat::Load> own_zone_loads(const State& state,
                                            bool other_region);
/// Requests of this daemon at each server, chosen likewise.
std::vector<Heartbeat::Load> own_loads(const State& state, bool other_region);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LOADS_H_
