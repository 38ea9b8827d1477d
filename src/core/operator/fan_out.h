#ifndef EELGRASSPIN_CORE_OPERATOR_FAN_OUT_H_
#define EELGRASSPIN_CORE_OPERATOR_FAN_OUT_H_

#include "core/effect.h"
#include "core/event.h"

namespace eelgrasspin::core {
struct State;
}

/// Queries to which every daemon contributes a part of the answer.
namespace eelgrasspin::core::operators {

/// Sends the query to every daemon on a roster. The answer names those that did
/// not reply within config::kFanOutTimeout.
void start_fan_out(core::State& state, const CommandReceived& received,
                   const ShowCommand& show, Now now, Effects& effects);

/// Handles CommandCall and CommandCallAnswer, and answers queries that are
/// complete or have timed out.
void step_fan_outs(core::State& state, const Event& event, Now now,
                   Effects& effects);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_FAN_OUT_H_
