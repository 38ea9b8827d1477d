#ifndef EELGRASSPIN_FLEET_LEASES_H_
#define EELGRASSPIN_FLEET_LEASES_H_

#include "fleet/state.h"

/// Orders that a coordinator gives to the servers: grants, renewals, releases.
namespace eelgrasspin::fleet {

/// Keeps the leases of ranges that stayed, starts those of new ones.
void update_leases(MapState& map);
/// Sends the orders that are due; none while the map has to be verified.
void send_due_orders(State& state, const ServiceName& service, MapState& map,
                     TimePoint now, Effects& effects);
/// A server may hold these keys until then.
void record_possible_grant(CoordinatorRole& coordinator_role,
                           const PossibleGrant& possible);
/// Time from the end of an order to grant keys for `hold` until the grant has
/// lapsed at the server, whose clock may be slow.
Duration expiry_delay(const Settings& settings, Duration hold);
/// No connection to the server could be made of late.
bool is_unreachable(const CoordinatorRole& coordinator_role,
                    const ServerIncarnation& server, TimePoint now);
/// Every lease of a range that is on its way to a new owner and has arrived.
bool is_move_complete(const MapState& map, const KeyRange& range);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LEASES_H_
