#ifndef EELGRASSPIN_CORE_OWNERSHIP_UNIT_H_
#define EELGRASSPIN_CORE_OWNERSHIP_UNIT_H_

#include <compare>

#include "eelgrasspin/ids.h"

namespace eelgrasspin::core::ownership {

/// Unit of ownership: a slot, or a key carved out of it.
struct Unit {
  SlotId slot;
  Key key;  ///< Empty for the slot.

  auto operator<=>(const Unit&) const = default;
};

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_UNIT_H_
