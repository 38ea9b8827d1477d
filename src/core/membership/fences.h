#ifndef EELGRASSPIN_CORE_MEMBERSHIP_FENCES_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_FENCES_H_

#include "core/state.h"

/// Operators' fences: the word that certain silent runs of daemons are dead.
namespace eelgrasspin::core::membership {

/// Follows the fence commands in the cache. A run that is heard after the
/// command became known is not fenced by it.
void step_fences(core::State& state, Now now);

/// Whether a fence under way names this run of a daemon.
bool is_fenced(const core::State& state, const DaemonName& daemon,
               Incarnation incarnation);

/// Whether a fence of this zone is under way.
bool zone_is_fenced(const core::State& state, const ZoneName& zone);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_FENCES_H_
