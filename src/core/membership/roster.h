#ifndef EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

/// Maintains the rosters of the zones that this daemon coordinates.
namespace eelgrasspin::core::membership {

void step_rosters(core::State& state, const Event& event, Now now,
                  Effects& effects);

/// The roster that the zone should have, given what its coordinator knows.
ZoneRoster plan_roster(const core::State& state, const ZoneName& zone, Now now);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_H_
