#include "fleet/placement.h"

#include <algorithm>
#include <optional>
#include <set>

#include "fleet/config.h"

namespace eelgrasspin::fleet {
namespace {

constexpr std::uint32_t kKeys = kMaxShardKey + 1;
/// Part of the wanted load that a run of keys has to carry to be worth moving.
constexpr double kLeastFit = 0.3;
constexpr double kMostFit = 1.15;
/// Requests a second; less is not worth a move.
constexpr double kLeastWanted = 0.1;
/// Cost of moving all keys, in units of a run's relative misfit.
constexpr double kWidthCost = 4.0;
/// Load of one key, against the capacity of its owner, from which on it is
/// given the fastest server.
constexpr double kHotKeyShare = 0.5;
/// A server counts as faster from this ratio of capacities on.
constexpr double kFasterRatio = 1.25;

struct Loads {
  std::map<ServerIncarnation, double> of;
  double total = 0;
  double per_key = 0;  ///< Assumed of each key besides its heat.
};

double heat_between(const PlacementInput& input, ShardKey first,
                    ShardKey last) {
  double sum = 0;
  for (auto it = input.heat.lower_bound(first);
       it != input.heat.end() && it->first <= last; ++it) {
    sum += it->second;
  }
  return sum;
}

double keys_of(const KeyRange& range) {
  return static_cast<double>(range.last.value - range.first.value + 1);
}

Loads loads_of(const PlacementInput& input) {
  Loads loads;
  double heat = 0;
  for (const auto& [key, weight] : input.heat) heat += weight;
  loads.per_key = heat * config::kBackgroundShare / kKeys;
  loads.total = heat * (1.0 + config::kBackgroundShare);
  for (const PlacedServer& server : input.servers) loads.of[server.life] = 0;
  for (const KeyRange& range : input.ranges) {
    auto found = loads.of.find(range.owner);
    if (found == loads.of.end()) continue;
    found->second += heat_between(input, range.first, range.last) +
                     loads.per_key * keys_of(range);
  }
  return loads;
}

double total_capacity(const PlacementInput& input) {
  double total = 0;
  for (const PlacedServer& server : input.servers) total += server.capacity;
  return total;
}

struct Run {
  ShardKey first;
  ShardKey last;
  double load = 0;
};

/// How far a run is from what is wanted: its load against the wanted one, and
/// the keys that change hands for it.
double misfit(const Run& run, double wanted) {
  double width = static_cast<double>(run.last.value - run.first.value + 1);
  return std::abs(run.load - wanted) / wanted + kWidthCost * width / kKeys;
}

bool better(const Run& left, const std::optional<Run>& right, double wanted) {
  return !right || misfit(left, wanted) < misfit(*right, wanted);
}

/// The run of neighbouring hot keys inside the range whose load fits best.
std::optional<Run> best_run(const PlacementInput& input, const KeyRange& range,
                            double per_key, double wanted, double most) {
  std::vector<std::pair<ShardKey, double>> hot;
  for (auto it = input.heat.lower_bound(range.first);
       it != input.heat.end() && it->first <= range.last; ++it) {
    hot.emplace_back(it->first, it->second);
  }
  std::optional<Run> best;
  for (std::size_t from = 0; from < hot.size(); ++from) {
    double load = 0;
    for (std::size_t to = from; to < hot.size(); ++to) {
      load += hot[to].second;
      double width = hot[to].first.value - hot[from].first.value + 1;
      Run run{hot[from].first, hot[to].first, load + per_key * width};
      if (run.load > most) break;
      if (better(run, best, wanted)) best = run;
    }
  }
  return best;
}

std::optional<Run> best_run_of_server(const PlacementInput& input,
                                      const ServerIncarnation& life,
                                      double per_key, double wanted,
                                      double most) {
  std::optional<Run> best;
  for (std::size_t i = 0; i < input.ranges.size(); ++i) {
    if (input.ranges[i].owner != life || !input.movable[i]) continue;
    auto run = best_run(input, input.ranges[i], per_key, wanted, most);
    if (run && better(*run, best, wanted)) best = run;
  }
  return best;
}

/// An idle newcomer gets half of the widest range even when little is known of
/// the heat, so that it does not stand by unused.
std::optional<Run> half_of_widest(const PlacementInput& input,
                                  const ServerIncarnation& life) {
  const KeyRange* widest = nullptr;
  for (std::size_t i = 0; i < input.ranges.size(); ++i) {
    const KeyRange& range = input.ranges[i];
    if (range.owner != life || !input.movable[i]) continue;
    if (widest == nullptr || keys_of(range) > keys_of(*widest)) widest = &range;
  }
  if (widest == nullptr || keys_of(*widest) < 2) return std::nullopt;
  auto half = static_cast<std::uint32_t>(keys_of(*widest) / 2);
  return Run{ShardKey(widest->last.value - half + 1), widest->last, 0};
}

const PlacedServer* extreme(const PlacementInput& input, const Loads& loads,
                            bool most) {
  const PlacedServer* found = nullptr;
  double found_level = 0;
  for (const PlacedServer& server : input.servers) {
    double level = loads.of.at(server.life) / server.capacity;
    if (found == nullptr ||
        (most ? level > found_level : level < found_level)) {
      found = &server;
      found_level = level;
    }
  }
  return found;
}

const PlacedServer* find_server(const PlacementInput& input,
                                const ServerIncarnation& life) {
  for (const PlacedServer& server : input.servers) {
    if (server.life == life) return &server;
  }
  return nullptr;
}

const PlacedServer* newcomer_of(const PlacementInput& input) {
  std::set<ServerIncarnation> owners;
  for (const KeyRange& range : input.ranges) owners.insert(range.owner);
  for (const PlacedServer& server : input.servers) {
    if (owners.count(server.life) == 0) return &server;
  }
  return nullptr;
}

const PlacedServer* widest_owner(const PlacementInput& input) {
  auto widest =
      std::max_element(input.ranges.begin(), input.ranges.end(),
                       [](const KeyRange& left, const KeyRange& right) {
                         return keys_of(left) < keys_of(right);
                       });
  return widest == input.ranges.end() ? nullptr
                                      : find_server(input, widest->owner);
}

/// Position of the range that holds the key; the number of ranges if none does.
std::size_t range_of(const PlacementInput& input, ShardKey key) {
  auto next = std::upper_bound(input.ranges.begin(), input.ranges.end(), key,
                               [](ShardKey wanted, const KeyRange& range) {
                                 return wanted < range.first;
                               });
  if (next == input.ranges.begin() || std::prev(next)->last < key) {
    return input.ranges.size();
  }
  return static_cast<std::size_t>(next - input.ranges.begin()) - 1;
}

/// The hottest key cannot be split, so it goes to the fastest server.
std::optional<Move> move_hottest_key(const PlacementInput& input) {
  auto hottest = std::max_element(input.heat.begin(), input.heat.end(),
                                  [](const auto& left, const auto& right) {
                                    return left.second < right.second;
                                  });
  if (hottest == input.heat.end()) return std::nullopt;
  std::size_t at = range_of(input, hottest->first);
  if (at == input.ranges.size() || !input.movable[at]) return std::nullopt;
  const PlacedServer* owner = find_server(input, input.ranges[at].owner);
  const PlacedServer* fastest = owner;
  for (const PlacedServer& server : input.servers) {
    if (fastest == nullptr || server.capacity > fastest->capacity) {
      fastest = &server;
    }
  }
  if (owner == nullptr || hottest->second < kHotKeyShare * owner->capacity ||
      fastest->capacity < kFasterRatio * owner->capacity) {
    return std::nullopt;
  }
  return Move{hottest->first, hottest->first, fastest->life};
}

std::optional<Move> next_move(const PlacementInput& input) {
  if (auto hottest = move_hottest_key(input)) return hottest;
  Loads loads = loads_of(input);
  const PlacedServer* taker = newcomer_of(input);
  bool newcomer = taker != nullptr;
  if (!newcomer) taker = extreme(input, loads, false);
  const PlacedServer* giver = extreme(input, loads, true);
  if (newcomer && loads.total < config::kLeastRate) giver = widest_owner(input);
  if (giver == nullptr || giver == taker) return std::nullopt;
  double mean = loads.total / total_capacity(input);
  double giver_load = loads.of.at(giver->life);
  double taker_load = loads.of.at(taker->life);
  if (!newcomer && (loads.total < config::kLeastRate ||
                    giver_load < config::kOverload * mean * giver->capacity)) {
    return std::nullopt;
  }
  double excess = giver_load - mean * giver->capacity;
  double room = mean * taker->capacity - taker_load;
  double wanted = newcomer ? room : std::min(excess, room);
  wanted = std::max(wanted, kLeastWanted);
  // A single hot key may be worth moving although it exceeds the wanted load,
  // as long as the taker ends below what the giver has now.
  double ceiling =
      (giver_load / giver->capacity) * taker->capacity - taker_load;
  double most = std::max(wanted * kMostFit, ceiling * 0.8);
  auto run =
      best_run_of_server(input, giver->life, loads.per_key, wanted, most);
  if (run && run->load < wanted * kLeastFit && !newcomer) run.reset();
  if (!run && newcomer) run = half_of_widest(input, giver->life);
  if (!run) return std::nullopt;
  return Move{run->first, run->last, taker->life};
}

}  // namespace

std::vector<KeyRange> initial_ranges(const std::vector<PlacedServer>& servers,
                                     Epoch epoch) {
  std::vector<KeyRange> ranges;
  std::size_t count = servers.size();
  for (std::size_t i = 0; i < count; ++i) {
    auto first = static_cast<std::uint32_t>(kKeys * i / count);
    auto end = static_cast<std::uint32_t>(kKeys * (i + 1) / count);
    ranges.push_back(
        {ShardKey(first), ShardKey(end - 1), servers[i].life, epoch, {}});
  }
  return ranges;
}

void assign(std::vector<KeyRange>& ranges, const Move& move, Epoch epoch) {
  std::vector<KeyRange> result;
  for (const KeyRange& range : ranges) {
    if (range.last < move.first || range.first > move.last) {
      result.push_back(range);
      continue;
    }
    if (range.first < move.first) {
      KeyRange left = range;
      left.last = ShardKey(move.first.value - 1);
      result.push_back(left);
    }
    KeyRange moved = range;
    moved.first = std::max(range.first, move.first);
    moved.last = std::min(range.last, move.last);
    if (std::find(moved.previous_owners.begin(), moved.previous_owners.end(),
                  moved.owner) == moved.previous_owners.end()) {
      moved.previous_owners.push_back(moved.owner);
    }
    std::erase(moved.previous_owners, move.to);
    moved.owner = move.to;
    moved.epoch = epoch;
    result.push_back(moved);
    if (range.last > move.last) {
      KeyRange right = range;
      right.first = ShardKey(move.last.value + 1);
      result.push_back(right);
    }
  }
  ranges = std::move(result);
}

void join_neighbours(std::vector<KeyRange>& ranges) {
  std::vector<KeyRange> result;
  for (const KeyRange& range : ranges) {
    if (!result.empty() && result.back().owner == range.owner &&
        result.back().epoch == range.epoch &&
        result.back().previous_owners == range.previous_owners) {
      result.back().last = range.last;
    } else {
      result.push_back(range);
    }
  }
  ranges = std::move(result);
}

std::size_t moves_per_look(std::size_t servers) {
  return std::max(config::kMovesPerLook,
                  servers / config::kServersPerExtraMove);
}

std::size_t most_ranges(std::size_t servers) {
  return std::max(config::kMaxRanges, servers * config::kRangesPerServer);
}

std::vector<Move> plan_moves(const PlacementInput& input) {
  std::vector<Move> moves;
  PlacementInput working = input;
  std::size_t most_moves = moves_per_look(input.servers.size());
  std::size_t most = most_ranges(input.servers.size());
  while (moves.size() < most_moves && working.ranges.size() < most) {
    auto move = next_move(working);
    if (!move) break;
    moves.push_back(*move);
    assign(working.ranges, *move, Epoch());
    std::vector<bool> movable;
    for (const KeyRange& range : working.ranges) {
      // Moves only cut ranges, so each lies inside one that was there before.
      std::size_t before = range_of(input, range.first);
      movable.push_back(before < input.ranges.size() && input.movable[before] &&
                        range.previous_owners.empty());
    }
    working.movable = std::move(movable);
  }
  return moves;
}

const PlacedServer* least_loaded(const PlacementInput& input) {
  return extreme(input, loads_of(input), false);
}

}  // namespace eelgrasspin::fleet
