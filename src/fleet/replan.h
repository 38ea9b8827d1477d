#ifndef EELGRASSPIN_FLEET_REPLAN_H_
#define EELGRASSPIN_FLEET_REPLAN_H_

#include "fleet/state.h"

/// Changes that a coordinator makes to its map.
namespace eelgrasspin::fleet {

/// The first map of a service; empty while it has no servers.
std::optional<OwnerMap> first_map(const State& state,
                                  const ServiceName& service, TimePoint now);
/// The same owners under a new coordinator and a new epoch.
OwnerMap take_over_map(const State& state, const OwnerMap& map);
/// The map with every change that is due now; empty if none is.
std::optional<OwnerMap> replan(const State& state, const ServiceName& service,
                               MapState& map, TimePoint now, Effects& effects);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REPLAN_H_
