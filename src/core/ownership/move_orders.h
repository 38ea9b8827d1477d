#ifndef EELGRASSPIN_CORE_OWNERSHIP_MOVE_ORDERS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_MOVE_ORDERS_H_

#include "core/ownership/map_edit.h"

/// Moves ordered by operators and by the placement policy.
namespace eelgrasspin::core::ownership {

/// Starts the ordered moves whose units are settled, and drops orders that can
/// no longer be carried out.
void apply_orders(MapEdit& edit);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_MOVE_ORDERS_H_
