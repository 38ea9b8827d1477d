#ifndef EELGRASSPIN_CORE_OPERATOR_CLOSURES_H_
#define EELGRASSPIN_CORE_OPERATOR_CLOSURES_H_

#include "core/effect.h"
#include "core/event.h"

namespace eelgrasspin::core {
struct State;
}

/// Closing a service, in steps: admission stopped, drained, revoked, sealed.
///
/// Closure::step is the last step that every zone has reached. Each zone's
/// coordinator works towards the next one and writes its zone's step into the
/// closure; the write that completes a step for all zones also advances the
/// closure. Once the deadline was exceeded by config::kClosureZoneTimeout, a
/// zone whose coordinator has timed out is skipped and listed in
/// Closure::not_reported.
namespace eelgrasspin::core::operators {

/// Advances the closures that are under way.
void step_closures(core::State& state, const Event& event, Now now,
                   Effects& effects);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_CLOSURES_H_
