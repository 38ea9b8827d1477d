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

double level(const Totals& totals, const ServerLoad& server, double rate) {
  return rate / server.capacity * totals.capacity / totals.rate;
}

/// A server's part of the imbalance.
double deviation(const Totals& totals, const ServerLoad& server, double rate) {
  double off = level(totals, server, rate) - 1;
  return server.capacity / totals.capacity * off * off;
}

/// Noise of a server's level, from the number of requests seen in the window.
double noise(const Totals& totals, const ServerLoad& server) {
  double window = std::chrono::duration<double>(config::kRateWindow).count();
  double rate_noise = std::sqrt(std::max(server.rate, 1 / window) / window);
  return kNoiseDeviations * level(totals, server, rate_noise);
}

struct Candidate {
  std::size_t from = 0;
  std::size_t unit = 0;
  std::size_t to = 0;
  double gain = 0;
};

/// Price of moving a unit, in units of the imbalance measure.
double move_cost(const UnitLoad& load, const PlacementWeights& weights) {
  double price =
      load.unit.key.empty() ? config::kSlotMoveCost : config::kKeyMoveCost;
  return price * weights.churn + config::kSlotMoveCost * weights.unavailable;
}

Candidate best_move(const LoadSummary& summary, const Totals& totals,
                    const PlacementWeights& weights, std::size_t from) {
  const ServerLoad& source = summary.servers[from];
  Candidate best{.from = from};
  for (std::size_t u = 0; u < source.movable.size(); ++u) {
    const UnitLoad& load = source.movable[u];
    double relief = deviation(totals, source, source.rate) -
                    deviation(totals, source, source.rate - load.rate);
    double cost = move_cost(load, weights);
    for (std::size_t to = 0; to < summary.servers.size(); ++to) {
      if (to == from) continue;
      const ServerLoad& target = summary.servers[to];
      double burden = deviation(totals, target, target.rate + load.rate) -
                      deviation(totals, target, target.rate);
      double gain = weights.imbalance * (relief - burden) - cost;
      if (gain > best.gain) best = {from, u, to, gain};
    }
  }
  return best;
}

std::size_t highest(const LoadSummary& summary, const Totals& totals) {
  auto by_level = [&](const ServerLoad& a, const ServerLoad& b) {
    return level(totals, a, a.rate) < level(totals, b, b.rate);
  };
  return static_cast<std::size_t>(std::max_element(summary.servers.begin(),
                                                   summary.servers.end(),
                                                   by_level) -
                                  summary.servers.begin());
}

bool out_of_bounds(const LoadSummary& summary, const Totals& totals) {
  return std::any_of(summary.servers.begin(), summary.servers.end(),
                     [&](const ServerLoad& server) {
                       double at = level(totals, server, server.rate);
                       double slack = noise(totals, server);
                       return at > config::kOverloadStartRatio + slack ||
                              at < config::kUnderloadRatio - slack;
                     });
}

bool within_target(const LoadSummary& summary, const Totals& totals) {
  return std::all_of(summary.servers.begin(), summary.servers.end(),
                     [&](const ServerLoad& server) {
                       double at = level(totals, server, server.rate);
                       return at <= config::kOverloadStopRatio &&
                              at >= 2 - config::kOverloadStopRatio -
                                        (1 - config::kUnderloadRatio) / 2;
                     });
}

PlannedMove carry_out(LoadSummary& summary, const Candidate& move) {
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
    sum += deviation(totals, server, server.rate);
  return sum;
}

std::vector<PlannedMove> plan(const LoadSummary& summary,
                              const PlacementWeights& weights,
                              std::size_t budget) {
  std::vector<PlannedMove> moves;
  Totals totals = totals_of(summary);
  if (summary.servers.size() < 2 || totals.rate <= 0) return moves;
  if (!out_of_bounds(summary, totals)) return moves;
  LoadSummary planned = summary;
  while (moves.size() < budget && !within_target(planned, totals)) {
    Candidate move =
        best_move(planned, totals, weights, highest(planned, totals));
    if (move.gain <= 0) break;
    moves.push_back(carry_out(planned, move));
  }
  return moves;
}

}  // namespace eelgrasspin::core::ownership
