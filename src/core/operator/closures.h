#ifndef EELGRASSPIN_CORE_OPERATOR_CLOSURES_H_
#define EELGRASSPIN_CORE_OPERATOR_CLOSURES_H_

#include "core/effect.h"
#include "core/event.h"

namespace eelgrasspin::core {
struct State;
}

/// Closing a service: admission stopped, drained, revoked, sealed.
///
/// Closure::step is the last step that every zone has reached. Each zone's
/// coordinator works towards the next one and writes its zone's step into the
/// closure; the write that completes a step for all zones also advances the
/// closure. A zone that has not been heard by the deadline is listed and passed
/// over.
namespace eelgrasspin::core::operators {

void step_closures(core::State& state, const Event& event, Now now,
                   Effects& effects);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_CLOSURES_H_
