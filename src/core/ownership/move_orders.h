#ifndef EELGRASSPIN_CORE_OWNERSHIP_MOVE_ORDERS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_MOVE_ORDERS_H_

#include "core/ownership/map_edit.h"

/// Moves asked for by operators and by the placement policy.
namespace eelgrasspin::core::ownership {

/// Starts the ordered moves whose units are settled, and forgets those that
/// cannot be carried out any more.
void apply_orders(MapEdit& edit);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_MOVE_ORDERS_H_
