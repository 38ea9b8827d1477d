#include "core/ownership/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "eelgrasspin/config.h"

namespace eelgrasspin::core::ownership {
namespace {

/// Standard deviations of the measured rate that count as noise.
constexpr double kNoiseDeviations = 3;

struct Totals {
  double rate = 0;
  double capacity = 0;
};

Totals totals_of(const LoadSummary& summary) {
  Totals totals;
  for (const ServerLoad& server : summary.servers) {
    totals.rate += server.rate;
    totals.capacity += server.capacity;
  }
  return totals;
}

double relative_load(const Totals& totals, const ServerLoad& server,
                     double rate) {
  return rate / server.capacity * totals.capacity / totals.rate;
}

/// A server's contribution to the imbalance.
double imbalance_share(const Totals& totals, const ServerLoad& server,
                       double rate) {
  double excess = relative_load(totals, server, rate) - 1;
  return server.capacity / totals.capacity * excess * excess;
}

/// Noise of a server's relative load, given the number of requests measured in
/// the rate window.
double load_noise(const Totals& totals, const ServerLoad& server) {
  double window = std::chrono::duration<double>(config::kRateWindow).count();
  double rate_noise = std::sqrt(std::max(server.rate, 1 / window) / window);
  return kNoiseDeviations * relative_load(totals, server, rate_noise);
}

struct CandidateMove {
  std::size_t from = 0;
  std::size_t unit = 0;
  std::size_t to = 0;
  double gain = 0;
};

/// Cost of moving a unit, in units of the imbalance measure.
double move_cost(const UnitLoad& load, const PlacementWeights& weights) {
  double unit_cost =
      load.unit.key.empty() ? config::kSlotMoveCost : config::kKeyMoveCost;
  return unit_cost * weights.churn +
         config::kSlotMoveCost * weights.unavailable;
}

CandidateMove best_move(const LoadSummary& summary, const Totals& totals,
                        const PlacementWeights& weights, std::size_t from) {
  const ServerLoad& source = summary.servers[from];
  CandidateMove best{.from = from};
  for (std::size_t u = 0; u < source.movable.size(); ++u) {
    const UnitLoad& load = source.movable[u];
    double source_gain =
        imbalance_share(totals, source, source.rate) -
        imbalance_share(totals, source, source.rate - load.rate);
    double cost = move_cost(load, weights);
    for (std::size_t to = 0; to < summary.servers.size(); ++to) {
      if (to == from) continue;
      const ServerLoad& target = summary.servers[to];
      double target_cost =
          imbalance_share(totals, target, target.rate + load.rate) -
          imbalance_share(totals, target, target.rate);
      double gain = weights.imbalance * (source_gain - target_cost) - cost;
      if (gain > best.gain) best = {from, u, to, gain};
    }
  }
  return best;
}

std::size_t most_loaded_server(const LoadSummary& summary,
                               const Totals& totals) {
  auto by_relative_load = [&](const ServerLoad& a, const ServerLoad& b) {
    return relative_load(totals, a, a.rate) < relative_load(totals, b, b.rate);
  };
  return static_cast<std::size_t>(std::max_element(summary.servers.begin(),
                                                   summary.servers.end(),
                                                   by_relative_load) -
                                  summary.servers.begin());
}

bool is_out_of_bounds(const LoadSummary& summary, const Totals& totals) {
  return std::any_of(summary.servers.begin(), summary.servers.end(),
                     [&](const ServerLoad& server) {
                       double load = relative_load(totals, server, server.rate);
                       double margin = load_noise(totals, server);
                       return load > config::kOverloadStartRatio + margin ||
                              load < config::kUnderloadRatio - margin;
                     });
}

bool is_within_target(const LoadSummary& summary, const Totals& totals) {
  return std::all_of(summary.servers.begin(), summary.servers.end(),
                     [&](const ServerLoad& server) {
                       double load = relative_load(totals, server, server.rate);
                       return load <= config::kOverloadStopRatio &&
                              load >= 2 - config::kOverloadStopRatio -
                                          (1 - config::kUnderloadRatio) / 2;
                     });
}

PlannedMove apply_move(LoadSummary& summary, const CandidateMove& move) {
  ServerLoad& source = summary.servers[move.from];
  ServerLoad& target = summary.servers[move.to];
  UnitLoad load = source.movable[move.unit];
  source.movable.erase(source.movable.begin() +
                       static_cast<std::ptrdiff_t>(move.unit));
  source.rate -= load.rate;
  target.rate += load.rate;
  return {load.unit, source.server, target.server};
}

}  // namespace

double imbalance(const LoadSummary& summary) {
  Totals totals = totals_of(summary);
  if (totals.rate <= 0) return 0;
  double sum = 0;
  for (const ServerLoad& server : summary.servers)
    sum += imbalance_share(totals, server, server.rate);
  return sum;
}

std::vector<PlannedMove> plan(const LoadSummary& summary,
                              const PlacementWeights& weights,
                              std::size_t budget) {
  std::vector<PlannedMove> moves;
  Totals totals = totals_of(summary);
  if (summary.servers.size() < 2 || totals.rate <= 0) return moves;
  if (!is_out_of_bounds(summary, totals)) return moves;
  LoadSummary planned = summary;
  while (moves.size() < budget && !is_within_target(planned, totals)) {
    CandidateMove move = best_move(planned, totals, weights,
                                   most_loaded_server(planned, totals));
    if (move.gain <= 0) break;
    moves.push_back(apply_move(planned, move));
  }
  return moves;
}

}  // namespace eelgrasspin::core::ownership
