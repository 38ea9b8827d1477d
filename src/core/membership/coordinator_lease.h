#ifndef EELGRASSPIN_CORE_MEMBERSHIP_COORDINATOR_LEASE_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_COORDINATOR_LEASE_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

/// Coordinator leases: observing, claiming, renewing and releasing them.
namespace eelgrasspin::core::membership {

void step_leases(core::State& state, const Event& event, Now now,
                 Effects& effects);

/// Notes the sending time of an answered message to the store or coordinator.
void note_evidence(ZoneLease& lease, TimePoint sent);

/// Notes that the store showed a zone's lease and roster in answer to a call
/// sent at `sent`.
void note_zone_read(core::State& state, const ZoneName& zone, TimePoint sent,
                    Now now);

/// Whether nothing was heard from a zone's coordinator for
/// config::kCoordinatorTimeout.
bool coordinator_is_silent(const core::State& state, const ZoneName& zone,
                           Now now);

/// Gives a held lease up with the next write.
void release_lease(core::State& state, const ZoneName& zone);

/// A zone's lease as observed; null if it never was.
const ZoneLease* observed_lease(const core::State& state, const ZoneName& zone);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_COORDINATOR_LEASE_H_
