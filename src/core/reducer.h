#ifndef EELGRASSPIN_CORE_REDUCER_H_
#define EELGRASSPIN_CORE_REDUCER_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {

/// The only entry point of the decision core: applies an event to the state and
/// returns the effects for the shell to carry out.
Effects reduce(State& state, const Event& event, Now now);

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_REDUCER_H_
