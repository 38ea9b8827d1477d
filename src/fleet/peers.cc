#include "fleet/peers.h"

#include <algorithm>
#include <utility>

#include "fleet/capacity_reports.h"
#include "fleet/cold_servers.h"
#include "fleet/displaced_servers.h"
#include "fleet/loads.h"
#include "fleet/log_event.h"
#include "fleet/ownership.h"
#include "fleet/quarantine.h"
#include "fleet/registry.h"
#include "fleet/server_limits.h"
#include "fleet/server_notices.h"
#include "fleet/store_restoration.h"
#include "fleet/store_view.h"
#include "fleet/zone_relay.h"

namespace eelgrasspin::fleet {
namespace {

std::vector<Heartbeat::Term> own_terms(const State& state, TimePoint now) {
  std::vector<Heartbeat::Term> terms;
  for (const auto& [service, map] : state.maps) {
    if (!map.map) continue;
    Duration heartbeat_age =
        map.coordinator_role ? Duration(0) : now - map.coordinator_heartbeat_at;
    Heartbeat::Term term{service, map.highest_term, heartbeat_age,
                         map.position};
    if (remembers_lost_grants(state)) term.coordinated = map.coordinated;
    terms.push_back(std::move(term));
  }
  return terms;
}

/// Whether this daemon sends its heartbeats to all daemons directly: as a
/// coordinator, because every daemon depends on its heartbeats, or shortly
/// after its start, until a relay of its zone knows it.
bool sends_to_all(State& state, TimePoint now) {
  if (state.fleet.peers.empty()) return true;
  bool starting = now - state.started < config::kStartAnnouncementTime;
  const auto& relay = own_relay(state, now);
  if (starting && (!relay || *relay == state.settings.self.name)) return true;
  return std::any_of(state.maps.begin(), state.maps.end(), [](const auto& map) {
    return map.second.coordinator_role.has_value();
  });
}

/// Addresses of the daemons of the own region, or of other regions, that are
/// sent heartbeats directly.
std::vector<Endpoint> receivers(const State& state, bool other_region,
                                bool all) {
  std::set<Endpoint> to;
  const DaemonRecord& self = state.settings.self;
  for (const auto& [name, daemon] : state.fleet.daemon_records) {
    if (name == self.name) continue;
    if ((daemon.region != self.region) != other_region) continue;
    if (all || daemon.zone == self.zone) to.insert(daemon.peer);
  }
  return {to.begin(), to.end()};
}

/// Positions of a daemon that states no era are taken for those of this one's.
void assume_era(Heartbeat& heartbeat, StoreEra era) {
  if (heartbeat.store_era) return;
  for (Heartbeat::Term& term : heartbeat.terms) term.position.era = era;
  if (!heartbeat.view) return;
  heartbeat.view->configuration.era = era;
  heartbeat.view->servers.era = era;
  heartbeat.view->evacuations.era = era;
}

void forget_timed_out(State& state, TimePoint now, Effects& effects) {
  for (auto it = state.fleet.peers.begin(); it != state.fleet.peers.end();) {
    if (now - it->second.received_at <= config::kDaemonRetention) {
      ++it;
      continue;
    }
    log_event(effects, "daemon_forgotten",
              {{"daemon", it->first.str()},
               {"silent", text(now - it->second.received_at)}});
    discount_loads(state, it->second);
    state.fleet.daemon_records.erase(it->first);
    state.fleet.zone_members.reset();
    it = state.fleet.peers.erase(it);
  }
}

}  // namespace

void on_daemon(State& state, const DaemonSeen& seen) {
  auto [found, added] =
      state.fleet.daemon_records.try_emplace(seen.daemon.name, seen.daemon);
  // Heartbeats are newer than the record that a daemon writes at its start.
  if (!added && state.fleet.peers.count(seen.daemon.name) == 0) {
    found->second = seen.daemon;
  }
  state.fleet.zone_members.reset();
}

bool accept_heartbeat(State& state, const Heartbeat& heartbeat, TimePoint now,
                      Effects& effects) {
  const DaemonName& from = heartbeat.daemon.name;
  if (from == state.settings.self.name) return false;
  auto found = state.fleet.peers.find(from);
  if (found != state.fleet.peers.end()) {
    const Heartbeat& last = found->second.heartbeat;
    // Incarnations are made from the time of day, which may be set back. A
    // lower one is therefore accepted once the higher one has timed out.
    if (heartbeat.daemon.incarnation < last.daemon.incarnation &&
        now - found->second.received_at < daemon_timeout(state, from)) {
      return false;
    }
    if (heartbeat.daemon.incarnation == last.daemon.incarnation &&
        heartbeat.sequence <= last.sequence) {
      return false;
    }
  }
  if (!is_alive(state, from, now)) {
    log_event(effects, "daemon_heard",
              {{"daemon", from.str()},
               {"incarnation", text(heartbeat.daemon.incarnation.value)}});
  }
  auto known = state.fleet.daemon_records.find(from);
  if (heartbeat.has_full_record) {
    DaemonRecord& record = state.fleet.daemon_records[from];
    if (record.zone != heartbeat.daemon.zone ||
        record.peer != heartbeat.daemon.peer) {
      state.fleet.zone_members.reset();
    }
    record = heartbeat.daemon;
  } else if (known != state.fleet.daemon_records.end()) {
    known->second.incarnation = heartbeat.daemon.incarnation;
  }
  PeerState& peer = state.fleet.peers[from];
  Heartbeat before = std::exchange(peer.heartbeat, heartbeat);
  assume_era(peer.heartbeat, current_era(state));
  peer.received_at = now - heartbeat.age;
  replace_loads(state, peer, before.loads);
  if (heartbeat.limits.empty()) {
    peer.heartbeat.limits = std::move(before.limits);
  } else {
    peer.limits_received_at = peer.received_at;
    on_limit_reports(state, heartbeat.limits, now, effects);
  }
  if (heartbeat.key_load_reports.empty()) {
    peer.heartbeat.key_load_reports = std::move(before.key_load_reports);
  } else {
    peer.key_loads_received_at = peer.received_at;
    on_capacity_reports(state, from, heartbeat.key_load_reports, now, effects);
  }
  on_strikes(state, heartbeat.strikes, now);
  on_leaving_reports(state, heartbeat.leaving_servers, now, effects);
  on_displaced_reports(state, heartbeat.displaced_servers, now, effects);
  on_unreachable_reports(state, heartbeat.unreachable_servers, now);
  on_terms(state, peer.heartbeat, now, effects);
  return true;
}

void on_heartbeat(State& state, const HeartbeatReceived& received,
                  TimePoint now, Effects& effects) {
  // Waiting requests are tried again at the next tick: at each heartbeat the
  // cost would grow with the daemons.
  accept_heartbeat(state, received.heartbeat, now, effects);
}

Heartbeat own_heartbeat(State& state, TimePoint now, bool other_region) {
  Heartbeat heartbeat;
  heartbeat.daemon = state.settings.self;
  heartbeat.sequence = ++state.fleet.sequence;
  heartbeat.has_full_record =
      heartbeat.sequence % config::kHeartbeatsPerFullRecord == 1 ||
      now - state.started < config::kFullRecordsAfterStart;
  heartbeat.stopping = state.stopping;
  heartbeat.store_unreachable_for = store_unreachable_for(state, now);
  heartbeat.store_era = state.store_era;
  heartbeat.terms = own_terms(state, now);
  heartbeat.loads = own_loads(state, other_region);
  heartbeat.strikes = announced_strikes(state, now);
  heartbeat.leaving_servers = recent_leaving_reports(state, now);
  heartbeat.displaced_servers = recent_displaced_reports(state, now);
  heartbeat.unreachable_servers = recent_unreachable_reports(state, now);
  if (!other_region) {
    heartbeat.view = own_view(state, now);
    if (now - state.fleet.limits_sent_at >= config::kLimitReportInterval)
      heartbeat.limits = own_limit_reports(state, now);
  }
  return heartbeat;
}

Duration load_change_interval(std::size_t zone_daemons) {
  return std::max(config::kLoadChangeHeartbeatInterval,
                  config::kLoadChangeIntervalPerDaemon *
                      static_cast<Duration::rep>(zone_daemons));
}

void send_heartbeats(State& state, TimePoint now, Effects& effects) {
  FleetState& fleet = state.fleet;
  bool all = sends_to_all(state, now);
  if (now - fleet.other_region_heartbeat_at >=
      config::kOtherRegionHeartbeatInterval) {
    fleet.other_region_heartbeat_at = now;
    forget_timed_out(state, now, effects);
    std::vector<Endpoint> to = fleet.peers.empty()
                                   ? all_receivers(state)
                                   : receivers(state, true, all);
    if (!to.empty()) {
      effects.emplace_back(SendHeartbeat{own_heartbeat(state, now, true), to});
    }
  }
  bool regular_due =
      now - fleet.regular_heartbeat_at >= config::kRegularHeartbeatInterval;
  bool load_change_due =
      fleet.load_changed &&
      now - fleet.own_region_heartbeat_at >=
          load_change_interval(zone_members(state).size() + 1);
  if (regular_due || load_change_due) {
    fleet.own_region_heartbeat_at = now;
    if (regular_due) fleet.regular_heartbeat_at = now;
    fleet.load_changed = false;
    std::vector<Endpoint> to = receivers(state, false, all && regular_due);
    if (!to.empty()) {
      effects.emplace_back(SendHeartbeat{own_heartbeat(state, now, false), to});
      if (now - fleet.limits_sent_at >= config::kLimitReportInterval)
        fleet.limits_sent_at = now;
    }
  }
  send_batches(state, now, effects);
  send_key_loads(state, now, effects);
}

std::vector<Endpoint> all_receivers(const State& state) {
  std::set<Endpoint> to(state.settings.seeds.begin(),
                        state.settings.seeds.end());
  for (const auto& [name, daemon] : state.fleet.daemon_records)
    to.insert(daemon.peer);
  to.erase(state.settings.self.peer);
  to.erase(Endpoint());
  return {to.begin(), to.end()};
}

void announce_stop(State& state, TimePoint now, Effects& effects) {
  effects.emplace_back(
      SendHeartbeat{own_heartbeat(state, now, true), all_receivers(state)});
}

bool is_alive(const State& state, const DaemonName& daemon, TimePoint now) {
  if (daemon == state.settings.self.name) return true;
  auto found = state.fleet.peers.find(daemon);
  if (found == state.fleet.peers.end()) return false;
  return now - found->second.received_at < daemon_timeout(state, daemon);
}

Duration daemon_timeout(const State& state, const DaemonName& daemon) {
  auto known = state.fleet.daemon_records.find(daemon);
  const DaemonRecord& self = state.settings.self;
  bool same_region = known != state.fleet.daemon_records.end() &&
                     known->second.region == self.region;
  Duration limit =
      same_region ? config::kDaemonTimeout : config::kOtherRegionDaemonTimeout;
  bool direct = same_region && known->second.zone == self.zone;
  for (const auto& [service, map] : state.maps) {
    direct = direct || (map.map && map.map->coordinator == daemon);
  }
  return direct ? limit : limit + config::kRelayedTimeoutExtension;
}

bool hears_no_daemon(const State& state, Duration duration, TimePoint now) {
  bool others_work = false;
  for (const auto& [name, peer] : state.fleet.peers) {
    if (now - peer.received_at < duration) return false;
    others_work = others_work || !peer.heartbeat.stopping;
  }
  return others_work;
}

Duration store_unreachable_for(const State& state, TimePoint now) {
  if (state.store_has_answered &&
      state.store_answered_at >= state.store_failed_at) {
    return Duration(0);
  }
  return now - state.store_answered_at;
}

}  // namespace eelgrasspin::fleet
