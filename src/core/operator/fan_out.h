#ifndef EELGRASSPIN_CORE_OPERATOR_FAN_OUT_H_
#define EELGRASSPIN_CORE_OPERATOR_FAN_OUT_H_

#include "core/effect.h"
#include "core/event.h"

namespace eelgrasspin::core {
struct State;
}

/// Queries that every daemon answers a part of.
namespace eelgrasspin::core::operators {

/// Asks every daemon on a roster; the answer names those that were not heard in
/// time.
void start_fan_out(core::State& state, const CommandReceived& received,
                   const ShowCommand& show, Now now, Effects& effects);

/// Handles CommandCall and CommandCallAnswer, and ends queries whose time is
/// up.
void step_fan_outs(core::State& state, const Event& event, Now now,
                   Effects& effects);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_FAN_OUT_H_
