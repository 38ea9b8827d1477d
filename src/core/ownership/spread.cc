#include "core/ownership/spread.h"

#include <cmath>
#include <numeric>

namespace eelgrasspin::core::ownership {

ServerName place_on_least_loaded(std::vector<PlacementCandidate>& candidates,
                                 double load) {
  PlacementCandidate* best = nullptr;
  double best_load = 0;
  for (PlacementCandidate& candidate : candidates) {
    double load_per_capacity = (candidate.load + load) / candidate.capacity;
    if (best == nullptr || load_per_capacity < best_load) {
      best = &candidate;
      best_load = load_per_capacity;
    }
  }
  if (best == nullptr) return ServerName();
  best->load += load;
  return best->server;
}

std::vector<std::size_t> split_by_capacity(
    std::size_t count, const std::vector<double>& capacities) {
  double total = std::accumulate(capacities.begin(), capacities.end(), 0.0);
  std::vector<std::size_t> counts;
  double cumulative = 0;
  std::size_t assigned_before = 0;
  for (double capacity : capacities) {
    cumulative += capacity;
    auto assigned_after = static_cast<std::size_t>(
        std::lround(static_cast<double>(count) * cumulative / total));
    counts.push_back(assigned_after - assigned_before);
    assigned_before = assigned_after;
  }
  return counts;
}

}  // namespace eelgrasspin::core::ownership
