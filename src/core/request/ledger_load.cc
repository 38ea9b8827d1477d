#include "core/request/ledger_load.h"

#include <algorithm>
#include <utility>

#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

const StoreKey kAllIntents("kept/intent/");

/// Of two intents with one key, the one with the higher precedence decides
/// about repeats.
int precedence(IntentState state) {
  switch (state) {
    case IntentState::kAnswered:
      return 2;
    case IntentState::kIntended:
    case IntentState::kUnknown:
      return 1;
    case IntentState::kNotRun:
      return 0;
  }
  return 1;
}

void add_to_index(ZoneLedger& ledger, const IndexedIntent& found) {
  IntentKey key{found.intent.service, found.intent.idempotency_key};
  auto [it, inserted] = ledger.index.try_emplace(key, found);
  if (inserted) return;
  if (precedence(found.intent.state) >= precedence(it->second.intent.state))
    it->second = found;
}

void add_segment(ZoneLedger& ledger, const ZoneName& zone,
                 const IntentSegment& segment) {
  bool in_own_zone = segment.zone == zone;
  for (std::size_t i = 0; i < segment.intents.size(); ++i)
    add_to_index(ledger, {.intent = segment.intents[i],
                          .confirmed = true,
                          .in_own_zone = in_own_zone,
                          .segment = segment.number,
                          .position = i});
  if (in_own_zone) ledger.segments[segment.number] = segment;
}

/// Copies outcomes that were received but not yet written into the new index.
void restore_outcomes(ZoneLedger& ledger,
                      const std::map<IntentKey, IndexedIntent>& before) {
  for (const auto& [key, earlier] : before) {
    auto it = ledger.index.find(key);
    if (it == ledger.index.end()) continue;
    IndexedIntent& entry = it->second;
    bool newer = entry.intent.intent_id == earlier.intent.intent_id &&
                 entry.intent.state == IntentState::kIntended &&
                 earlier.intent.state != IntentState::kIntended;
    if (!newer) continue;
    entry.intent.state = earlier.intent.state;
    entry.intent.status = earlier.intent.status;
    if (!entry.in_own_zone) continue;
    ledger.segments[entry.segment].intents[entry.position] = entry.intent;
    ledger.dirty.insert(entry.segment);
  }
}

void rebuild_index(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
                   const StoreRead& read) {
  std::map<IntentKey, IndexedIntent> before = std::move(ledger.index);
  ledger.index.clear();
  ledger.segments.clear();
  ledger.dirty.clear();
  ledger.open_segment = 0;
  for (const StoreEntry& entry : read.entries) {
    const auto* segment = std::get_if<IntentSegment>(&entry.record);
    if (segment == nullptr) continue;
    if (segment->zone == zone) {
      apply(state.cache, entry);
      ledger.open_segment = std::max(ledger.open_segment, segment->number);
    }
    add_segment(ledger, zone, *segment);
  }
  ++ledger.open_segment;
  restore_outcomes(ledger, before);
  ledger.phase = LedgerPhase::kSealing;
}

void start_listing(core::State& state, ZoneLedger& ledger, Now now,
                   Effects& effects) {
  if (ledger.listing || now.mono < ledger.list_after) return;
  ledger.listing = next_store_op(state);
  ledger.zone_maps = zone_map_versions(state);
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreList{*ledger.listing, kAllIntents});
}

void on_listing_answer(core::State& state, const ZoneName& zone,
                       ZoneLedger& ledger, const Event& event, Now now) {
  const auto* answer = std::get_if<StoreAnswered>(&event);
  if (answer == nullptr || !ledger.listing || answer->op != *ledger.listing)
    return;
  ledger.listing.reset();
  if (const auto* read = std::get_if<StoreRead>(&answer->result)) {
    rebuild_index(state, zone, ledger, *read);
    return;
  }
  ledger.list_after = now.mono + config::kStoreRetryInterval;
}

/// Writes the segment as sealed; conditional writes of an earlier writer to it
/// then fail.
void seal(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
          IntentSegment& segment, Now now, Effects& effects) {
  StoreKey key = intent_segment_key(zone, segment.number);
  if (write_pending(state, key)) return;
  segment.sealed = true;
  segment.coordinator_epoch = ledger.epoch;
  segment.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), segment, now, effects);
}

void create_open_segment(core::State& state, const ZoneName& zone,
                         ZoneLedger& ledger, Now now, Effects& effects) {
  StoreKey key = intent_segment_key(zone, ledger.open_segment);
  if (write_pending(state, key)) return;
  IntentSegment& segment = ledger.segments[ledger.open_segment];
  segment = {.zone = zone,
             .number = ledger.open_segment,
             .coordinator_epoch = ledger.epoch,
             .write_id = new_write_id(state)};
  start_write(state, key, version_of(state.cache, key), segment, now, effects);
}

/// Whether the store has confirmed this writer's version of the segment.
bool is_written(const core::State& state, const ZoneName& zone,
                const IntentSegment& segment) {
  const auto* stored = find<IntentSegment>(
      state.cache, intent_segment_key(zone, segment.number));
  return stored != nullptr && stored->write_id == segment.write_id;
}

bool has_failed_write(const core::State& state, const ZoneName& zone,
                      const ZoneLedger& ledger) {
  return std::any_of(
      ledger.segments.begin(), ledger.segments.end(), [&](const auto& item) {
        const SettledWrite* settled =
            settled_write(state, intent_segment_key(zone, item.first));
        return settled != nullptr && !settled->took_effect;
      });
}

void step_sealing(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
                  Now now, Effects& effects) {
  if (has_failed_write(state, zone, ledger)) {
    ledger.phase = LedgerPhase::kListing;
    return;
  }
  bool all_sealed = true;
  for (auto& [number, segment] : ledger.segments) {
    if (number == ledger.open_segment) continue;
    if (!segment.sealed) seal(state, zone, ledger, segment, now, effects);
    all_sealed = all_sealed && is_written(state, zone, segment);
  }
  if (!all_sealed) return;
  auto open = ledger.segments.find(ledger.open_segment);
  if (open == ledger.segments.end()) {
    create_open_segment(state, zone, ledger, now, effects);
  } else if (is_written(state, zone, open->second)) {
    ledger.phase = LedgerPhase::kReady;
  }
}

}  // namespace

void restart_load(ZoneLedger& ledger) {
  ledger.phase = LedgerPhase::kListing;
  ledger.waiting.insert(ledger.waiting.begin(), ledger.committing.begin(),
                        ledger.committing.end());
  ledger.committing.clear();
}

void step_load(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
               const Event& event, Now now, Effects& effects) {
  if (ledger.phase == LedgerPhase::kListing) {
    on_listing_answer(state, zone, ledger, event, now);
    if (ledger.phase == LedgerPhase::kListing)
      start_listing(state, ledger, now, effects);
  }
  if (ledger.phase == LedgerPhase::kSealing)
    step_sealing(state, zone, ledger, now, effects);
}

std::vector<Version> zone_map_versions(const core::State& state) {
  std::vector<Version> versions;
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared == nullptr) return versions;
  for (const auto& [service, declaration] : all_declared->services)
    versions.push_back(version_of(state.cache, zone_map_key(service)));
  return versions;
}

}  // namespace eelgrasspin::core::request
