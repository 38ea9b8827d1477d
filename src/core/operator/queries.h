#ifndef EELGRASSPIN_CORE_OPERATOR_QUERIES_H_
#define EELGRASSPIN_CORE_OPERATOR_QUERIES_H_

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/command.h"

namespace eelgrasspin::core {
struct State;
}

/// Answers to queries, from this daemon's state.
namespace eelgrasspin::core::operators {

/// This daemon's rows of a subject, before conditions and limits are applied.
Table table_of(const core::State& state, Subject subject, Now now);

/// Whether the rows of a subject are spread over all daemons.
bool needs_all_daemons(Subject subject);

/// Applies the conditions and the limit of a show command to the rows. The
/// answer is an error if a condition names an unknown column.
CommandAnswer finish_show(const ShowCommand& show, Table table, Now now);

/// Owner of a key; an error if the service is not declared.
CommandAnswer answer_owner(const core::State& state, const OwnerCommand& owner);
/// Progress of a service's closure by zone; an error if it has none.
CommandAnswer answer_closure(const core::State& state,
                             const ShowClosureCommand& show);

std::string_view to_string(Subject subject);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_QUERIES_H_
