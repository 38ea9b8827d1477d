#include "core/ownership/maps.h"

#include <algorithm>

#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

constexpr int kZoneEpochShift = 32;

void index_unit(MapIndex& index, const MapIndex* before, const Unit& unit,
                const SlotRecord& record) {
  if (record.phase == SlotPhase::kOwned) {
    index.owned[record.owner].push_back({unit.slot, unit.key, record.epoch});
    return;
  }
  if (record.phase == SlotPhase::kClosed) {
    ++index.closed_units;
    return;
  }
  Version since = index.map_version;
  if (before != nullptr) {
    auto known = before->unsettled.find(unit);
    if (known != before->unsettled.end() &&
        known->second.record.phase == record.phase &&
        known->second.record.epoch == record.epoch &&
        known->second.record.owner == record.owner)
      since = known->second.since;
  }
  index.unsettled[unit] = {record, since};
}

void index_zone_map(MapIndex& index, const OwnershipMap& map,
                    const ZoneMap& zones) {
  auto own = std::find(zones.zones.begin(), zones.zones.end(), map.zone);
  auto own_index = static_cast<std::uint16_t>(own - zones.zones.begin());
  for (std::uint32_t i = 0; i < zones.slots.size(); ++i) {
    bool given = zones.slots[i] == own_index;
    bool recorded = map.slots.contains(SlotId(i));
    if (given && !recorded) index.missing.push_back(SlotId(i));
    if (!given && recorded) index.foreign.push_back(SlotId(i));
  }
}

MapIndex build_index(const Cache& cache, const Part& part,
                     const OwnershipMap& map, const MapIndex* before) {
  MapIndex index;
  index.map_version =
      version_of(cache, ownership_map_key(part.service, part.zone));
  index.zone_map_version = version_of(cache, zone_map_key(part.service));
  const ZoneMap* zones = zone_map(cache, part.service);
  if (zones != nullptr) index_zone_map(index, map, *zones);
  for (const auto& [slot, record] : map.slots) {
    if (!std::binary_search(index.foreign.begin(), index.foreign.end(), slot))
      index_unit(index, before, {slot, Key()}, record);
  }
  for (const auto& [key, record] : map.overrides) {
    SlotId slot = slot_of_key(cache, part.service, key);
    if (!std::binary_search(index.foreign.begin(), index.foreign.end(), slot))
      index_unit(index, before, {slot, key}, record);
  }
  return index;
}

}  // namespace

const ZoneMap* zone_map(const Cache& cache, const ServiceName& service) {
  return find<ZoneMap>(cache, zone_map_key(service));
}

const OwnershipMap* ownership_map(const Cache& cache, const Part& part) {
  return find<OwnershipMap>(cache, ownership_map_key(part.service, part.zone));
}

const ZoneName* zone_of(const Cache& cache, const ServiceName& service,
                        SlotId slot) {
  const ZoneMap* map = zone_map(cache, service);
  if (map == nullptr || slot.value >= map->slots.size()) return nullptr;
  std::uint16_t index = map->slots[slot.value];
  return index < map->zones.size() ? &map->zones[index] : nullptr;
}

FoundUnit find_unit(const Cache& cache, const Part& part, SlotId slot,
                    const Key& key) {
  const OwnershipMap* map = ownership_map(cache, part);
  if (map == nullptr) return {{slot, Key()}, nullptr};
  const ZoneName* zone = zone_of(cache, part.service, slot);
  if (zone != nullptr && *zone != part.zone) return {{slot, Key()}, nullptr};
  if (!key.empty()) {
    auto carved = map->overrides.find(key);
    if (carved != map->overrides.end()) return {{slot, key}, &carved->second};
  }
  auto it = map->slots.find(slot);
  return {{slot, Key()}, it == map->slots.end() ? nullptr : &it->second};
}

const SlotRecord* unit_record(const OwnershipMap& map, const Unit& unit) {
  if (unit.key.empty()) {
    auto it = map.slots.find(unit.slot);
    return it == map.slots.end() ? nullptr : &it->second;
  }
  auto it = map.overrides.find(unit.key);
  return it == map.overrides.end() ? nullptr : &it->second;
}

SlotRecord* unit_record(OwnershipMap& map, const Unit& unit) {
  return const_cast<SlotRecord*>(
      unit_record(static_cast<const OwnershipMap&>(map), unit));
}

SlotId slot_of_key(const Cache& cache, const ServiceName& service,
                   const Key& key) {
  const ServiceDeclaration* declared = service_declaration(cache, service);
  return slot_of(key, declared == nullptr ? config::kDefaultKeySlots
                                          : declared->key_slots);
}

const MapIndex* map_index(core::State& state, const Part& part) {
  const OwnershipMap* map = ownership_map(state.cache, part);
  if (map == nullptr) return nullptr;
  Version version =
      version_of(state.cache, ownership_map_key(part.service, part.zone));
  Version zones = version_of(state.cache, zone_map_key(part.service));
  auto it = state.ownership.indexes.find(part);
  if (it != state.ownership.indexes.end() &&
      it->second.map_version == version && it->second.zone_map_version == zones)
    return &it->second;
  const MapIndex* before =
      it == state.ownership.indexes.end() ? nullptr : &it->second;
  MapIndex index = build_index(state.cache, part, *map, before);
  return &(state.ownership.indexes[part] = std::move(index));
}

Epoch first_epoch(std::uint64_t zone_epoch) {
  return Epoch((zone_epoch << kZoneEpochShift) + 1);
}

}  // namespace eelgrasspin::core::ownership
