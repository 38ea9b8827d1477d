#include "fleet/zone_relay.h"

#include <algorithm>
#include <set>

#include "fleet/peers.h"
#include "fleet/registry.h"
#include "fleet/requests.h"

namespace eelgrasspin::fleet {
namespace {

bool is_keyed(const State& state, const ServiceName& service) {
  if (!state.configuration) return false;
  auto found = state.configuration->services.find(service);
  return found != state.configuration->services.end() && found->second.keyed;
}

bool may_relay(const State& state, const DaemonName& daemon, TimePoint now) {
  if (daemon == state.settings.self.name) return !state.stopping;
  auto heard = state.fleet.heard.find(daemon);
  return heard != state.fleet.heard.end() && is_alive(state, daemon, now) &&
         !heard->second.heartbeat.stopping;
}

/// The relay of each other zone of the own region, or of other regions; every
/// daemon of a zone of which none is heard.
std::vector<Endpoint> relays(const State& state, bool far, TimePoint now) {
  const DaemonRecord& self = state.settings.self;
  std::set<ZoneName> zones;
  for (const auto& [name, daemon] : state.fleet.known) {
    if (daemon.zone != self.zone && (daemon.region != self.region) == far) {
      zones.insert(daemon.zone);
    }
  }
  std::vector<Endpoint> to;
  for (const ZoneName& zone : zones) {
    auto relay = zone_relay(state, zone, now);
    for (const auto& [name, daemon] : state.fleet.known) {
      if (daemon.zone == zone && (!relay || *relay == name)) {
        to.push_back(daemon.peer);
      }
    }
  }
  return to;
}

HeartbeatBatch own_bundle(State& state, bool far, TimePoint now) {
  HeartbeatBatch batch;
  batch.relay = true;
  batch.heartbeats.push_back(own_heartbeat(state, now, far));
  bool full = ++state.fleet.bundles % config::kFullHeartbeats == 1;
  for (const auto& [name, peer] : state.fleet.heard) {
    auto known = state.fleet.known.find(name);
    if (known == state.fleet.known.end() ||
        known->second.zone != state.settings.self.zone ||
        !is_alive(state, name, now)) {
      continue;
    }
    Heartbeat heartbeat = peer.heartbeat;
    heartbeat.daemon = known->second;
    heartbeat.full = full;
    heartbeat.key_load_reports.clear();
    heartbeat.view.reset();
    heartbeat.age = now - peer.heard;
    if (far) {
      std::erase_if(heartbeat.loads, [&](const Heartbeat::Load& load) {
        auto server = state.servers.find(load.server);
        return server == state.servers.end() ||
               !concerns_far(state, server->second);
      });
    }
    batch.heartbeats.push_back(std::move(heartbeat));
  }
  return batch;
}

void send_bundle(State& state, bool far, TimePoint now, Effects& effects) {
  std::vector<Endpoint> to = relays(state, far, now);
  if (to.empty()) return;
  effects.emplace_back(
      SendHeartbeatBatch{own_bundle(state, far, now), std::move(to)});
}

using KeyWeights = std::map<ShardKey, double>;
using Speeds = std::map<ServerName, Heartbeat::Speed>;

void add_speed(Speeds& service_times, const Heartbeat::Speed& added) {
  if (added.answer_count <= 0) return;
  Heartbeat::Speed& speed =
      service_times
          .try_emplace(added.server, Heartbeat::Speed{added.server, 0, {}})
          .first->second;
  double answer_count = speed.answer_count + added.answer_count;
  double total =
      speed.answer_count * static_cast<double>(speed.service_time.count()) +
      added.answer_count * static_cast<double>(added.service_time.count());
  speed = {added.server, answer_count,
           Duration(static_cast<Duration::rep>(total / answer_count))};
}

void add_own_heat(const State& state, const ServiceName& service,
                  KeyWeights& keys, Speeds& service_times) {
  auto found = state.heat.find(service);
  if (found != state.heat.end()) {
    for (const auto& [key, weight] : found->second.weights) {
      keys[ShardKey(key)] += weight;
    }
  }
  auto servers = state.by_service.find(service);
  if (servers == state.by_service.end()) return;
  for (const ServerName& name : servers->second) {
    const ServerState& server = state.servers.at(name);
    if (server.answer_count >= 1) {
      add_speed(service_times,
                {name, server.answer_count, server.service_time});
    }
  }
}

/// What the daemons of the own zone have reported to this one.
void add_zone_heat(const State& state, const ServiceName& service,
                   TimePoint now, KeyWeights& keys, Speeds& service_times) {
  for (const auto& [name, peer] : state.fleet.heard) {
    auto known = state.fleet.known.find(name);
    if (known == state.fleet.known.end() ||
        known->second.zone != state.settings.self.zone ||
        now - peer.heat_heard > config::kHeatRetention) {
      continue;
    }
    for (const auto& heat : peer.heartbeat.key_load_reports) {
      if (heat.service != service) continue;
      for (const KeyLoad& key : heat.keys) keys[key.key] += key.weight;
      for (const auto& speed : heat.service_times)
        add_speed(service_times, speed);
    }
  }
}

Heartbeat::KeyLoadReport heat_report(const State& state,
                                     const ServiceName& service, bool for_zone,
                                     TimePoint now) {
  KeyWeights keys;
  Speeds service_times;
  add_own_heat(state, service, keys, service_times);
  if (for_zone) add_zone_heat(state, service, now, keys, service_times);
  Heartbeat::KeyLoadReport heat{service, {}, {}};
  for (const auto& [key, weight] : keys) heat.keys.push_back({key, weight});
  std::size_t kept = std::min(
      heat.keys.size(), for_zone ? config::kRelayHeatKeys : config::kHeatKeys);
  std::partial_sort(
      heat.keys.begin(), heat.keys.begin() + static_cast<std::ptrdiff_t>(kept),
      heat.keys.end(), [](const KeyLoad& left, const KeyLoad& right) {
        return left.weight > right.weight;
      });
  heat.keys.resize(kept);
  for (const auto& [name, speed] : service_times)
    heat.service_times.push_back(speed);
  return heat;
}

}  // namespace

std::optional<DaemonName> zone_relay(const State& state, const ZoneName& zone,
                                     TimePoint now) {
  const DaemonRecord* best = nullptr;
  for (const auto& [name, daemon] : state.fleet.known) {
    if (daemon.zone != zone || !may_relay(state, name, now)) continue;
    if (best == nullptr || daemon.capacity > best->capacity) best = &daemon;
  }
  if (best == nullptr) return std::nullopt;
  return best->name;
}

bool is_zone_relay(const State& state, TimePoint now) {
  const DaemonRecord& self = state.settings.self;
  return zone_relay(state, self.zone, now) == self.name;
}

std::vector<Endpoint> zone_members(const State& state) {
  const DaemonRecord& self = state.settings.self;
  std::vector<Endpoint> to;
  for (const auto& [name, daemon] : state.fleet.known) {
    if (name != self.name && daemon.zone == self.zone) {
      to.push_back(daemon.peer);
    }
  }
  return to;
}

bool concerns_far(const State& state, const ServerState& server) {
  return is_keyed(state, server.server.service) ||
         distance_to(state, server.server.zone) == Distance::kFar;
}

void on_bundle(State& state, const HeartbeatBatchReceived& received,
               TimePoint now, Effects& effects) {
  bool news = false;
  for (const Heartbeat& heartbeat : received.batch.heartbeats) {
    news = accept_heartbeat(state, heartbeat, now, effects) || news;
  }
  if (!news) return;
  if (received.batch.relay) {
    std::vector<Endpoint> to = zone_members(state);
    if (!to.empty()) {
      HeartbeatBatch copy = received.batch;
      copy.relay = false;
      effects.emplace_back(SendHeartbeatBatch{std::move(copy), std::move(to)});
    }
  }
  retry_waiting(state, now, effects);
}

void send_bundles(State& state, TimePoint now, Effects& effects) {
  FleetState& fleet = state.fleet;
  bool near_due = now - fleet.near_bundle_sent >= config::kNearBundle;
  bool far_due = now - fleet.far_bundle_sent >= config::kFarBundle;
  if ((!near_due && !far_due) || !is_zone_relay(state, now)) return;
  if (near_due) {
    fleet.near_bundle_sent = now;
    send_bundle(state, false, now, effects);
  }
  if (far_due) {
    fleet.far_bundle_sent = now;
    send_bundle(state, true, now, effects);
  }
}

void send_heat(State& state, TimePoint now, Effects& effects) {
  if (now - state.fleet.heat_sent < config::kHeatInterval) return;
  state.fleet.heat_sent = now;
  const DaemonRecord& self = state.settings.self;
  auto relay = zone_relay(state, self.zone, now);
  for (const auto& [service, map] : state.maps) {
    if (!map.map || map.duty) continue;
    auto to = state.fleet.known.find(map.map->coordinator);
    if (to == state.fleet.known.end()) continue;
    bool same_zone = to->second.zone == self.zone;
    bool relays = relay == self.name && !same_zone;
    if (!same_zone && !relays && relay) to = state.fleet.known.find(*relay);
    bool far = to->second.region != self.region;
    Heartbeat heartbeat = own_heartbeat(state, now, far);
    heartbeat.key_load_reports.push_back(
        heat_report(state, service, relays, now));
    effects.emplace_back(
        SendHeartbeat{std::move(heartbeat), {to->second.peer}});
  }
}

}  // namespace eelgrasspin::fleet
