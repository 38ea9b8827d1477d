#include "core/ownership/maps.h"

#include <algorithm>

#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

constexpr int kZoneEpochShiftBits = 32;

void index_unit(MapIndex& index, const MapIndex* previous, const Unit& unit,
                const SlotRecord& record) {
  if (record.phase == SlotPhase::kOwned) {
    index.owned[record.owner].push_back({unit.slot, unit.key, record.epoch});
    return;
  }
  if (record.phase == SlotPhase::kClosed) {
    ++index.closed_units;
    return;
  }
  Version unsettled_since = index.map_version;
  if (previous != nullptr) {
    auto previous_unit = previous->unsettled.find(unit);
    if (previous_unit != previous->unsettled.end() &&
        previous_unit->second.record.phase == record.phase &&
        previous_unit->second.record.epoch == record.epoch &&
        previous_unit->second.record.owner == record.owner)
      unsettled_since = previous_unit->second.unsettled_since;
  }
  index.unsettled[unit] = {record, unsettled_since};
}

void index_zone_map(MapIndex& index, const OwnershipMap& map,
                    const ZoneMap& zones) {
  auto own_position =
      std::find(zones.zones.begin(), zones.zones.end(), map.zone);
  auto own_zone_index =
      static_cast<std::uint16_t>(own_position - zones.zones.begin());
  for (std::uint32_t i = 0; i < zones.slots.size(); ++i) {
    bool assigned_here = zones.slots[i] == own_zone_index;
    bool recorded = map.slots.contains(SlotId(i));
    if (assigned_here && !recorded) index.missing_slots.push_back(SlotId(i));
    if (!assigned_here && recorded) index.other_zone_slots.push_back(SlotId(i));
  }
}

MapIndex build_index(const Cache& cache, const ServiceZone& service_zone,
                     const OwnershipMap& map, const MapIndex* previous) {
  MapIndex index;
  index.map_version = version_of(
      cache, ownership_map_key(service_zone.service, service_zone.zone));
  index.zone_map_version =
      version_of(cache, zone_map_key(service_zone.service));
  const ZoneMap* zones = zone_map(cache, service_zone.service);
  if (zones != nullptr) index_zone_map(index, map, *zones);
  for (const auto& [slot, record] : map.slots) {
    if (!std::binary_search(index.other_zone_slots.begin(),
                            index.other_zone_slots.end(), slot))
      index_unit(index, previous, {slot, Key()}, record);
  }
  for (const auto& [key, record] : map.overrides) {
    SlotId slot = slot_of_key(cache, service_zone.service, key);
    if (!std::binary_search(index.other_zone_slots.begin(),
                            index.other_zone_slots.end(), slot))
      index_unit(index, previous, {slot, key}, record);
  }
  return index;
}

}  // namespace

const ZoneMap* zone_map(const Cache& cache, const ServiceName& service) {
  return find<ZoneMap>(cache, zone_map_key(service));
}

const OwnershipMap* ownership_map(const Cache& cache,
                                  const ServiceZone& service_zone) {
  return find<OwnershipMap>(
      cache, ownership_map_key(service_zone.service, service_zone.zone));
}

const ZoneName* zone_of(const Cache& cache, const ServiceName& service,
                        SlotId slot) {
  const ZoneMap* map = zone_map(cache, service);
  if (map == nullptr || slot.value >= map->slots.size()) return nullptr;
  std::uint16_t index = map->slots[slot.value];
  return index < map->zones.size() ? &map->zones[index] : nullptr;
}

FoundUnit find_unit(const Cache& cache, const ServiceZone& service_zone,
                    SlotId slot, const Key& key) {
  const OwnershipMap* map = ownership_map(cache, service_zone);
  if (map == nullptr) return {{slot, Key()}, nullptr};
  const ZoneName* zone = zone_of(cache, service_zone.service, slot);
  if (zone != nullptr && *zone != service_zone.zone)
    return {{slot, Key()}, nullptr};
  if (!key.empty()) {
    auto carved_out = map->overrides.find(key);
    if (carved_out != map->overrides.end())
      return {{slot, key}, &carved_out->second};
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

const MapIndex* map_index(core::State& state, const ServiceZone& service_zone) {
  const OwnershipMap* map = ownership_map(state.cache, service_zone);
  if (map == nullptr) return nullptr;
  Version version = version_of(
      state.cache, ownership_map_key(service_zone.service, service_zone.zone));
  Version zones = version_of(state.cache, zone_map_key(service_zone.service));
  auto it = state.ownership.indexes.find(service_zone);
  if (it != state.ownership.indexes.end() &&
      it->second.map_version == version && it->second.zone_map_version == zones)
    return &it->second;
  const MapIndex* previous =
      it == state.ownership.indexes.end() ? nullptr : &it->second;
  MapIndex index = build_index(state.cache, service_zone, *map, previous);
  return &(state.ownership.indexes[service_zone] = std::move(index));
}

Epoch first_epoch(std::uint64_t zone_epoch) {
  return Epoch((zone_epoch << kZoneEpochShiftBits) + 1);
}

}  // namespace eelgrasspin::core::ownership
