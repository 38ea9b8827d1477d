#include "scenario/world.h"

#include <utility>

#include "scenario/world_p.h"

namespace eelgrasspin::scenario {
namespace {

/// Wall-clock time at which the virtual time is 0.
constexpr WallTime kStartWallTime{seconds(1'700'000'000)};

RegionName region_of(const World& world, const ZoneName& zone) {
  auto it = world.declarations.zones.find(zone);
  return it == world.declarations.zones.end() ? RegionName()
                                              : it->second.region;
}

void tick(World& world, const DaemonName& name, std::uint64_t generation) {
  Daemon& daemon = world.daemons.at(name);
  if (!daemon.alive || daemon.generation != generation) return;
  if (!daemon.paused) deliver(world, name, generation, core::Tick{});
  schedule(world, config::kTickInterval,
           [name, generation](World& w) { tick(w, name, generation); });
}

/// Ends the requests that other daemons forwarded to this one, and cancels
/// message it sent to servers and daemons.
void fail_open_requests(World& world, Daemon& daemon) {
  for (const auto& [request, origin] : daemon.origins) {
    end_attempt(world, origin.daemon, origin.generation, origin.request,
                origin.attempt, AttemptUnknown{Reason::kConnectionLost, false},
                config::kPingInterval);
  }
  for (const auto& [attempt, forward] : daemon.forwards)
    cancel_forward(world, forward, daemon.state.self.zone);
  for (const auto& [attempt, server] : daemon.server_attempts)
    cancel_on_server(world, server, daemon.state.self.name, attempt);
  daemon.origins.clear();
  daemon.answered_serials.clear();
  daemon.request_serials.clear();
  daemon.forwards.clear();
  daemon.server_attempts.clear();
}

}  // namespace

World make_world(Declarations declarations, std::uint64_t seed) {
  World world;
  world.random.seed(seed);
  for (const auto& [name, server] : declarations.servers)
    world.servers[name].declaration = server;
  if (!declarations.zones.empty())
    world.latencies.store_zone = declarations.zones.begin()->first;
  world.declarations = std::move(declarations);
  return world;
}

void schedule(World& world, Duration delay, Action action) {
  world.queue.push(
      {world.now + delay, world.next_sequence++, std::move(action)});
}

void run_until(World& world, Duration until) {
  while (!world.queue.empty() && world.queue.top().due_at <= until) {
    ScheduledAction next = world.queue.top();
    world.queue.pop();
    world.now = next.due_at;
    next.action(world);
  }
  world.now = until;
}

void run_for(World& world, Duration span) {
  run_until(world, world.now + span);
}

Duration latency(const World& world, const ZoneName& from, const ZoneName& to) {
  if (from == to) return world.latencies.same_zone;
  return region_of(world, from) == region_of(world, to)
             ? world.latencies.between_zones
             : world.latencies.between_regions;
}

bool reachable(const World& world, const ZoneName& from, const ZoneName& to) {
  return !world.cut_links.contains({from, to});
}

void add_violation(World& world, const std::string& message) {
  world.violations.insert(message + " at " + std::to_string(to_ms(world.now)) +
                          "ms");
}

Endpoint endpoint_of(const DaemonName& daemon) {
  return Endpoint("peer:" + daemon.str());
}

void add_daemon(World& world, const DaemonName& name, const ZoneName& zone,
                core::Guards guards) {
  Daemon& daemon = world.daemons[name];
  daemon.state.guards = guards;
  daemon.state.self = {.name = name,
                       .zone = zone,
                       .region = region_of(world, zone),
                       .address = endpoint_of(name)};
  world.vms[name.str()] = VmState::kLive;
}

void start_daemon(World& world, const DaemonName& name) {
  Daemon& daemon = world.daemons.at(name);
  core::State initial_state;
  initial_state.guards = daemon.state.guards;
  initial_state.self = daemon.state.self;
  initial_state.self.seeds.clear();
  for (const auto& [other, unused] : world.daemons) {
    if (other != name) initial_state.self.seeds.push_back(endpoint_of(other));
  }
  daemon.state = std::move(initial_state);
  daemon.alive = true;
  daemon.paused = false;
  daemon.deferred_events.clear();
  daemon.last_declarations_version = Version(0);
  std::uint64_t generation = ++daemon.generation;
  world.vms[name.str()] = VmState::kLive;
  deliver(world, name, generation,
          core::Started{Incarnation(++world.last_incarnation)});
  schedule(world, config::kTickInterval,
           [name, generation](World& w) { tick(w, name, generation); });
}

void kill_daemon(World& world, const DaemonName& name) {
  Daemon& daemon = world.daemons.at(name);
  if (!daemon.alive) return;
  daemon.alive = false;
  ++daemon.generation;
  fail_open_requests(world, daemon);
  schedule(world, world.vm_list_lag,
           [name, generation = daemon.generation](World& w) {
             if (w.daemons.at(name).generation == generation)
               w.vms[name.str()] = VmState::kGone;
           });
}

void pause_daemon(World& world, const DaemonName& name) {
  world.daemons.at(name).paused = true;
}

void resume_daemon(World& world, const DaemonName& name) {
  Daemon& daemon = world.daemons.at(name);
  if (!daemon.paused) return;
  daemon.paused = false;
  std::deque<core::Event> deferred_events = std::move(daemon.deferred_events);
  daemon.deferred_events.clear();
  for (const core::Event& event : deferred_events)
    deliver(world, name, daemon.generation, event);
}

void stop_daemon(World& world, const DaemonName& name) {
  deliver(world, name, world.daemons.at(name).generation, core::StopOrdered{});
}

Now now_of(const World& world, const Daemon& daemon) {
  return {TimePoint(world.now + daemon.clock_offset),
          kStartWallTime + world.now};
}

void deliver(World& world, const DaemonName& name, std::uint64_t generation,
             const core::Event& event) {
  Daemon& daemon = world.daemons.at(name);
  if (!daemon.alive || daemon.generation != generation) return;
  if (daemon.paused) {
    daemon.deferred_events.push_back(event);
    return;
  }
  core::Effects effects =
      core::reduce(daemon.state, event, now_of(world, daemon));
  check_caches(world, daemon);
  for (const core::Effect& effect : effects)
    execute_effect(world, name, effect);
}

void cut_zones(World& world, const ZoneName& from, const ZoneName& to) {
  world.cut_links.insert({from, to});
}

void isolate_zone(World& world, const ZoneName& zone) {
  for (const auto& [other, unused] : world.declarations.zones) {
    if (other == zone) continue;
    cut_zones(world, zone, other);
    cut_zones(world, other, zone);
  }
  world.zones_cut_from_store.insert(zone);
}

void heal_network(World& world) {
  world.cut_links.clear();
  world.zones_cut_from_store.clear();
}

RequestSerial send_request(World& world, const DaemonName& entry,
                           const RequestHead& head, bool poison) {
  RequestSerial serial = world.next_serial++;
  CallerRequest& request = world.requests[serial];
  request = {.serial = serial,
             .head = head,
             .entry = entry,
             .sent = world.now,
             .poison = poison};
  if (const auto it = world.declarations.services.find(head.service);
      it != world.declarations.services.end()) {
    for (const Operation& operation : it->second.operations) {
      if (operation.method == head.method)
        request.execution_class = operation.execution_class;
    }
  }
  std::uint64_t generation = world.daemons.at(entry).generation;
  schedule(world, world.latencies.caller_to_daemon,
           [entry, generation, serial, head](World& w) {
             Daemon& daemon = w.daemons.at(entry);
             if (!daemon.alive || daemon.generation != generation) return;
             RequestId id(daemon.next_request++);
             daemon.request_serials[id] = serial;
             deliver(w, entry, generation,
                     core::RequestArrived{id, head, FromCaller{}});
           });
  return serial;
}

OperatorCallId send_command(World& world, const DaemonName& name,
                            const OperatorName& operator_name,
                            const CommandId& id, Command command) {
  OperatorCallId call(world.next_operator_call++);
  std::uint64_t generation = world.daemons.at(name).generation;
  deliver(world, name, generation,
          core::CommandReceived{.call = call,
                                .operator_name = operator_name,
                                .id = id,
                                .command = std::move(command)});
  return call;
}

bool store_reachable(const World& world, const ZoneName& zone) {
  return !world.store.down && !world.zones_cut_from_store.contains(zone);
}

}  // namespace eelgrasspin::scenario
