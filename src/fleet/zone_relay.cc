#include "fleet/zone_relay.h"

#include <algorithm>
#include <set>

#include "fleet/capacity_reports.h"
#include "fleet/hot_keys.h"
#include "fleet/learning.h"
#include "fleet/loads.h"
#include "fleet/peers.h"
#include "fleet/registry.h"
#include "fleet/server_limits.h"

namespace eelgrasspin::fleet {
namespace {

bool is_keyed(const State& state, const ServiceName& service) {
  if (!state.configuration) return false;
  auto found = state.configuration->services.find(service);
  return found != state.configuration->services.end() && found->second.keyed;
}

bool may_relay(const State& state, const DaemonName& daemon, TimePoint now) {
  if (daemon == state.settings.self.name) return !state.stopping;
  auto peer = state.fleet.peers.find(daemon);
  return peer != state.fleet.peers.end() && is_alive(state, daemon, now) &&
         !peer->second.heartbeat.stopping;
}

/// Addresses of the relays of the other zones in the own region, or in other
/// regions. For a zone without a known relay, the addresses of all its daemons.
std::vector<Endpoint> relay_addresses(const State& state, bool other_region,
                                      TimePoint now) {
  const DaemonRecord& self = state.settings.self;
  std::set<ZoneName> zones;
  for (const auto& [name, daemon] : state.fleet.daemon_records) {
    if (daemon.zone != self.zone &&
        (daemon.region != self.region) == other_region) {
      zones.insert(daemon.zone);
    }
  }
  std::vector<Endpoint> to;
  for (const ZoneName& zone : zones) {
    auto relay = zone_relay(state, zone, now);
    for (const auto& [name, daemon] : state.fleet.daemon_records) {
      if (daemon.zone == zone && (!relay || *relay == name)) {
        to.push_back(daemon.peer);
      }
    }
  }
  return to;
}

/// Whether the heartbeat has to reach the other zones before the next batch
/// that lists all daemons.
bool is_urgent(const Heartbeat& heartbeat) {
  return heartbeat.stopping || !heartbeat.leaving_servers.empty() ||
         !heartbeat.unreachable_servers.empty();
}

HeartbeatBatch own_batch(State& state, bool other_region, bool all_members,
                         TimePoint now) {
  HeartbeatBatch batch;
  batch.zone = state.settings.self.zone;
  batch.forward_within_zone = true;
  batch.loads = own_zone_loads(state, other_region);
  batch.heartbeats.push_back(own_heartbeat(state, now, other_region));
  batch.heartbeats.back().loads.clear();
  batch.heartbeats.back().limits.clear();
  if (all_members) batch.limits = zone_limit_reports(state, now);
  bool with_full_records =
      ++state.fleet.batches_sent % config::kHeartbeatsPerFullRecord == 1;
  for (const auto& [name, peer] : state.fleet.peers) {
    auto known = state.fleet.daemon_records.find(name);
    if (known == state.fleet.daemon_records.end() ||
        known->second.zone != state.settings.self.zone ||
        (!all_members && !is_urgent(peer.heartbeat)) ||
        !is_alive(state, name, now)) {
      continue;
    }
    Heartbeat heartbeat = peer.heartbeat;
    heartbeat.loads.clear();
    heartbeat.limits.clear();
    // The relay announces these itself.
    heartbeat.strikes.clear();
    heartbeat.displaced_servers.clear();
    heartbeat.daemon = known->second;
    heartbeat.has_full_record = with_full_records;
    heartbeat.key_load_reports.clear();
    heartbeat.view.reset();
    heartbeat.age = now - peer.received_at;
    batch.heartbeats.push_back(std::move(heartbeat));
  }
  return batch;
}

void send_batch(State& state, bool other_region, bool all_members,
                TimePoint now, Effects& effects) {
  std::vector<Endpoint> to = relay_addresses(state, other_region, now);
  if (to.empty()) return;
  effects.emplace_back(SendHeartbeatBatch{
      own_batch(state, other_region, all_members, now), std::move(to)});
}

using KeyLoads = std::map<ShardKey, double>;
using ServiceTimes = std::map<ServerName, Heartbeat::MeasuredServiceTime>;

void add_service_time(ServiceTimes& service_times,
                      const Heartbeat::MeasuredServiceTime& added) {
  if (added.answer_count <= 0) return;
  Heartbeat::MeasuredServiceTime& measured =
      service_times
          .try_emplace(added.server,
                       Heartbeat::MeasuredServiceTime{added.server, 0, {}})
          .first->second;
  double answer_count = measured.answer_count + added.answer_count;
  double total =
      measured.answer_count *
          static_cast<double>(measured.service_time.count()) +
      added.answer_count * static_cast<double>(added.service_time.count());
  measured = {added.server, answer_count,
              Duration(static_cast<Duration::rep>(total / answer_count))};
}

void add_own_key_loads(const State& state, const ServiceName& service,
                       bool recent, TimePoint now, KeyLoads& keys,
                       ServiceTimes& service_times) {
  for (const auto& [key, request_count] :
       key_request_counts(state, service, recent, now)) {
    keys[key] += request_count;
  }
  auto servers = state.by_service.find(service);
  if (servers == state.by_service.end()) return;
  for (const ServerName& name : servers->second) {
    const ServerState& server = state.servers.at(name);
    if (server.answer_count >= 1) {
      add_service_time(service_times,
                       {name, server.answer_count, server.service_time});
    }
  }
}

/// Adds what the daemons of the own zone have reported to this one.
void add_zone_key_loads(const State& state, const ServiceName& service,
                        TimePoint now, KeyLoads& keys,
                        ServiceTimes& service_times) {
  for (const auto& [name, peer] : state.fleet.peers) {
    auto known = state.fleet.daemon_records.find(name);
    if (known == state.fleet.daemon_records.end() ||
        known->second.zone != state.settings.self.zone ||
        now - peer.key_loads_received_at > config::kMaxKeyLoadReportAge) {
      continue;
    }
    for (const auto& report : peer.heartbeat.key_load_reports) {
      if (report.service != service) continue;
      for (const KeyLoad& key : report.keys) keys[key.key] += key.request_count;
      for (const auto& measured : report.service_times)
        add_service_time(service_times, measured);
    }
  }
}

Heartbeat::KeyLoadReport key_load_report(const State& state,
                                         const ServiceName& service,
                                         bool for_zone, bool other_region,
                                         TimePoint now) {
  bool hot = is_overloaded(state, service, now);
  KeyLoads keys;
  ServiceTimes service_times;
  add_own_key_loads(state, service, hot, now, keys, service_times);
  if (for_zone) add_zone_key_loads(state, service, now, keys, service_times);
  Heartbeat::KeyLoadReport report{service, {}, {}};
  for (const auto& [key, request_count] : keys)
    report.keys.push_back({key, request_count});
  std::size_t limit =
      for_zone ? config::kMaxRelayReportedKeys : config::kMaxReportedKeys;
  if (hot && other_region)
    limit = std::min(limit, config::kMaxOtherRegionHotKeys);
  std::size_t kept = std::min(report.keys.size(), limit);
  std::partial_sort(report.keys.begin(),
                    report.keys.begin() + static_cast<std::ptrdiff_t>(kept),
                    report.keys.end(),
                    [](const KeyLoad& left, const KeyLoad& right) {
                      return left.request_count > right.request_count;
                    });
  report.keys.resize(kept);
  for (const auto& [name, measured] : service_times)
    report.service_times.push_back(measured);
  return report;
}

/// Tells all other daemons which servers this coordinator has limited.
void send_limited_servers(State& state, const ServiceName& service,
                          CoordinatorRole& role, TimePoint now,
                          Effects& effects) {
  std::vector<Heartbeat::KeyLoadReport> reports;
  // An empty report lifts the limits of the one before.
  bool limited = false;
  for (const ServiceName& name : collected_with(state, service)) {
    reports.push_back(limited_servers_report(state, name, now));
    limited = limited || !reports.back().service_times.empty();
  }
  if (!limited && !role.limited_servers_reported) return;
  role.limited_servers_reported = limited;
  for (bool other_region : {false, true}) {
    std::vector<Endpoint> to;
    for (const auto& [name, daemon] : state.fleet.daemon_records) {
      if (name != state.settings.self.name &&
          (daemon.region != state.settings.self.region) == other_region) {
        to.push_back(daemon.peer);
      }
    }
    if (to.empty()) continue;
    Heartbeat heartbeat = own_heartbeat(state, now, other_region);
    heartbeat.key_load_reports = reports;
    effects.emplace_back(SendHeartbeat{std::move(heartbeat), std::move(to)});
  }
}

}  // namespace

std::optional<DaemonName> zone_relay(const State& state, const ZoneName& zone,
                                     TimePoint now) {
  const DaemonRecord* best = nullptr;
  for (const auto& [name, daemon] : state.fleet.daemon_records) {
    if (daemon.zone != zone || !may_relay(state, name, now)) continue;
    if (best == nullptr || daemon.capacity > best->capacity) best = &daemon;
  }
  if (best == nullptr) return std::nullopt;
  return best->name;
}

const std::optional<DaemonName>& own_relay(State& state, TimePoint now) {
  FleetState& fleet = state.fleet;
  bool current = fleet.own_relay_at && fleet.own_relay &&
                 now - *fleet.own_relay_at < config::kRelayCheckInterval &&
                 may_relay(state, *fleet.own_relay, now);
  if (!current) {
    fleet.own_relay = zone_relay(state, state.settings.self.zone, now);
    fleet.own_relay_at = now;
  }
  return fleet.own_relay;
}

bool is_zone_relay(State& state, TimePoint now) {
  return own_relay(state, now) == state.settings.self.name;
}

const std::vector<Endpoint>& zone_members(State& state) {
  if (state.fleet.zone_members) return *state.fleet.zone_members;
  const DaemonRecord& self = state.settings.self;
  std::vector<Endpoint>& to = state.fleet.zone_members.emplace();
  for (const auto& [name, daemon] : state.fleet.daemon_records) {
    if (name != self.name && daemon.zone == self.zone) {
      to.push_back(daemon.peer);
    }
  }
  return to;
}

bool matters_to_other_regions(const State& state, const ServerState& server) {
  return is_keyed(state, server.server.service) ||
         distance_to(state, server.server.zone) == Distance::kOtherRegion;
}

void on_heartbeat_batch(State& state, const HeartbeatBatchReceived& received,
                        TimePoint now, Effects& effects) {
  bool updated = false;
  for (std::size_t i = 0; i < received.batch.heartbeats.size(); ++i) {
    bool accepted =
        accept_heartbeat(state, received.batch.heartbeats[i], now, effects);
    // An older batch of the same relay is out of date.
    if (i == 0 && accepted) {
      on_zone_loads(state, received.batch, now);
      on_limit_reports(state, received.batch.limits, now, effects);
    }
    updated = accepted || updated;
  }
  if (!updated) return;
  if (received.batch.forward_within_zone) {
    const std::vector<Endpoint>& to = zone_members(state);
    if (!to.empty()) {
      HeartbeatBatch copy = received.batch;
      copy.forward_within_zone = false;
      effects.emplace_back(SendHeartbeatBatch{std::move(copy), to});
    }
  }
}

void send_batches(State& state, TimePoint now, Effects& effects) {
  FleetState& fleet = state.fleet;
  Duration own_region_interval =
      std::max(config::kOwnRegionBatchInterval,
               load_change_interval(zone_members(state).size() + 1));
  bool own_region_due = now - fleet.own_region_batch_at >= own_region_interval;
  bool other_region_due =
      now - fleet.other_region_batch_at >= config::kOtherRegionBatchInterval;
  if ((!own_region_due && !other_region_due) || !is_zone_relay(state, now))
    return;
  if (own_region_due) {
    bool all_members =
        now - fleet.own_region_members_at >= config::kZoneMembersInterval;
    fleet.own_region_batch_at = now;
    if (all_members) fleet.own_region_members_at = now;
    send_batch(state, false, all_members, now, effects);
  }
  if (other_region_due) {
    fleet.other_region_batch_at = now;
    send_batch(state, true, true, now, effects);
  }
}

void send_map_change(State& state, MapChange change, TimePoint now,
                     Effects& effects) {
  change.forward_within_zone = false;
  const std::vector<Endpoint>& members = zone_members(state);
  if (!members.empty()) effects.emplace_back(SendMapChange{change, members});
  std::vector<Endpoint> relays = relay_addresses(state, false, now);
  std::vector<Endpoint> others = relay_addresses(state, true, now);
  relays.insert(relays.end(), others.begin(), others.end());
  if (relays.empty()) return;
  change.forward_within_zone = true;
  effects.emplace_back(SendMapChange{std::move(change), std::move(relays)});
}

void forward_map_change(State& state, const MapChange& change, TimePoint now,
                        Effects& effects) {
  if (!is_zone_relay(state, now)) return;
  const std::vector<Endpoint>& members = zone_members(state);
  if (members.empty()) return;
  MapChange forwarded = change;
  forwarded.forward_within_zone = false;
  effects.emplace_back(SendMapChange{std::move(forwarded), members});
}

void send_key_loads(State& state, TimePoint now, Effects& effects) {
  FleetState& fleet = state.fleet;
  bool ordinary_due =
      now - fleet.key_loads_sent_at >= config::kKeyLoadReportInterval;
  bool hot_due =
      now - fleet.hot_key_loads_sent_at >= config::kHotReportInterval;
  if (!ordinary_due && !hot_due) return;
  if (ordinary_due) fleet.key_loads_sent_at = now;
  if (hot_due) fleet.hot_key_loads_sent_at = now;
  const DaemonRecord& self = state.settings.self;
  auto relay = own_relay(state, now);
  for (auto& [service, map] : state.maps) {
    if (!map.map) continue;
    if (map.coordinator_role) {
      if (ordinary_due) {
        send_limited_servers(state, service, *map.coordinator_role, now,
                             effects);
      }
      continue;
    }
    bool hot = hot_due && is_overloaded(state, service, now);
    if (!ordinary_due && !hot) continue;
    auto to = fleet.daemon_records.find(map.map->coordinator);
    if (to == fleet.daemon_records.end()) continue;
    bool coordinator_in_zone = to->second.zone == self.zone;
    bool sends_for_zone = relay == self.name && !coordinator_in_zone;
    if (!coordinator_in_zone && !sends_for_zone && relay)
      to = fleet.daemon_records.find(*relay);
    bool other_region = to->second.region != self.region;
    Heartbeat heartbeat = own_heartbeat(state, now, other_region);
    heartbeat.key_load_reports.push_back(
        key_load_report(state, service, sends_for_zone, other_region, now));
    // Answers change slowly; a report of an overloaded service leaves them out.
    if (ordinary_due) {
      for (const ServiceName& name : collected_with(state, service)) {
        if (name != service)
          heartbeat.key_load_reports.push_back({name, {}, {}});
        add_unsent_answers(state, heartbeat.key_load_reports.back());
      }
    }
    effects.emplace_back(
        SendHeartbeat{std::move(heartbeat), {to->second.peer}});
  }
}

}  // namespace eelgrasspin::fleet
