#ifndef EELGRASSPIN_FLEET_STORE_POSITION_H_
#define EELGRASSPIN_FLEET_STORE_POSITION_H_

#include <compare>
#include <string>

#include "eelgrasspin/ids.h"

namespace eelgrasspin::fleet {

/// A position in the store's history. A store that is restored from an older
/// copy gives revisions out again, so that revisions can only be compared
/// within an era. The era of a store that states none is 0.
struct StorePosition {
  StoreEra era;
  Version revision;
  auto operator<=>(const StorePosition&) const = default;
};

/// "era:revision", for logs.
inline std::string text(const StorePosition& position) {
  return std::to_string(position.era.value) + ":" +
         std::to_string(position.revision.value);
}

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_STORE_POSITION_H_
