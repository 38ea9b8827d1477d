#include "core/operator/commands.h"

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "core/membership/membership.h"
#include "core/operator/report.h"
#include "core/ownership/ownership.h"
#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::operators {
namespace {

/// Final state and result of a command; empty while it is not finished or if
/// another daemon is responsible for it.
using Completion = std::optional<std::pair<CommandState, std::string>>;

Completion done(std::string result) {
  return std::pair{CommandState::kDone, std::move(result)};
}
Completion refused(std::string reason) {
  return std::pair{CommandState::kRefused, std::move(reason)};
}
Completion lost_to_conflict(std::string reason) {
  return std::pair{CommandState::kLostToConflict, std::move(reason)};
}

bool is_finished(const CommandRecord& record) {
  return record.state != CommandState::kPending &&
         record.state != CommandState::kRunning;
}

bool is_coordinator(const core::State& state, Now now) {
  return !membership::coordinated_zones(state, now).empty();
}

/// The checks return the error text, or nothing if there is no error.
std::optional<std::string> check_server(const core::State& state,
                                        const ServerName& server) {
  if (server_declaration(state.cache, server) != nullptr) return std::nullopt;
  return "no server " + server.str() + " is declared";
}

std::optional<std::string> check_service(const core::State& state,
                                         const ServiceName& service) {
  if (service_declaration(state.cache, service) != nullptr) return std::nullopt;
  return "no service " + service.str() + " is declared";
}

std::optional<std::string> check_zone(const core::State& state,
                                      const ZoneName& zone) {
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared != nullptr && all_declared->zones.contains(zone))
    return std::nullopt;
  return "no zone " + zone.str() + " is declared";
}

std::optional<std::string> check_move(const core::State& state,
                                      const MoveCommand& move) {
  const ServiceDeclaration* service =
      service_declaration(state.cache, move.service);
  if (service == nullptr) return check_service(state, move.service);
  if (move.slot && move.slot->value >= service->key_slots) {
    return "service " + move.service.str() + " has slots 0 to " +
           std::to_string(service->key_slots - 1);
  }
  if (!move.zone.empty()) return check_zone(state, move.zone);
  if (auto problem = check_server(state, move.server)) return problem;
  if (server_declaration(state.cache, move.server)->service != move.service) {
    return "server " + move.server.str() + " does not serve " +
           move.service.str();
  }
  return std::nullopt;
}

std::optional<std::string> check_daemon(const core::State& state,
                                        const DaemonName& daemon) {
  bool found = false;
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* zone_roster = std::get_if<ZoneRoster>(&entry.record);
        if (zone_roster == nullptr) return;
        found = found || std::any_of(zone_roster->members.begin(),
                                     zone_roster->members.end(),
                                     [&](const RosterMember& member) {
                                       return member.daemon == daemon;
                                     });
      });
  if (found) return std::nullopt;
  return "no daemon " + daemon.str() + " is on a roster";
}

/// Checks that the names in a command are known.
std::optional<std::string> check_names(const core::State& state,
                                       const Command& command) {
  if (const auto* move = std::get_if<MoveCommand>(&command))
    return check_move(state, *move);
  if (const auto* drain = std::get_if<DrainCommand>(&command))
    return check_server(state, drain->server);
  if (const auto* undrain = std::get_if<UndrainCommand>(&command))
    return check_server(state, undrain->server);
  if (const auto* close = std::get_if<CloseCommand>(&command))
    return check_service(state, close->service);
  if (const auto* cancel = std::get_if<CancelClosureCommand>(&command))
    return check_service(state, cancel->service);
  if (const auto* stop = std::get_if<StopDaemonCommand>(&command))
    return check_daemon(state, stop->daemon);
  if (const auto* fence = std::get_if<FenceCommand>(&command)) {
    return fence->zone.empty() ? check_daemon(state, fence->daemon)
                               : check_zone(state, fence->zone);
  }
  return std::nullopt;
}

void reply(Effects& effects, OperatorCallId call, const CommandId& id,
           std::string message, std::optional<Error> error = std::nullopt) {
  CommandAnswer answer;
  answer.command = id;
  answer.message = std::move(message);
  answer.error = std::move(error);
  effects.push_back(ReplyOperator{call, std::move(answer)});
}

void reply_state(Effects& effects, OperatorCallId call,
                 const CommandRecord& record) {
  std::optional<Error> error;
  if (record.state == CommandState::kRefused)
    error = Error{ErrorCode::kRefused, record.result};
  if (record.state == CommandState::kLostToConflict)
    error = Error{ErrorCode::kConflict, record.result};
  std::string message = is_finished(record) ? record.result : "accepted";
  reply(effects, call, record.id, std::move(message), std::move(error));
}

Completion execute_move(core::State& state, const CommandRecord& record,
                        const MoveCommand& move, Now now, Effects& effects) {
  Result<std::string> result = ownership::order_move(state, move, now, effects);
  if (ok(result)) {
    if (value(result) == "done") return done("moved");
    return std::nullopt;
  }
  const Error& failure = error(result);
  if (failure.code == ErrorCode::kUnavailable) return std::nullopt;
  if (failure.code == ErrorCode::kConflict)
    return lost_to_conflict(failure.message);
  (void)record;
  return refused(failure.message);
}

Completion execute_drain(core::State& state, const CommandRecord& record,
                         const DrainCommand& drain, Now now, Effects& effects) {
  const ServerDeclaration* server =
      server_declaration(state.cache, drain.server);
  if (server == nullptr) return refused("the server is no longer declared");
  if (!membership::coordinates(state, server->zone, now)) return std::nullopt;
  StoreKey key = drain_key(drain.server);
  const auto* plan = find<DrainPlan>(state.cache, key);
  if (plan != nullptr && plan->id == record.id.str())
    return done("drain ordered");
  if (plan != nullptr && !plan->cancelled)
    return lost_to_conflict("already draining by command " + plan->id);
  if (write_pending(state, key)) return std::nullopt;
  DrainPlan new_plan{.id = record.id.str(),
                     .server = drain.server,
                     .ordered_by = record.ordered_by,
                     .ordered = record.ordered,
                     .within = drain.within,
                     .write_id = new_write_id(state)};
  start_write(state, key, version_of(state.cache, key), new_plan, now, effects);
  core::record(state,
               {.kind = TimelineKind::kDrainStarted,
                .server = drain.server,
                .cause = record.id.str()},
               now, effects);
  return std::nullopt;
}

Completion execute_undrain(core::State& state, const UndrainCommand& undrain,
                           Now now, Effects& effects) {
  const ServerDeclaration* server =
      server_declaration(state.cache, undrain.server);
  if (server == nullptr) return refused("the server is no longer declared");
  if (!membership::coordinates(state, server->zone, now)) return std::nullopt;
  StoreKey key = drain_key(undrain.server);
  const auto* plan = find<DrainPlan>(state.cache, key);
  if (plan == nullptr || plan->cancelled) {
    membership::set_server_status(state, undrain.server, ServerStatus::kActive);
    return done("the server takes slots again");
  }
  if (write_pending(state, key)) return std::nullopt;
  DrainPlan cancelled = *plan;
  cancelled.cancelled = true;
  cancelled.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), cancelled, now,
              effects);
  return std::nullopt;
}

Completion execute_close(core::State& state, const CommandRecord& record,
                         const CloseCommand& close, Now now, Effects& effects) {
  if (!is_coordinator(state, now)) return std::nullopt;
  StoreKey key = closure_key(close.service);
  const auto* closure = find<Closure>(state.cache, key);
  if (closure != nullptr && closure->id == record.id.str())
    return done("closure announced");
  if (closure != nullptr && closure->step != ClosureStep::kCancelled) {
    return lost_to_conflict(
        "command " + closure->id + " of " + closure->ordered_by.str() +
        " already closes it, now " + std::string(to_string(closure->step)));
  }
  if (write_pending(state, key)) return std::nullopt;
  Closure announced{.service = close.service,
                    .id = record.id.str(),
                    .ordered_by = record.ordered_by,
                    .reason = close.reason,
                    .ordered = record.ordered,
                    .deadline = record.ordered + close.deadline,
                    .write_id = new_write_id(state)};
  start_write(state, key, version_of(state.cache, key), announced, now,
              effects);
  return std::nullopt;
}

Completion execute_cancel(core::State& state,
                          const CancelClosureCommand& cancel, Now now,
                          Effects& effects) {
  if (!is_coordinator(state, now)) return std::nullopt;
  StoreKey key = closure_key(cancel.service);
  const auto* closure = find<Closure>(state.cache, key);
  if (closure == nullptr)
    return refused("no closure of the service is under way");
  if (closure->step == ClosureStep::kCancelled)
    return done("closure cancelled");
  if (closure->step == ClosureStep::kSealed)
    return lost_to_conflict("the closure is sealed");
  if (write_pending(state, key)) return std::nullopt;
  Closure cancelled = *closure;
  cancelled.step = ClosureStep::kCancelled;
  cancelled.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), cancelled, now,
              effects);
  return std::nullopt;
}

Completion execute_stop(core::State& state, const CommandRecord& record,
                        const StopDaemonCommand& stop, Now now,
                        Effects& effects) {
  if (stop.daemon != state.self.name) return std::nullopt;
  if (!state.stopping) {
    state.stopping = true;
    core::record(
        state,
        {.kind = TimelineKind::kDaemonStopping, .cause = record.id.str()}, now,
        effects);
  }
  return done("the daemon is stopping");
}

Completion execute(core::State& state, const CommandRecord& record, Now now,
                   Effects& effects) {
  const Command& command = record.command;
  if (const auto* move = std::get_if<MoveCommand>(&command))
    return execute_move(state, record, *move, now, effects);
  if (const auto* drain = std::get_if<DrainCommand>(&command))
    return execute_drain(state, record, *drain, now, effects);
  if (const auto* undrain = std::get_if<UndrainCommand>(&command))
    return execute_undrain(state, *undrain, now, effects);
  if (const auto* close = std::get_if<CloseCommand>(&command))
    return execute_close(state, record, *close, now, effects);
  if (const auto* cancel = std::get_if<CancelClosureCommand>(&command)) {
    return execute_cancel(state, *cancel, now, effects);
  }
  if (const auto* stop = std::get_if<StopDaemonCommand>(&command))
    return execute_stop(state, record, *stop, now, effects);
  return std::nullopt;
}

struct UnfinishedCommand {
  Version version;
  CommandRecord record;
};

/// Unfinished commands, ordered by their version in the store.
std::vector<UnfinishedCommand> unfinished_commands(const core::State& state) {
  std::vector<UnfinishedCommand> unfinished;
  for_each_prefixed(
      state.cache, StoreKey("live/command/"), [&](const StoreEntry& entry) {
        const auto* record = std::get_if<CommandRecord>(&entry.record);
        if (record != nullptr && !is_finished(*record))
          unfinished.push_back({entry.version, *record});
      });
  std::sort(unfinished.begin(), unfinished.end(),
            [](const auto& a, const auto& b) { return a.version < b.version; });
  return unfinished;
}

void finish(core::State& state, const UnfinishedCommand& command,
            const std::pair<CommandState, std::string>& completion, Now now,
            Effects& effects) {
  StoreKey key = command_key(command.record.id);
  if (write_pending(state, key)) return;
  CommandRecord ended = command.record;
  ended.state = completion.first;
  ended.result = completion.second;
  ended.finished = now.wall;
  ended.write_id = new_write_id(state);
  start_write(state, key, command.version, ended, now, effects);
  auto kind = completion.first == CommandState::kDone
                  ? TimelineKind::kCommandFinished
                  : TimelineKind::kCommandRefused;
  core::record(state,
               {.kind = kind, .cause = ended.id.str(), .detail = ended.result},
               now, effects);
}

}  // namespace

std::string target_of(const Command& command, const core::State& state) {
  if (const auto* move = std::get_if<MoveCommand>(&command)) {
    if (move->slot)
      return "unit " + move->service.str() + " " +
             std::to_string(move->slot->value);
    return "key " + move->service.str() + " " + move->key.str();
  }
  (void)state;
  if (const auto* drain = std::get_if<DrainCommand>(&command))
    return "server " + drain->server.str();
  if (const auto* undrain = std::get_if<UndrainCommand>(&command))
    return "server " + undrain->server.str();
  if (const auto* close = std::get_if<CloseCommand>(&command))
    return "closure " + close->service.str();
  if (const auto* cancel = std::get_if<CancelClosureCommand>(&command))
    return "closure " + cancel->service.str();
  return "";
}

void accept_command(core::State& state, const CommandReceived& received,
                    Now now, Effects& effects) {
  StoreKey key = command_key(received.id);
  if (const auto* known = find<CommandRecord>(state.cache, key)) {
    reply_state(effects, received.call, *known);
    return;
  }
  if (auto problem = check_names(state, received.command)) {
    reply(effects, received.call, received.id, *problem,
          Error{ErrorCode::kNotFound, *problem});
    return;
  }
  if (write_pending(state, key)) {
    state.operators.pending_commands.push_back(
        {received.call, key, received.id});
    return;
  }
  CommandRecord record{.id = received.id,
                       .ordered_by = received.operator_name,
                       .ordered = now.wall,
                       .text = received.text,
                       .command = received.command,
                       .base = received.base,
                       .write_id = new_write_id(state)};
  state.operators.pending_commands.push_back({received.call, key, received.id});
  start_write(state, key, Version(0), record, now, effects);
}

void answer_settled_commands(core::State& state, Now now, Effects& effects) {
  auto settled = [&](const PendingCommand& pending) {
    if (settled_write(state, pending.key) == nullptr) return false;
    const auto* record = find<CommandRecord>(state.cache, pending.key);
    if (record == nullptr) {
      reply(effects, pending.call, pending.id, "not recorded",
            Error{ErrorCode::kUnavailable, "the store did not confirm"});
      return true;
    }
    core::record(state,
                 {.kind = TimelineKind::kCommandAccepted,
                  .cause = record->id.str(),
                  .detail = record->text},
                 now, effects);
    reply_state(effects, pending.call, *record);
    return true;
  };
  std::erase_if(state.operators.pending_commands, settled);
}

void execute_commands(core::State& state, Now now, Effects& effects) {
  std::map<std::string, const UnfinishedCommand*> first;
  std::vector<UnfinishedCommand> unfinished = unfinished_commands(state);
  for (const UnfinishedCommand& command : unfinished) {
    std::string target = target_of(command.record.command, state);
    auto [it, is_first] = first.emplace(target, &command);
    if (!target.empty() && !is_first) {
      if (!is_coordinator(state, now)) continue;
      const CommandRecord& earlier = it->second->record;
      finish(
          state, command,
          {CommandState::kLostToConflict,
           "command " + earlier.id.str() + " of " + earlier.ordered_by.str() +
               " came first and is not finished: " + earlier.text},
          now, effects);
      continue;
    }
    if (Completion completion = execute(state, command.record, now, effects))
      finish(state, command, *completion, now, effects);
  }
}

}  // namespace eelgrasspin::core::operators
