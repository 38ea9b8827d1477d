#ifndef EELGRASSPIN_CORE_MEMBERSHIP_LOST_MEMBERS_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_LOST_MEMBERS_H_

#include "core/state.h"

/// When a daemon counts as lost, and when a lost daemon is known to have
/// stopped.
namespace eelgrasspin::core::membership {

/// Whether a roster member has sent no message for config::kDaemonLostAfter and
/// is to be removed.
bool member_timed_out(const core::State& state, const ZoneName& zone,
                      const RosterMember& member, Now now);

/// Tracks the lost members of a coordinated zone's roster and collects the
/// other members' promises not to answer them.
void track_lost_members(core::State& state, const ZoneName& zone, Now now);

/// Whether this incarnation of a daemon is known to have ended: the daemon has
/// restarted, the VM list shows its VM as gone, or an operator fenced it.
bool instance_has_ended(const core::State& state, const ZoneName& zone,
                        const DaemonName& daemon, Incarnation incarnation);

/// Whether a lost daemon must have stopped renewing grants by the
/// isolated-front rule of may_renew_grants().
bool isolated_front_stopped(const core::State& state, const ZoneName& zone,
                            const DaemonName& daemon, Incarnation incarnation,
                            Now now);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_LOST_MEMBERS_H_
