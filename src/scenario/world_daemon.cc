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

/// Whether a fault of this probability occurs.
bool draw_fault(World& world, double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(
                                0, 1)(world.random) < probability;
}

Duration draw_extra_delay(World& world) {
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
  ZoneName from_zone = world.daemons.at(from).state.self.zone;
  ZoneName to_zone = it->second.state.self.zone;
  std::uint64_t generation = it->second.generation;
  int copies = draw_fault(world, world.message_faults.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (!reachable(world, from_zone, to_zone) ||
        draw_fault(world, world.message_faults.loss))
      continue;
    schedule(world,
             latency(world, from_zone, to_zone) + draw_extra_delay(world),
             [to, generation, message = effect.message](World& w) {
               deliver(w, to, generation, core::PeerReceived{message});
             });
  }
}

void send_to_front(World& world, const DaemonName& from,
                   const core::SendToFront& effect) {
  Daemon& sender = world.daemons.at(from);
  DaemonName to = daemon_at(effect.front);
  auto it = world.daemons.find(to);
  ZoneName from_zone = sender.state.self.zone;
  auto fail = [&](const AttemptResult& result, Duration delay) {
    end_attempt(world, from, sender.generation, effect.request, effect.attempt,
                result, delay);
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
  RequestSerial serial = sender.request_serials[effect.request];
  RequestId id(it->second.next_request++);
  sender.forwards[effect.attempt] = {to, it->second.generation, id};
  RequestHead head = world.requests.at(serial).head;
  head.time_left = effect.time_left;
  head.hops = 1;
  Daemon::Origin origin{from, sender.generation, effect.request,
                        effect.attempt};
  ForwardedFrom forwarded{from, effect.server, effect.slot, effect.epoch};
  schedule(
      world, latency(world, from_zone, to_zone),
      [=, generation = it->second.generation](World& w) {
        Daemon& front = w.daemons.at(to);
        if (!front.alive || front.generation != generation) {
          end_attempt(w, from, origin.generation, effect.request,
                      effect.attempt, AttemptNotRun{Reason::kOwnerUnreachable},
                      config::kPingInterval);
          return;
        }
        front.request_serials[id] = serial;
        front.origins[id] = origin;
        deliver(w, to, generation, core::RequestArrived{id, head, forwarded});
      });
}

/// Returns the result of a forwarded request to the daemon that sent it.
void answer_origin(World& world, Daemon& daemon, RequestId request,
                   const AttemptResult& result, RequestSerial answered_serial) {
  Daemon::Origin origin = daemon.origins.at(request);
  daemon.origins.erase(request);
  daemon.request_serials.erase(request);
  Daemon& to = world.daemons.at(origin.daemon);
  ZoneName from_zone = daemon.state.self.zone;
  ZoneName to_zone = to.state.self.zone;
  if (!reachable(world, from_zone, to_zone)) {
    end_attempt(world, origin.daemon, origin.generation, origin.request,
                origin.attempt, AttemptUnknown{Reason::kConnectionLost},
                config::kPingInterval + config::kPingTimeout);
    return;
  }
  if (answered_serial != 0 && to.generation == origin.generation)
    to.answered_serials[origin.attempt] = answered_serial;
  end_attempt(world, origin.daemon, origin.generation, origin.request,
              origin.attempt, result, latency(world, from_zone, to_zone));
}

void end_caller_request(World& world, Daemon& daemon, RequestId id,
                        Outcome outcome, Reason reason,
                        RequestSerial answered_serial) {
  auto it = daemon.request_serials.find(id);
  if (daemon.cancelled_while_paused.erase(id) > 0) return;
  if (it == daemon.request_serials.end()) {
    add_violation(world, "a request ended twice or is unknown");
    return;
  }
  CallerRequest& request = world.requests.at(it->second);
  daemon.request_serials.erase(it);
  ++request.end_count;
  request.outcome = outcome;
  request.reason = reason;
  request.answered_serial = answered_serial;
  request.ended = world.now + world.latencies.caller_to_daemon;
}

void relay_answer(World& world, Daemon& daemon,
                  const core::RelayAnswer& effect) {
  RequestSerial answered_serial = daemon.answered_serials[effect.attempt];
  daemon.answered_serials.erase(effect.attempt);
  if (daemon.origins.contains(effect.request)) {
    answer_origin(world, daemon, effect.request, AttemptAnswered{200, 64},
                  answered_serial);
    return;
  }
  end_caller_request(world, daemon, effect.request, Outcome::kAnswered,
                     Reason::kNone, answered_serial);
}

void refuse_request(World& world, Daemon& daemon,
                    const core::RefuseRequest& effect) {
  if (!daemon.origins.contains(effect.request)) {
    end_caller_request(world, daemon, effect.request, effect.outcome,
                       effect.reason, 0);
    return;
  }
  AttemptResult result = AttemptUnknown{effect.reason};
  if (effect.outcome == Outcome::kNotRun) {
    result =
        AttemptNotRun{effect.reason, effect.retry_after, effect.newer_epoch};
  }
  answer_origin(world, daemon, effect.request, result, 0);
}

void cancel_attempt(World& world, Daemon& daemon,
                    const core::CancelAttempt& effect) {
  if (auto it = daemon.server_attempts.find(effect.attempt);
      it != daemon.server_attempts.end()) {
    cancel_on_server(world, it->second, daemon.state.self.name, effect.attempt);
    daemon.server_attempts.erase(it);
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
    daemon.server_attempts.erase(attempt);
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
    daemon.request_serials.erase(forward.request);
    if (daemon.paused) daemon.cancelled_while_paused.insert(forward.request);
    deliver(w, forward.daemon, forward.generation,
            core::RequestCancelled{forward.request});
  });
}

void execute_effect(World& world, const DaemonName& name,
                    const core::Effect& effect) {
  Daemon& daemon = world.daemons.at(name);
  std::visit(
      Overloaded{
          [&](const core::StoreGet& e) { store_get(world, name, e); },
          [&](const core::StoreList& e) { store_list(world, name, e); },
          [&](const core::StorePut& e) { store_put(world, name, e); },
          [&](const core::StoreWatch& e) { store_watch(world, name, e); },
          [&](const core::ListVms&) { list_vms(world, name); },
          [&](const core::SendPeer& e) { send_peer(world, name, e); },
          [&](const core::SendGrant& e) { send_grant_order(world, name, e); },
          [&](const core::SendToServer& e) {
            run_on_server(world, name, e, daemon.request_serials[e.request]);
          },
          [&](const core::SendToFront& e) { send_to_front(world, name, e); },
          [&](const core::CancelAttempt& e) {
            cancel_attempt(world, daemon, e);
          },
          [&](const core::RelayAnswer& e) { relay_answer(world, daemon, e); },
          [&](const core::RefuseRequest& e) {
            refuse_request(world, daemon, e);
          },
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
