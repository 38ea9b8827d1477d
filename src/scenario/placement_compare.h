#ifndef EELGRASSPIN_SCENARIO_PLACEMENT_COMPARE_H_
#define EELGRASSPIN_SCENARIO_PLACEMENT_COMPARE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspin/declarations.h"
#include "eelgrasspin/units.h"

/// Compares placement policies on the same seeded load.
namespace eelgrasspin::scenario {

enum class PlacementPolicy : std::uint8_t {
  kConsistentHashing,  ///< 100 points for each server on a hash ring.
  kBoundedRendezvous,  ///< Rendezvous hashing; no server above 1.25 of the mean
                       ///< load.
  kWeighted,           ///< core::ownership::plan.
};

/// Keys with zipf-like rates, of which the hottest change from time to time,
/// and servers that are lost and come back.
struct PlacementLoad {
  std::uint32_t servers = 15;
  std::uint32_t concurrency = 2;
  std::uint32_t slots = 1024;
  std::uint32_t keys = 50'000;
  double zipf_exponent = 1.0;
  double rate = 600;  ///< Requests per second, of all keys.
  std::uint32_t hot_keys = 20;
  Duration hot_change = minutes(3);
  Duration step = seconds(5);
  Duration length = minutes(30);
  Duration loss_interval = minutes(10);  ///< One server is lost ...
  Duration loss_length = minutes(2);     ///< ... and comes back after this.
  std::uint64_t seed = 1;
};

/// Means over the run.
struct PlacementOutcome {
  PlacementPolicy policy = PlacementPolicy::kWeighted;
  double peak_level = 0;   ///< Highest load of a server against the mean.
  double imbalance = 0;    ///< core::ownership::imbalance.
  double churn_slots = 0;  ///< Slots that changed owner by choice, per minute.
  double churn_keys = 0;   ///< Keys that changed owner by choice, per minute.
  double unavailable = 0;  ///< Key-seconds without an owner by choice, per
                           ///< minute, weighted by each key's share of load.
};

PlacementOutcome compare(PlacementPolicy policy, const PlacementLoad& load,
                         const PlacementWeights& weights);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_PLACEMENT_COMPARE_H_
