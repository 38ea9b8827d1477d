#include "fleet/ownership.h"

#include <algorithm>
#include <utility>

#include "fleet/election.h"
#include "fleet/key_recall.h"
#include "fleet/leases.h"
#include "fleet/log_event.h"
#include "fleet/peers.h"
#include "fleet/registry.h"
#include "fleet/replan.h"
#include "fleet/requests.h"
#include "fleet/store_restoration.h"
#include "fleet/zone_relay.h"

namespace eelgrasspin::fleet {
namespace {

/// A pause shorter than this cannot outlast a grant.
constexpr Duration kHarmlessPauseTime = milliseconds(400);
/// Delay before a write without an answer is sent again. It is repeated until
/// an answer shows its outcome.
constexpr Duration kWriteRetryDelay = milliseconds(400);
/// Interval of reads of a map that is unknown or has to be verified.
constexpr Duration kMapReadInterval = milliseconds(500);

void end_coordinator_role(MapState& map, std::string_view reason,
                          Effects& effects) {
  if (!map.coordinator_role) return;
  log_event(effects, "coordinator_ended",
            {{"service", map.map->service.str()},
             {"term", text(map.map->term.value)},
             {"known_term", text(map.highest_term.value)},
             {"reason", std::string(reason)}});
  map.coordinator_role.reset();
}

/// Until when servers may hold keys by grants of earlier coordinators if they
/// do not learn of the new epoch.
TimePoint earlier_grants_end(const State& state,
                             const std::vector<DaemonIncarnation>& predecessors,
                             TimePoint now) {
  // The end of a process has ended its orders.
  if (predecessors.empty()) return now + longest_hold(state.settings);
  return now + config::kMaxRenewalWithoutStore +
         longest_hold_of_ended_role(state.settings);
}

/// No known daemon that may have made lost grants renews them any more.
void bound_lost_grants(const State& state, CoordinatorRole& role,
                       TimePoint now) {
  if (role.unknown_coordinators) return;
  Duration rest = role.grants_may_be_lost
                      ? longest_hold_of_ended_role(state.settings)
                      : Duration(0);
  role.lost_grants_until = std::min(*role.lost_grants_until, now + rest);
}

/// Takes note that servers may hold keys by grants which this coordinator does
/// not know. They have ended once every daemon that may have made them has
/// stopped renewing, and the longest hold has passed.
void expect_lost_grants(const State& state, CoordinatorRole& role,
                        TermEpoch term, bool lost_before, TimePoint now) {
  role.grants_may_be_lost = lost_before || !remembers_lost_grants(state);
  role.lost_grants_until = now + config::kMaxRenewalWithoutStore +
                           longest_hold_of_ended_role(state.settings);
  role.term_before_loss = term;
  role.recall.reset();
  role.lost_coordinators.clear();
  for (const auto& [name, daemon] : state.fleet.daemon_records) {
    // Others may have heard one that has been silent here.
    if (name != state.settings.self.name)
      role.lost_coordinators.push_back({name, daemon.incarnation});
  }
  if (role.lost_coordinators.empty()) bound_lost_grants(state, role, now);
}

/// Whether keys stay with their owners by renewals of grants that were made
/// before the loss.
bool renews_known_grants(const MapState& map) {
  const auto& ranges = map.map->ranges;
  return std::any_of(ranges.begin(), ranges.end(), [&](const KeyRange& range) {
    return range.epoch <= map.coordinator_role->last_epoch_before_loss;
  });
}

void start_coordinator_role(State& state, MapState& map,
                            const std::optional<OwnerMap>& before,
                            TimePoint now, Effects& effects) {
  map.coordinator_role.emplace();
  map.coordinator_role->started_at = now;
  map.coordinator_role->last_placement = now;
  map.coordinated = map.map->term;
  if (map.map->grants_lost) {
    TermEpoch term_before = before ? before->term : TermEpoch();
    // Grants lost before this daemon adopted the map are not those of which it
    // knows that there are none.
    bool lost_before = !before || before->grants_lost;
    // A daemon without the map has not known the fleet before the restoration.
    map.coordinator_role->unknown_coordinators =
        lost_before && current_era(state) > StoreEra();
    expect_lost_grants(state, *map.coordinator_role, term_before, lost_before,
                       now);
    if (before)
      map.coordinator_role->last_epoch_before_loss = before->last_epoch;
    // Asking takes less time than waiting for all grants to expire, if every
    // server is known that may hold any.
    bool can_ask = remembers_lost_grants(state) && !renews_known_grants(map);
    if (lost_before || can_ask)
      start_recall(*map.coordinator_role, *map.map, now);
  }
  allow_orders_of_tick(state, *map.coordinator_role);
  if (before) {
    auto& predecessors = map.coordinator_role->predecessors;
    predecessors = map.map->replaced_coordinators;
    std::erase_if(predecessors, [&state](const DaemonIncarnation& daemon) {
      return has_ended(state, daemon);
    });
    TimePoint end = earlier_grants_end(state, predecessors, now);
    for (const KeyRange& range : before->ranges) {
      // Orders of an earlier term have lower epochs. A server that has answered
      // an order of this term refuses them, also if they arrive late.
      record_possible_grant(*map.coordinator_role,
                            {range.first, range.last, range.owner, end}, now);
      for (const ServerIncarnation& holder : range.previous_owners) {
        record_possible_grant(*map.coordinator_role,
                              {range.first, range.last, holder, end}, now);
      }
    }
  }
  log_event(effects, "coordinator_started",
            {{"service", map.map->service.str()},
             {"term", text(map.map->term.value)},
             {"ranges", text(map.map->ranges.size())},
             {"before", before ? before->coordinator.str() : "-"}});
}

void adopt(State& state, MapState& map, const OwnerMap& next,
           StorePosition position, TimePoint now, Effects& effects) {
  std::optional<OwnerMap> before = map.map;
  bool new_term = !before || before->term != next.term;
  map.map = next;
  map.position = position;
  map.adopted_at = now;
  map.stored = std::max(map.stored, position);
  map.known_before_restoration = false;
  map.absent_since.reset();
  map.behind_since.reset();
  map.highest_term = std::max(map.highest_term, next.term);
  if (new_term) map.coordinator_heartbeat_at = now;
  log_event(effects, "map_adopted",
            {{"service", next.service.str()},
             {"term", text(next.term.value)},
             {"position", text(position)},
             {"ranges", text(next.ranges.size())},
             {"coordinator", next.coordinator.str()}});
  if (!coordinates(state, next)) {
    end_coordinator_role(map, "replaced", effects);
  } else if (!map.coordinator_role && !is_lost(state, map)) {
    start_coordinator_role(state, map, before, now, effects);
  }
  if (map.coordinator_role) {
    update_leases(map);
    send_due_orders(state, next.service, map, now, effects);
  }
  retry_waiting(state, now, effects);
}

void send_write(MapState& map, TimePoint now, Effects& effects) {
  map.resend_write = false;
  map.write_sent_at = now;
  effects.emplace_back(
      WriteMap{*map.pending_write, map.stored.revision, map.write_number});
}

void start_write(const State& state, MapState& map, OwnerMap next,
                 TimePoint now, Effects& effects) {
  next.era = current_era(state);
  map.pending_write = std::move(next);
  ++map.write_number;
  map.write_may_be_done = false;
  send_write(map, now, effects);
}

/// Whether this daemon has read what a restored store holds of the map, which
/// is the condition of a write.
bool knows_stored(const State& state, const MapState& map) {
  return map.stored.era == current_era(state);
}

/// Starts the role again after the store has confirmed that the map is still
/// the one that this daemon wrote.
void resume_coordinator_role(State& state, MapState& map, TimePoint now,
                             Effects& effects) {
  if (map.coordinator_role || !coordinates(state, *map.map) ||
      map.highest_term > map.map->term) {
    return;
  }
  // Another coordinator may have replaced this daemon in a write that is lost.
  if (is_lost(state, map)) return;
  start_coordinator_role(state, map, map.map, now, effects);
  update_leases(map);
}

bool store_reachable(const State& state, TimePoint now) {
  return store_unreachable_for(state, now) < config::kCoordinatorStoreTimeout;
}

/// Logs when orders stop because of isolation, and when they go on.
void check_isolation(const State& state, const ServiceName& service,
                     MapState& map, TimePoint now, Effects& effects) {
  bool isolated = is_isolated(state, map, now);
  if (map.coordinator_role->isolated == isolated) return;
  map.coordinator_role->isolated = isolated;
  log_event(effects, isolated ? "orders_paused" : "orders_resumed",
            {{"service", service.str()},
             {"term", text(map.map->term.value)},
             {"confirmed", text(now - map.confirmed_at)}});
}

void run_coordinator_role(State& state, const ServiceName& service,
                          MapState& map, TimePoint now, Effects& effects) {
  if (map.must_verify) {
    // Another daemon takes over from one that cannot read its map.
    if (now - map.doubted_at >= config::kCoordinatorStoreTimeout)
      end_coordinator_role(map, "unverified", effects);
    return;
  }
  Duration check_interval =
      hears_no_daemon(state, config::kIsolationCheckDelay, now)
          ? kMapReadInterval
          : config::kMapCheckInterval;
  if (now - map.confirmed_at >= check_interval && now >= map.next_read) {
    map.next_read = now + kMapReadInterval;
    effects.emplace_back(ReadMap{service, now});
  }
  if (!may_renew_without_store(map, now)) {
    doubt_map(map, now);
    return end_coordinator_role(map, "store_silent", effects);
  }
  check_isolation(state, service, map, now, effects);
  allow_orders_of_tick(state, *map.coordinator_role);
  send_due_orders(state, service, map, now, effects);
  if (map.pending_write || now < map.next_write ||
      !store_reachable(state, now) || !knows_stored(state, map)) {
    return;
  }
  // A write of an earlier era that was carried out late may have replaced it.
  if (is_lost(state, map) || map.stored != map.position) {
    return start_write(state, map, map_after_loss(state, map, now), now,
                       effects);
  }
  auto next = replan(state, service, map, now, effects);
  if (next) start_write(state, map, std::move(*next), now, effects);
}

void tick_service(State& state, const ServiceName& service, TimePoint now,
                  Effects& effects) {
  MapState& map = state.maps[service];
  if (map.pending_write && map.resend_write && now >= map.next_write)
    send_write(map, now, effects);
  bool behind = map.behind_since &&
                now - *map.behind_since >= config::kOutdatedMapReadDelay;
  bool unknown = (!map.map && !map.absent_since) || map.must_verify || behind ||
                 !knows_stored(state, map);
  if (unknown && now >= map.next_read) {
    map.next_read = now + kMapReadInterval;
    effects.emplace_back(ReadMap{service, now});
  }
  if (map.coordinator_role)
    run_coordinator_role(state, service, map, now, effects);
  if (map.coordinator_role || now < map.next_write) return;
  if (!knows_stored(state, map) || !should_take_over(state, service, map, now))
    return;
  if (map.map) {
    log_event(effects, "coordinator_stands",
              {{"service", service.str()},
               {"term", text(map.map->term.next().value)},
               {"before", map.map->coordinator.str()},
               {"silent", text(now - map.coordinator_heartbeat_at)}});
    return start_write(state, map, take_over_map(state, map, now), now,
                       effects);
  }
  auto first = first_map(state, service, now);
  if (first) start_write(state, map, std::move(*first), now, effects);
}

}  // namespace

void on_map(State& state, const MapSeen& seen, TimePoint now,
            Effects& effects) {
  if (seen.read_in < current_era(state)) return;
  MapState& map = state.maps[seen.map.service];
  StorePosition position{seen.map.era, seen.revision};
  map.stored = std::max(map.stored, {seen.read_in, seen.revision});
  // The answer may have waited here, and tells nothing of what came after it.
  bool verified = map.must_verify && seen.sent_at >= map.doubted_at;
  if (verified) map.must_verify = false;
  map.confirmed_at = std::max(map.confirmed_at, seen.sent_at);
  if (map.map && position <= map.position) {
    map.behind_since.reset();
    if (verified) resume_coordinator_role(state, map, now, effects);
    return;
  }
  if (map.pending_write) map.pending_write.reset();
  adopt(state, map, seen.map, position, now, effects);
}

void on_map_change(State& state, const MapChangeReceived& received,
                   TimePoint now, Effects& effects) {
  MapChange change = received.change;
  if (!change.states_era)
    change.base.era = change.position.era = current_era(state);
  if (change.forward_within_zone)
    forward_map_change(state, change, now, effects);
  auto found = state.maps.find(change.service);
  if (found == state.maps.end() || !found->second.map) return;
  MapState& map = found->second;
  // A change of any other base is ignored; heartbeats show that the map is
  // outdated, and it is read from the store.
  if (change.base != map.position || map.pending_write || map.coordinator_role)
    return;
  auto next = apply_change(*map.map, change);
  if (next) adopt(state, map, *next, change.position, now, effects);
}

void on_map_missing(State& state, const MapMissing& missing, TimePoint now) {
  if (missing.read_in < current_era(state)) return;
  MapState& map = state.maps[missing.service];
  map.stored = std::max(map.stored, {missing.read_in, Version()});
  if (map.map) return;
  if (!map.absent_since) map.absent_since = now;
  map.behind_since.reset();
  map.next_read = now + kMapReadInterval;
}

void on_map_written(State& state, const MapWriteEnded& ended, TimePoint now,
                    Effects& effects) {
  MapState& map = state.maps[ended.service];
  if (!map.pending_write || ended.number != map.write_number) return;
  switch (ended.outcome) {
    case WriteOutcome::kWritten: {
      OwnerMap written = std::move(*map.pending_write);
      map.pending_write.reset();
      map.confirmed_at = std::max(map.confirmed_at, map.write_sent_at);
      if (map.map) {
        MapChange change =
            change_between(*map.map, map.position, written, ended.position);
        change.states_era = state.store_era.has_value();
        send_map_change(state, std::move(change), now, effects);
      }
      adopt(state, map, written, ended.position, now, effects);
      break;
    }
    case WriteOutcome::kConflict:
      map.pending_write.reset();
      map.next_write = now + kWriteRetryDelay;
      effects.emplace_back(ReadMap{ended.service, now});
      break;
    case WriteOutcome::kWriteRefused:
      // An earlier send of the same write may still be carried out.
      map.resend_write = map.write_may_be_done;
      if (!map.write_may_be_done) map.pending_write.reset();
      map.next_write = now + kWriteRetryDelay;
      break;
    case WriteOutcome::kUnknown:
      // The same write is sent again; the answer shows whether it was done.
      map.resend_write = true;
      map.write_may_be_done = true;
      map.next_write = now + kWriteRetryDelay;
      break;
  }
  if (ended.outcome != WriteOutcome::kWritten) {
    log_event(effects, "map_not_written",
              {{"service", ended.service.str()},
               {"outcome", std::to_string(static_cast<int>(ended.outcome))},
               {"base", text(map.stored)}});
  }
}

namespace {

/// A coordinator of an earlier term that knows of this one, or has ended, sends
/// no more orders. Once all have, those of before expire.
void end_predecessor(const State& state, MapState& map,
                     const Heartbeat& heartbeat, TermEpoch known_term,
                     TimePoint now) {
  CoordinatorRole& role = *map.coordinator_role;
  auto found = std::find_if(role.predecessors.begin(), role.predecessors.end(),
                            [&heartbeat](const DaemonIncarnation& daemon) {
                              return daemon.name == heartbeat.daemon.name;
                            });
  if (found == role.predecessors.end()) return;
  // A heartbeat of an earlier process may come late.
  bool ended = heartbeat.daemon.incarnation > found->incarnation;
  if (!ended && known_term < map.map->term) return;
  role.predecessors.erase(found);
  if (!role.predecessors.empty()) return;
  TimePoint end = now + longest_hold_of_ended_role(state.settings);
  for (auto& [server, grants] : role.possible_grants) {
    for (PossibleGrant& grant : grants) {
      grant.until = std::min(grant.until, end);
      grant.until_if_restarted = std::min(grant.until_if_restarted, end);
    }
  }
}

/// Takes note of what a daemon states that may have made lost grants.
void hear_lost_coordinator(const State& state, MapState& map,
                           const Heartbeat& heartbeat,
                           const Heartbeat::Term& term, TimePoint now,
                           Effects& effects) {
  CoordinatorRole& role = *map.coordinator_role;
  if (!role.lost_grants_until) return;
  auto found =
      std::find_if(role.lost_coordinators.begin(), role.lost_coordinators.end(),
                   [&heartbeat](const DaemonIncarnation& daemon) {
                     return daemon.name == heartbeat.daemon.name;
                   });
  if (found == role.lost_coordinators.end()) return;
  bool ended = heartbeat.daemon.incarnation > found->incarnation;
  bool has_not_coordinated =
      heartbeat.daemon.incarnation == found->incarnation && term.coordinated &&
      *term.coordinated < role.term_before_loss;
  bool knows_this_term = !is_lost(state, map) && term.term >= map.map->term;
  if (!has_not_coordinated && !ended && !knows_this_term) return;
  if (!has_not_coordinated) role.grants_may_be_lost = true;
  role.lost_coordinators.erase(found);
  if (!role.lost_coordinators.empty()) return;
  bound_lost_grants(state, role, now);
  look_at_unconfirmed(role, now);
  log_event(effects, "lost_grants_bounded",
            {{"service", map.map->service.str()},
             {"term", text(map.map->term.value)},
             {"wait", text(*role.lost_grants_until - now)}});
}

}  // namespace

void on_terms(State& state, const Heartbeat& heartbeat, TimePoint now,
              Effects& effects) {
  for (const auto& term : heartbeat.terms) {
    auto found = state.maps.find(term.service);
    if (found == state.maps.end()) continue;
    MapState& map = found->second;
    if (term.position > map.position && !map.behind_since) {
      map.behind_since = now;
    }
    if (!map.map) continue;
    map.highest_term = std::max(map.highest_term, term.term);
    if (map.map->coordinator == heartbeat.daemon.name &&
        map.map->coordinator_incarnation == heartbeat.daemon.incarnation) {
      map.coordinator_heartbeat_at = now;
    }
    if (map.coordinator_role) {
      end_predecessor(state, map, heartbeat, term.term, now);
      hear_lost_coordinator(state, map, heartbeat, term, now, effects);
    }
    if (map.coordinator_role && term.term > map.map->term) {
      end_coordinator_role(map, "higher_term_heard", effects);
      doubt_map(map, now);
    }
  }
}

void on_resumed(State& state, const Resumed& resumed, TimePoint now,
                Effects& effects) {
  log_event(effects, "resumed", {{"gap", text(resumed.gap)}});
  if (resumed.gap < kHarmlessPauseTime) return;
  state.resumed_at = now;
  for (auto& [service, map] : state.maps) {
    if (!map.coordinator_role) continue;
    doubt_map(map, now);
    map.next_read = now;
  }
}

bool is_lost(const State& state, const MapState& map) {
  return map.map && map.position.era < current_era(state);
}

bool lacks_known_term(const State& state, const MapState& map) {
  return state.restored_at && map.map && map.highest_term > map.map->term;
}

void on_maps_lost(State& state, StoreEra before, TimePoint now,
                  Effects& effects) {
  for (auto& [service, map] : state.maps) {
    // A write of the earlier era may be carried out late; the record is read
    // before the next write.
    map.pending_write.reset();
    map.absent_since.reset();
    map.next_write = now;
    // The list of all records comes first.
    map.next_read =
        now + (map.coordinator_role ? Duration(0) : kMapReadInterval);
    if (!map.map) continue;
    // During a pause or without the store, this daemon may have missed changes.
    bool missed_changes = map.behind_since || map.must_verify ||
                          now - state.resumed_at < longest_hold(state.settings);
    bool was_latest =
        map.position.era >= before || map.known_before_restoration;
    map.known_before_restoration = was_latest && !missed_changes;
    if (map.must_verify) end_coordinator_role(map, "store_restored", effects);
    if (!map.coordinator_role) continue;
    CoordinatorRole& role = *map.coordinator_role;
    bool lost_before =
        role.lost_grants_until.has_value() && now < *role.lost_grants_until;
    role.unknown_coordinators = role.unknown_coordinators && lost_before;
    expect_lost_grants(state, role, map.map->term, lost_before, now);
    log_event(effects, "map_lost",
              {{"service", service.str()},
               {"term", text(map.map->term.value)},
               {"position", text(map.position)}});
  }
}

void tick_ownership(State& state, TimePoint now, Effects& effects) {
  if (!state.configuration) return;
  for (const auto& [name, service] : state.configuration->services) {
    if (service.keyed) tick_service(state, name, now, effects);
  }
}

}  // namespace eelgrasspin::fleet
