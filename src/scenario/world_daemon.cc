#include <utility>
#include <variant>

#include "scenario/world_p.h"

namespace eelgrasspin::scenario {
namespace {

DaemonName daemon_at(const Endpoint& endpoint) {
  constexpr std::string_view kPrefix = "peer:";
  if (!endpoint.str().starts_with(kPrefix)) return DaemonName();
  return DaemonName(endpoint.str().substr(kPrefix.size()));
}

bool chance(World& world, double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(
                                0, 1)(world.random) < probability;
}

Duration jitter(World& world) {
  Duration bound = world.message_faults.extra_delay;
  if (bound.count() == 0) return bound;
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, bound.count())(world.random));
}

void send_peer(World& world, const DaemonName& from,
               const core::SendPeer& effect) {
  ++world.peer_messages;
  DaemonName to = daemon_at(effect.to);
  auto it = world.daemons.find(to);
  if (it == world.daemons.end()) return;
  ZoneName here = world.daemons.at(from).state.self.zone;
  ZoneName there = it->second.state.self.zone;
  std::uint64_t generation = it->second.generation;
  int copies = chance(world, world.message_faults.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (!reachable(world, here, there) ||
        chance(world, world.message_faults.loss))
      continue;
    schedule(world, latency(world, here, there) + jitter(world),
             [to, generation, message = effect.message](World& w) {
               deliver(w, to, generation, core::PeerReceived{message});
             });
  }
}

void send_to_front(World& world, const DaemonName& from,
                   const core::SendToFront& effect) {
  Daemon& here = world.daemons.at(from);
  DaemonName to = daemon_at(effect.front);
  auto it = world.daemons.find(to);
  ZoneName from_zone = here.state.self.zone;
  auto fail = [&](const AttemptResult& result, Duration after) {
    end_attempt(world, from, here.generation, effect.request, effect.attempt,
                result, after);
  };
  if (it == world.daemons.end() || !it->second.alive) {
    fail(AttemptNotRun{Reason::kOwnerUnreachable},
         latency(world, from_zone, from_zone));
    return;
  }
  ZoneName to_zone = it->second.state.self.zone;
  if (!reachable(world, from_zone, to_zone)) {
    fail(AttemptUnknown{Reason::kConnectionLost},
         config::kPingInterval + config::kPingTimeout);
    return;
  }
  RequestSerial serial = here.serials[effect.request];
  RequestId id(it->second.next_request++);
  here.forwards[effect.attempt] = {to, it->second.generation, id};
  RequestHead head = world.requests.at(serial).head;
  head.time_left = effect.time_left;
  head.hops = 1;
  Daemon::Origin origin{from, here.generation, effect.request, effect.attempt};
  ForwardedFrom forwarded{from, effect.server, effect.slot, effect.epoch};
  schedule(
      world, latency(world, from_zone, to_zone),
      [=, generation = it->second.generation](World& w) {
        Daemon& there = w.daemons.at(to);
        if (!there.alive || there.generation != generation) {
          end_attempt(w, from, origin.generation, effect.request,
                      effect.attempt, AttemptNotRun{Reason::kOwnerUnreachable},
                      config::kPingInterval);
          return;
        }
        there.serials[id] = serial;
        there.origins[id] = origin;
        deliver(w, to, generation, core::RequestArrived{id, head, forwarded});
      });
}

/// Takes the end of a forwarded request back to the daemon that sent it.
void answer_origin(World& world, Daemon& daemon, RequestId request,
                   const AttemptResult& result, RequestSerial answer_of) {
  Daemon::Origin origin = daemon.origins.at(request);
  daemon.origins.erase(request);
  daemon.serials.erase(request);
  Daemon& to = world.daemons.at(origin.daemon);
  ZoneName here = daemon.state.self.zone;
  ZoneName there = to.state.self.zone;
  if (!reachable(world, here, there)) {
    end_attempt(world, origin.daemon, origin.generation, origin.request,
                origin.attempt, AttemptUnknown{Reason::kConnectionLost},
                config::kPingInterval + config::kPingTimeout);
    return;
  }
  if (answer_of != 0 && to.generation == origin.generation)
    to.answers[origin.attempt] = answer_of;
  end_attempt(world, origin.daemon, origin.generation, origin.request,
              origin.attempt, result, latency(world, here, there));
}

void end_caller(World& world, Daemon& daemon, RequestId id, Outcome outcome,
                Reason reason, RequestSerial answer_of) {
  auto it = daemon.serials.find(id);
  if (daemon.cancelled.erase(id) > 0) return;
  if (it == daemon.serials.end()) {
    violate(world, "a request ended twice or was never there");
    return;
  }
  CallerRequest& request = world.requests.at(it->second);
  daemon.serials.erase(it);
  ++request.ends;
  request.outcome = outcome;
  request.reason = reason;
  request.answer_of = answer_of;
  request.ended = world.now + world.latencies.clients;
}

void relay_answer(World& world, Daemon& daemon,
                  const core::RelayAnswer& effect) {
  RequestSerial answer_of = daemon.answers[effect.attempt];
  daemon.answers.erase(effect.attempt);
  if (daemon.origins.contains(effect.request)) {
    answer_origin(world, daemon, effect.request, AttemptAnswered{200, 64},
                  answer_of);
    return;
  }
  end_caller(world, daemon, effect.request, Outcome::kAnswered, Reason::kNone,
             answer_of);
}

void refuse(World& world, Daemon& daemon, const core::RefuseRequest& effect) {
  if (!daemon.origins.contains(effect.request)) {
    end_caller(world, daemon, effect.request, effect.outcome, effect.reason, 0);
    return;
  }
  AttemptResult result = AttemptUnknown{effect.reason};
  if (effect.outcome == Outcome::kNotRun) {
    result =
        AttemptNotRun{effect.reason, effect.retry_after, effect.newer_epoch};
  }
  answer_origin(world, daemon, effect.request, result, 0);
}

void cancel(World& world, Daemon& daemon, const core::CancelAttempt& effect) {
  if (auto it = daemon.at_servers.find(effect.attempt);
      it != daemon.at_servers.end()) {
    server_cancel(world, it->second, daemon.state.self.name, effect.attempt);
    daemon.at_servers.erase(it);
  }
  if (auto it = daemon.forwards.find(effect.attempt);
      it != daemon.forwards.end()) {
    cancel_forward(world, it->second, daemon.state.self.zone);
    daemon.forwards.erase(it);
  }
}

void list_vms(World& world, const DaemonName& name) {
  const Daemon& daemon = world.daemons.at(name);
  ZoneName zone = daemon.state.self.zone;
  schedule(
      world, milliseconds(10),
      [name, zone, generation = daemon.generation](World& w) {
        if (!store_reachable(w, zone)) {
          deliver(w, name, generation,
                  core::VmsListed{Error{ErrorCode::kUnavailable, "no answer"}});
          return;
        }
        std::vector<VmEntry> vms;
        for (const auto& [vm, state] : w.vms) vms.push_back({vm, state});
        deliver(w, name, generation, core::VmsListed{vms});
      });
}

}  // namespace

void end_attempt(World& world, const DaemonName& name, std::uint64_t generation,
                 RequestId request, AttemptId attempt,
                 const AttemptResult& result, Duration delay) {
  schedule(world, delay, [=](World& w) {
    Daemon& daemon = w.daemons.at(name);
    if (daemon.generation != generation) return;
    daemon.forwards.erase(attempt);
    daemon.at_servers.erase(attempt);
    deliver(w, name, generation, core::AttemptEnded{request, attempt, result});
  });
}

void cancel_forward(World& world, const Daemon::Forward& forward,
                    const ZoneName& from) {
  auto it = world.daemons.find(forward.daemon);
  if (it == world.daemons.end()) return;
  ZoneName to = it->second.state.self.zone;
  if (!reachable(world, from, to)) return;
  schedule(world, latency(world, from, to), [forward](World& w) {
    Daemon& daemon = w.daemons.at(forward.daemon);
    if (daemon.generation != forward.generation ||
        !daemon.origins.contains(forward.request))
      return;
    daemon.origins.erase(forward.request);
    daemon.serials.erase(forward.request);
    if (daemon.paused) daemon.cancelled.insert(forward.request);
    deliver(w, forward.daemon, forward.generation,
            core::RequestCancelled{forward.request});
  });
}

void execute(World& world, const DaemonName& name, const core::Effect& effect) {
  Daemon& daemon = world.daemons.at(name);
  std::visit(
      Overloaded{
          [&](const core::StoreGet& e) { store_get(world, name, e); },
          [&](const core::StoreList& e) { store_list(world, name, e); },
          [&](const core::StorePut& e) { store_put(world, name, e); },
          [&](const core::StoreWatch& e) { store_watch(world, name, e); },
          [&](const core::ListVms&) { list_vms(world, name); },
          [&](const core::SendPeer& e) { send_peer(world, name, e); },
          [&](const core::SendGrant& e) { server_order(world, name, e); },
          [&](const core::SendToServer& e) {
            run_on_server(world, name, e, daemon.serials[e.request]);
          },
          [&](const core::SendToFront& e) { send_to_front(world, name, e); },
          [&](const core::CancelAttempt& e) { cancel(world, daemon, e); },
          [&](const core::RelayAnswer& e) { relay_answer(world, daemon, e); },
          [&](const core::RefuseRequest& e) { refuse(world, daemon, e); },
          [&](const core::ReplyOperator& e) {
            world.operator_answers[e.call] = e.answer;
          },
          [&](const core::LogEvent& e) { world.timeline.push_back(e.event); },
          [&](const core::ExitProcess&) {
            daemon.alive = false;
            ++daemon.generation;
          },
      },
      effect);
}

}  // namespace eelgrasspin::scenario
