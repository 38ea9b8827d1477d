#include "scenario/matrix.h"

#include <array>
#include <iterator>
#include <utility>

namespace eelgrasspin::scenario {
namespace {

constexpr Duration kStartupDuration = seconds(12);
/// From the fault to its repair.
constexpr Duration kFaultDuration = seconds(6);
/// From the repair to the check that every key is served.
constexpr Duration kRecoveryDuration = seconds(25);
constexpr Duration kProbeInterval = milliseconds(100);
constexpr int kProbeKeyCount = 8;
const OperatorName kOperator("operator");

std::string path_of(const eelgrasspin::Operation& operation, int key) {
  std::string path = operation.path;
  path.replace(path.find("{key}"), 5, "probe-" + std::to_string(key));
  return path;
}

/// A daemon that is up and not cut off from the store; `number` varies the
/// choice.
DaemonName serving_daemon(const World& world, std::uint64_t number) {
  for (std::size_t i = 0; i < world.daemons.size(); ++i) {
    auto it = world.daemons.begin();
    std::advance(it, (number + i) % world.daemons.size());
    bool serves =
        it->second.alive && !it->second.paused && !it->second.state.stopping &&
        !world.zones_cut_from_store.contains(it->second.state.self.zone);
    if (serves) return it->first;
  }
  return world.daemons.begin()->first;
}

/// Sends one request of each declared operation through a daemon that is up,
/// and schedules the next round, for the next key.
void send_probes(World& world, std::uint64_t round) {
  for (const auto& [name, service] : world.declarations.services) {
    for (const auto& operation : service.operations) {
      RequestHead head;
      head.service = name;
      head.method = operation.method;
      head.path = path_of(operation, static_cast<int>(round % kProbeKeyCount));
      head.caller = CallerName("prober");
      head.idempotency_key =
          name.str() + "-" + operation.name + "-" + std::to_string(round);
      head.body_hash = round;
      RequestSerial serial =
          send_request(world, serving_daemon(world, round), head);
      world.requests.at(serial).execution_class = operation.execution_class;
    }
  }
  schedule(world, kProbeInterval,
           [round](World& later) { send_probes(later, round + 1); });
}

/// The declared server at position `nth`, modulo the number of servers.
const ServerDeclaration& nth_server(const World& world, std::size_t nth) {
  auto it = world.declarations.servers.begin();
  std::advance(it, nth % world.declarations.servers.size());
  return it->second;
}

void send_operator_command(World& world, const std::string& id,
                           Command command) {
  send_command(world, serving_daemon(world, 1), kOperator, CommandId(id),
               std::move(command));
}

/// Moves a slot of the first server to another server of its zone.
void command_move(World& world) {
  const ServerDeclaration& from = nth_server(world, 0);
  auto it =
      world.store.entries.find(ownership_map_key(from.service, from.zone));
  if (it == world.store.entries.end()) return;
  const auto* map = std::get_if<OwnershipMap>(&it->second.record);
  if (map == nullptr) return;
  for (const auto& [slot, record] : map->slots) {
    if (record.owner != from.name) continue;
    for (const auto& [name, server] : world.declarations.servers) {
      if (name == from.name || server.zone != from.zone) continue;
      if (server.service != from.service) continue;
      send_operator_command(
          world, "move",
          MoveCommand{.service = from.service, .slot = slot, .server = name});
      return;
    }
  }
}

void start_operation(World& world, Operation operation) {
  const ServerDeclaration& server = nth_server(world, 0);
  switch (operation) {
    case Operation::kMove:
      command_move(world);
      return;
    case Operation::kDrain:
      send_operator_command(world, "drain",
                            DrainCommand{.server = server.name});
      return;
    case Operation::kClose:
      send_operator_command(
          world, "close",
          CloseCommand{.service = server.service, .deadline = seconds(20)});
      return;
    case Operation::kServerLoss:
      crash_server(world, server.name);
      return;
    case Operation::kDaemonStop:
      stop_daemon(world, serving_daemon(world, 0));
      return;
    case Operation::kNone:
    case Operation::kCount:
      return;
  }
}

DaemonName coordinator_of(const World& world, const ZoneName& zone) {
  auto it = world.store.entries.find(coordinator_lease_key(zone));
  if (it == world.store.entries.end()) return world.daemons.begin()->first;
  return std::get<CoordinatorLease>(it->second.record).holder;
}

void inject_fault(World& world, Fault fault) {
  const ServerDeclaration& server = nth_server(world, 1);
  DaemonName coordinator = coordinator_of(world, server.zone);
  switch (fault) {
    case Fault::kKillCoordinator:
      kill_daemon(world, coordinator);
      return;
    case Fault::kPauseCoordinator:
      pause_daemon(world, coordinator);
      return;
    case Fault::kKillDaemon:
      kill_daemon(world, serving_daemon(world, 1));
      return;
    case Fault::kStoreDown:
      store_down(world);
      return;
    case Fault::kLostAnswers:
      world.store.answers_to_lose = 5;
      return;
    case Fault::kZoneCut:
      isolate_zone(world, server.zone);
      return;
    case Fault::kServerCrash:
      crash_server(world, server.name);
      return;
    case Fault::kServerFreeze:
      freeze_server(world, server.name);
      return;
    case Fault::kMessageLoss:
      world.message_faults.loss = 0.5;
      return;
    case Fault::kMessageDuplicates:
      world.message_faults.duplicate = 0.5;
      world.message_faults.extra_delay = milliseconds(300);
      return;
    case Fault::kClockJump:
      world.daemons.at(coordinator).clock_offset += seconds(10);
      return;
    case Fault::kNone:
    case Fault::kCount:
      return;
  }
}

/// Ends the faults and restarts what is down. Clock jumps stay.
void repair_all(World& world) {
  store_up(world);
  heal_network(world);
  world.message_faults = {};
  world.store.answers_to_lose = 0;
  for (auto& [name, server] : world.servers) {
    thaw_server(world, name);
    if (!server.alive) restart_server(world, name);
  }
  std::vector<DaemonName> names;
  for (const auto& [name, daemon] : world.daemons) names.push_back(name);
  for (const DaemonName& name : names) {
    resume_daemon(world, name);
    if (!world.daemons.at(name).alive) start_daemon(world, name);
  }
}

/// Whether each path requested from 4 s to 2 s ago got an answer, or a refusal
/// because its service is closed.
bool is_serving(const World& world) {
  std::map<std::pair<ServiceName, std::string>, bool> answered_paths;
  for (const auto& [serial, request] : world.requests) {
    if (request.sent < world.now - seconds(4)) continue;
    if (request.sent > world.now - seconds(2)) continue;
    bool answered = request.outcome == Outcome::kAnswered ||
                    request.reason == Reason::kServiceClosed;
    answered_paths[{request.head.service, request.head.path}] |= answered;
  }
  for (const auto& [key, answered] : answered_paths) {
    if (!answered) return false;
  }
  return !answered_paths.empty();
}

}  // namespace

std::string_view to_string(Operation operation) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "none", "move", "drain", "close", "server loss", "daemon stop"};
  return kNames[static_cast<std::size_t>(operation)];
}

std::string_view to_string(Fault fault) {
  static constexpr std::array<std::string_view, 12> kNames = {
      "none",
      "kill coordinator",
      "pause coordinator",
      "kill daemon",
      "store down",
      "lost answers",
      "zone cut",
      "server crash",
      "server freeze",
      "message loss",
      "late and doubled messages",
      "clock jump"};
  return kNames[static_cast<std::size_t>(fault)];
}

World start_deployment(const Declarations& declarations, std::uint64_t seed) {
  World world = make_world(declarations, seed);
  put_declarations(world, declarations);
  for (const auto& [zone, unused] : declarations.zones) {
    for (const char* number : {"-1", "-2"}) {
      DaemonName name(zone.str() + number);
      add_daemon(world, name, zone);
      start_daemon(world, name);
    }
  }
  run_for(world, kStartupDuration);
  return world;
}

void start_probing(World& world) { send_probes(world, 1); }

CellResult run_cell(const Declarations& declarations, const Cell& cell) {
  World world = start_deployment(declarations, cell.seed);
  send_probes(world, 1);
  run_for(world, seconds(1));
  Duration from = world.now;
  start_operation(world, cell.operation);
  run_for(world, cell.offset);
  inject_fault(world, cell.fault);
  run_for(world, kFaultDuration);
  CellResult result;
  result.longest_gap =
      longest_gap(world, declarations.services.begin()->first, from);
  repair_all(world);
  run_for(world, kRecoveryDuration);
  result.recovered = is_serving(world);
  for (const auto& [call, answer] : world.operator_answers) {
    if (answer.error) result.command_error = answer.error->message;
  }
  result.violations = check_run(world);
  result.totals = count_outcomes(world);
  return result;
}

}  // namespace eelgrasspin::scenario
