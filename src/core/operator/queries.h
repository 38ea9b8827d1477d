#ifndef EELGRASSPIN_CORE_OPERATOR_QUERIES_H_
#define EELGRASSPIN_CORE_OPERATOR_QUERIES_H_

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/command.h"

namespace eelgrasspin::core {
struct State;
}

/// Answers to queries, from what this daemon knows.
namespace eelgrasspin::core::operators {

/// Rows of one subject as this daemon knows them, before conditions and limits.
Table table_of(const core::State& state, Subject subject, Now now);

/// Whether each daemon holds a part of the subject of its own.
bool needs_all_daemons(Subject subject);

/// Rows that meet the conditions of a show command, at most its limit. An
/// unknown column is an error.
CommandAnswer finish_show(const ShowCommand& show, Table table, Now now);

CommandAnswer answer_owner(const core::State& state, const OwnerCommand& owner);
CommandAnswer answer_closure(const core::State& state,
                             const ShowClosureCommand& show);

std::string_view to_string(Subject subject);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_QUERIES_H_
