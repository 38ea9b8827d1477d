#ifndef EELGRASSPIN_FLEET_LEASES_H_
#define EELGRASSPIN_FLEET_LEASES_H_

#include "fleet/state.h"

/// Orders that a coordinator sends to the servers: grants, renewals, releases.
namespace eelgrasspin::fleet {

/// Fits the leases to the ranges of the map: keeps those of unchanged ranges
/// and starts those of new ones.
void update_leases(MapState& map);
/// Sends the orders that are due; none while the map has to be verified.
void send_due_orders(State& state, const ServiceName& service, MapState& map,
                     TimePoint now, Effects& effects);
/// Records that a server may hold keys until the time given.
void record_possible_grant(CoordinatorRole& coordinator_role,
                           const PossibleGrant& possible);
/// Time from the end of an order to grant keys for `hold` until the grant has
/// certainly expired at the server, whose clock may be slow.
Duration expiry_delay(const Settings& settings, Duration hold);
/// Whether recent connections to the server have failed (config.h has the
/// limits).
bool is_unreachable(const CoordinatorRole& coordinator_role,
                    const ServerIncarnation& server, TimePoint now);
/// Whether the range has moved and its new owner has confirmed the grant.
bool is_move_complete(const MapState& map, const KeyRange& range);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LEASES_H_
