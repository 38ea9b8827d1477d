#ifndef EELGRASSPIN_CORE_OWNERSHIP_COORDINATOR_H_
#define EELGRASSPIN_CORE_OWNERSHIP_COORDINATOR_H_

#include "core/effect.h"
#include "core/ownership/map_edit.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// Decisions of an availability zone's coordinator on the ownership maps. Each
/// depends only on the stored records and the fronts' reports, so that a later
/// coordinator can continue after any step.
namespace eelgrasspin::core::ownership {

/// Takes the next steps for every service in the zones that this daemon
/// coordinates.
void coordinate(core::State& state, Now now, Effects& effects);

/// Whether the owner of an unsettled unit provably runs no request of the unit
/// any more and cannot start one.
bool is_revoked(const MapEdit& edit, const Unit& unit,
                const UnsettledUnit& unsettled);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_COORDINATOR_H_
