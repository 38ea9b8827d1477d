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

constexpr Duration kHistoryInterval = seconds(1);
/// Closed spans kept; with the open ones the value stays below
/// config::kStoreValueMaxBytes.
constexpr std::size_t kClosedSpans = 3000;

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
  bool leaving = record.phase == SlotPhase::kMoving ||
                 record.phase == SlotPhase::kReleasing;
  if (!leaving && record.phase != SlotPhase::kOwned) return std::nullopt;
  Epoch held = leaving ? Epoch(record.epoch.value - 1) : record.epoch;
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

bool same_holder(const Holding& left, const Holding& right) {
  return left.server == right.server && left.epoch == right.epoch;
}

void append(std::vector<OwnershipSpan>& spans, const Unit& unit,
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
  if (closed.size() <= kClosedSpans) return;
  std::size_t excess = closed.size() - kClosedSpans;
  closed.erase(closed.begin(),
               closed.begin() + static_cast<std::ptrdiff_t>(excess));
  history.dropped_spans += excess;
}

void load(HistoryMemory& memory, const Part& part, const Record& record) {
  const auto* stored = std::get_if<OwnershipHistory>(&record);
  memory.draft = stored != nullptr ? *stored
                                   : OwnershipHistory{.service = part.service,
                                                      .zone = part.zone};
  if (std::holds_alternative<DamagedRecord>(record))
    memory.draft.dropped_spans = 1;
  memory.loaded = true;
  memory.seen_map = Version(0);
}

void start_read(core::State& state, HistoryMemory& memory, const Part& part,
                Now now, Effects& effects) {
  if (memory.reading.has_value() || now.mono < memory.read_at) return;
  memory.reading = next_store_op(state);
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreGet{*memory.reading,
                             ownership_history_key(part.service, part.zone)});
}

void follow_map(const core::State& state, HistoryMemory& memory,
                const Part& part, Now now) {
  Version version =
      version_of(state.cache, ownership_map_key(part.service, part.zone));
  const OwnershipMap* map = ownership_map(state.cache, part);
  if (map == nullptr || version == memory.seen_map) return;
  memory.seen_map = version;
  std::vector<OwnershipSpan> before = memory.draft.spans;
  const ServiceDeclaration* service =
      service_declaration(state.cache, part.service);
  if (service == nullptr) return;
  observe(memory.draft, *map, service->key_slots, now.wall);
  memory.dirty = memory.dirty || before != memory.draft.spans;
}

}  // namespace

void observe(OwnershipHistory& history, const OwnershipMap& map,
             std::uint32_t key_slots, WallTime wall) {
  Holdings before = open_holdings(history);
  Holdings after = map_holdings(map, key_slots, wall);
  std::vector<OwnershipSpan> closed;
  std::copy_if(
      history.spans.begin(), history.spans.end(), std::back_inserter(closed),
      [](const OwnershipSpan& span) { return span.until.has_value(); });
  for (const auto& [unit, holding] : before) {
    auto now_held = after.find(unit);
    if (now_held != after.end() && same_holder(now_held->second, holding)) {
      now_held->second.from = holding.from;
    } else {
      append(closed, unit, holding, wall);
    }
  }
  drop_oldest(history, closed);
  std::vector<OwnershipSpan> open;
  for (const auto& [unit, holding] : after)
    append(open, unit, holding, std::nullopt);
  history.spans = std::move(closed);
  history.spans.insert(history.spans.end(), open.begin(), open.end());
}

void maintain_history(core::State& state, const Part& part, Now now,
                      Effects& effects) {
  HistoryMemory& memory = state.ownership.parts[part].history;
  TermEpoch term = membership::coordinator_epoch(state, part.zone);
  StoreKey key = ownership_history_key(part.service, part.zone);
  const SettledWrite* write = settled_write(state, key);
  bool overtaken = write != nullptr && !write->took_effect;
  if (memory.term != term || overtaken) memory = HistoryMemory{.term = term};
  if (!memory.loaded) {
    start_read(state, memory, part, now, effects);
    return;
  }
  follow_map(state, memory, part, now);
  if (!memory.dirty || now.mono < memory.write_at || write_pending(state, key))
    return;
  memory.dirty = false;
  memory.write_at = now.mono + kHistoryInterval;
  memory.draft.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), memory.draft, now,
              effects);
}

void take_history_answer(core::State& state, const StoreAnswered& answer,
                         Now now) {
  for (auto& [part, part_state] : state.ownership.parts) {
    HistoryMemory& memory = part_state.history;
    if (memory.reading != answer.op) continue;
    memory.reading.reset();
    memory.read_at = now.mono + config::kStoreRetryInterval;
    const auto* read = std::get_if<StoreRead>(&answer.result);
    if (read == nullptr || read->entries.empty()) continue;
    apply(state.cache, read->entries.front());
    load(memory, part, read->entries.front().record);
  }
}

std::vector<OwnershipSpan> history(const core::State& state,
                                   const ServiceName& service,
                                   const ZoneName& zone) {
  auto part = state.ownership.parts.find({service, zone});
  if (part != state.ownership.parts.end() && part->second.history.loaded)
    return part->second.history.draft.spans;
  const auto* stored =
      find<OwnershipHistory>(state.cache, ownership_history_key(service, zone));
  return stored == nullptr ? std::vector<OwnershipSpan>() : stored->spans;
}

}  // namespace eelgrasspin::core::ownership
