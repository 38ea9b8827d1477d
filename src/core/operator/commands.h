#ifndef EELGRASSPIN_CORE_OPERATOR_COMMANDS_H_
#define EELGRASSPIN_CORE_OPERATOR_COMMANDS_H_

#include <string>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core {
struct State;
}

/// Operators' orders as records in the store: accepted once written, carried
/// out by whoever is responsible.
namespace eelgrasspin::core::operators {

/// Checks an order against the declarations and writes its record, or answers
/// at once.
void accept_order(core::State& state, const CommandReceived& received, Now now,
                  Effects& effects);

/// Answers the operator of each order whose record has been settled.
void answer_settled_orders(core::State& state, Now now, Effects& effects);

/// Takes the next step of each unfinished order that this daemon is responsible
/// for.
void carry_out_orders(core::State& state, Now now, Effects& effects);

/// What an order is about; two unfinished orders about the same thing conflict.
/// "unit panboard 812".
std::string object_of(const Command& command, const core::State& state);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_COMMANDS_H_
