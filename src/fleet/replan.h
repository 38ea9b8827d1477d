#ifndef EELGRASSPIN_FLEET_REPLAN_H_
#define EELGRASSPIN_FLEET_REPLAN_H_

#include "fleet/state.h"

/// Changes that a coordinator makes to its map.
namespace eelgrasspin::fleet {

/// The first map of a service; empty while it has no usable servers or servers
/// are still joining.
std::optional<OwnerMap> first_map(const State& state,
                                  const ServiceName& service, TimePoint now);
/// The map with the same owners, this daemon as coordinator, and a new term and
/// epoch.
OwnerMap take_over_map(const State& state, const MapState& map, TimePoint now);
/// The map of this coordinator as it is written again after the store has lost
/// it: with the same owners and epochs, and a higher term.
OwnerMap map_after_loss(const State& state, const MapState& map, TimePoint now);
/// The map with every change that is due now; empty if none is due.
std::optional<OwnerMap> replan(const State& state, const ServiceName& service,
                               MapState& map, TimePoint now, Effects& effects);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REPLAN_H_
