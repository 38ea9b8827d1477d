#ifndef EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_EVENTS_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_EVENTS_H_

#include "core/effect.h"
#include "core/state.h"

namespace eelgrasspin::core::membership {

/// Records the changes of a coordinated zone's roster on the timeline once they
/// are stored, and drops reports that they make obsolete.
void record_roster_changes(core::State& state, const ZoneName& zone, Now now,
                           Effects& effects);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_ROSTER_EVENTS_H_
