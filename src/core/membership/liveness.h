#ifndef EELGRASSPIN_CORE_MEMBERSHIP_LIVENESS_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_LIVENESS_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

/// Heartbeats to coordinators, hellos between neighbours, and the evidence of
/// liveness that both provide.
namespace eelgrasspin::core::membership {

void step_liveness(core::State& state, const Event& event, Now now,
                   Effects& effects);

/// What is known of another daemon from its messages; null if it never sent
/// one.
const Peer* find_peer(const core::State& state, const DaemonName& daemon);

const RosterMember* find_member(const std::vector<RosterMember>& members,
                                const DaemonName& daemon);

/// Members of a roster that `self` exchanges hellos with: its nearest
/// neighbours on a ring ordered by name.
std::vector<RosterMember> neighbours(const ZoneRoster& roster,
                                     const DaemonName& self);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_LIVENESS_H_
