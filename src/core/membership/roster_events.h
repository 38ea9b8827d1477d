#ifndef EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_EVENTS_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_EVENTS_H_

#include "core/effect.h"
#include "core/state.h"

namespace eelgrasspin::core::membership {

/// Puts the changes of a coordinated zone's roster on the time line once they
/// are in the store, and drops reports that they made void.
void note_roster(core::State& state, const ZoneName& zone, Now now,
                 Effects& effects);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_EVENTS_H_
