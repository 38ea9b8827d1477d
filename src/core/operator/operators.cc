#include "core/operator/operators.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "core/membership/membership.h"
#include "core/operator/accounts.h"
#include "core/operator/closures.h"
#include "core/operator/commands.h"
#include "core/operator/fan_out.h"
#include "core/operator/queries.h"
#include "core/operator/report.h"
#include "core/state.h"

namespace eelgrasspin::core::operators {
namespace {

void reply_error(Effects& effects, OperatorCallId call, ErrorCode code,
                 const std::string& message) {
  CommandAnswer answer;
  answer.error = Error{code, message};
  answer.message = message;
  effects.push_back(ReplyOperator{call, std::move(answer)});
}

void start_report(core::State& state, OperatorCallId call,
                  const ServiceName& service, Effects& effects) {
  if (find<Closure>(state.cache, closure_key(service)) == nullptr) {
    reply_error(effects, call, ErrorCode::kNotFound,
                "no closure of " + service.str());
    return;
  }
  StoreOpId op = next_store_op(state);
  state.operators.pending_reports[op] = {call, service};
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreList{op, closure_part_key(service, ZoneName())});
}

std::vector<CommandRecord> all_commands(const core::State& state) {
  std::vector<CommandRecord> commands;
  for_each_prefixed(
      state.cache, StoreKey("live/command/"), [&](const StoreEntry& entry) {
        if (const auto* command = std::get_if<CommandRecord>(&entry.record))
          commands.push_back(*command);
      });
  std::sort(commands.begin(), commands.end(),
            [](const auto& a, const auto& b) { return a.ordered < b.ordered; });
  return commands;
}

void on_report_read(core::State& state, const StoreAnswered& answer,
                    Effects& effects) {
  auto it = state.operators.pending_reports.find(answer.op);
  if (it == state.operators.pending_reports.end()) return;
  PendingReport report = it->second;
  state.operators.pending_reports.erase(it);
  const auto* read = std::get_if<StoreRead>(&answer.result);
  const auto* closure = find<Closure>(state.cache, closure_key(report.service));
  if (read == nullptr || closure == nullptr) {
    reply_error(effects, report.call, ErrorCode::kUnavailable,
                "the store did not answer");
    return;
  }
  std::vector<ClosurePart> parts;
  for (const StoreEntry& entry : read->entries) {
    const auto* part = std::get_if<ClosurePart>(&entry.record);
    if (part != nullptr && part->closure == closure->id &&
        closure->part_hashes.contains(part->zone.str())) {
      parts.push_back(*part);
    }
  }
  effects.push_back(ReplyOperator{
      report.call, build_report(*closure, parts, all_commands(state))});
}

void on_show(core::State& state, const CommandReceived& received,
             const ShowCommand& show, Now now, Effects& effects) {
  if (needs_all_daemons(show.subject)) {
    start_fan_out(state, received, show, now, effects);
    return;
  }
  effects.push_back(ReplyOperator{
      received.call,
      finish_show(show, table_of(state, show.subject, now), now)});
}

void on_command(core::State& state, const CommandReceived& received, Now now,
                Effects& effects) {
  ++state.counters[Counter::kCommands];
  const Command& command = received.command;
  if (const auto* show = std::get_if<ShowCommand>(&command)) {
    on_show(state, received, *show, now, effects);
  } else if (const auto* owner = std::get_if<OwnerCommand>(&command)) {
    effects.push_back(
        ReplyOperator{received.call, answer_owner(state, *owner)});
  } else if (const auto* closure = std::get_if<ShowClosureCommand>(&command)) {
    effects.push_back(
        ReplyOperator{received.call, answer_closure(state, *closure)});
  } else if (const auto* report = std::get_if<ReportCommand>(&command)) {
    start_report(state, received.call, report->service, effects);
  } else {
    accept_command(state, received, now, effects);
  }
}

void on_declarations(core::State& state, const DeclarationsReceived& received,
                     Now now, Effects& effects) {
  StoreKey key = declarations_key();
  Version current = version_of(state.cache, key);
  if (received.base != current || write_pending(state, key)) {
    reply_error(effects, received.call, ErrorCode::kConflict,
                "the declarations are at version " +
                    std::to_string(current.value) +
                    ", the change was made against " +
                    std::to_string(received.base.value));
    return;
  }
  DeclarationsRecord record{.declarations = received.declarations,
                            .applied_by = received.operator_name,
                            .applied = now.wall,
                            .write_id = new_write_id(state)};
  state.operators.pending_applies.push_back(
      {received.call, received.operator_name, record.write_id});
  start_write(state, key, current, record, now, effects);
}

void answer_applies(core::State& state, Effects& effects) {
  const SettledWrite* settled = settled_write(state, declarations_key());
  if (settled == nullptr) return;
  for (const PendingApply& apply : state.operators.pending_applies) {
    if (!settled->took_effect) {
      reply_error(effects, apply.call, ErrorCode::kConflict,
                  "another change came first");
      continue;
    }
    CommandAnswer answer;
    answer.version = version_of(state.cache, declarations_key());
    answer.message =
        "accepted as version " + std::to_string(answer.version.value);
    effects.push_back(ReplyOperator{apply.call, std::move(answer)});
  }
  state.operators.pending_applies.clear();
}

/// Deletes the oldest finished command while more than
/// config::kMaxFinishedCommands are in the store.
void trim_commands(core::State& state, Now now, Effects& effects) {
  if (membership::coordinated_zones(state, now).empty()) return;
  std::vector<std::pair<Version, StoreKey>> finished;
  for_each_prefixed(
      state.cache, StoreKey("live/command/"), [&](const StoreEntry& entry) {
        const auto* record = std::get_if<CommandRecord>(&entry.record);
        if (record == nullptr) return;
        if (record->state == CommandState::kPending ||
            record->state == CommandState::kRunning)
          return;
        finished.emplace_back(entry.version, entry.key);
      });
  if (finished.size() <= config::kMaxFinishedCommands) return;
  std::sort(finished.begin(), finished.end());
  const auto& [version, key] = finished.front();
  if (!write_pending(state, key))
    start_write(state, key, version, std::monostate(), now, effects);
}

}  // namespace

void step(core::State& state, const Event& event, Now now, Effects& effects) {
  if (const auto* received = std::get_if<CommandReceived>(&event))
    on_command(state, *received, now, effects);
  if (const auto* received = std::get_if<DeclarationsReceived>(&event))
    on_declarations(state, *received, now, effects);
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_report_read(state, *answer, effects);
  answer_settled_commands(state, now, effects);
  answer_applies(state, effects);
  step_fan_outs(state, event, now, effects);
  step_accounts(state, event, now, effects);
  step_closures(state, event, now, effects);
  if (!std::holds_alternative<Tick>(event)) return;
  execute_commands(state, now, effects);
  trim_commands(state, now, effects);
}

bool admission_stopped(const core::State& state, const ServiceName& service) {
  const auto* closure = find<Closure>(state.cache, closure_key(service));
  return closure != nullptr && closure->step != ClosureStep::kCancelled;
}

}  // namespace eelgrasspin::core::operators
