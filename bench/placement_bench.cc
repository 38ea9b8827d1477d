#include <benchmark/benchmark.h>

#include "scenario/placement_compare.h"

namespace eelgrasspin::scenario {
namespace {

/// Magarini weighs unavailable time most, OCSA weighs churn most.
constexpr PlacementWeights kMagarini{
    .imbalance = 1, .churn = 1, .unavailable = 4, .moves_per_minute = 64};
constexpr PlacementWeights kOcsa{
    .imbalance = 1, .churn = 8, .unavailable = 1, .moves_per_minute = 16};

void BM_Placement(benchmark::State& state) {
  auto policy = static_cast<PlacementPolicy>(state.range(0));
  bool magarini = state.range(1) == 0;
  PlacementWorkload workload{.servers = magarini ? 15U : 12U,
                             .concurrency = magarini ? 2U : 4U};
  PlacementOutcome outcome;
  for (auto _ : state)
    outcome =
        simulate_placement(policy, workload, magarini ? kMagarini : kOcsa);
  state.counters["peak"] = outcome.peak_load_ratio;
  state.counters["imbalance"] = outcome.imbalance;
  state.counters["slots/min"] = outcome.slot_moves_per_minute;
  state.counters["keys/min"] = outcome.key_moves_per_minute;
  state.counters["unavail_s/min"] = outcome.unavailable_seconds_per_minute;
}

BENCHMARK(BM_Placement)
    ->ArgNames({"policy", "ocsa"})
    ->ArgsProduct({{0, 1, 2}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace eelgrasspin::scenario
