#ifndef EELGRASSPIN_SCENARIO_PLACEMENT_COMPARE_H_
#define EELGRASSPIN_SCENARIO_PLACEMENT_COMPARE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspin/declarations.h"
#include "eelgrasspin/units.h"

/// Simulates placement policies under the same seeded workload, to compare
/// them.
namespace eelgrasspin::scenario {

enum class PlacementPolicy : std::uint8_t {
  kConsistentHashing,  ///< 100 points for each server on a hash ring.
  /// Rendezvous hashing that keeps servers below 1.25 times the mean load
  /// if possible.
  kBoundedRendezvous,
  kWeighted,  ///< core::ownership::plan.
};

/// Keys with Zipf-distributed request rates, a set of hot keys that changes
/// periodically, and servers that are lost and return.
struct PlacementWorkload {
  std::uint32_t servers = 15;
  std::uint32_t concurrency = 2;
  std::uint32_t slots = 1024;
  std::uint32_t keys = 50'000;
  double zipf_exponent = 1.0;
  double requests_per_second = 600;  ///< Of all keys.
  std::uint32_t hot_key_count = 20;
  Duration hot_keys_interval = minutes(3);
  Duration step = seconds(5);  ///< Of the simulation; one placement round.
  Duration duration = minutes(30);
  Duration loss_interval = minutes(10);  ///< Between losses of a server.
  Duration loss_duration = minutes(2);   ///< Until the server returns.
  std::uint64_t seed = 1;
};

/// Means over the run. A move by choice is one whose previous owner is alive.
struct PlacementOutcome {
  PlacementPolicy policy = PlacementPolicy::kWeighted;
  double peak_load_ratio = 0;  ///< Highest load of a server over the mean.
  double imbalance = 0;        ///< core::ownership::imbalance.
  double slot_moves_per_minute = 0;  ///< By choice.
  double key_moves_per_minute = 0;   ///< By choice.
  /// Time without an owner because of moves by choice, weighted by the moved
  /// share of all requests.
  double unavailable_seconds_per_minute = 0;
};

/// Runs one policy; `weights` apply to kWeighted only.
PlacementOutcome simulate_placement(PlacementPolicy policy,
                                    const PlacementWorkload& workload,
                                    const PlacementWeights& weights);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_PLACEMENT_COMPARE_H_
