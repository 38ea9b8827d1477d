#include "core/membership/coordinator_lease.h"

#include <algorithm>
#include <utility>

#include "core/membership/fences.h"
#include "core/membership/store_sync.h"

namespace eelgrasspin::core::membership {
namespace {

constexpr StoreOpId kNoOp{0};
/// Time without a change of the lease after which it may be taken over.
constexpr Duration kTakeoverWait =
    config::kCoordinatorLeaseTerm + config::kLeaseMargin;
/// Time for which a holder relies on a write of its lease, from its sending.
constexpr Duration kLeaseValidity =
    config::kCoordinatorLeaseTerm - config::kLeaseMargin;

const CoordinatorLease* stored_lease(const core::State& state,
                                     const ZoneName& zone) {
  return coordinator_lease(state.cache, zone);
}

/// Whether the lease may be claimed without waiting for a term to expire.
bool is_vacant(const core::State& state, const ZoneName& zone) {
  const CoordinatorLease* stored = stored_lease(state, zone);
  if (stored != nullptr) return stored->released;
  bool absent = version_of(state.cache, coordinator_lease_key(zone)).value == 0;
  return absent && state.membership.sync.listed;
}

/// Rank among the candidates of the own zone, from 0. Staggers their claims.
std::uint32_t candidate_rank(const core::State& state) {
  const ZoneRoster* zone_roster = roster(state.cache, state.self.zone);
  if (zone_roster == nullptr) return 0;
  const CoordinatorLease* stored = stored_lease(state, state.self.zone);
  std::uint32_t rank = 0;
  for (const RosterMember& member : zone_roster->members) {
    bool is_holder = stored != nullptr && member.daemon == stored->holder;
    if (!is_holder && member.daemon < state.self.name) ++rank;
  }
  return rank;
}

void update_first_seen(core::State& state, const ZoneName& zone,
                       ObservedLease& lease, Now now) {
  Version version = version_of(state.cache, coordinator_lease_key(zone));
  if (lease.first_seen && lease.seen_version == version) return;
  lease.seen_version = version;
  lease.first_seen = now.mono;
  if (state.stopping) state.membership.next_heartbeat = now.mono;
}

/// Without a running watch the leases of other zones were not observed
/// continuously, so the time since their last change is unknown.
void reset_other_zone_observations(core::State& state) {
  for (auto& [zone, lease] : state.membership.leases) {
    if (zone != state.self.zone && !lease.held) lease.first_seen.reset();
  }
}

void become_coordinator(core::State& state, const ZoneName& zone,
                        ObservedLease& lease, Now now, Effects& effects) {
  if (zone == state.self.zone) reset_other_zone_observations(state);
  lease.active = true;
  lease.coordinator_since = now.mono;
  state.membership.zones[zone] = CoordinatedZone{};
  state.membership.sync.newest_relayed = state.membership.revision;
  state.membership.sync.relayed_leases.clear();
  state.membership.sync.next_watch = now.mono;
  ++state.counters[Counter::kCoordinatorTerms];
  record(state,
         {.zone = zone,
          .kind = TimelineKind::kCoordinatorGained,
          .epoch = lease.epoch.value},
         now, effects);
  announce_coordinator(state, zone, effects);
}

void end_coordinator_role(core::State& state, const ZoneName& zone,
                          ObservedLease& lease, const std::string& cause,
                          Now now, Effects& effects) {
  if (!lease.active) return;
  lease.active = false;
  state.membership.zones.erase(zone);
  record(state,
         {.zone = zone,
          .kind = TimelineKind::kCoordinatorLost,
          .epoch = lease.epoch.value,
          .cause = cause},
         now, effects);
}

void give_up_lease(core::State& state, const ZoneName& zone,
                   ObservedLease& lease, const std::string& cause, Now now,
                   Effects& effects) {
  end_coordinator_role(state, zone, lease, cause, now, effects);
  lease.held = false;
  lease.releasing = false;
  lease.last_coordinator_message = now.mono;
}

void on_lease_write_settled(core::State& state, const ZoneName& zone,
                            ObservedLease& lease, const SettledWrite& write,
                            Now now, Effects& effects) {
  const CoordinatorLease* stored = stored_lease(state, zone);
  bool is_own_lease = write.took_effect && stored != nullptr &&
                      stored->holder == state.self.name;
  if (!is_own_lease || stored->released) {
    give_up_lease(state, zone, lease, is_own_lease ? "released" : "taken over",
                  now, effects);
    if (is_own_lease) announce_coordinator(state, zone, effects);
    return;
  }
  lease.held = true;
  lease.epoch = stored->epoch;
  lease.valid_until = write.first_sent + kLeaseValidity;
  lease.next_renewal = write.first_sent + config::kCoordinatorRenewInterval;
  confirm_membership(lease, write.first_sent);
  if (!lease.active && now.mono < lease.valid_until)
    become_coordinator(state, zone, lease, now, effects);
}

void write_lease(core::State& state, const ZoneName& zone,
                 const CoordinatorLease& next, Now now, Effects& effects) {
  StoreKey key = coordinator_lease_key(zone);
  start_write(state, key, version_of(state.cache, key), next, now, effects);
}

void claim_lease(core::State& state, const ZoneName& zone, ObservedLease& lease,
                 Now now, Effects& effects) {
  const CoordinatorLease* stored = stored_lease(state, zone);
  bool expired = stored != nullptr && !stored->released;
  lease.previous_holder = expired ? stored->holder : DaemonName();
  CoordinatorLease next{.zone = zone,
                        .holder = state.self.name,
                        .address = state.self.address,
                        .epoch = TermEpoch(1),
                        .sequence = new_write_id(state)};
  if (stored != nullptr) next.epoch = stored->epoch.next();
  write_lease(state, zone, next, now, effects);
}

void renew_lease(core::State& state, const ZoneName& zone, ObservedLease& lease,
                 Now now, Effects& effects) {
  CoordinatorLease next = *stored_lease(state, zone);
  ++next.sequence;
  next.released = lease.releasing;
  lease.next_renewal = now.mono + config::kCoordinatorRenewInterval;
  write_lease(state, zone, next, now, effects);
}

void step_holder(core::State& state, const ZoneName& zone, ObservedLease& lease,
                 Now now, Effects& effects) {
  if (lease.active && now.mono >= lease.valid_until)
    end_coordinator_role(state, zone, lease, "lapsed", now, effects);
  const CoordinatorLease* stored = stored_lease(state, zone);
  bool is_own_lease = stored != nullptr && stored->holder == state.self.name &&
                      stored->epoch == lease.epoch && !stored->released;
  if (!is_own_lease) {
    give_up_lease(state, zone, lease, "taken over", now, effects);
    return;
  }
  if (state.stopping) lease.releasing = true;
  if (write_pending(state, coordinator_lease_key(zone))) return;
  if (lease.releasing || now.mono >= lease.next_renewal)
    renew_lease(state, zone, lease, now, effects);
}

void read_if_due(core::State& state, const ZoneName& zone, ObservedLease& lease,
                 Now now, Effects& effects) {
  if (now.mono - lease.read_sent > 2 * config::kStoreTimeout)
    lease.read_op = kNoOp;
  if (lease.read_op != kNoOp || now.mono < lease.next_read) return;
  std::uint32_t rate_divisor =
      1 + candidate_rank(state) / config::kLeaseReadersAtFullRate;
  lease.next_read = now.mono + rate_divisor * config::kLeaseReadInterval;
  lease.read_op = next_store_op(state);
  lease.read_sent = now.mono;
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreList{lease.read_op, zone_prefix(zone)});
}

/// Whether the lease as last seen may be claimed, `delay` after the earliest
/// possible time.
bool may_claim(const core::State& state, const ZoneName& zone,
               const ObservedLease& lease, Duration delay, Now now) {
  if (!lease.first_seen) return false;
  if (is_vacant(state, zone)) return now.mono >= *lease.first_seen + delay;
  if (stored_lease(state, zone) == nullptr) return false;
  Duration wait = state.guards.lease_wait ? kTakeoverWait : Duration(0);
  return now.mono >= *lease.first_seen + wait + delay;
}

void step_own_zone_candidate(core::State& state, const ZoneName& zone,
                             ObservedLease& lease, Now now, Effects& effects) {
  bool vacant = is_vacant(state, zone);
  if (!vacant && !coordinator_timed_out(state, zone, now)) return;
  if (!vacant) read_if_due(state, zone, lease, now, effects);
  bool read_since_last_message =
      lease.last_read && *lease.last_read > lease.last_coordinator_message;
  if (!vacant && !read_since_last_message) return;
  Duration delay = candidate_rank(state) * config::kClaimStagger;
  if (may_claim(state, zone, lease, delay, now))
    claim_lease(state, zone, lease, now, effects);
}

/// Only a coordinator is a candidate for other zones, because its watch shows
/// every lease.
void step_other_zone_candidate(core::State& state, const ZoneName& zone,
                               ObservedLease& lease, Now now,
                               Effects& effects) {
  if (!coordinates(state, state.self.zone, now)) return;
  Duration delay = zone_is_fenced(state, zone)
                       ? Duration(0)
                       : config::kOtherZoneCandidateDelay;
  if (may_claim(state, zone, lease, delay, now))
    claim_lease(state, zone, lease, now, effects);
}

void step_zone(core::State& state, const ZoneName& zone, Now now,
               Effects& effects) {
  ObservedLease& lease = state.membership.leases[zone];
  if (lease.held) {
    step_holder(state, zone, lease, now, effects);
    return;
  }
  if (state.stopping || write_pending(state, coordinator_lease_key(zone)))
    return;
  if (zone == state.self.zone)
    step_own_zone_candidate(state, zone, lease, now, effects);
  else
    step_other_zone_candidate(state, zone, lease, now, effects);
}

bool has_servers(const Declarations& declared, const ZoneName& zone) {
  return std::any_of(
      declared.servers.begin(), declared.servers.end(),
      [&](const auto& server) { return server.second.zone == zone; });
}

/// The own zone, zones whose lease is held, and zones that may need a
/// coordinator: those of the region and any that an operator fenced.
std::vector<ZoneName> zones_to_step(const core::State& state, Now now) {
  std::vector<ZoneName> zones{state.self.zone};
  const Declarations* declared = declarations(state.cache);
  bool serves_other_zones =
      declared != nullptr && coordinates(state, state.self.zone, now);
  if (serves_other_zones) {
    for (const auto& [name, zone] : declared->zones) {
      bool eligible =
          zone.region == state.self.region || zone_is_fenced(state, name);
      bool other = name != state.self.zone;
      if (other && eligible && has_servers(*declared, name))
        zones.push_back(name);
    }
  }
  for (const auto& [name, lease] : state.membership.leases) {
    bool listed = std::find(zones.begin(), zones.end(), name) != zones.end();
    if (lease.held && !listed) zones.push_back(name);
  }
  return zones;
}

void on_lease_read(core::State& state, const StoreAnswered& answer, Now now,
                   Effects& effects) {
  for (auto& [zone, lease] : state.membership.leases) {
    if (lease.read_op == kNoOp || lease.read_op != answer.op) continue;
    lease.read_op = kNoOp;
    const auto* read = std::get_if<StoreRead>(&answer.result);
    if (read == nullptr) {
      ++state.counters[Counter::kStoreUnavailable];
      return;
    }
    for (const StoreEntry& entry : read->entries)
      apply_entry(state, entry, now, effects);
    on_zone_read(state, zone, lease.read_sent, now);
    return;
  }
}

void handle_settled_writes(core::State& state, Now now, Effects& effects) {
  for (auto& [zone, lease] : state.membership.leases) {
    const SettledWrite* write =
        settled_write(state, coordinator_lease_key(zone));
    if (write != nullptr)
      on_lease_write_settled(state, zone, lease, *write, now, effects);
  }
}

}  // namespace

void step_leases(core::State& state, const Event& event, Now now,
                 Effects& effects) {
  if (std::holds_alternative<Started>(event))
    state.membership.leases[state.self.zone].last_coordinator_message =
        now.mono;
  handle_settled_writes(state, now, effects);
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_lease_read(state, *answer, now, effects);
  for (const ZoneName& zone : zones_to_step(state, now)) {
    update_first_seen(state, zone, state.membership.leases[zone], now);
    step_zone(state, zone, now, effects);
  }
}

void confirm_membership(ObservedLease& lease, TimePoint sent) {
  if (!lease.last_confirmed || *lease.last_confirmed < sent)
    lease.last_confirmed = sent;
}

void on_zone_read(core::State& state, const ZoneName& zone, TimePoint sent,
                  Now now) {
  ObservedLease& lease = state.membership.leases[zone];
  lease.last_read = now.mono;
  confirm_membership(lease, sent);
}

bool coordinator_timed_out(const core::State& state, const ZoneName& zone,
                           Now now) {
  const ObservedLease* lease = observed_lease(state, zone);
  if (lease == nullptr) return true;
  TimePoint timeout_start =
      std::max(lease->last_coordinator_message, state.membership.running_since);
  return now.mono - timeout_start > config::kCoordinatorTimeout;
}

void release_lease(core::State& state, const ZoneName& zone) {
  auto it = state.membership.leases.find(zone);
  if (it != state.membership.leases.end() && it->second.held)
    it->second.releasing = true;
}

const ObservedLease* observed_lease(const core::State& state,
                                    const ZoneName& zone) {
  auto it = state.membership.leases.find(zone);
  return it == state.membership.leases.end() ? nullptr : &it->second;
}

}  // namespace eelgrasspin::core::membership
