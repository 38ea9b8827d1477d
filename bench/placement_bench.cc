#include <benchmark/benchmark.h>

#include "scenario/placement_compare.h"

namespace eelgrasspin::scenario {
namespace {

/// Magarini weighs unavailable time most, OCSA churn.
constexpr PlacementWeights kMagarini{
    .imbalance = 1, .churn = 1, .unavailable = 4, .moves_per_minute = 64};
constexpr PlacementWeights kOcsa{
    .imbalance = 1, .churn = 8, .unavailable = 1, .moves_per_minute = 16};

void BM_Placement(benchmark::State& state) {
  auto policy = static_cast<PlacementPolicy>(state.range(0));
  bool magarini = state.range(1) == 0;
  PlacementLoad load{.servers = magarini ? 15U : 12U,
                     .concurrency = magarini ? 2U : 4U};
  PlacementOutcome outcome;
  for (auto _ : state)
    outcome = compare(policy, load, magarini ? kMagarini : kOcsa);
  state.counters["peak"] = outcome.peak_level;
  state.counters["imbalance"] = outcome.imbalance;
  state.counters["slots/min"] = outcome.churn_slots;
  state.counters["keys/min"] = outcome.churn_keys;
  state.counters["unavail_s/min"] = outcome.unavailable;
}

BENCHMARK(BM_Placement)
    ->ArgNames({"policy", "ocsa"})
    ->ArgsProduct({{0, 1, 2}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace eelgrasspin::scenario
