#ifndef EELGRASSPIN_CORE_OWNERSHIP_ZONE_MAPS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_ZONE_MAPS_H_

#include "core/effect.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// The zone map of a service: to which availability zone each slot is assigned.
namespace eelgrasspin::core::ownership {

/// Creates the zone map of a declared service if it is absent, and assigns
/// slots that this zone has handed over to their target zones.
void maintain_zone_map(core::State& state, const ServiceZone& service_zone,
                       Now now, Effects& effects);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_ZONE_MAPS_H_
