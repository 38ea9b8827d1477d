#ifndef EELGRASSPIN_TESTS_STORE_POSITIONS_H_
#define EELGRASSPIN_TESTS_STORE_POSITIONS_H_

#include "fleet/store_position.h"

namespace eelgrasspin::fleet {

/// A position of a store that states no era, or `era`.
inline StorePosition at(std::uint64_t revision, std::uint64_t era = 0) {
  return {StoreEra(era), Version(revision)};
}

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_TESTS_STORE_POSITIONS_H_
