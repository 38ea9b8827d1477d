#ifndef EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_ORDERS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_ORDERS_H_

#include "core/ownership/map_edit.h"
#include "core/ownership/placement.h"

/// Runs the placement policy for a service in a zone and orders the planned
/// moves.
namespace eelgrasspin::core::ownership {

/// Runs one placement round each config::kPlacementInterval.
void order_placement(MapEdit& edit);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_ORDERS_H_
