#ifndef EELGRASSPIN_FLEET_REGIONS_H_
#define EELGRASSPIN_FLEET_REGIONS_H_

#include "fleet/state.h"

/// Regions whose servers may serve a route's requests.
namespace eelgrasspin::fleet {

/// Whether servers of the zone may be sent requests of the route. A zone of an
/// unknown region is allowed only if any region is.
bool is_allowed(const Settings& settings, const Route& route,
                const ZoneName& zone);

/// Builds State::unsuited_zones. Has to be called when the configuration or the
/// regions of the zones change.
void index_regions(State& state);
/// Whether keys of the service are to be owned by servers of the zone: those of
/// regions that all its routes allow, if there are such regions. Otherwise no
/// owner suits all requests, and every zone counts.
bool suits_all_routes(const State& state, const ServiceName& service,
                      const ZoneName& zone);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REGIONS_H_
