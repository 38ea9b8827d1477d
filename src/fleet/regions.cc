#include "fleet/regions.h"

#include <algorithm>

namespace eelgrasspin::fleet {
namespace {

bool leads_to(const Route& route, const ServiceName& service) {
  return std::any_of(route.destinations.begin(), route.destinations.end(),
                     [&service](const Destination& destination) {
                       return destination.service == service &&
                              destination.weight > 0;
                     });
}

/// Zones that some route to the service does not allow.
std::set<ZoneName> excluded_zones(const Settings& settings,
                                  const Configuration& configuration,
                                  const ServiceName& service) {
  std::set<ZoneName> excluded;
  for (const Route& route : configuration.routes) {
    if (route.allowed_regions.empty() || !leads_to(route, service)) continue;
    for (const auto& [zone, region] : settings.regions) {
      if (!is_allowed(settings, route, zone)) excluded.insert(zone);
    }
  }
  return excluded;
}

}  // namespace

bool is_allowed(const Settings& settings, const Route& route,
                const ZoneName& zone) {
  const std::vector<RegionName>& allowed = route.allowed_regions;
  if (allowed.empty()) return true;
  auto region = settings.regions.find(zone);
  return region != settings.regions.end() &&
         std::find(allowed.begin(), allowed.end(), region->second) !=
             allowed.end();
}

void index_regions(State& state) {
  state.unsuited_zones.clear();
  if (!state.configuration) return;
  for (const auto& [name, service] : state.configuration->services) {
    if (!service.keyed) continue;
    std::set<ZoneName> excluded =
        excluded_zones(state.settings, *state.configuration, name);
    if (excluded.empty() || excluded.size() == state.settings.regions.size())
      continue;
    state.unsuited_zones[name] = std::move(excluded);
  }
}

bool suits_all_routes(const State& state, const ServiceName& service,
                      const ZoneName& zone) {
  auto unsuited = state.unsuited_zones.find(service);
  return unsuited == state.unsuited_zones.end() ||
         unsuited->second.count(zone) == 0;
}

}  // namespace eelgrasspin::fleet
