#include "core/request/routing.h"

#include <utility>

namespace eelgrasspin::core::request {
namespace {

std::vector<Version> service_sources(const Cache& cache,
                                     const Declarations& all_declared,
                                     const ServiceName& service) {
  std::vector<Version> versions{version_of(cache, declarations_key()),
                                version_of(cache, zone_map_key(service))};
  for (const auto& [zone, declaration] : all_declared.zones)
    versions.push_back(version_of(cache, ownership_map_key(service, zone)));
  return versions;
}

std::vector<Version> roster_versions(const Cache& cache,
                                     const Declarations& all_declared) {
  std::vector<Version> versions;
  for (const auto& [zone, declaration] : all_declared.zones)
    versions.push_back(version_of(cache, roster_key(zone)));
  return versions;
}

Owner owner_of(const SlotRecord& record) {
  return {record.owner, record.epoch, record.phase};
}

void add_owners(ServiceRoutes& routes, const Cache& cache,
                const ZoneMap& zones) {
  std::uint32_t slots = routes.declaration.key_slots;
  std::vector<const OwnershipMap*> maps;
  for (const ZoneName& zone : zones.zones)
    maps.push_back(find<OwnershipMap>(
        cache, ownership_map_key(routes.declaration.name, zone)));
  auto map_of = [&](SlotId slot) -> const OwnershipMap* {
    if (slot.value >= zones.slots.size()) return nullptr;
    std::uint16_t zone = zones.slots[slot.value];
    return zone < maps.size() ? maps[zone] : nullptr;
  };
  for (std::uint32_t i = 0; i < slots; ++i) {
    const OwnershipMap* map = map_of(SlotId(i));
    if (map == nullptr) continue;
    auto it = map->slots.find(SlotId(i));
    if (it != map->slots.end()) routes.slots[i] = owner_of(it->second);
  }
  for (const OwnershipMap* map : maps) {
    if (map == nullptr) continue;
    for (const auto& [key, record] : map->overrides) {
      if (record.phase == SlotPhase::kHandedOver) continue;
      Owner& owner = routes.overrides[key];
      if (record.epoch >= owner.epoch) owner = owner_of(record);
    }
  }
}

ServiceRoutes build_service(const Cache& cache,
                            const ServiceDeclaration& declaration) {
  ServiceRoutes routes;
  routes.declaration = declaration;
  for (const Operation& operation : declaration.operations)
    routes.operations.push_back(compile_operation(operation));
  routes.slots.resize(declaration.key_slots);
  const auto* zones = find<ZoneMap>(cache, zone_map_key(declaration.name));
  if (zones != nullptr) add_owners(routes, cache, *zones);
  return routes;
}

bool refresh_services(RoutingTable& table, const Cache& cache,
                      const Declarations& all_declared) {
  bool changed = std::erase_if(table.services, [&](const auto& item) {
                   return !all_declared.services.contains(item.first);
                 }) > 0;
  for (const auto& [name, declaration] : all_declared.services) {
    std::vector<Version> source_versions =
        service_sources(cache, all_declared, name);
    auto it = table.services.find(name);
    if (it != table.services.end() &&
        it->second.source_versions == source_versions)
      continue;
    ServiceRoutes routes = build_service(cache, declaration);
    routes.source_versions = std::move(source_versions);
    table.services[name] = std::move(routes);
    changed = true;
  }
  return changed;
}

bool refresh_fronts(RoutingTable& table, const Cache& cache,
                    const Declarations& all_declared) {
  std::vector<Version> source_versions = roster_versions(cache, all_declared);
  if (source_versions == table.front_source_versions) return false;
  table.front_source_versions = std::move(source_versions);
  table.fronts.clear();
  for (const auto& [zone, declaration] : all_declared.zones) {
    const ZoneRoster* zone_roster = roster(cache, zone);
    if (zone_roster == nullptr) continue;
    for (const auto& [server, front] : zone_roster->fronts)
      table.fronts[server] = {front.daemon, front.address};
  }
  return true;
}

}  // namespace

bool refresh_routing(RoutingTable& table, const Cache& cache) {
  if (table.built && table.cache_generation == cache.generation) return false;
  table.built = true;
  table.cache_generation = cache.generation;
  const Declarations* all_declared = declarations(cache);
  table.declarations_known = all_declared != nullptr;
  if (all_declared == nullptr) return false;
  bool services_changed = refresh_services(table, cache, *all_declared);
  bool fronts_changed = refresh_fronts(table, cache, *all_declared);
  return services_changed || fronts_changed;
}

const ServiceRoutes* find_service(const RoutingTable& table,
                                  const ServiceName& service) {
  auto it = table.services.find(service);
  return it == table.services.end() ? nullptr : &it->second;
}

Route find_route(const ServiceRoutes& routes, SlotId slot, const Key& key) {
  if (!routes.overrides.empty()) {
    auto it = routes.overrides.find(key);
    if (it != routes.overrides.end()) return {&it->second, true};
  }
  if (slot.value >= routes.slots.size()) return {};
  const Owner& owner = routes.slots[slot.value];
  return {owner.phase == SlotPhase::kUnassigned ? nullptr : &owner, false};
}

const FrontAddress* find_front(const RoutingTable& table,
                               const ServerName& server) {
  auto it = table.fronts.find(server);
  return it == table.fronts.end() ? nullptr : &it->second;
}

}  // namespace eelgrasspin::core::request
