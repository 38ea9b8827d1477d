#include "core/membership/store_sync.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/membership/coordinator_lease.h"
#include "core/membership/peer_send.h"

namespace eelgrasspin::core::membership {
namespace {

constexpr StoreOpId kNoOp{0};

void record_store_failure(core::State& state, const StoreUnavailable& failure,
                          Now now, Effects& effects) {
  StoreSync& sync = state.membership.sync;
  bool answered_recently =
      sync.last_answer && now.mono - *sync.last_answer < config::kStoreTimeout;
  if (sync.recorded_down || answered_recently) return;
  sync.recorded_down = true;
  record(state, {.kind = TimelineKind::kStoreDown, .cause = failure.reason},
         now, effects);
}

void update_store_status(core::State& state, const StoreAnswered& answer,
                         Now now, Effects& effects) {
  if (const auto* failure = std::get_if<StoreUnavailable>(&answer.result))
    record_store_failure(state, *failure, now, effects);
  else
    mark_store_up(state, now, effects);
}

void start_list(core::State& state, Now now, Effects& effects) {
  StoreSync& sync = state.membership.sync;
  sync.list_op = next_store_op(state);
  sync.list_sent = now.mono;
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreList{sync.list_op, live_prefix()});
}

void start_watch(core::State& state, Now now, Effects& effects) {
  StoreSync& sync = state.membership.sync;
  sync.watch_op = next_store_op(state);
  sync.watch_sent = now.mono;
  ++state.counters[Counter::kStoreWatches];
  effects.push_back(StoreWatch{sync.watch_op, live_prefix(),
                               state.membership.revision,
                               config::kStoreWatchTimeout});
}

/// A cached key that is missing from a full list has been deleted.
void apply_deletions(core::State& state, const StoreRead& read, Now now,
                     Effects& effects) {
  std::set<StoreKey> listed_keys;
  for (const StoreEntry& entry : read.entries) listed_keys.insert(entry.key);
  std::vector<StoreEntry> deletions;
  for_each_prefixed(state.cache, live_prefix(), [&](const StoreEntry& entry) {
    bool exists = !std::holds_alternative<std::monostate>(entry.record);
    if (!exists || entry.version >= read.revision) return;
    if (listed_keys.contains(entry.key)) return;
    deletions.push_back({entry.key, read.revision, std::monostate{}});
  });
  for (const StoreEntry& entry : deletions)
    apply_entry(state, entry, now, effects);
}

void apply_read(core::State& state, const StoreRead& read, Now now,
                Effects& effects) {
  for (const StoreEntry& entry : read.entries)
    apply_entry(state, entry, now, effects);
  Version& revision = state.membership.revision;
  revision = std::max(revision, read.revision);
}

void on_list(core::State& state, const StoreAnswered& answer, Now now,
             Effects& effects) {
  StoreSync& sync = state.membership.sync;
  sync.list_op = kNoOp;
  const auto* read = std::get_if<StoreRead>(&answer.result);
  if (read == nullptr) {
    ++state.counters[Counter::kStoreUnavailable];
    sync.next_list = now.mono + config::kStoreRetryInterval;
    return;
  }
  apply_read(state, *read, now, effects);
  apply_deletions(state, *read, now, effects);
  sync.listed = true;
  sync.next_list = now.mono + config::kUnrelayedListInterval;
  on_zone_read(state, state.self.zone, sync.list_sent, now);
}

/// Whether a changed entry is relayed to a zone's members. Lease renewals are
/// not.
bool needs_relay(core::State& state, const StoreEntry& entry) {
  if (std::holds_alternative<DamagedRecord>(entry.record)) return false;
  const auto* lease = std::get_if<CoordinatorLease>(&entry.record);
  if (lease == nullptr) return true;
  RelayedLease current{lease->epoch, lease->released};
  auto [it, inserted] =
      state.membership.sync.relayed_leases.emplace(lease->zone, current);
  bool changed = inserted || it->second != current;
  it->second = current;
  return changed;
}

void send_to_members(core::State& state, StoreRelay relay, Now now,
                     Effects& effects) {
  for (const ZoneName& zone : coordinated_zones(state, now)) {
    const ZoneRoster* zone_roster = roster(state.cache, zone);
    if (zone_roster == nullptr) continue;
    relay.zone = zone;
    relay.coordinator_epoch = coordinator_epoch(state, zone);
    for (const RosterMember& member : zone_roster->members) {
      if (member.daemon != state.self.name)
        send_peer(state, member.address, relay, effects);
    }
  }
}

void relay_changes(core::State& state, const StoreRead& read, Now now,
                   Effects& effects) {
  StoreSync& sync = state.membership.sync;
  StoreRelay relay{.since = sync.newest_relayed, .revision = read.revision};
  for (const StoreEntry& entry : read.entries) {
    if (!needs_relay(state, entry)) continue;
    relay.entries.push_back(entry);
    sync.newest_relayed = std::max(sync.newest_relayed, entry.version);
  }
  if (relay.entries.empty()) return;
  send_to_members(state, std::move(relay), now, effects);
}

void on_watch(core::State& state, const StoreAnswered& answer, Now now,
              Effects& effects) {
  StoreSync& sync = state.membership.sync;
  sync.watch_op = kNoOp;
  const auto* read = std::get_if<StoreRead>(&answer.result);
  if (read == nullptr) {
    ++state.counters[Counter::kStoreUnavailable];
    sync.next_watch = now.mono + config::kStoreRetryInterval;
    return;
  }
  apply_read(state, *read, now, effects);
  relay_changes(state, *read, now, effects);
  sync.next_watch =
      std::max(sync.watch_sent + config::kMinWatchInterval, now.mono);
}

/// After a write of this daemon the next watch starts at once, so that the
/// written value is relayed without delay.
void expedite_watch(core::State& state, Now now) {
  for (const SettledWrite& write : state.writer.settled) {
    bool live = write.key.str().starts_with(live_prefix().str());
    bool lease = find<CoordinatorLease>(state.cache, write.key) != nullptr;
    if (write.took_effect && live && !lease)
      state.membership.sync.next_watch = now.mono;
  }
}

void on_relay(core::State& state, const StoreRelay& relay, Now now,
              Effects& effects) {
  for (const StoreEntry& entry : relay.entries)
    apply_entry(state, entry, now, effects);
  Version& revision = state.membership.revision;
  if (relay.since <= revision) revision = std::max(revision, relay.revision);
}

void on_cache_request(core::State& state, const CacheRequest& request,
                      Effects& effects) {
  if (request.daemon == state.self.name) return;
  send_missing_entries(state, request.address, Version(0), effects);
}

/// Asks other daemons for their cached entries while the store does not answer
/// and this daemon has not listed it yet.
void request_caches(core::State& state, Now now, Effects& effects) {
  StoreSync& sync = state.membership.sync;
  if (sync.listed || !sync.recorded_down || now.mono < sync.next_cache_request)
    return;
  sync.next_cache_request = now.mono + config::kHeartbeatInterval;
  std::set<Endpoint> targets(state.self.seeds.begin(), state.self.seeds.end());
  if (const ZoneRoster* own_roster = roster(state.cache, state.self.zone)) {
    for (const RosterMember& member : own_roster->members)
      targets.insert(member.address);
  }
  targets.erase(state.self.address);
  for (const Endpoint& target : targets) {
    CacheRequest request{state.self.name, state.self.address};
    send_peer(state, target, std::move(request), effects);
  }
}

bool list_is_due(const core::State& state, Now now) {
  const StoreSync& sync = state.membership.sync;
  if (sync.list_op != kNoOp || now.mono < sync.next_list) return false;
  if (!sync.listed) return true;
  return coordinated_zones(state, now).empty() &&
         coordinator_timed_out(state, state.self.zone, now);
}

void watch_if_due(core::State& state, Now now, Effects& effects) {
  const StoreSync& sync = state.membership.sync;
  if (!sync.listed || sync.watch_op != kNoOp || now.mono < sync.next_watch)
    return;
  if (!coordinated_zones(state, now).empty()) start_watch(state, now, effects);
}

/// Abandons store calls whose answer is overdue.
void abandon_overdue_calls(core::State& state, Now now) {
  StoreSync& sync = state.membership.sync;
  Duration list_age = now.mono - sync.list_sent;
  if (list_age > 2 * config::kStoreTimeout) sync.list_op = kNoOp;
  Duration watch_age = now.mono - sync.watch_sent;
  if (watch_age > config::kStoreWatchTimeout + 2 * config::kStoreTimeout)
    sync.watch_op = kNoOp;
}

void record_declarations(core::State& state, Now now, Effects& effects) {
  Version version = version_of(state.cache, declarations_key());
  Version& adopted = state.membership.sync.adopted_declarations;
  if (version == adopted || declarations(state.cache) == nullptr) return;
  adopted = version;
  record(state, {.kind = TimelineKind::kDeclarationsAdopted}, now, effects);
}

void on_peer_message(core::State& state, const PeerMessage& message, Now now,
                     Effects& effects) {
  ++state.counters[Counter::kPeerMessagesReceived];
  if (const auto* relay = std::get_if<StoreRelay>(&message))
    on_relay(state, *relay, now, effects);
  else if (const auto* request = std::get_if<CacheRequest>(&message))
    on_cache_request(state, *request, effects);
}

void on_store_answer(core::State& state, const StoreAnswered& answer, Now now,
                     Effects& effects) {
  update_store_status(state, answer, now, effects);
  if (answer.op == state.membership.sync.list_op)
    on_list(state, answer, now, effects);
  else if (answer.op == state.membership.sync.watch_op)
    on_watch(state, answer, now, effects);
}

}  // namespace

void mark_store_up(core::State& state, Now now, Effects& effects) {
  StoreSync& sync = state.membership.sync;
  sync.last_answer = now.mono;
  if (!sync.recorded_down) return;
  sync.recorded_down = false;
  record(state, {.kind = TimelineKind::kStoreUp}, now, effects);
}

ApplyResult apply_entry(core::State& state, const StoreEntry& entry, Now now,
                        Effects& effects) {
  if (!state.guards.check_map_version && entry.version.value > 0)
    state.cache.entries[entry.key].version = Version(0);
  ApplyResult applied = apply(state.cache, entry);
  std::set<StoreKey>& damaged = state.membership.sync.damaged;
  if (applied == ApplyResult::kApplied) damaged.erase(entry.key);
  if (applied != ApplyResult::kDamaged) return applied;
  damaged.insert(entry.key);
  ++state.counters[Counter::kDamagedRecords];
  record(state,
         {.kind = TimelineKind::kDamagedRecord,
          .cause = std::get<DamagedRecord>(entry.record).reason,
          .detail = entry.key.str()},
         now, effects);
  return applied;
}

void send_missing_entries(core::State& state, const Endpoint& to, Version since,
                          Effects& effects) {
  std::vector<StoreEntry> missing;
  for (const auto& [key, entry] : state.cache.entries) {
    bool damaged = state.membership.sync.damaged.contains(key);
    if (entry.version > since && !damaged) missing.push_back(entry);
  }
  std::sort(missing.begin(), missing.end(),
            [](const StoreEntry& left, const StoreEntry& right) {
              return left.version < right.version;
            });
  StoreRelay relay{.zone = state.self.zone, .since = since};
  for (StoreEntry& entry : missing) {
    relay.entries.push_back(std::move(entry));
    if (relay.entries.size() < config::kMaxRelayEntries) continue;
    Version last_version = relay.entries.back().version;
    relay.revision = std::min(last_version, state.membership.revision);
    Version next_since = relay.revision;
    send_peer(state, to, std::exchange(relay, {}), effects);
    relay.zone = state.self.zone;
    relay.since = next_since;
  }
  if (relay.entries.empty()) return;
  relay.revision = std::max(relay.since, state.membership.revision);
  send_peer(state, to, std::move(relay), effects);
}

void announce_coordinator(core::State& state, const ZoneName& zone,
                          Effects& effects) {
  const ZoneRoster* zone_roster = roster(state.cache, zone);
  auto lease = state.cache.entries.find(coordinator_lease_key(zone));
  if (zone_roster == nullptr || lease == state.cache.entries.end()) return;
  StoreRelay relay{.zone = zone,
                   .coordinator_epoch = coordinator_epoch(state, zone),
                   .entries = {lease->second}};
  for (const RosterMember& member : zone_roster->members) {
    if (member.daemon != state.self.name)
      send_peer(state, member.address, relay, effects);
  }
}

void step_store_sync(core::State& state, const Event& event, Now now,
                     Effects& effects) {
  expedite_watch(state, now);
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_store_answer(state, *answer, now, effects);
  if (const auto* received = std::get_if<PeerReceived>(&event))
    on_peer_message(state, received->message, now, effects);
  record_declarations(state, now, effects);
  bool timer_event = std::holds_alternative<Tick>(event) ||
                     std::holds_alternative<Started>(event);
  if (!timer_event) return;
  abandon_overdue_calls(state, now);
  if (list_is_due(state, now)) start_list(state, now, effects);
  request_caches(state, now, effects);
  watch_if_due(state, now, effects);
}

}  // namespace eelgrasspin::core::membership
