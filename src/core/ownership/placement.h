#ifndef EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_H_
#define EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_H_

#include <cstddef>
#include <vector>

#include "core/ownership/unit.h"
#include "eelgrasspin/declarations.h"
#include "eelgrasspin/ids.h"

/// The placement policy: computes a list of moves from a load summary, without
/// keeping state.
namespace eelgrasspin::core::ownership {

struct UnitLoad {
  Unit unit;
  double rate = 0;  ///< Requests per second.
};

struct ServerLoad {
  ServerName server;
  double capacity = 1;  ///< Relative; reduced during a cold start.
  double rate = 0;      ///< Requests per second, over all its units.
  /// Units that may be moved. The rate of a key listed here is not included in
  /// that of its slot.
  std::vector<UnitLoad> movable;
};

struct LoadSummary {
  std::vector<ServerLoad> servers;  ///< Usable servers only.
};

struct PlannedMove {
  Unit unit;
  ServerName from;
  ServerName to;

  bool operator==(const PlannedMove&) const = default;
};

/// Capacity-weighted mean of (relative load - 1)^2, where a server's relative
/// load is its load per capacity divided by the mean load per capacity. 0 for a
/// balanced load.
double imbalance(const LoadSummary& summary);

/// Moves that reduce the weighted sum of imbalance, churn and unavailable time,
/// best first, at most `budget`. Empty while no server's relative load is out
/// of bounds by more than the noise of its measured rate.
std::vector<PlannedMove> plan(const LoadSummary& summary,
                              const PlacementWeights& weights,
                              std::size_t budget);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_H_
