#include "core/request/ledger.h"

#include <algorithm>
#include <utility>

#include "core/membership/membership.h"
#include "core/request/ledger_load.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

IntentKey key_of(const Intent& intent) {
  return {intent.service, intent.idempotency_key};
}

void send_answer(core::State& state, const DaemonName& daemon,
                 const Endpoint& address, IntentBatchAnswer answer,
                 Effects& effects) {
  if (daemon == state.self.name) {
    state.request.messages_to_self.emplace_back(std::move(answer));
    return;
  }
  ++state.counters[Counter::kPeerMessagesSent];
  effects.push_back(SendPeer{address, std::move(answer)});
}

/// Sets one verdict; answers the batch if it was the last one missing.
void set_verdict(core::State& state, ZoneLedger& ledger,
                 const WaitingIntent& item, IntentVerdict verdict,
                 Effects& effects) {
  auto it = ledger.batches.find(item.batch);
  if (it == ledger.batches.end()) return;
  OpenBatch& batch = it->second;
  batch.verdicts[item.position] = std::move(verdict);
  bool has_missing = std::any_of(batch.verdicts.begin(), batch.verdicts.end(),
                                 [](const auto& known) { return !known; });
  if (has_missing) return;
  IntentBatchAnswer answer{item.batch, {}};
  for (auto& known : batch.verdicts)
    answer.verdicts.push_back(std::move(*known));
  send_answer(state, batch.daemon, batch.address, std::move(answer), effects);
  ledger.batches.erase(it);
}

/// Sets the verdicts of waiting intents that are repeats; appends the others to
/// the open segment.
void process_waiting(core::State& state, ZoneLedger& ledger,
                     IntentSegment& segment, Effects& effects) {
  std::vector<WaitingIntent> later;
  for (WaitingIntent& item : std::exchange(ledger.waiting, {})) {
    IntentKey key = key_of(item.intent);
    auto known = ledger.index.find(key);
    bool same_intent = known != ledger.index.end() &&
                       known->second.intent.intent_id == item.intent.intent_id;
    bool may_run = known == ledger.index.end() ||
                   known->second.intent.state == IntentState::kNotRun;
    if (same_intent && known->second.confirmed) {
      set_verdict(state, ledger, item, {.recorded = true}, effects);
    } else if (!same_intent && !may_run) {
      set_verdict(state, ledger, item, {.earlier = known->second.intent},
                  effects);
    } else if (segment.intents.size() >= config::kMaxIntentSegmentEntries) {
      later.push_back(std::move(item));
    } else {
      ledger.index[key] = {.intent = item.intent,
                           .confirmed = false,
                           .in_own_zone = true,
                           .segment = segment.number,
                           .position = segment.intents.size()};
      segment.intents.push_back(item.intent);
      ledger.committing.push_back(std::move(item));
    }
  }
  ledger.waiting = std::move(later);
}

void write_segment(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
                   IntentSegment& segment, Now now, Effects& effects) {
  StoreKey key = intent_segment_key(zone, segment.number);
  segment.coordinator_epoch = ledger.epoch;
  segment.write_id = new_write_id(state);
  ledger.dirty.erase(segment.number);
  start_write(state, key, version_of(state.cache, key), segment, now, effects);
}

/// Writes the waiting intents to the open segment, or to a new one if that is
/// full.
void commit(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
            Now now, Effects& effects) {
  if (ledger.waiting.empty() || !ledger.committing.empty()) return;
  if (now.mono - ledger.last_commit < config::kIntentCommitInterval) return;
  if (write_pending(state, intent_segment_key(zone, ledger.open_segment)))
    return;
  IntentSegment* segment = &ledger.segments[ledger.open_segment];
  if (segment->sealed) {
    segment = &ledger.segments[++ledger.open_segment];
    *segment = {.zone = zone, .number = ledger.open_segment};
  }
  process_waiting(state, ledger, *segment, effects);
  if (ledger.committing.empty()) return;
  segment->sealed = segment->intents.size() >= config::kMaxIntentSegmentEntries;
  ledger.last_commit = now.mono;
  write_segment(state, zone, ledger, *segment, now, effects);
}

void confirm(core::State& state, ZoneLedger& ledger, Effects& effects) {
  for (WaitingIntent& item : std::exchange(ledger.committing, {})) {
    ++state.counters[Counter::kIntentsRecorded];
    auto known = ledger.index.find(key_of(item.intent));
    if (known != ledger.index.end() &&
        known->second.intent.intent_id == item.intent.intent_id)
      known->second.confirmed = true;
    set_verdict(state, ledger, item, {.recorded = true}, effects);
  }
}

/// Handles the segment writes that settled during this event.
void on_settled(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
                Effects& effects) {
  if (ledger.phase != LedgerPhase::kReady) return;
  for (const SettledWrite& write : state.writer.settled) {
    if (!write.key.str().starts_with(intent_prefix(zone).str())) continue;
    if (!write.took_effect) {
      restart_load(ledger);
      return;
    }
    if (version_of(state.cache, write.key) > Version(0) &&
        find<IntentSegment>(state.cache, write.key) == nullptr)
      state.cache.entries.erase(write.key);
    if (write.key == intent_segment_key(zone, ledger.open_segment))
      confirm(state, ledger, effects);
  }
}

void write_outcomes(core::State& state, const ZoneName& zone,
                    ZoneLedger& ledger, Now now, Effects& effects) {
  if (ledger.dirty.empty()) return;
  if (now.mono - ledger.last_outcome_write < config::kIntentOutcomeInterval)
    return;
  ledger.last_outcome_write = now.mono;
  std::set<std::uint64_t> due = ledger.dirty;
  for (std::uint64_t number : due) {
    if (write_pending(state, intent_segment_key(zone, number))) continue;
    write_segment(state, zone, ledger, ledger.segments[number], now, effects);
  }
}

bool is_expired(const IntentSegment& segment, Now now) {
  return std::all_of(segment.intents.begin(), segment.intents.end(),
                     [&](const Intent& intent) {
                       return now.wall - intent.recorded >
                              config::kIntentRetention;
                     });
}

/// Deletes sealed segments in which every intent is past retention.
void expire(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
            Now now, Effects& effects) {
  if (now.mono - ledger.last_expiry < config::kIntentExpiryInterval) return;
  ledger.last_expiry = now.mono;
  std::erase_if(ledger.segments, [&](const auto& item) {
    const std::uint64_t number = item.first;
    const IntentSegment& segment = item.second;
    StoreKey key = intent_segment_key(zone, number);
    bool due = segment.sealed && is_expired(segment, now) &&
               !write_pending(state, key);
    if (!due) return false;
    std::erase_if(ledger.index, [&](const auto& entry) {
      return entry.second.in_own_zone && entry.second.segment == number;
    });
    ledger.dirty.erase(number);
    start_write(state, key, version_of(state.cache, key), std::monostate(), now,
                effects);
    return true;
  });
  std::erase_if(ledger.index, [&](const auto& entry) {
    return !entry.second.in_own_zone &&
           now.wall - entry.second.intent.recorded > config::kIntentRetention;
  });
}

/// Abandons the writes of a lost coordinator term; the next ledger writer
/// settles them.
void abandon_ledger(core::State& state, const ZoneName& zone) {
  std::string prefix = intent_prefix(zone).str();
  std::vector<StoreKey> pending;
  for (const auto& [key, write] : state.writer.pending) {
    if (key.str().starts_with(prefix)) pending.push_back(key);
  }
  for (const StoreKey& key : pending) abandon_write(state, key);
  state.request.ledgers.erase(zone);
}

void abandon_lost_ledgers(core::State& state, Now now) {
  std::vector<ZoneName> lost;
  for (const auto& [zone, ledger] : state.request.ledgers) {
    if (!membership::coordinates(state, zone, now) ||
        membership::coordinator_epoch(state, zone) != ledger.epoch)
      lost.push_back(zone);
  }
  for (const ZoneName& zone : lost) abandon_ledger(state, zone);
}

void reload_after_handover(const core::State& state, const ZoneName& zone,
                           ZoneLedger& ledger) {
  bool idle =
      ledger.phase == LedgerPhase::kReady && ledger.committing.empty() &&
      !write_pending(state, intent_segment_key(zone, ledger.open_segment));
  if (idle && ledger.zone_maps != zone_map_versions(state))
    restart_load(ledger);
}

void step_ledger(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
                 const Event& event, Now now, Effects& effects) {
  on_settled(state, zone, ledger, effects);
  reload_after_handover(state, zone, ledger);
  step_load(state, zone, ledger, event, now, effects);
  if (ledger.phase != LedgerPhase::kReady) return;
  commit(state, zone, ledger, now, effects);
  write_outcomes(state, zone, ledger, now, effects);
  expire(state, zone, ledger, now, effects);
}

/// Removes an intent that has not been written yet; true if there was one.
bool withdraw_waiting(core::State& state, ZoneLedger& ledger,
                      const Intent& intent, Effects& effects) {
  auto it = std::find_if(ledger.waiting.begin(), ledger.waiting.end(),
                         [&](const WaitingIntent& item) {
                           return item.intent.intent_id == intent.intent_id;
                         });
  if (it == ledger.waiting.end()) return false;
  WaitingIntent item = std::move(*it);
  ledger.waiting.erase(it);
  set_verdict(state, ledger, item, {}, effects);
  return true;
}

/// Records the outcome of an intent; true if the ledger knows the intent.
bool apply_outcome(ZoneLedger& ledger, const Intent& intent) {
  auto it = ledger.index.find(key_of(intent));
  if (it == ledger.index.end()) return false;
  IndexedIntent& known = it->second;
  if (known.intent.intent_id != intent.intent_id) return true;
  if (known.intent.state != IntentState::kIntended || !known.in_own_zone)
    return true;
  known.intent.state = intent.state;
  known.intent.status = intent.status;
  ledger.segments[known.segment].intents[known.position] = known.intent;
  ledger.dirty.insert(known.segment);
  return true;
}

}  // namespace

void on_intent_batch(core::State& state, const IntentBatch& batch, Now now,
                     Effects& effects) {
  auto it = state.request.ledgers.find(batch.zone);
  if (it == state.request.ledgers.end() || batch.intents.empty()) return;
  ZoneLedger& ledger = it->second;
  auto [open, inserted] = ledger.batches.try_emplace(batch.batch);
  if (!inserted) return;
  open->second = {batch.daemon, batch.address, {}};
  open->second.verdicts.resize(batch.intents.size());
  for (std::size_t i = 0; i < batch.intents.size(); ++i)
    ledger.waiting.push_back({batch.intents[i], batch.batch, i});
  if (ledger.phase == LedgerPhase::kReady)
    commit(state, batch.zone, ledger, now, effects);
}

void on_intent_outcomes(core::State& state, const IntentOutcomes& outcomes,
                        Effects& effects) {
  auto it = state.request.ledgers.find(outcomes.zone);
  if (it == state.request.ledgers.end()) return;
  bool all_known = true;
  for (const Intent& intent : outcomes.intents) {
    bool known = withdraw_waiting(state, it->second, intent, effects) ||
                 apply_outcome(it->second, intent);
    all_known = all_known && known;
  }
  if (!all_known) return;
  send_answer(state, outcomes.daemon, outcomes.address, {outcomes.batch, {}},
              effects);
}

void step_ledgers(core::State& state, const Event& event, Now now,
                  Effects& effects) {
  abandon_lost_ledgers(state, now);
  for (const ZoneName& zone : membership::coordinated_zones(state, now)) {
    auto [it, inserted] = state.request.ledgers.try_emplace(zone);
    ZoneLedger& ledger = it->second;
    if (inserted) ledger.epoch = membership::coordinator_epoch(state, zone);
    step_ledger(state, zone, ledger, event, now, effects);
  }
}

}  // namespace eelgrasspin::core::request
