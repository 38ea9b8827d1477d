#ifndef EELGRASSPIN_CORE_MEMBERSHIP_COORDINATOR_LEASE_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_COORDINATOR_LEASE_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

/// Coordinator leases: observing, claiming, renewing and releasing them.
namespace eelgrasspin::core::membership {

void step_leases(core::State& state, const Event& event, Now now,
                 Effects& effects);

/// Records that an answer to a message sent at `sent`, to the store or the
/// coordinator, confirmed this daemon's membership.
void confirm_membership(ObservedLease& lease, TimePoint sent);

/// Records that a store call sent at `sent` returned a zone's lease and roster.
void on_zone_read(core::State& state, const ZoneName& zone, TimePoint sent,
                  Now now);

/// Whether no message from a zone's coordinator has arrived for
/// config::kCoordinatorTimeout.
bool coordinator_timed_out(const core::State& state, const ZoneName& zone,
                           Now now);

/// Releases a held lease with the next write.
void release_lease(core::State& state, const ZoneName& zone);

/// This daemon's view of a zone's lease; null if it never observed one.
const ObservedLease* observed_lease(const core::State& state,
                                    const ZoneName& zone);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_COORDINATOR_LEASE_H_
