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

constexpr std::uint32_t kRingPointsPerServer = 100;
constexpr double kMaxLoadFactor = 1.25;
constexpr int kNoOwner = -1;
/// Time that a unit has no owner when it moves by choice.
constexpr double kMoveGapSeconds = 0.1;
/// Share of all requests that go to hot keys.
constexpr double kHotRequestShare = 0.3;

/// SplitMix64.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// Requests per second at one step.
struct Rates {
  std::vector<double> keys;
  std::vector<double> slots;  ///< Sums over their keys.
};

struct Simulation {
  const PlacementWorkload& workload;
  std::mt19937_64 random;
  std::vector<std::uint32_t> slot_of_key;
  std::vector<double> base_key_rates;  ///< Without the load of hot keys.
  std::vector<std::uint32_t> hot_keys;
  std::vector<bool> server_alive;
  /// Share of its capacity that a server has: 0 while lost, then rising.
  std::vector<double> capacity_share;
  std::vector<int> slot_owner;             ///< Index of a server, or kNoOwner.
  std::map<std::uint32_t, int> key_owner;  ///< Of keys carved out of slots.
  std::map<ownership::Unit, int> last_move_step;
  int step = 0;
};

Simulation start_simulation(const PlacementWorkload& workload) {
  Simulation sim{.workload = workload};
  sim.random.seed(workload.seed);
  double sum = 0;
  for (std::uint32_t key = 0; key < workload.keys; ++key) {
    sim.slot_of_key.push_back(
        static_cast<std::uint32_t>(mix(key + workload.seed)) % workload.slots);
    sim.base_key_rates.push_back(1 /
                                 std::pow(key + 1.0, workload.zipf_exponent));
    sum += sim.base_key_rates.back();
  }
  for (double& rate : sim.base_key_rates)
    rate *= workload.requests_per_second * (1 - kHotRequestShare) / sum;
  std::shuffle(sim.base_key_rates.begin(), sim.base_key_rates.end(),
               sim.random);
  sim.server_alive.assign(workload.servers, true);
  sim.capacity_share.assign(workload.servers, 1.0);
  sim.slot_owner.assign(workload.slots, kNoOwner);
  return sim;
}

void pick_hot_keys(Simulation& sim) {
  sim.hot_keys.clear();
  std::uniform_int_distribution<std::uint32_t> random_key(
      0, sim.workload.keys - 1);
  while (sim.hot_keys.size() < sim.workload.hot_key_count)
    sim.hot_keys.push_back(random_key(sim.random));
}

Rates compute_rates(const Simulation& sim) {
  Rates rates{.keys = sim.base_key_rates,
              .slots = std::vector<double>(sim.workload.slots, 0.0)};
  double sum = 0;
  for (std::size_t i = 0; i < sim.hot_keys.size(); ++i)
    sum += 1 / static_cast<double>(i + 1);
  for (std::size_t i = 0; i < sim.hot_keys.size(); ++i) {
    rates.keys[sim.hot_keys[i]] += sim.workload.requests_per_second *
                                   kHotRequestShare /
                                   static_cast<double>(i + 1) / sum;
  }
  for (std::uint32_t key = 0; key < sim.workload.keys; ++key)
    rates.slots[sim.slot_of_key[key]] += rates.keys[key];
  return rates;
}

/// Loses servers in turn, one per loss interval, and raises the capacity of
/// those that have returned.
void update_servers(Simulation& sim) {
  auto steps = [&](Duration span) {
    return static_cast<int>(span / sim.workload.step);
  };
  int step_in_cycle = sim.step % steps(sim.workload.loss_interval);
  std::uint32_t lost_server =
      static_cast<std::uint32_t>(sim.step / steps(sim.workload.loss_interval)) %
      sim.workload.servers;
  int loss_step = steps(sim.workload.loss_interval) / 2;
  sim.server_alive[lost_server] =
      step_in_cycle < loss_step ||
      step_in_cycle >= loss_step + steps(sim.workload.loss_duration);
  double ramp_steps = steps(config::kColdStartRamp);
  for (std::uint32_t i = 0; i < sim.workload.servers; ++i) {
    sim.capacity_share[i] =
        sim.server_alive[i]
            ? std::min(1.0, sim.capacity_share[i] + 1 / ramp_steps)
            : 0;
  }
}

/// The server that owns the first point of the ring at or after the slot's.
int ring_owner(const Simulation& sim, std::uint32_t slot) {
  std::uint64_t slot_point = mix(slot);
  std::uint64_t best = ~0ULL;
  int owner = kNoOwner;
  for (std::uint32_t server = 0; server < sim.workload.servers; ++server) {
    if (!sim.server_alive[server]) continue;
    for (std::uint32_t point = 0; point < kRingPointsPerServer; ++point) {
      std::uint64_t distance =
          mix((std::uint64_t{server} << 32) + point + 1) - slot_point;
      if (distance < best) {
        best = distance;
        owner = static_cast<int>(server);
      }
    }
  }
  return owner;
}

/// The server with the highest score whose load stays within `bound`, or the
/// least loaded one.
int bounded_owner(const Simulation& sim, std::uint32_t slot, double rate,
                  double bound, const std::vector<double>& loads) {
  int owner = kNoOwner;
  int fallback = kNoOwner;
  std::uint64_t best = 0;
  for (std::uint32_t server = 0; server < sim.workload.servers; ++server) {
    if (!sim.server_alive[server]) continue;
    auto index = static_cast<std::size_t>(server);
    if (fallback == kNoOwner ||
        loads[index] < loads[static_cast<std::size_t>(fallback)])
      fallback = static_cast<int>(server);
    std::uint64_t score = mix((std::uint64_t{server} << 32) ^ mix(slot));
    if (loads[index] + rate > bound || score < best) continue;
    best = score;
    owner = static_cast<int>(server);
  }
  return owner == kNoOwner ? fallback : owner;
}

std::vector<int> place_by_consistent_hashing(const Simulation& sim) {
  std::vector<int> owner;
  for (std::uint32_t slot = 0; slot < sim.workload.slots; ++slot)
    owner.push_back(ring_owner(sim, slot));
  return owner;
}

std::vector<int> place_bounded(const Simulation& sim, const Rates& rates) {
  auto alive_count = static_cast<double>(
      std::count(sim.server_alive.begin(), sim.server_alive.end(), true));
  std::vector<double> loads(sim.workload.servers, 0);
  std::vector<int> owner;
  for (std::uint32_t slot = 0; slot < sim.workload.slots; ++slot) {
    double rate = rates.slots[slot];
    int chosen = bounded_owner(
        sim, slot, rate,
        kMaxLoadFactor * sim.workload.requests_per_second / alive_count, loads);
    loads[static_cast<std::size_t>(chosen)] += rate;
    owner.push_back(chosen);
  }
  return owner;
}

ServerName name_of(std::uint32_t server) {
  return ServerName(std::to_string(server));
}

int index_of(const ServerName& server) { return std::stoi(server.str()); }

std::vector<double> compute_loads(const Simulation& sim, const Rates& rates) {
  std::vector<double> loads(sim.workload.servers, 0);
  for (std::uint32_t slot = 0; slot < sim.workload.slots; ++slot)
    loads[static_cast<std::size_t>(sim.slot_owner[slot])] += rates.slots[slot];
  for (const auto& [key, owner] : sim.key_owner) {
    int owner_of_slot = sim.slot_owner[sim.slot_of_key[key]];
    loads[static_cast<std::size_t>(owner_of_slot)] -= rates.keys[key];
    loads[static_cast<std::size_t>(owner)] += rates.keys[key];
  }
  return loads;
}

/// The load that fronts would report: hot and carved-out keys on their own, and
/// slots without them. Units that moved within kMoveCooldown are left out.
ownership::LoadSummary summarize(const Simulation& sim, const Rates& rates) {
  std::vector<double> loads = compute_loads(sim, rates);
  ownership::LoadSummary summary;
  std::vector<std::size_t> summary_index(sim.workload.servers, 0);
  for (std::uint32_t i = 0; i < sim.workload.servers; ++i) {
    if (!sim.server_alive[i]) continue;
    summary_index[i] = summary.servers.size();
    summary.servers.push_back({.server = name_of(i),
                               .capacity = sim.workload.concurrency *
                                           std::max(0.1, sim.capacity_share[i]),
                               .rate = loads[i]});
  }
  std::vector<double> remaining_slot_rates = rates.slots;
  auto add_unit = [&](const ownership::Unit& unit, double rate, int owner) {
    auto last_move = sim.last_move_step.find(unit);
    bool cooling_down = last_move != sim.last_move_step.end() &&
                        (sim.step - last_move->second) * sim.workload.step <
                            config::kMoveCooldown;
    if (cooling_down) return;
    std::size_t index = summary_index[static_cast<std::size_t>(owner)];
    summary.servers[index].movable.push_back({unit, rate});
  };
  std::vector<std::uint32_t> keys = sim.hot_keys;
  for (const auto& [key, owner] : sim.key_owner) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  for (std::uint32_t key : keys) {
    std::uint32_t slot = sim.slot_of_key[key];
    remaining_slot_rates[slot] -= rates.keys[key];
    auto carved_out = sim.key_owner.find(key);
    int owner = carved_out == sim.key_owner.end() ? sim.slot_owner[slot]
                                                  : carved_out->second;
    add_unit({SlotId(slot), Key(std::to_string(key))}, rates.keys[key], owner);
  }
  for (std::uint32_t slot = 0; slot < sim.workload.slots; ++slot)
    add_unit({SlotId(slot), Key()}, remaining_slot_rates[slot],
             sim.slot_owner[slot]);
  return summary;
}

/// Assigns slots that have no owner or a lost one to the least loaded servers,
/// and merges carved-out keys of lost servers into their slots.
void reassign_unowned_units(Simulation& sim, const Rates& rates) {
  std::vector<double> loads(sim.workload.servers, 0);
  bool initial = sim.slot_owner.front() == kNoOwner;
  if (!initial) loads = compute_loads(sim, rates);
  std::vector<ownership::PlacementCandidate> candidates;
  for (std::uint32_t i = 0; i < sim.workload.servers; ++i) {
    if (sim.server_alive[i])
      candidates.push_back(
          {name_of(i), 1.0 * sim.workload.concurrency, loads[i]});
  }
  auto is_unowned = [&](int owner) {
    return owner == kNoOwner ||
           !sim.server_alive[static_cast<std::size_t>(owner)];
  };
  std::erase_if(sim.key_owner,
                [&](const auto& entry) { return is_unowned(entry.second); });
  for (std::uint32_t slot = 0; slot < sim.workload.slots; ++slot) {
    if (!is_unowned(sim.slot_owner[slot])) continue;
    sim.slot_owner[slot] = index_of(ownership::place_on_least_loaded(
        candidates, std::max(1e-6, initial ? 1.0 : rates.slots[slot])));
  }
}

struct Churn {
  double slots = 0;
  double keys = 0;
  double load_share = 0;  ///< Share of all requests that moved.
};

Churn apply_moves(Simulation& sim, const Rates& rates,
                  const std::vector<ownership::PlannedMove>& moves) {
  Churn churn;
  double keys_per_slot = 1.0 * sim.workload.keys / sim.workload.slots;
  for (const ownership::PlannedMove& move : moves) {
    int to = index_of(move.to);
    sim.last_move_step[move.unit] = sim.step;
    if (move.unit.key.empty()) {
      sim.slot_owner[move.unit.slot.value] = to;
      churn.slots += 1;
      churn.keys += keys_per_slot;
      churn.load_share +=
          rates.slots[move.unit.slot.value] / sim.workload.requests_per_second;
      continue;
    }
    auto key = static_cast<std::uint32_t>(std::stoul(move.unit.key.str()));
    if (sim.slot_owner[sim.slot_of_key[key]] == to) {
      sim.key_owner.erase(key);
    } else {
      sim.key_owner[key] = to;
    }
    churn.keys += 1;
    churn.load_share += rates.keys[key] / sim.workload.requests_per_second;
  }
  return churn;
}

Churn step_weighted(Simulation& sim, const Rates& rates,
                    const PlacementWeights& weights) {
  reassign_unowned_units(sim, rates);
  double budget = weights.moves_per_minute *
                  std::chrono::duration<double>(sim.workload.step).count() / 60;
  std::vector<ownership::PlannedMove> moves =
      ownership::plan(summarize(sim, rates), weights,
                      static_cast<std::size_t>(std::ceil(budget)));
  return apply_moves(sim, rates, moves);
}

Churn step_hashed(Simulation& sim, const Rates& rates, std::vector<int> owner) {
  Churn churn;
  double keys_per_slot = 1.0 * sim.workload.keys / sim.workload.slots;
  for (std::uint32_t slot = 0; slot < sim.workload.slots; ++slot) {
    int previous_owner = sim.slot_owner[slot];
    bool by_choice = previous_owner != kNoOwner &&
                     previous_owner != owner[slot] &&
                     sim.server_alive[static_cast<std::size_t>(previous_owner)];
    if (!by_choice) continue;
    churn.slots += 1;
    churn.keys += keys_per_slot;
    churn.load_share += rates.slots[slot] / sim.workload.requests_per_second;
  }
  sim.slot_owner = std::move(owner);
  return churn;
}

Churn step_policy(Simulation& sim, PlacementPolicy policy, const Rates& rates,
                  const PlacementWeights& weights) {
  switch (policy) {
    case PlacementPolicy::kConsistentHashing:
      return step_hashed(sim, rates, place_by_consistent_hashing(sim));
    case PlacementPolicy::kBoundedRendezvous:
      return step_hashed(sim, rates, place_bounded(sim, rates));
    case PlacementPolicy::kWeighted:
      return step_weighted(sim, rates, weights);
  }
  return {};
}

double compute_peak_load_ratio(const Simulation& sim, const Rates& rates) {
  std::vector<double> loads = compute_loads(sim, rates);
  auto alive_count = static_cast<double>(
      std::count(sim.server_alive.begin(), sim.server_alive.end(), true));
  return *std::max_element(loads.begin(), loads.end()) * alive_count /
         sim.workload.requests_per_second;
}

}  // namespace

PlacementOutcome simulate_placement(PlacementPolicy policy,
                                    const PlacementWorkload& workload,
                                    const PlacementWeights& weights) {
  Simulation sim = start_simulation(workload);
  PlacementOutcome outcome{.policy = policy};
  int steps = static_cast<int>(workload.duration / workload.step);
  int steps_per_hot_set =
      static_cast<int>(workload.hot_keys_interval / workload.step);
  for (sim.step = 0; sim.step < steps; ++sim.step) {
    if (sim.step % steps_per_hot_set == 0) pick_hot_keys(sim);
    update_servers(sim);
    Rates rates = compute_rates(sim);
    Churn churn = step_policy(sim, policy, rates, weights);
    outcome.peak_load_ratio += compute_peak_load_ratio(sim, rates) / steps;
    outcome.imbalance += ownership::imbalance(summarize(sim, rates)) / steps;
    outcome.slot_moves_per_minute += churn.slots;
    outcome.key_moves_per_minute += churn.keys;
    outcome.unavailable_seconds_per_minute +=
        churn.load_share * kMoveGapSeconds;
  }
  double duration_minutes =
      std::chrono::duration<double>(workload.duration).count() / 60;
  outcome.slot_moves_per_minute /= duration_minutes;
  outcome.key_moves_per_minute /= duration_minutes;
  outcome.unavailable_seconds_per_minute /= duration_minutes;
  return outcome;
}

}  // namespace eelgrasspin::scenario
