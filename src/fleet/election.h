#ifndef EELGRASSPIN_FLEET_ELECTION_H_
#define EELGRASSPIN_FLEET_ELECTION_H_

#include "fleet/state.h"

/// Election of the coordinator of a service's keys. The store's conditional
/// update decides it; the functions here only choose the candidate, so that few
/// daemons write at the same time.
namespace eelgrasspin::fleet {

/// Whether this daemon should write itself into the map as coordinator.
bool should_take_over(const State& state, const ServiceName& service,
                      const MapState& map, TimePoint now);
/// Whether a later process is known to run in place of the daemon's.
bool has_ended(const State& state, const DaemonIncarnation& daemon);
DaemonIncarnation coordinator_of(const OwnerMap& map);
/// Whether the map names this daemon as its coordinator.
bool coordinates(const State& state, const OwnerMap& map);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_ELECTION_H_
