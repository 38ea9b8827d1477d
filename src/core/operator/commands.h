#ifndef EELGRASSPIN_CORE_OPERATOR_COMMANDS_H_
#define EELGRASSPIN_CORE_OPERATOR_COMMANDS_H_

#include <string>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core {
struct State;
}

/// Operators' commands that change something: each is a record in the store,
/// accepted once it is written, and executed by the daemon responsible for it.
namespace eelgrasspin::core::operators {

/// Checks a command against the declarations and starts to write its record.
/// Answers at once if it is invalid or was recorded before.
void accept_command(core::State& state, const CommandReceived& received,
                    Now now, Effects& effects);

/// Answers the operators of commands whose record writes settled during this
/// event.
void answer_settled_commands(core::State& state, Now now, Effects& effects);

/// Advances each unfinished command for which this daemon is responsible.
void execute_commands(core::State& state, Now now, Effects& effects);

/// The object that a command changes, such as "unit panboard 812"; empty if it
/// conflicts with no other. Unfinished commands with the same target conflict.
std::string target_of(const Command& command, const core::State& state);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_COMMANDS_H_
