#include "scenario/matrix.h"

#include <array>
#include <iterator>
#include <utility>

namespace eelgrasspin::scenario {
namespace {

constexpr Duration kStartTime = seconds(12);
constexpr Duration kFaultTime = seconds(6);
constexpr Duration kRepairTime = seconds(25);
constexpr Duration kProbeInterval = milliseconds(100);
constexpr int kProbeKeys = 8;
const OperatorName kOperator("operator");

std::string path_of(const eelgrasspin::Operation& operation, int key) {
  std::string path = operation.path;
  path.replace(path.find("{key}"), 5, "probe-" + std::to_string(key));
  return path;
}

DaemonName live_daemon(const World& world, std::uint64_t number) {
  for (std::size_t i = 0; i < world.daemons.size(); ++i) {
    auto it = world.daemons.begin();
    std::advance(it, (number + i) % world.daemons.size());
    bool serves = it->second.alive && !it->second.paused &&
                  !it->second.state.stopping &&
                  !world.cut_from_store.contains(it->second.state.self.zone);
    if (serves) return it->first;
  }
  return world.daemons.begin()->first;
}

/// Sends one request of each declared operation for the next key, again and
/// again, through daemons that are up.
void probe(World& world, std::uint64_t round) {
  for (const auto& [name, service] : world.declarations.services) {
    for (const auto& operation : service.operations) {
      RequestHead head;
      head.service = name;
      head.method = operation.method;
      head.path = path_of(operation, static_cast<int>(round % kProbeKeys));
      head.caller = CallerName("prober");
      head.idempotency_key =
          name.str() + "-" + operation.name + "-" + std::to_string(round);
      head.body_hash = round;
      RequestSerial serial =
          send_request(world, live_daemon(world, round), head);
      world.requests.at(serial).execution_class = operation.execution_class;
    }
  }
  schedule(world, kProbeInterval,
           [round](World& later) { probe(later, round + 1); });
}

const ServerDeclaration& first_server(const World& world, std::size_t nth) {
  auto it = world.declarations.servers.begin();
  std::advance(it, nth % world.declarations.servers.size());
  return it->second;
}

void order(World& world, const std::string& id, Command command) {
  send_command(world, live_daemon(world, 1), kOperator, CommandId(id),
               std::move(command));
}

/// Moves a slot of the first server to another server of its zone.
void order_move(World& world) {
  const ServerDeclaration& from = first_server(world, 0);
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
      order(world, "move",
            MoveCommand{.service = from.service, .slot = slot, .server = name});
      return;
    }
  }
}

void start_operation(World& world, Operation operation) {
  const ServerDeclaration& server = first_server(world, 0);
  switch (operation) {
    case Operation::kMove:
      order_move(world);
      return;
    case Operation::kDrain:
      order(world, "drain", DrainCommand{.server = server.name});
      return;
    case Operation::kClose:
      order(world, "close",
            CloseCommand{.service = server.service, .deadline = seconds(20)});
      return;
    case Operation::kServerLoss:
      crash_server(world, server.name);
      return;
    case Operation::kDaemonStop:
      stop_daemon(world, live_daemon(world, 0));
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

void inject(World& world, Fault fault) {
  const ServerDeclaration& server = first_server(world, 1);
  DaemonName coordinator = coordinator_of(world, server.zone);
  switch (fault) {
    case Fault::kKillCoordinator:
      kill_daemon(world, coordinator);
      return;
    case Fault::kPauseCoordinator:
      pause_daemon(world, coordinator);
      return;
    case Fault::kKillOther:
      kill_daemon(world, live_daemon(world, 1));
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

void repair(World& world) {
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

/// Whether each key of each open service was answered in the last seconds.
bool is_serving(const World& world) {
  std::map<std::pair<ServiceName, std::string>, bool> served;
  for (const auto& [serial, request] : world.requests) {
    if (request.sent < world.now - seconds(4)) continue;
    if (request.sent > world.now - seconds(2)) continue;
    bool answered = request.outcome == Outcome::kAnswered ||
                    request.reason == Reason::kServiceClosed;
    served[{request.head.service, request.head.path}] |= answered;
  }
  for (const auto& [key, answered] : served) {
    if (!answered) return false;
  }
  return !served.empty();
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
  run_for(world, kStartTime);
  return world;
}

void probe_always(World& world) { probe(world, 1); }

CellResult run_cell(const Declarations& declarations, const Cell& cell) {
  World world = start_deployment(declarations, cell.seed);
  probe(world, 1);
  run_for(world, seconds(1));
  Duration from = world.now;
  start_operation(world, cell.operation);
  run_for(world, cell.offset);
  inject(world, cell.fault);
  run_for(world, kFaultTime);
  CellResult result;
  result.longest_gap =
      longest_gap(world, declarations.services.begin()->first, from);
  repair(world);
  run_for(world, kRepairTime);
  result.recovered = is_serving(world);
  for (const auto& [call, answer] : world.operator_answers) {
    if (answer.error) result.command_error = answer.error->message;
  }
  result.violations = check_run(world);
  result.totals = totals(world);
  return result;
}

}  // namespace eelgrasspin::scenario
