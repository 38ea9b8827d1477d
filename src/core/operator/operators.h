#ifndef EELGRASSPIN_CORE_OPERATOR_OPERATORS_H_
#define EELGRASSPIN_CORE_OPERATOR_OPERATORS_H_

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

namespace eelgrasspin::core::operators {

/// Handles an event: operators' commands, declarations, closures and accounts.
void step(core::State& state, const Event& event, Now now, Effects& effects);

/// Whether a service has a closure that was not cancelled, so that new requests
/// are refused.
bool admission_stopped(const core::State& state, const ServiceName& service);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_OPERATORS_H_
