#ifndef EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_ORDERS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_ORDERS_H_

#include "core/ownership/map_edit.h"
#include "core/ownership/placement.h"

/// Runs the placement policy for a part and orders the moves that it plans.
namespace eelgrasspin::core::ownership {

/// Runs the policy once each config::kPlacementInterval.
void order_placement(MapEdit& edit);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_ORDERS_H_
