#ifndef EELGRASSPIN_FLEET_LEASES_H_
#define EELGRASSPIN_FLEET_LEASES_H_

#include "fleet/state.h"

/// Orders that a coordinator sends to the servers: grants, renewals, releases.
namespace eelgrasspin::fleet {

/// Matches the leases to the ranges of the map: keeps those of ranges with
/// unchanged owner and epoch, and starts new ones for the others.
void update_leases(MapState& map);
/// Another daemon may have replaced this one as the coordinator.
void doubt_map(MapState& map, TimePoint now);
/// Whether the coordinator hears neither daemons nor the store, so that another
/// may replace it unnoticed. A server that has started again since it released
/// its keys to that one would take its orders.
bool is_isolated(const State& state, const MapState& map, TimePoint now);
/// A coordinator whose map the store has not confirmed for long may have been
/// replaced. Answers of the store about anything else do not show that it has
/// not been.
bool may_renew_without_store(const MapState& map, TimePoint now);
bool may_send_orders(const State& state, const MapState& map, TimePoint now);
/// Sends the orders that are due, as far as allow_orders_of_tick() allows; none
/// unless may_send_orders().
void send_due_orders(State& state, const ServiceName& service, MapState& map,
                     TimePoint now, Effects& effects);
/// Allows as many orders as may be sent until the next tick.
void allow_orders_of_tick(State& state, CoordinatorRole& coordinator_role);
/// Looks at ranges again whose owner has not confirmed its grant.
void look_at_unconfirmed(CoordinatorRole& coordinator_role, TimePoint now);
/// Records that a server may hold keys until the time given.
void record_possible_grant(CoordinatorRole& coordinator_role,
                           const PossibleGrant& possible, TimePoint now);
/// Sets whether a range has little traffic, so that it is renewed less often.
void set_low_traffic(CoordinatorRole& coordinator_role, ShardKey first,
                     Lease& lease, bool low_traffic, TimePoint now);
/// Whether the last connections to the server have failed: at least
/// kServerUnreachableFailures of them, over at least kServerUnreachableTime,
/// the last one less than kUnreachableServerExclusion ago.
bool is_unreachable(const CoordinatorRole& coordinator_role,
                    const ServerIncarnation& server, TimePoint now);
/// Whether the range has moved and its new owner has confirmed the grant.
bool is_move_complete(const MapState& map, const KeyRange& range);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LEASES_H_
