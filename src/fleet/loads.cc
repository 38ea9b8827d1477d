#include "fleet/loads.h"

#include <algorithm>

#include "fleet/peers.h"
#include "fleet/registry.h"
#include "fleet/zone_relay.h"

namespace eelgrasspin::fleet {
namespace {

void add(State& state, const std::vector<Heartbeat::Load>& loads) {
  for (const auto& load : loads)
    state.fleet.loads[load.server] += load.in_flight;
}

void subtract(State& state, const std::vector<Heartbeat::Load>& loads) {
  for (const auto& load : loads) {
    auto found = state.fleet.loads.find(load.server);
    if (found == state.fleet.loads.end()) continue;
    found->second -= std::min(found->second, load.in_flight);
    if (found->second == 0) state.fleet.loads.erase(found);
  }
}

const ZoneName* zone_of(const State& state, const DaemonName& daemon) {
  auto known = state.fleet.daemon_records.find(daemon);
  return known == state.fleet.daemon_records.end() ? nullptr
                                                   : &known->second.zone;
}

/// Time without a report of a zone's relay after which its loads no longer
/// count.
Duration zone_timeout(const State& state, const ZoneName& zone) {
  Duration limit = distance_to(state, zone) == Distance::kOtherRegion
                       ? config::kOtherRegionDaemonTimeout
                       : config::kDaemonTimeout;
  return limit + config::kRelayedTimeoutExtension;
}

bool counts_for_region(const State& state, const ServerName& name,
                       bool other_region) {
  if (!other_region) return true;
  auto server = state.servers.find(name);
  return server != state.servers.end() &&
         matters_to_other_regions(state, server->second);
}

}  // namespace

void replace_loads(State& state, PeerState& peer,
                   const std::vector<Heartbeat::Load>& before) {
  if (peer.loads_counted) subtract(state, before);
  const ZoneName* zone = zone_of(state, peer.heartbeat.daemon.name);
  peer.loads_counted =
      zone == nullptr || state.fleet.zone_loads.count(*zone) == 0;
  if (peer.loads_counted) add(state, peer.heartbeat.loads);
}

void discount_loads(State& state, PeerState& peer) {
  if (!peer.loads_counted) return;
  subtract(state, peer.heartbeat.loads);
  peer.loads_counted = false;
}

void on_zone_loads(State& state, const HeartbeatBatch& batch, TimePoint now) {
  if (batch.zone.empty() || batch.zone == state.settings.self.zone) return;
  auto [found, added] = state.fleet.zone_loads.try_emplace(batch.zone);
  if (added) {
    for (auto& [name, peer] : state.fleet.peers) {
      const ZoneName* zone = zone_of(state, name);
      if (zone != nullptr && *zone == batch.zone) discount_loads(state, peer);
    }
  }
  subtract(state, found->second.loads);
  found->second.loads = batch.loads;
  found->second.received_at = now;
  if (!batch.limits.empty()) {
    found->second.limits = batch.limits;
    found->second.limits_received_at = now;
  }
  add(state, found->second.loads);
}

void expire_loads(State& state, TimePoint now) {
  if (now - state.fleet.loads_expired_at < config::kLoadExpiryInterval) return;
  state.fleet.loads_expired_at = now;
  for (auto& [name, peer] : state.fleet.peers) {
    if (peer.loads_counted &&
        now - peer.received_at >= config::kDaemonTimeout &&
        !is_alive(state, name, now)) {
      discount_loads(state, peer);
    }
  }
  for (auto it = state.fleet.zone_loads.begin();
       it != state.fleet.zone_loads.end();) {
    if (now - it->second.received_at < zone_timeout(state, it->first)) {
      ++it;
      continue;
    }
    subtract(state, it->second.loads);
    it = state.fleet.zone_loads.erase(it);
  }
}

std::vector<Heartbeat::Load> own_loads(const State& state, bool other_region) {
  std::vector<Heartbeat::Load> loads;
  for (const auto& [service, by_distance] : state.by_distance) {
    for (const auto& servers : by_distance) {
      for (const ServerState* server : servers) {
        if (server->in_flight == 0 ||
            (other_region && !matters_to_other_regions(state, *server))) {
          continue;
        }
        loads.push_back({server->server.name, server->in_flight});
      }
    }
  }
  return loads;
}

std::vector<Heartbeat::Load> own_zone_loads(const State& state,
                                            bool other_region) {
  std::map<ServerName, std::uint32_t> sums;
  for (const auto& load : own_loads(state, other_region))
    sums[load.server] += load.in_flight;
  for (const auto& [name, peer] : state.fleet.peers) {
    const ZoneName* zone = zone_of(state, name);
    if (zone == nullptr || *zone != state.settings.self.zone ||
        !peer.loads_counted) {
      continue;
    }
    for (const auto& load : peer.heartbeat.loads) {
      if (counts_for_region(state, load.server, other_region))
        sums[load.server] += load.in_flight;
    }
  }
  std::vector<Heartbeat::Load> loads;
  loads.reserve(sums.size());
  for (const auto& [server, in_flight] : sums)
    loads.push_back({server, in_flight});
  return loads;
}

}  // namespace eelgrasspin::fleet
