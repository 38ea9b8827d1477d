#ifndef EELGRASSPIN_CORE_MEMBERSHIP_FENCES_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_FENCES_H_

#include "core/state.h"

/// Operators' fence commands: declarations that certain unresponsive daemon
/// processes are dead.
namespace eelgrasspin::core::membership {

/// Tracks the fence commands in the cache. An instance that still sends
/// messages after the command became known is not fenced by it.
void step_fences(core::State& state, Now now);

/// Whether an active fence covers this incarnation of a daemon.
bool is_fenced(const core::State& state, const DaemonName& daemon,
               Incarnation incarnation);

/// Whether a fence of this zone is active.
bool zone_is_fenced(const core::State& state, const ZoneName& zone);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_FENCES_H_
