#ifndef EELGRASSPIN_FLEET_LEASES_P_H_
#define EELGRASSPIN_FLEET_LEASES_P_H_

#include "fleet/state.h"

/// What leases.cc and key_recall.cc share: the orders that are in flight.
namespace eelgrasspin::fleet {

/// Adds the order to those in flight and returns its number.
std::uint64_t add_order(State& state, CoordinatorRole& coordinator_role,
                        Order order);
/// Whether the server has left its last orders unanswered.
bool is_silent(const OrderTarget& target);
/// Whether the coordinator has as many orders in flight as it may.
bool is_at_limit(const PendingOrders& pending, bool release);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LEASES_P_H_
