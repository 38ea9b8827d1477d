#include <algorithm>
#include <utility>

#include "core/membership/coordinator_lease.h"
#include "core/membership/fences.h"
#include "core/membership/store_sync.h"

namespace eelgrasspin::core::membership {
namespace {

constexpr StoreOpId kNoOp{0};
constexpr Duration kLapseWait =
    config::kCoordinatorLeaseTerm + config::kLeaseMargin;
constexpr Duration kValidity =
    config::kCoordinatorLeaseTerm - config::kLeaseMargin;

const CoordinatorLease* known_lease(const core::State& state,
                                    const ZoneName& zone) {
  return coordinator_lease(state.cache, zone);
}

/// Free to be claimed without any wait.
bool is_vacant(const core::State& state, const ZoneName& zone) {
  const CoordinatorLease* known = known_lease(state, zone);
  if (known != nullptr) return known->released;
  bool absent = version_of(state.cache, coordinator_lease_key(zone)).value == 0;
  return absent && state.membership.sync.listed;
}

/// Place among the candidates of the home zone, from 0. Spreads their claims.
std::uint32_t candidate_rank(const core::State& state) {
  const ZoneRoster* members = roster(state.cache, state.self.zone);
  if (members == nullptr) return 0;
  const CoordinatorLease* known = known_lease(state, state.self.zone);
  std::uint32_t rank = 0;
  for (const RosterMember& member : members->members) {
    bool is_holder = known != nullptr && member.daemon == known->holder;
    if (!is_holder && member.daemon < state.self.name) ++rank;
  }
  return rank;
}

void note_sight(core::State& state, const ZoneName& zone, ZoneLease& lease,
                Now now) {
  Version version = version_of(state.cache, coordinator_lease_key(zone));
  if (lease.first_seen && lease.seen == version) return;
  lease.seen = version;
  lease.first_seen = now.mono;
  if (state.stopping) state.membership.next_heartbeat = now.mono;
}

/// Sights of other zones' leases were kept up by a watch only while one ran.
void forget_foreign_sights(core::State& state) {
  for (auto& [zone, lease] : state.membership.leases) {
    if (zone != state.self.zone && !lease.held) lease.first_seen.reset();
  }
}

void gain(core::State& state, const ZoneName& zone, ZoneLease& lease, Now now,
          Effects& effects) {
  if (zone == state.self.zone) forget_foreign_sights(state);
  lease.active = true;
  lease.since = now.mono;
  state.membership.zones[zone] = ZoneWatch{};
  state.membership.sync.last_change = state.membership.revision;
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

void lose(core::State& state, const ZoneName& zone, ZoneLease& lease,
          const std::string& cause, Now now, Effects& effects) {
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

void give_up(core::State& state, const ZoneName& zone, ZoneLease& lease,
             const std::string& cause, Now now, Effects& effects) {
  lose(state, zone, lease, cause, now, effects);
  lease.held = false;
  lease.releasing = false;
  lease.heard = now.mono;
}

void on_settled(core::State& state, const ZoneName& zone, ZoneLease& lease,
                const SettledWrite& write, Now now, Effects& effects) {
  const CoordinatorLease* known = known_lease(state, zone);
  bool ours =
      write.took_effect && known != nullptr && known->holder == state.self.name;
  if (!ours || known->released) {
    give_up(state, zone, lease, ours ? "released" : "taken over", now, effects);
    if (ours) announce_coordinator(state, zone, effects);
    return;
  }
  lease.held = true;
  lease.epoch = known->epoch;
  lease.valid_until = write.first_sent + kValidity;
  lease.next_renewal = write.first_sent + config::kCoordinatorRenewInterval;
  note_evidence(lease, write.first_sent);
  if (!lease.active && now.mono < lease.valid_until)
    gain(state, zone, lease, now, effects);
}

void write_lease(core::State& state, const ZoneName& zone,
                 const CoordinatorLease& next, Now now, Effects& effects) {
  StoreKey key = coordinator_lease_key(zone);
  start_write(state, key, version_of(state.cache, key), next, now, effects);
}

void claim(core::State& state, const ZoneName& zone, ZoneLease& lease, Now now,
           Effects& effects) {
  const CoordinatorLease* known = known_lease(state, zone);
  bool lapsed = known != nullptr && !known->released;
  lease.earlier_holder = lapsed ? known->holder : DaemonName();
  CoordinatorLease next{.zone = zone,
                        .holder = state.self.name,
                        .address = state.self.address,
                        .epoch = TermEpoch(1),
                        .sequence = new_write_id(state)};
  if (known != nullptr) next.epoch = known->epoch.next();
  write_lease(state, zone, next, now, effects);
}

void renew(core::State& state, const ZoneName& zone, ZoneLease& lease, Now now,
           Effects& effects) {
  CoordinatorLease next = *known_lease(state, zone);
  ++next.sequence;
  next.released = lease.releasing;
  lease.next_renewal = now.mono + config::kCoordinatorRenewInterval;
  write_lease(state, zone, next, now, effects);
}

void step_holder(core::State& state, const ZoneName& zone, ZoneLease& lease,
                 Now now, Effects& effects) {
  if (lease.active && now.mono >= lease.valid_until)
    lose(state, zone, lease, "lapsed", now, effects);
  const CoordinatorLease* known = known_lease(state, zone);
  bool ours = known != nullptr && known->holder == state.self.name &&
              known->epoch == lease.epoch && !known->released;
  if (!ours) {
    give_up(state, zone, lease, "taken over", now, effects);
    return;
  }
  if (state.stopping) lease.releasing = true;
  if (write_pending(state, coordinator_lease_key(zone))) return;
  if (lease.releasing || now.mono >= lease.next_renewal)
    renew(state, zone, lease, now, effects);
}

void read_if_due(core::State& state, const ZoneName& zone, ZoneLease& lease,
                 Now now, Effects& effects) {
  if (now.mono - lease.read_sent > 2 * config::kStoreTimeout)
    lease.read_op = kNoOp;
  if (lease.read_op != kNoOp || now.mono < lease.next_read) return;
  std::uint32_t slower =
      1 + candidate_rank(state) / config::kLeaseReadersAtFullRate;
  lease.next_read = now.mono + slower * config::kLeaseReadInterval;
  lease.read_op = next_store_op(state);
  lease.read_sent = now.mono;
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreList{lease.read_op, zone_prefix(zone)});
}

/// Whether the lease as last seen may be taken over, `delay` after the earliest
/// time.
bool may_claim(const core::State& state, const ZoneName& zone,
               const ZoneLease& lease, Duration delay, Now now) {
  if (!lease.first_seen) return false;
  if (is_vacant(state, zone)) return now.mono >= *lease.first_seen + delay;
  if (known_lease(state, zone) == nullptr) return false;
  Duration wait = state.guards.lease_wait ? kLapseWait : Duration(0);
  return now.mono >= *lease.first_seen + wait + delay;
}

void step_home_candidate(core::State& state, const ZoneName& zone,
                         ZoneLease& lease, Now now, Effects& effects) {
  bool vacant = is_vacant(state, zone);
  if (!vacant && !coordinator_is_silent(state, zone, now)) return;
  if (!vacant) read_if_due(state, zone, lease, now, effects);
  bool read_since_silent = lease.last_read && *lease.last_read > lease.heard;
  if (!vacant && !read_since_silent) return;
  Duration delay = candidate_rank(state) * config::kClaimStagger;
  if (may_claim(state, zone, lease, delay, now))
    claim(state, zone, lease, now, effects);
}

/// Only coordinators look after other zones: their watch shows every lease.
void step_foreign_candidate(core::State& state, const ZoneName& zone,
                            ZoneLease& lease, Now now, Effects& effects) {
  if (!coordinates(state, state.self.zone, now)) return;
  Duration delay = zone_is_fenced(state, zone)
                       ? Duration(0)
                       : config::kOtherZoneCandidateDelay;
  if (may_claim(state, zone, lease, delay, now))
    claim(state, zone, lease, now, effects);
}

void step_zone(core::State& state, const ZoneName& zone, Now now,
               Effects& effects) {
  ZoneLease& lease = state.membership.leases[zone];
  if (lease.held) {
    step_holder(state, zone, lease, now, effects);
    return;
  }
  if (state.stopping || write_pending(state, coordinator_lease_key(zone)))
    return;
  if (zone == state.self.zone)
    step_home_candidate(state, zone, lease, now, effects);
  else
    step_foreign_candidate(state, zone, lease, now, effects);
}

bool has_servers(const Declarations& declared, const ZoneName& zone) {
  return std::any_of(
      declared.servers.begin(), declared.servers.end(),
      [&](const auto& server) { return server.second.zone == zone; });
}

/// The home zone, zones held, and zones that may need a coordinator: the
/// region's, and any that an operator fenced.
std::vector<ZoneName> zones_to_step(const core::State& state, Now now) {
  std::vector<ZoneName> zones{state.self.zone};
  const Declarations* declared = declarations(state.cache);
  bool looks_after_others =
      declared != nullptr && coordinates(state, state.self.zone, now);
  if (looks_after_others) {
    for (const auto& [name, zone] : declared->zones) {
      bool in_charge =
          zone.region == state.self.region || zone_is_fenced(state, name);
      bool other = name != state.self.zone;
      if (other && in_charge && has_servers(*declared, name))
        zones.push_back(name);
    }
  }
  for (const auto& [name, lease] : state.membership.leases) {
    bool listed = std::find(zones.begin(), zones.end(), name) != zones.end();
    if (lease.held && !listed) zones.push_back(name);
  }
  return zones;
}

void on_read(core::State& state, const StoreAnswered& answer, Now now,
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
    note_zone_read(state, zone, lease.read_sent, now);
    return;
  }
}

void note_settled(core::State& state, Now now, Effects& effects) {
  for (auto& [zone, lease] : state.membership.leases) {
    const SettledWrite* write =
        settled_write(state, coordinator_lease_key(zone));
    if (write != nullptr) on_settled(state, zone, lease, *write, now, effects);
  }
}

}  // namespace

void step_leases(core::State& state, const Event& event, Now now,
                 Effects& effects) {
  if (std::holds_alternative<Started>(event))
    state.membership.leases[state.self.zone].heard = now.mono;
  note_settled(state, now, effects);
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_read(state, *answer, now, effects);
  for (const ZoneName& zone : zones_to_step(state, now)) {
    note_sight(state, zone, state.membership.leases[zone], now);
    step_zone(state, zone, now, effects);
  }
}

void note_evidence(ZoneLease& lease, TimePoint sent) {
  if (!lease.evidence || *lease.evidence < sent) lease.evidence = sent;
}

void note_zone_read(core::State& state, const ZoneName& zone, TimePoint sent,
                    Now now) {
  ZoneLease& lease = state.membership.leases[zone];
  lease.last_read = now.mono;
  note_evidence(lease, sent);
}

bool coordinator_is_silent(const core::State& state, const ZoneName& zone,
                           Now now) {
  const ZoneLease* lease = observed_lease(state, zone);
  if (lease == nullptr) return true;
  TimePoint from = std::max(lease->heard, state.membership.resumed);
  return now.mono - from > config::kCoordinatorTimeout;
}

void release_lease(core::State& state, const ZoneName& zone) {
  auto it = state.membership.leases.find(zone);
  if (it != state.membership.leases.end() && it->second.held)
    it->second.releasing = true;
}

const ZoneLease* observed_lease(const core::State& state,
                                const ZoneName& zone) {
  auto it = state.membership.leases.find(zone);
  return it == state.membership.leases.end() ? nullptr : &it->second;
}

}  // namespace eelgrasspin::core::membership
