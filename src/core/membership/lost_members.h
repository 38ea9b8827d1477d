#ifndef EELGRASSPIN_CORE_MEMBERSHIP_LOST_MEMBERS_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_LOST_MEMBERS_H_

#include "core/state.h"

/// When a daemon counts as lost, and when it is known to have stopped.
namespace eelgrasspin::core::membership {

/// Whether a roster member has been silent for long enough to be removed.
bool is_silent(const core::State& state, const ZoneName& zone,
               const RosterMember& member, Now now);

/// Follows the lost members of a coordinated zone's roster and collects the
/// others' promises not to answer them.
void watch_losses(core::State& state, const ZoneName& zone, Now now);

/// Whether a silent run of a daemon is known to have ended: it started again
/// under its name, the VM list shows its VM gone, or an operator fenced it.
bool has_ended(const core::State& state, const ZoneName& zone,
               const DaemonName& daemon, Incarnation incarnation);

/// Whether a lost daemon must have stopped renewing grants by the lone-front
/// rule.
bool lone_front_stopped(const core::State& state, const ZoneName& zone,
                        const DaemonName& daemon, Incarnation incarnation,
                        Now now);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_LOST_MEMBERS_H_
