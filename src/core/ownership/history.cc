#include "core/ownership/history.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "core/membership/membership.h"
#include "core/ownership/maps.h"
#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

constexpr Duration kHistoryWriteInterval = seconds(1);
/// Together with the open spans, the stored value stays below
/// config::kStoreValueMaxBytes.
constexpr std::size_t kMaxClosedSpans = 3000;

/// Who holds a unit, under which epoch and since when.
struct Holding {
  ServerName server;
  Epoch epoch;
  WallTime from;
};

using Holdings = std::map<Unit, Holding>;

Holdings open_holdings(const OwnershipHistory& history) {
  Holdings holdings;
  for (const OwnershipSpan& span : history.spans) {
    if (span.until.has_value()) continue;
    for (std::uint32_t slot = span.first_slot.value;
         slot <= span.last_slot.value; ++slot) {
      holdings[{SlotId(slot), span.key}] = {span.server, span.epoch, span.from};
    }
  }
  return holdings;
}

std::optional<Holding> holding_of(const SlotRecord& record, WallTime wall) {
  bool being_revoked = record.phase == SlotPhase::kMoving ||
                       record.phase == SlotPhase::kReleasing;
  if (!being_revoked && record.phase != SlotPhase::kOwned) return std::nullopt;
  Epoch held = being_revoked ? Epoch(record.epoch.value - 1) : record.epoch;
  return Holding{record.owner, held, wall};
}

Holdings map_holdings(const OwnershipMap& map, std::uint32_t key_slots,
                      WallTime wall) {
  Holdings holdings;
  for (const auto& [slot, record] : map.slots) {
    if (auto held = holding_of(record, wall)) holdings[{slot, Key()}] = *held;
  }
  for (const auto& [key, record] : map.overrides) {
    if (auto held = holding_of(record, wall))
      holdings[{slot_of(key, key_slots), key}] = *held;
  }
  return holdings;
}

bool has_same_holder(const Holding& left, const Holding& right) {
  return left.server == right.server && left.epoch == right.epoch;
}

void append_span(std::vector<OwnershipSpan>& spans, const Unit& unit,
                 const Holding& holding, std::optional<WallTime> until) {
  if (!spans.empty()) {
    OwnershipSpan& last = spans.back();
    bool joins = unit.key.empty() && last.key.empty() &&
                 last.last_slot.value + 1 == unit.slot.value &&
                 last.server == holding.server && last.epoch == holding.epoch &&
                 last.from == holding.from && last.until == until;
    if (joins) {
      last.last_slot = unit.slot;
      return;
    }
  }
  spans.push_back({unit.slot, unit.slot, unit.key, holding.server,
                   holding.epoch, holding.from, until});
}

void drop_oldest(OwnershipHistory& history,
                 std::vector<OwnershipSpan>& closed) {
  if (closed.size() <= kMaxClosedSpans) return;
  std::size_t excess = closed.size() - kMaxClosedSpans;
  closed.erase(closed.begin(),
               closed.begin() + static_cast<std::ptrdiff_t>(excess));
  history.dropped_spans += excess;
}

void load_stored(HistoryState& history_state, const ServiceZone& service_zone,
                 const Record& record) {
  const auto* stored = std::get_if<OwnershipHistory>(&record);
  history_state.draft = stored != nullptr
                            ? *stored
                            : OwnershipHistory{.service = service_zone.service,
                                               .zone = service_zone.zone};
  if (std::holds_alternative<DamagedRecord>(record))
    history_state.draft.dropped_spans = 1;
  history_state.loaded = true;
  history_state.draft_map_version = Version(0);
}

void start_read(core::State& state, HistoryState& history_state,
                const ServiceZone& service_zone, Now now, Effects& effects) {
  if (history_state.pending_read.has_value() ||
      now.mono < history_state.next_read)
    return;
  history_state.pending_read = next_store_op(state);
  ++state.counters[Counter::kStoreReads];
  effects.push_back(
      StoreGet{*history_state.pending_read,
               ownership_history_key(service_zone.service, service_zone.zone)});
}

void follow_map(const core::State& state, HistoryState& history_state,
                const ServiceZone& service_zone, Now now) {
  Version version = version_of(
      state.cache, ownership_map_key(service_zone.service, service_zone.zone));
  const OwnershipMap* map = ownership_map(state.cache, service_zone);
  if (map == nullptr || version == history_state.draft_map_version) return;
  history_state.draft_map_version = version;
  std::vector<OwnershipSpan> before = history_state.draft.spans;
  const ServiceDeclaration* service =
      service_declaration(state.cache, service_zone.service);
  if (service == nullptr) return;
  update_spans(history_state.draft, *map, service->key_slots, now.wall);
  history_state.dirty =
      history_state.dirty || before != history_state.draft.spans;
}

}  // namespace

void update_spans(OwnershipHistory& history, const OwnershipMap& map,
                  std::uint32_t key_slots, WallTime wall) {
  Holdings before = open_holdings(history);
  Holdings after = map_holdings(map, key_slots, wall);
  std::vector<OwnershipSpan> closed;
  std::copy_if(
      history.spans.begin(), history.spans.end(), std::back_inserter(closed),
      [](const OwnershipSpan& span) { return span.until.has_value(); });
  for (const auto& [unit, holding] : before) {
    auto still_held = after.find(unit);
    if (still_held != after.end() &&
        has_same_holder(still_held->second, holding)) {
      still_held->second.from = holding.from;
    } else {
      append_span(closed, unit, holding, wall);
    }
  }
  drop_oldest(history, closed);
  std::vector<OwnershipSpan> open;
  for (const auto& [unit, holding] : after)
    append_span(open, unit, holding, std::nullopt);
  history.spans = std::move(closed);
  history.spans.insert(history.spans.end(), open.begin(), open.end());
}

void maintain_history(core::State& state, const ServiceZone& service_zone,
                      Now now, Effects& effects) {
  HistoryState& history_state =
      state.ownership.service_zones[service_zone].history;
  TermEpoch term = membership::coordinator_epoch(state, service_zone.zone);
  StoreKey key = ownership_history_key(service_zone.service, service_zone.zone);
  const SettledWrite* write = settled_write(state, key);
  bool lost_to_conflict = write != nullptr && !write->took_effect;
  if (history_state.term != term || lost_to_conflict)
    history_state = HistoryState{.term = term};
  if (!history_state.loaded) {
    start_read(state, history_state, service_zone, now, effects);
    return;
  }
  follow_map(state, history_state, service_zone, now);
  if (!history_state.dirty || now.mono < history_state.next_write ||
      write_pending(state, key))
    return;
  history_state.dirty = false;
  history_state.next_write = now.mono + kHistoryWriteInterval;
  history_state.draft.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), history_state.draft,
              now, effects);
}

void on_history_read(core::State& state, const StoreAnswered& answer, Now now) {
  for (auto& [service_zone, zone_state] : state.ownership.service_zones) {
    HistoryState& history_state = zone_state.history;
    if (history_state.pending_read != answer.op) continue;
    history_state.pending_read.reset();
    history_state.next_read = now.mono + config::kStoreRetryInterval;
    const auto* read = std::get_if<StoreRead>(&answer.result);
    if (read == nullptr || read->entries.empty()) continue;
    apply(state.cache, read->entries.front());
    load_stored(history_state, service_zone, read->entries.front().record);
  }
}

std::vector<OwnershipSpan> history(const core::State& state,
                                   const ServiceName& service,
                                   const ZoneName& zone) {
  auto it = state.ownership.service_zones.find({service, zone});
  if (it != state.ownership.service_zones.end() && it->second.history.loaded)
    return it->second.history.draft.spans;
  const auto* stored =
      find<OwnershipHistory>(state.cache, ownership_history_key(service, zone));
  return stored == nullptr ? std::vector<OwnershipSpan>() : stored->spans;
}

}  // namespace eelgrasspin::core::ownership
