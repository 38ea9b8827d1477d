#ifndef EELGRASSPIN_CORE_OWNERSHIP_SPREAD_H_
#define EELGRASSPIN_CORE_OWNERSHIP_SPREAD_H_

#include <cstddef>
#include <vector>

#include "eelgrasspin/ids.h"

/// Distributes units over backend servers in proportion to their capacity.
namespace eelgrasspin::core::ownership {

struct PlacementCandidate {
  ServerName server;
  double capacity = 1;
  double load = 0;
};

/// Adds `load` to the candidate that has the least load per capacity with it,
/// and returns its name; empty if there are no candidates.
ServerName place_on_least_loaded(std::vector<PlacementCandidate>& candidates,
                                 double load);

/// Splits `count` equal units in proportion to `capacities`; the result adds up
/// to `count` unless there are no capacities.
std::vector<std::size_t> split_by_capacity(
    std::size_t count, const std::vector<double>& capacities);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_SPREAD_H_
