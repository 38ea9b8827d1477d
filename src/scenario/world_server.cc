#include <algorithm>
#include <memory>
#include <utility>

#include "scenario/world_p.h"

namespace eelgrasspin::scenario {
namespace {

/// Runs `action` on a server now, after its freeze, or never if it has crashed.
void at_server(World& world, const ServerName& name, std::uint64_t incarnation,
               Action action) {
  Server& server = world.servers.at(name);
  if (!server.alive || server.incarnation != incarnation) return;
  if (server.frozen) {
    server.buffered.push_back(std::move(action));
    return;
  }
  action(world);
}

bool has_running_outside(const World& world, const Server& server) {
  return std::any_of(
      server.running.begin(), server.running.end(), [&](const auto& entry) {
        const Execution& execution = world.executions[entry.second.execution];
        return !server.granted.contains(
                   {execution.slot, Key(), execution.epoch}) &&
               !server.granted.contains(
                   {execution.slot, execution.key, execution.epoch});
      });
}

void take_set(Server& server, const core::SendGrant& effect) {
  const GrantOrder& order = effect.order;
  if (!order.carries_set || order.set_version <= server.set_version) return;
  server.set_version = order.set_version;
  server.granted = {order.slots.begin(), order.slots.end()};
}

GrantReply obey(World& world, Server& server, const core::SendGrant& effect) {
  const GrantOrder& order = effect.order;
  if (order.front_epoch < server.highest_epoch && world.servers_fence)
    return GrantStale{server.highest_epoch};
  if (order.front_epoch != server.highest_epoch) {
    server.highest_epoch = std::max(server.highest_epoch, order.front_epoch);
    server.answers.clear();
    server.set_version = 0;
    server.applied_set_version = 0;
  }
  GrantAnswer answer{.incarnation = Incarnation(server.incarnation),
                     .front_epoch = order.front_epoch};
  if (order.want_inventory && world.now < server.expires) {
    answer.inventory = {server.granted.begin(), server.granted.end()};
  }
  take_set(server, effect);
  auto echoed = server.answers.find(order.echo);
  if (echoed != server.answers.end())
    server.expires = std::max(server.expires, echoed->second + order.term);
  if (!has_running_outside(world, server))
    server.applied_set_version = server.set_version;
  server.answers[order.sequence] = world.now;
  answer.sequence = order.sequence;
  answer.set_version = server.set_version;
  answer.applied_set_version = server.applied_set_version;
  answer.running = static_cast<std::uint32_t>(server.running.size());
  return answer;
}

bool granted(const World& world, const Server& server,
             const core::SendToServer& effect) {
  if (!server.declaration.checks_grants) return true;
  if (effect.front_epoch < server.highest_epoch && world.servers_fence)
    return false;
  if (world.now >= server.expires) return false;
  return server.granted.contains({effect.slot, Key(), effect.epoch}) ||
         server.granted.contains({effect.slot, effect.key, effect.epoch});
}

void finish(World& world, const ServerName& name,
            const std::pair<DaemonName, AttemptId>& id) {
  Server& server = world.servers.at(name);
  auto it = server.running.find(id);
  if (it == server.running.end()) return;
  Server::Running running = it->second;
  server.running.erase(it);
  Execution& execution = world.executions[running.execution];
  const ServiceDeclaration& service =
      world.declarations.services.at(server.declaration.service);
  execution.ended = true;
  execution.aborted = world.now > execution.start + service.execution_limit;
  execution.end =
      std::min(world.now, execution.start + service.execution_limit);
  const ServerWork& service_time = running.service_time;
  const Daemon& front = world.daemons.at(service_time.front);
  Duration back =
      latency(world, server.declaration.zone, front.state.self.zone);
  if (!reachable(world, server.declaration.zone, front.state.self.zone)) return;
  if (execution.aborted) {
    end_attempt(world, service_time.front, service_time.front_run,
                service_time.effect.request, service_time.effect.attempt,
                AttemptUnknown{Reason::kServerFailed}, back);
    return;
  }
  if (front.generation == service_time.front_run) {
    world.daemons.at(service_time.front).answers[service_time.effect.attempt] =
        service_time.serial;
  }
  end_attempt(world, service_time.front, service_time.front_run,
              service_time.effect.request, service_time.effect.attempt,
              AttemptAnswered{200, 64}, back);
}

void start(World& world, const ServerName& name,
           const ServerWork& service_time) {
  Server& server = world.servers.at(name);
  Duration back = latency(world, server.declaration.zone,
                          world.daemons.at(service_time.front).state.self.zone);
  if (!granted(world, server, service_time.effect)) {
    end_attempt(world, service_time.front, service_time.front_run,
                service_time.effect.request, service_time.effect.attempt,
                AttemptNotRun{Reason::kGrantRefused}, back);
    return;
  }
  Execution execution{.serial = service_time.serial,
                      .server = name,
                      .slot = service_time.effect.slot,
                      .key = service_time.effect.key,
                      .epoch = service_time.effect.epoch,
                      .start = world.now};
  check_execution_start(world, execution);
  std::pair<DaemonName, AttemptId> id{service_time.front,
                                      service_time.effect.attempt};
  server.running[id] = {service_time, world.executions.size()};
  world.executions.push_back(execution);
  if (server.running.size() > server.declaration.concurrency)
    violate(world, "server " + name.str() + " over its slots");
  if (world.requests.at(service_time.serial).poison) {
    schedule(world, milliseconds(1),
             [name](World& w) { crash_server(w, name); });
    return;
  }
  std::uint64_t incarnation = server.incarnation;
  schedule(world, server.service_time, [name, incarnation, id](World& w) {
    at_server(w, name, incarnation,
              [name, id](World& there) { finish(there, name, id); });
  });
}

}  // namespace

void server_order(World& world, const DaemonName& daemon,
                  const core::SendGrant& effect) {
  std::uint64_t generation = world.daemons.at(daemon).generation;
  ZoneName zone = world.daemons.at(daemon).state.self.zone;
  auto answered = std::make_shared<bool>(false);
  auto reply = [=](World& w, const GrantReply& grant_reply) {
    if (*answered) return;
    *answered = true;
    deliver(w, daemon, generation,
            core::GrantReplied{effect.server, effect.order.front_epoch,
                               effect.order.sequence, grant_reply});
  };
  schedule(world, config::kGrantCallTimeout,
           [reply](World& w) { reply(w, GrantUnreachable{}); });
  const Server& server = world.servers.at(effect.server);
  ZoneName server_zone = server.declaration.zone;
  Duration there = latency(world, zone, server_zone);
  if (!reachable(world, zone, server_zone)) return;
  std::uint64_t incarnation = server.incarnation;
  if (!server.alive) {
    schedule(world, there * 2,
             [reply](World& w) { reply(w, GrantUnreachable{true}); });
    return;
  }
  schedule(world, there, [=](World& w) {
    at_server(w, effect.server, incarnation, [=](World& at) {
      GrantReply grant_reply = obey(at, at.servers.at(effect.server), effect);
      if (!reachable(at, server_zone, zone)) return;
      schedule(at, there, [=](World& back) { reply(back, grant_reply); });
    });
  });
}

void run_on_server(World& world, const DaemonName& daemon,
                   const core::SendToServer& effect, RequestSerial serial) {
  Daemon& front = world.daemons.at(daemon);
  front.at_servers[effect.attempt] = effect.server;
  const Server& server = world.servers.at(effect.server);
  Duration there =
      latency(world, front.state.self.zone, server.declaration.zone);
  ServerWork service_time{effect, serial, daemon, front.generation};
  if (!reachable(world, front.state.self.zone, server.declaration.zone)) return;
  if (!server.alive) {
    end_attempt(world, daemon, front.generation, effect.request, effect.attempt,
                AttemptNotRun{Reason::kOwnerUnreachable}, there * 2);
    return;
  }
  std::uint64_t incarnation = server.incarnation;
  schedule(world, there, [=](World& w) {
    at_server(w, effect.server, incarnation,
              [=](World& at) { start(at, effect.server, service_time); });
  });
}

void server_cancel(World& world, const ServerName& name,
                   const DaemonName& daemon, AttemptId attempt) {
  const Server& server = world.servers.at(name);
  Duration there = latency(world, world.daemons.at(daemon).state.self.zone,
                           server.declaration.zone);
  std::uint64_t incarnation = server.incarnation;
  schedule(world, there, [=](World& w) {
    at_server(w, name, incarnation, [=](World& at) {
      auto& running = at.servers.at(name).running;
      auto it = running.find({daemon, attempt});
      if (it == running.end()) return;
      Execution& execution = at.executions[it->second.execution];
      execution.ended = true;
      execution.aborted = true;
      execution.end = at.now;
      running.erase(it);
    });
  });
}

void crash_server(World& world, const ServerName& name) {
  Server& server = world.servers.at(name);
  if (!server.alive) return;
  server.alive = false;
  server.frozen = false;
  ++server.crashes;
  server.buffered.clear();
  for (const auto& [id, running] : server.running) {
    Execution& execution = world.executions[running.execution];
    execution.ended = true;
    execution.aborted = true;
    execution.end = world.now;
    const ServerWork& service_time = running.service_time;
    end_attempt(world, service_time.front, service_time.front_run,
                service_time.effect.request, service_time.effect.attempt,
                AttemptUnknown{Reason::kConnectionLost, true},
                world.latencies.same_zone);
  }
  server.running.clear();
}

void restart_server(World& world, const ServerName& name) {
  Server& server = world.servers.at(name);
  if (server.alive) crash_server(world, name);
  ServerDeclaration declaration = server.declaration;
  std::uint64_t incarnation = server.incarnation + 1;
  std::uint32_t crashes = server.crashes;
  server = Server{.declaration = declaration,
                  .incarnation = incarnation,
                  .service_time = server.service_time,
                  .crashes = crashes};
}

void freeze_server(World& world, const ServerName& name) {
  world.servers.at(name).frozen = true;
}

void thaw_server(World& world, const ServerName& name) {
  Server& server = world.servers.at(name);
  if (!server.frozen) return;
  server.frozen = false;
  std::deque<Action> buffered = std::move(server.buffered);
  server.buffered.clear();
  for (const Action& action : buffered) action(world);
}

}  // namespace eelgrasspin::scenario
