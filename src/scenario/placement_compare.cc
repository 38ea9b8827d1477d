#include "scenario/placement_compare.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>

#include "core/ownership/ownership.h"
#include "core/ownership/placement.h"
#include "core/ownership/spread.h"
#include "eelgrasspin/config.h"

namespace eelgrasspin::scenario {
namespace {

namespace ownership = core::ownership;

constexpr std::uint32_t kRingPoints = 100;
constexpr double kBoundFactor = 1.25;
constexpr int kNobody = -1;
/// Time without an owner of a unit that moves by choice.
constexpr double kMoveGapSeconds = 0.1;
/// Share of all requests that goes to the hot keys.
constexpr double kHotShare = 0.3;

/// A fixed mixing function (SplitMix64).
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// The load at one step.
struct Rates {
  std::vector<double> keys;
  std::vector<double> slots;  ///< With all their keys.
};

struct Run {
  const PlacementLoad& load;
  std::mt19937_64 random;
  std::vector<std::uint32_t> slot_of_key;
  std::vector<double> base;  ///< Rates of the keys without hot ones.
  std::vector<std::uint32_t> hot;
  std::vector<bool> alive;
  std::vector<double> ramp;  ///< Part of its capacity that a server has.
  std::vector<int> owner;    ///< By slot.
  std::map<std::uint32_t, int> carved;  ///< Key -> owner.
  std::map<ownership::Unit, int> moved_at;
  int step = 0;
};

Run begin_run(const PlacementLoad& load) {
  Run run{.load = load};
  run.random.seed(load.seed);
  double sum = 0;
  for (std::uint32_t key = 0; key < load.keys; ++key) {
    run.slot_of_key.push_back(static_cast<std::uint32_t>(mix(key + load.seed)) %
                              load.slots);
    run.base.push_back(1 / std::pow(key + 1.0, load.zipf_exponent));
    sum += run.base.back();
  }
  for (double& rate : run.base) rate *= load.rate * (1 - kHotShare) / sum;
  std::shuffle(run.base.begin(), run.base.end(), run.random);
  run.alive.assign(load.servers, true);
  run.ramp.assign(load.servers, 1.0);
  run.owner.assign(load.slots, kNobody);
  return run;
}

void change_hot_keys(Run& run) {
  run.hot.clear();
  std::uniform_int_distribution<std::uint32_t> any(0, run.load.keys - 1);
  while (run.hot.size() < run.load.hot_keys) run.hot.push_back(any(run.random));
}

Rates rates_of(const Run& run) {
  Rates rates{.keys = run.base,
              .slots = std::vector<double>(run.load.slots, 0.0)};
  double sum = 0;
  for (std::size_t i = 0; i < run.hot.size(); ++i)
    sum += 1 / static_cast<double>(i + 1);
  for (std::size_t i = 0; i < run.hot.size(); ++i) {
    rates.keys[run.hot[i]] +=
        run.load.rate * kHotShare / static_cast<double>(i + 1) / sum;
  }
  for (std::uint32_t key = 0; key < run.load.keys; ++key)
    rates.slots[run.slot_of_key[key]] += rates.keys[key];
  return rates;
}

void change_servers(Run& run) {
  auto steps = [&](Duration d) { return static_cast<int>(d / run.load.step); };
  int phase = run.step % steps(run.load.loss_interval);
  std::uint32_t victim =
      static_cast<std::uint32_t>(run.step / steps(run.load.loss_interval)) %
      run.load.servers;
  int lost_from = steps(run.load.loss_interval) / 2;
  run.alive[victim] =
      phase < lost_from || phase >= lost_from + steps(run.load.loss_length);
  double ramp_steps = steps(config::kColdStartRamp);
  for (std::uint32_t i = 0; i < run.load.servers; ++i) {
    run.ramp[i] =
        run.alive[i] ? std::min(1.0, run.ramp[i] + 1 / ramp_steps) : 0;
  }
}

int ring_owner(const Run& run, std::uint32_t slot) {
  std::uint64_t at = mix(slot);
  std::uint64_t best = ~0ULL;
  int owner = kNobody;
  for (std::uint32_t server = 0; server < run.load.servers; ++server) {
    if (!run.alive[server]) continue;
    for (std::uint32_t point = 0; point < kRingPoints; ++point) {
      std::uint64_t distance =
          mix((std::uint64_t{server} << 32) + point + 1) - at;
      if (distance < best) {
        best = distance;
        owner = static_cast<int>(server);
      }
    }
  }
  return owner;
}

int bounded_owner(const Run& run, std::uint32_t slot, double rate, double bound,
                  const std::vector<double>& loads) {
  int owner = kNobody;
  int fallback = kNobody;
  std::uint64_t best = 0;
  for (std::uint32_t server = 0; server < run.load.servers; ++server) {
    if (!run.alive[server]) continue;
    auto index = static_cast<std::size_t>(server);
    if (fallback == kNobody ||
        loads[index] < loads[static_cast<std::size_t>(fallback)])
      fallback = static_cast<int>(server);
    std::uint64_t score = mix((std::uint64_t{server} << 32) ^ mix(slot));
    if (loads[index] + rate > bound || score < best) continue;
    best = score;
    owner = static_cast<int>(server);
  }
  return owner == kNobody ? fallback : owner;
}

std::vector<int> place_by_ring(const Run& run) {
  std::vector<int> owner;
  for (std::uint32_t slot = 0; slot < run.load.slots; ++slot)
    owner.push_back(ring_owner(run, slot));
  return owner;
}

std::vector<int> place_bounded(const Run& run, const Rates& rates) {
  auto live =
      static_cast<double>(std::count(run.alive.begin(), run.alive.end(), true));
  std::vector<double> loads(run.load.servers, 0);
  std::vector<int> owner;
  for (std::uint32_t slot = 0; slot < run.load.slots; ++slot) {
    double rate = rates.slots[slot];
    int chosen = bounded_owner(run, slot, rate,
                               kBoundFactor * run.load.rate / live, loads);
    loads[static_cast<std::size_t>(chosen)] += rate;
    owner.push_back(chosen);
  }
  return owner;
}

ServerName name_of(std::uint32_t server) {
  return ServerName(std::to_string(server));
}

int index_of(const ServerName& server) { return std::stoi(server.str()); }

std::vector<double> loads_of(const Run& run, const Rates& rates) {
  std::vector<double> loads(run.load.servers, 0);
  for (std::uint32_t slot = 0; slot < run.load.slots; ++slot)
    loads[static_cast<std::size_t>(run.owner[slot])] += rates.slots[slot];
  for (const auto& [key, owner] : run.carved) {
    int home = run.owner[run.slot_of_key[key]];
    loads[static_cast<std::size_t>(home)] -= rates.keys[key];
    loads[static_cast<std::size_t>(owner)] += rates.keys[key];
  }
  return loads;
}

/// What fronts would report: every slot without its hot keys, and the hot keys.
ownership::LoadSummary summarize(const Run& run, const Rates& rates) {
  std::vector<double> loads = loads_of(run, rates);
  ownership::LoadSummary summary;
  std::vector<std::size_t> place(run.load.servers, 0);
  for (std::uint32_t i = 0; i < run.load.servers; ++i) {
    if (!run.alive[i]) continue;
    place[i] = summary.servers.size();
    summary.servers.push_back(
        {.server = name_of(i),
         .capacity = run.load.concurrency * std::max(0.1, run.ramp[i]),
         .rate = loads[i]});
  }
  std::vector<double> plain = rates.slots;
  auto add = [&](const ownership::Unit& unit, double rate, int owner) {
    auto rested = run.moved_at.find(unit);
    bool resting =
        rested != run.moved_at.end() &&
        (run.step - rested->second) * run.load.step < config::kMoveCooldown;
    if (resting) return;
    std::size_t at = place[static_cast<std::size_t>(owner)];
    summary.servers[at].movable.push_back({unit, rate});
  };
  std::vector<std::uint32_t> keys = run.hot;
  for (const auto& [key, owner] : run.carved) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  for (std::uint32_t key : keys) {
    std::uint32_t slot = run.slot_of_key[key];
    plain[slot] -= rates.keys[key];
    auto carved = run.carved.find(key);
    int owner = carved == run.carved.end() ? run.owner[slot] : carved->second;
    add({SlotId(slot), Key(std::to_string(key))}, rates.keys[key], owner);
  }
  for (std::uint32_t slot = 0; slot < run.load.slots; ++slot)
    add({SlotId(slot), Key()}, plain[slot], run.owner[slot]);
  return summary;
}

/// Gives the units of lost servers, and units without an owner, to the
/// lightest.
void rescue(Run& run, const Rates& rates) {
  std::vector<double> loads(run.load.servers, 0);
  bool fresh = run.owner.front() == kNobody;
  if (!fresh) loads = loads_of(run, rates);
  std::vector<ownership::PlacementCandidate> shares;
  for (std::uint32_t i = 0; i < run.load.servers; ++i) {
    if (run.alive[i])
      shares.push_back({name_of(i), 1.0 * run.load.concurrency, loads[i]});
  }
  auto is_lost = [&](int owner) {
    return owner == kNobody || !run.alive[static_cast<std::size_t>(owner)];
  };
  std::erase_if(run.carved,
                [&](const auto& entry) { return is_lost(entry.second); });
  for (std::uint32_t slot = 0; slot < run.load.slots; ++slot) {
    if (!is_lost(run.owner[slot])) continue;
    run.owner[slot] = index_of(ownership::place_on_least_loaded(
        shares, std::max(1e-6, fresh ? 1.0 : rates.slots[slot])));
  }
}

struct Churn {
  double slots = 0;
  double keys = 0;
  double load = 0;  ///< Share of all requests that moved.
};

Churn apply_moves(Run& run, const Rates& rates,
                  const std::vector<ownership::PlannedMove>& moves) {
  Churn churn;
  double keys_per_slot = 1.0 * run.load.keys / run.load.slots;
  for (const ownership::PlannedMove& move : moves) {
    int to = index_of(move.to);
    run.moved_at[move.unit] = run.step;
    if (move.unit.key.empty()) {
      run.owner[move.unit.slot.value] = to;
      churn.slots += 1;
      churn.keys += keys_per_slot;
      churn.load += rates.slots[move.unit.slot.value] / run.load.rate;
      continue;
    }
    auto key = static_cast<std::uint32_t>(std::stoul(move.unit.key.str()));
    if (run.owner[run.slot_of_key[key]] == to) {
      run.carved.erase(key);
    } else {
      run.carved[key] = to;
    }
    churn.keys += 1;
    churn.load += rates.keys[key] / run.load.rate;
  }
  return churn;
}

Churn step_weighted(Run& run, const Rates& rates,
                    const PlacementWeights& weights) {
  rescue(run, rates);
  double budget = weights.moves_per_minute *
                  std::chrono::duration<double>(run.load.step).count() / 60;
  std::vector<ownership::PlannedMove> moves =
      ownership::plan(summarize(run, rates), weights,
                      static_cast<std::size_t>(std::ceil(budget)));
  return apply_moves(run, rates, moves);
}

Churn step_hashed(Run& run, const Rates& rates, std::vector<int> owner) {
  Churn churn;
  double keys_per_slot = 1.0 * run.load.keys / run.load.slots;
  for (std::uint32_t slot = 0; slot < run.load.slots; ++slot) {
    int before = run.owner[slot];
    bool by_choice = before != kNobody && before != owner[slot] &&
                     run.alive[static_cast<std::size_t>(before)];
    if (!by_choice) continue;
    churn.slots += 1;
    churn.keys += keys_per_slot;
    churn.load += rates.slots[slot] / run.load.rate;
  }
  run.owner = std::move(owner);
  return churn;
}

Churn step_policy(Run& run, PlacementPolicy policy, const Rates& rates,
                  const PlacementWeights& weights) {
  switch (policy) {
    case PlacementPolicy::kConsistentHashing:
      return step_hashed(run, rates, place_by_ring(run));
    case PlacementPolicy::kBoundedRendezvous:
      return step_hashed(run, rates, place_bounded(run, rates));
    case PlacementPolicy::kWeighted:
      return step_weighted(run, rates, weights);
  }
  return {};
}

double peak_level(const Run& run, const Rates& rates) {
  std::vector<double> loads = loads_of(run, rates);
  auto live =
      static_cast<double>(std::count(run.alive.begin(), run.alive.end(), true));
  return *std::max_element(loads.begin(), loads.end()) * live / run.load.rate;
}

}  // namespace

PlacementOutcome compare(PlacementPolicy policy, const PlacementLoad& load,
                         const PlacementWeights& weights) {
  Run run = begin_run(load);
  PlacementOutcome sums{.policy = policy};
  int steps = static_cast<int>(load.length / load.step);
  int hot_steps = static_cast<int>(load.hot_change / load.step);
  for (run.step = 0; run.step < steps; ++run.step) {
    if (run.step % hot_steps == 0) change_hot_keys(run);
    change_servers(run);
    Rates rates = rates_of(run);
    Churn churn = step_policy(run, policy, rates, weights);
    sums.peak_level += peak_level(run, rates) / steps;
    sums.imbalance += ownership::imbalance(summarize(run, rates)) / steps;
    sums.churn_slots += churn.slots;
    sums.churn_keys += churn.keys;
    sums.unavailable += churn.load * kMoveGapSeconds;
  }
  double length = std::chrono::duration<double>(load.length).count() / 60;
  sums.churn_slots /= length;
  sums.churn_keys /= length;
  sums.unavailable /= length;
  return sums;
}

}  // namespace eelgrasspin::scenario
