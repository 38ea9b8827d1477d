#include "core/ownership/zone_maps.h"

#include <algorithm>
#include <utility>

#include "core/ownership/maps.h"
#include "core/ownership/spread.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

std::map<ZoneName, double> zone_capacities(const Declarations& all_declared,
                                           const ServiceName& service) {
  std::map<ZoneName, double> capacities;
  for (const auto& [name, server] : all_declared.servers) {
    if (server.service == service)
      capacities[server.zone] += server.concurrency;
  }
  return capacities;
}

ZoneMap initial_zone_map(const Declarations& all_declared,
                         const ServiceDeclaration& service) {
  ZoneMap map{.service = service.name};
  std::vector<double> weights;
  for (const auto& [zone, capacity] :
       zone_capacities(all_declared, service.name)) {
    map.zones.push_back(zone);
    weights.push_back(capacity);
  }
  std::vector<std::size_t> counts =
      split_by_capacity(service.key_slots, weights);
  for (std::size_t i = 0; i < counts.size(); ++i)
    map.slots.insert(map.slots.end(), counts[i], static_cast<std::uint16_t>(i));
  map.epochs.assign(map.slots.size(), 1);
  return map;
}

void create_zone_map(core::State& state, const ServiceName& service, Now now,
                     Effects& effects) {
  const Declarations& all_declared = *declarations(state.cache);
  ZoneMap map =
      initial_zone_map(all_declared, all_declared.services.at(service));
  if (map.slots.empty()) return;
  map.write_id = new_write_id(state);
  start_write(state, zone_map_key(service), Version(0), std::move(map), now,
              effects);
}

std::uint16_t zone_index(ZoneMap& map, const ZoneName& zone) {
  auto it = std::find(map.zones.begin(), map.zones.end(), zone);
  if (it == map.zones.end()) it = map.zones.insert(it, zone);
  return static_cast<std::uint16_t>(it - map.zones.begin());
}

void hand_over_slots(core::State& state, const ServiceZone& service_zone,
                     const ZoneMap& current, Now now, Effects& effects) {
  const MapIndex* index = map_index(state, service_zone);
  if (index == nullptr) return;
  ZoneMap next = current;
  bool changed = false;
  for (const auto& [unit, unsettled] : index->unsettled) {
    const SlotRecord& record = unsettled.record;
    if (record.phase != SlotPhase::kHandedOver) continue;
    std::uint64_t& zone_epoch = next.epochs[unit.slot.value];
    if (first_epoch(zone_epoch) > record.epoch) continue;
    next.slots[unit.slot.value] = zone_index(next, record.target_zone);
    ++zone_epoch;
    changed = true;
  }
  if (!changed) return;
  next.write_id = new_write_id(state);
  StoreKey key = zone_map_key(service_zone.service);
  start_write(state, key, version_of(state.cache, key), std::move(next), now,
              effects);
}

}  // namespace

void maintain_zone_map(core::State& state, const ServiceZone& service_zone,
                       Now now, Effects& effects) {
  StoreKey key = zone_map_key(service_zone.service);
  if (write_pending(state, key)) return;
  const ZoneMap* map = zone_map(state.cache, service_zone.service);
  if (map != nullptr) {
    hand_over_slots(state, service_zone, *map, now, effects);
  } else if (version_of(state.cache, key) == Version(0)) {
    create_zone_map(state, service_zone.service, now, effects);
  }
}

}  // namespace eelgrasspin::core::ownership
