#ifndef EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_H_
#define EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_H_

#include <cstddef>
#include <vector>

#include "core/ownership/unit.h"
#include "eelgrasspin/declarations.h"
#include "eelgrasspin/ids.h"

/// The placement policy: from a summary of load to a list of moves, without
/// state.
namespace eelgrasspin::core::ownership {

struct UnitLoad {
  Unit unit;
  double rate = 0;  ///< Requests per second.
};

struct ServerLoad {
  ServerName server;
  double capacity = 1;  ///< Relative; already reduced during a cold start.
  double rate = 0;      ///< Requests per second, of all its units.
  /// Units that may be moved; a key listed here is not counted in its slot.
  std::vector<UnitLoad> movable;
};

struct LoadSummary {
  std::vector<ServerLoad> servers;  ///< Usable ones only.
};

struct PlannedMove {
  Unit unit;
  ServerName from;
  ServerName to;

  bool operator==(const PlannedMove&) const = default;
};

/// Weighted imbalance: the mean over capacity of (level - 1)^2, where a
/// server's level is its load per capacity against the mean. 0 is even.
double imbalance(const LoadSummary& summary);

/// Moves that lower the weighted sum of imbalance, churn and unavailable time,
/// best first, at most `budget`. Empty while no server's level is out of
/// bounds by more than the noise of its measured rate.
std::vector<PlannedMove> plan(const LoadSummary& summary,
                              const PlacementWeights& weights,
                              std::size_t budget);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_PLACEMENT_H_
