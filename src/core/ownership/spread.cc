#include "core/ownership/spread.h"

#include <cmath>
#include <numeric>

namespace eelgrasspin::core::ownership {

ServerName place_on_least_loaded(std::vector<PlacementCandidate>& shares,
                                 double load) {
  PlacementCandidate* best = nullptr;
  double best_level = 0;
  for (PlacementCandidate& share : shares) {
    double level = (share.load + load) / share.capacity;
    if (best == nullptr || level < best_level) {
      best = &share;
      best_level = level;
    }
  }
  if (best == nullptr) return ServerName();
  best->load += load;
  return best->server;
}

std::vector<std::size_t> split_evenly(std::size_t count,
                                      const std::vector<double>& capacities) {
  double total = std::accumulate(capacities.begin(), capacities.end(), 0.0);
  std::vector<std::size_t> parts;
  double passed = 0;
  std::size_t given = 0;
  for (double capacity : capacities) {
    passed += capacity;
    auto upto = static_cast<std::size_t>(
        std::lround(static_cast<double>(count) * passed / total));
    parts.push_back(upto - given);
    given = upto;
  }
  return parts;
}

}  // namespace eelgrasspin::core::ownership
