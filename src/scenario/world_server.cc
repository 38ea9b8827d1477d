#include <algorithm>
#include <memory>
#include <utility>

#include "scenario/world_p.h"

namespace eelgrasspin::scenario {
namespace {

/// Runs `action` on a server now, or after a freeze. Drops it if this
/// incarnation of the server has ended.
void deliver_to_server(World& world, const ServerName& name,
                       std::uint64_t incarnation, Action action) {
  Server& server = world.servers.at(name);
  if (!server.alive || server.incarnation != incarnation) return;
  if (server.frozen) {
    server.deferred_actions.push_back(std::move(action));
    return;
  }
  action(world);
}

/// Whether a request runs whose unit has been revoked.
bool has_running_without_grant(const World& world, const Server& server) {
  return std::any_of(
      server.running.begin(), server.running.end(), [&](const auto& entry) {
        const Execution& execution = world.executions[entry.second.execution];
        return !server.granted_units.contains(
                   {execution.slot, Key(), execution.epoch}) &&
               !server.granted_units.contains(
                   {execution.slot, execution.key, execution.epoch});
      });
}

void apply_grant_set(Server& server, const core::SendGrant& effect) {
  const GrantOrder& order = effect.order;
  if (!order.carries_set || order.set_version <= server.set_version) return;
  server.set_version = order.set_version;
  server.granted_units = {order.slots.begin(), order.slots.end()};
}

GrantReply apply_grant_order(World& world, Server& server,
                             const core::SendGrant& effect) {
  const GrantOrder& order = effect.order;
  if (order.front_epoch < server.highest_epoch && world.servers_fence)
    return GrantStale{server.highest_epoch};
  if (order.front_epoch != server.highest_epoch) {
    server.highest_epoch = std::max(server.highest_epoch, order.front_epoch);
    server.answer_times.clear();
    server.set_version = 0;
    server.applied_set_version = 0;
  }
  GrantAnswer answer{.incarnation = Incarnation(server.incarnation),
                     .front_epoch = order.front_epoch};
  if (order.want_inventory && world.now < server.grant_expiry) {
    answer.inventory = {server.granted_units.begin(),
                        server.granted_units.end()};
  }
  apply_grant_set(server, effect);
  auto echoed = server.answer_times.find(order.echo);
  if (echoed != server.answer_times.end())
    server.grant_expiry =
        std::max(server.grant_expiry, echoed->second + order.term);
  if (!has_running_without_grant(world, server))
    server.applied_set_version = server.set_version;
  server.answer_times[order.sequence] = world.now;
  answer.sequence = order.sequence;
  answer.set_version = server.set_version;
  answer.applied_set_version = server.applied_set_version;
  answer.running = static_cast<std::uint32_t>(server.running.size());
  return answer;
}

bool has_grant(const World& world, const Server& server,
               const core::SendToServer& effect) {
  if (!server.declaration.checks_grants) return true;
  if (effect.front_epoch < server.highest_epoch && world.servers_fence)
    return false;
  if (world.now >= server.grant_expiry) return false;
  return server.granted_units.contains({effect.slot, Key(), effect.epoch}) ||
         server.granted_units.contains({effect.slot, effect.key, effect.epoch});
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
  const ServerRequest& request = running.request;
  const Daemon& front = world.daemons.at(request.front);
  Duration return_latency =
      latency(world, server.declaration.zone, front.state.self.zone);
  if (!reachable(world, server.declaration.zone, front.state.self.zone)) return;
  if (execution.aborted) {
    end_attempt(world, request.front, request.front_generation,
                request.effect.request, request.effect.attempt,
                AttemptUnknown{Reason::kServerFailed}, return_latency);
    return;
  }
  if (front.generation == request.front_generation) {
    world.daemons.at(request.front).answered_serials[request.effect.attempt] =
        request.serial;
  }
  end_attempt(world, request.front, request.front_generation,
              request.effect.request, request.effect.attempt,
              AttemptAnswered{200, 64}, return_latency);
}

void start(World& world, const ServerName& name, const ServerRequest& request) {
  Server& server = world.servers.at(name);
  Duration return_latency =
      latency(world, server.declaration.zone,
              world.daemons.at(request.front).state.self.zone);
  if (!has_grant(world, server, request.effect)) {
    end_attempt(world, request.front, request.front_generation,
                request.effect.request, request.effect.attempt,
                AttemptNotRun{Reason::kGrantRefused}, return_latency);
    return;
  }
  Execution execution{.serial = request.serial,
                      .server = name,
                      .slot = request.effect.slot,
                      .key = request.effect.key,
                      .epoch = request.effect.epoch,
                      .start = world.now};
  check_execution_start(world, execution);
  std::pair<DaemonName, AttemptId> id{request.front, request.effect.attempt};
  server.running[id] = {request, world.executions.size()};
  world.executions.push_back(execution);
  if (server.running.size() > server.declaration.concurrency)
    add_violation(world, "server " + name.str() +
                             " runs more requests than its concurrency");
  if (world.requests.at(request.serial).poison) {
    schedule(world, milliseconds(1),
             [name](World& w) { crash_server(w, name); });
    return;
  }
  std::uint64_t incarnation = server.incarnation;
  schedule(world, server.service_time, [name, incarnation, id](World& w) {
    deliver_to_server(w, name, incarnation, [name, id](World& at_server) {
      finish(at_server, name, id);
    });
  });
}

}  // namespace

void send_grant_order(World& world, const DaemonName& daemon,
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
  Duration one_way = latency(world, zone, server_zone);
  if (!reachable(world, zone, server_zone)) return;
  std::uint64_t incarnation = server.incarnation;
  if (!server.alive) {
    schedule(world, one_way * 2,
             [reply](World& w) { reply(w, GrantUnreachable{true}); });
    return;
  }
  schedule(world, one_way, [=](World& w) {
    deliver_to_server(w, effect.server, incarnation, [=](World& at_server) {
      GrantReply grant_reply = apply_grant_order(
          at_server, at_server.servers.at(effect.server), effect);
      if (!reachable(at_server, server_zone, zone)) return;
      schedule(at_server, one_way,
               [=](World& at_reply) { reply(at_reply, grant_reply); });
    });
  });
}

void run_on_server(World& world, const DaemonName& daemon,
                   const core::SendToServer& effect, RequestSerial serial) {
  Daemon& front = world.daemons.at(daemon);
  front.server_attempts[effect.attempt] = effect.server;
  const Server& server = world.servers.at(effect.server);
  Duration one_way =
      latency(world, front.state.self.zone, server.declaration.zone);
  ServerRequest request{effect, serial, daemon, front.generation};
  if (!reachable(world, front.state.self.zone, server.declaration.zone)) return;
  if (!server.alive) {
    end_attempt(world, daemon, front.generation, effect.request, effect.attempt,
                AttemptNotRun{Reason::kOwnerUnreachable}, one_way * 2);
    return;
  }
  std::uint64_t incarnation = server.incarnation;
  schedule(world, one_way, [=](World& w) {
    deliver_to_server(w, effect.server, incarnation, [=](World& at_server) {
      start(at_server, effect.server, request);
    });
  });
}

void cancel_on_server(World& world, const ServerName& name,
                      const DaemonName& daemon, AttemptId attempt) {
  const Server& server = world.servers.at(name);
  Duration one_way = latency(world, world.daemons.at(daemon).state.self.zone,
                             server.declaration.zone);
  std::uint64_t incarnation = server.incarnation;
  schedule(world, one_way, [=](World& w) {
    deliver_to_server(w, name, incarnation, [=](World& at_server) {
      auto& running = at_server.servers.at(name).running;
      auto it = running.find({daemon, attempt});
      if (it == running.end()) return;
      Execution& execution = at_server.executions[it->second.execution];
      execution.ended = true;
      execution.aborted = true;
      execution.end = at_server.now;
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
  server.deferred_actions.clear();
  for (const auto& [id, running] : server.running) {
    Execution& execution = world.executions[running.execution];
    execution.ended = true;
    execution.aborted = true;
    execution.end = world.now;
    const ServerRequest& request = running.request;
    end_attempt(world, request.front, request.front_generation,
                request.effect.request, request.effect.attempt,
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
  std::deque<Action> deferred_actions = std::move(server.deferred_actions);
  server.deferred_actions.clear();
  for (const Action& action : deferred_actions) action(world);
}

}  // namespace eelgrasspin::scenario
