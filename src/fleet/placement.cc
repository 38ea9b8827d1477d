#include "fleet/placement.h"

#include <algorithm>
#include <optional>
#include <set>

#include "fleet/config.h"

namespace eelgrasspin::fleet {
namespace {

constexpr std::uint32_t kKeyCount = kMaxShardKey + 1;
/// A run of keys is not moved if its load is below this share of the wanted
/// load.
constexpr double kMinLoadFit = 0.3;
/// A run of keys is too large above this ratio to the wanted load.
constexpr double kMaxLoadFit = 1.15;
/// Lower bound of the wanted load.
constexpr double kMinWantedRequestsPerSecond = 0.1;
/// Cost of moving all keys, in units of a run's relative load difference.
constexpr double kKeyMoveCost = 4.0;
/// A key whose load reaches this share of its owner's capacity is moved to the
/// fastest server.
constexpr double kHotKeyCapacityShare = 0.5;
/// Ratio of capacities from which on a server counts as faster.
constexpr double kFasterCapacityRatio = 1.25;

struct Loads {
  std::map<ServerIncarnation, double> by_server;
  double total = 0;
  double per_key = 0;  ///< Assumed for each key besides its requests.
};

double request_rate_between(const PlacementInput& input, ShardKey first,
                            ShardKey last) {
  double sum = 0;
  for (auto it = input.request_rates.lower_bound(first);
       it != input.request_rates.end() && it->first <= last; ++it) {
    sum += it->second;
  }
  return sum;
}

double key_count(const KeyRange& range) {
  return static_cast<double>(range.last.value - range.first.value + 1);
}

Loads server_loads(const PlacementInput& input) {
  Loads loads;
  double total_rate = 0;
  for (const auto& [key, rate] : input.request_rates) total_rate += rate;
  loads.per_key = total_rate * config::kEvenLoadShare / kKeyCount;
  loads.total = total_rate * (1.0 + config::kEvenLoadShare);
  for (const PlacedServer& server : input.servers)
    loads.by_server[server.incarnation] = 0;
  for (const KeyRange& range : input.ranges) {
    auto found = loads.by_server.find(range.owner);
    if (found == loads.by_server.end()) continue;
    found->second += request_rate_between(input, range.first, range.last) +
                     loads.per_key * key_count(range);
  }
  return loads;
}

double total_capacity(const PlacementInput& input) {
  double total = 0;
  for (const PlacedServer& server : input.servers) total += server.capacity;
  return total;
}

struct KeyRun {
  ShardKey first;
  ShardKey last;
  double load = 0;
};

/// How badly a run fits: the relative difference of its load to the wanted
/// load, plus a cost for the number of keys that move.
double misfit(const KeyRun& run, double wanted_load) {
  double width = static_cast<double>(run.last.value - run.first.value + 1);
  return std::abs(run.load - wanted_load) / wanted_load +
         kKeyMoveCost * width / kKeyCount;
}

bool fits_better(const KeyRun& left, const std::optional<KeyRun>& right,
                 double wanted_load) {
  return !right || misfit(left, wanted_load) < misfit(*right, wanted_load);
}

/// The run of neighbouring keys with requests, within one range, that fits
/// best.
std::optional<KeyRun> best_key_run(const PlacementInput& input,
                                   const KeyRange& range, double per_key,
                                   double wanted_load, double max_load) {
  std::vector<std::pair<ShardKey, double>> keys;
  for (auto it = input.request_rates.lower_bound(range.first);
       it != input.request_rates.end() && it->first <= range.last; ++it) {
    keys.emplace_back(it->first, it->second);
  }
  std::optional<KeyRun> best;
  for (std::size_t from = 0; from < keys.size(); ++from) {
    double load = 0;
    for (std::size_t to = from; to < keys.size(); ++to) {
      load += keys[to].second;
      double width = keys[to].first.value - keys[from].first.value + 1;
      KeyRun run{keys[from].first, keys[to].first, load + per_key * width};
      if (run.load > max_load) break;
      if (fits_better(run, best, wanted_load)) best = run;
    }
  }
  return best;
}

std::optional<KeyRun> best_key_run_of_server(const PlacementInput& input,
                                             const ServerIncarnation& owner,
                                             double per_key, double wanted_load,
                                             double max_load) {
  std::optional<KeyRun> best;
  for (std::size_t i = 0; i < input.ranges.size(); ++i) {
    if (input.ranges[i].owner != owner || !input.movable[i]) continue;
    auto run =
        best_key_run(input, input.ranges[i], per_key, wanted_load, max_load);
    if (run && fits_better(*run, best, wanted_load)) best = run;
  }
  return best;
}

/// Half of the owner's widest range. A server without keys is assigned it if
/// too little is known of the key loads, so that it does not remain unused.
std::optional<KeyRun> half_of_widest(const PlacementInput& input,
                                     const ServerIncarnation& owner) {
  const KeyRange* widest = nullptr;
  for (std::size_t i = 0; i < input.ranges.size(); ++i) {
    const KeyRange& range = input.ranges[i];
    if (range.owner != owner || !input.movable[i]) continue;
    if (widest == nullptr || key_count(range) > key_count(*widest))
      widest = &range;
  }
  if (widest == nullptr || key_count(*widest) < 2) return std::nullopt;
  auto half = static_cast<std::uint32_t>(key_count(*widest) / 2);
  return KeyRun{ShardKey(widest->last.value - half + 1), widest->last, 0};
}

const PlacedServer* extreme_server(const PlacementInput& input,
                                   const Loads& loads, bool most_loaded) {
  const PlacedServer* found = nullptr;
  double found_ratio = 0;
  for (const PlacedServer& server : input.servers) {
    double load_ratio =
        loads.by_server.at(server.incarnation) / server.capacity;
    if (found == nullptr ||
        (most_loaded ? load_ratio > found_ratio : load_ratio < found_ratio)) {
      found = &server;
      found_ratio = load_ratio;
    }
  }
  return found;
}

const PlacedServer* find_server(const PlacementInput& input,
                                const ServerIncarnation& owner) {
  for (const PlacedServer& server : input.servers) {
    if (server.incarnation == owner) return &server;
  }
  return nullptr;
}

const PlacedServer* server_without_keys(const PlacementInput& input) {
  std::set<ServerIncarnation> owners;
  for (const KeyRange& range : input.ranges) owners.insert(range.owner);
  for (const PlacedServer& server : input.servers) {
    if (owners.count(server.incarnation) == 0) return &server;
  }
  return nullptr;
}

const PlacedServer* owner_of_widest_range(const PlacementInput& input) {
  auto widest =
      std::max_element(input.ranges.begin(), input.ranges.end(),
                       [](const KeyRange& left, const KeyRange& right) {
                         return key_count(left) < key_count(right);
                       });
  return widest == input.ranges.end() ? nullptr
                                      : find_server(input, widest->owner);
}

/// Index of the range that contains the key; the number of ranges if none does.
std::size_t range_index(const PlacementInput& input, ShardKey key) {
  auto next = std::upper_bound(input.ranges.begin(), input.ranges.end(), key,
                               [](ShardKey wanted, const KeyRange& range) {
                                 return wanted < range.first;
                               });
  if (next == input.ranges.begin() || std::prev(next)->last < key) {
    return input.ranges.size();
  }
  return static_cast<std::size_t>(next - input.ranges.begin()) - 1;
}

/// Moves the key with most requests to the fastest server, as one key cannot be
/// split.
std::optional<Move> move_hottest_key(const PlacementInput& input) {
  auto hottest =
      std::max_element(input.request_rates.begin(), input.request_rates.end(),
                       [](const auto& left, const auto& right) {
                         return left.second < right.second;
                       });
  if (hottest == input.request_rates.end()) return std::nullopt;
  std::size_t at = range_index(input, hottest->first);
  if (at == input.ranges.size() || !input.movable[at]) return std::nullopt;
  const PlacedServer* owner = find_server(input, input.ranges[at].owner);
  const PlacedServer* fastest = owner;
  for (const PlacedServer& server : input.servers) {
    if (fastest == nullptr || server.capacity > fastest->capacity) {
      fastest = &server;
    }
  }
  if (owner == nullptr ||
      hottest->second < kHotKeyCapacityShare * owner->capacity ||
      fastest->capacity < kFasterCapacityRatio * owner->capacity) {
    return std::nullopt;
  }
  return Move{hottest->first, hottest->first, fastest->incarnation};
}

std::optional<Move> next_move(const PlacementInput& input) {
  if (auto hottest = move_hottest_key(input)) return hottest;
  Loads loads = server_loads(input);
  const PlacedServer* target = server_without_keys(input);
  bool target_has_no_keys = target != nullptr;
  if (!target_has_no_keys) target = extreme_server(input, loads, false);
  const PlacedServer* source = extreme_server(input, loads, true);
  if (target_has_no_keys &&
      loads.total < config::kMinRebalanceRequestsPerSecond)
    source = owner_of_widest_range(input);
  if (source == nullptr || source == target) return std::nullopt;
  double mean = loads.total / total_capacity(input);
  double source_load = loads.by_server.at(source->incarnation);
  double target_load = loads.by_server.at(target->incarnation);
  if (!target_has_no_keys &&
      (loads.total < config::kMinRebalanceRequestsPerSecond ||
       source_load < config::kOverloadRatio * mean * source->capacity)) {
    return std::nullopt;
  }
  double excess_load = source_load - mean * source->capacity;
  double target_room = mean * target->capacity - target_load;
  double wanted_load =
      target_has_no_keys ? target_room : std::min(excess_load, target_room);
  wanted_load = std::max(wanted_load, kMinWantedRequestsPerSecond);
  // A single hot key may exceed the wanted load, as long as the target is then
  // less loaded than the source is now.
  double target_limit =
      (source_load / source->capacity) * target->capacity - target_load;
  double max_load = std::max(wanted_load * kMaxLoadFit, target_limit * 0.8);
  auto run = best_key_run_of_server(input, source->incarnation, loads.per_key,
                                    wanted_load, max_load);
  if (run && run->load < wanted_load * kMinLoadFit && !target_has_no_keys)
    run.reset();
  if (!run && target_has_no_keys)
    run = half_of_widest(input, source->incarnation);
  if (!run) return std::nullopt;
  return Move{run->first, run->last, target->incarnation};
}

}  // namespace

std::vector<KeyRange> initial_ranges(const std::vector<PlacedServer>& servers,
                                     Epoch epoch) {
  std::vector<KeyRange> ranges;
  std::size_t count = servers.size();
  for (std::size_t i = 0; i < count; ++i) {
    auto first = static_cast<std::uint32_t>(kKeyCount * i / count);
    auto end = static_cast<std::uint32_t>(kKeyCount * (i + 1) / count);
    ranges.push_back({ShardKey(first),
                      ShardKey(end - 1),
                      servers[i].incarnation,
                      epoch,
                      {}});
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

std::size_t max_moves_per_round(std::size_t servers) {
  return std::max(config::kBaseMovesPerRound,
                  servers / config::kServersPerMove);
}

std::size_t max_ranges(std::size_t servers) {
  return std::max(config::kBaseMaxRanges, servers * config::kRangesPerServer);
}

std::vector<Move> plan_moves(const PlacementInput& input) {
  std::vector<Move> moves;
  PlacementInput working = input;
  std::size_t move_limit = max_moves_per_round(input.servers.size());
  std::size_t range_limit = max_ranges(input.servers.size());
  while (moves.size() < move_limit && working.ranges.size() < range_limit) {
    auto move = next_move(working);
    if (!move) break;
    moves.push_back(*move);
    assign(working.ranges, *move, Epoch());
    std::vector<bool> movable;
    for (const KeyRange& range : working.ranges) {
      // Moves only split ranges, so each lies within one of the input.
      std::size_t before = range_index(input, range.first);
      movable.push_back(before < input.ranges.size() && input.movable[before] &&
                        range.previous_owners.empty());
    }
    working.movable = std::move(movable);
  }
  return moves;
}

const PlacedServer* least_loaded(const PlacementInput& input) {
  return extreme_server(input, server_loads(input), false);
}

}  // namespace eelgrasspin::fleet
