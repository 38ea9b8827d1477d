#include "fleet/hot_keys.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "fleet/config.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

constexpr std::uint32_t kKeyCount = kMaxShardKey + 1;
/// One server in this many has to be idle.
constexpr std::size_t kServersPerIdleServer = 4;
/// Share of its capacity that a server has left after hot placement, so that
/// chance variations of its load do not fill its queue.
constexpr double kFillShare = 0.75;
/// Ratio of rate to capacity above which a server is overloaded even if its
/// requests have not been reported yet. Below it, the rate of the last half
/// second is too uncertain: ten requests vary by a third.
constexpr double kCertainOverloadRatio = 1.5;
/// Ratio of rate to capacity from which on keys are moved away from a server
/// with a long queue. Below it, the queue stems from requests that are over.
constexpr double kQueuedOverloadRatio = 0.8;
/// A single key that exceeds the free capacity of every server moves only if
/// its new owner's ratio of rate to capacity is below this share of the
/// present one's.
constexpr double kSingleKeyGain = 0.8;
/// Rate of a range up to which it counts as without traffic.
constexpr double kIdleRangeRequestsPerSecond = 0.5;

struct Keys {
  ShardKey first;
  ShardKey last;
  double rate = 0;
};

struct Source {
  const PlacedServer* server = nullptr;
  double rate = 0;
  std::vector<std::size_t> ranges;  ///< Movable ones.
};

struct Target {
  const PlacedServer* server = nullptr;
  double rate = 0;
  double room() const { return server->capacity * kFillShare - rate; }
};

double width_of(ShardKey first, ShardKey last) {
  return static_cast<double>(last.value - first.value + 1);
}

double rate_of(const PlacementInput& input, const KeyRange& range) {
  double sum = 0;
  for (auto it = input.request_rates.lower_bound(range.first);
       it != input.request_rates.end() && it->first <= range.last; ++it) {
    sum += it->second;
  }
  return sum;
}

/// Rate of each server, with the share that is assumed for keys not reported.
std::map<ServerIncarnation, double> server_rates(const PlacementInput& input) {
  double total = 0;
  for (const auto& [key, rate] : input.request_rates) total += rate;
  double per_key = total * config::kEvenLoadShare / kKeyCount;
  std::map<ServerIncarnation, double> rates;
  for (const KeyRange& range : input.ranges) {
    rates[range.owner] +=
        rate_of(input, range) + per_key * width_of(range.first, range.last);
  }
  return rates;
}

Occupancy occupancy_of(const HotPlacementInput& input,
                       const ServerIncarnation& server) {
  auto found = input.occupancies.find(server);
  return found == input.occupancies.end() ? Occupancy() : found->second;
}

bool sheds_keys(const PlacedServer& server, const Occupancy& occupancy,
                double rate) {
  double ratio = rate / server.capacity;
  return ratio >= kCertainOverloadRatio ||
         (is_overloaded(occupancy) && ratio >= kQueuedOverloadRatio);
}

/// The fewest neighbouring keys of the range whose rate is at least `wanted`;
/// all keys with requests if there are none.
std::vector<std::pair<ShardKey, double>> hot_window(const PlacementInput& input,
                                                    const KeyRange& range,
                                                    double wanted) {
  std::vector<std::pair<ShardKey, double>> keys(
      input.request_rates.lower_bound(range.first),
      input.request_rates.upper_bound(range.last));
  std::size_t best_from = 0;
  std::size_t best_end = keys.size();
  double best_width = kKeyCount + 1.0;
  double rate = 0;
  std::size_t from = 0;
  for (std::size_t to = 0; to < keys.size(); ++to) {
    rate += keys[to].second;
    while (from < to && rate - keys[from].second >= wanted)
      rate -= keys[from++].second;
    double width = width_of(keys[from].first, keys[to].first);
    if (rate < wanted || width >= best_width) continue;
    best_width = width;
    best_from = from;
    best_end = to + 1;
  }
  return {keys.begin() + static_cast<std::ptrdiff_t>(best_from),
          keys.begin() + static_cast<std::ptrdiff_t>(best_end)};
}

/// One round of hot placement.
class Round {
 public:
  explicit Round(const HotPlacementInput& input)
      : input_(input),
        moves_left_(max_hot_moves_per_round(input.placement.servers.size())),
        range_count_(input.placement.ranges.size()),
        range_limit_(max_ranges(input.placement.servers.size())) {
    std::map<ServerIncarnation, double> rates = server_rates(input.placement);
    std::map<ServerIncarnation, std::size_t> source_index;
    for (const PlacedServer& server : input.placement.servers) {
      Occupancy occupancy = occupancy_of(input, server.incarnation);
      double rate = rates[server.incarnation];
      if (sheds_keys(server, occupancy, rate)) {
        source_index[server.incarnation] = sources_.size();
        sources_.push_back({&server, rate, {}});
      } else if (occupancy.requests < occupancy.slots) {
        targets_.push_back({&server, rate});
      }
    }
    for (std::size_t i = 0; i < input.placement.ranges.size(); ++i) {
      auto source = source_index.find(input.placement.ranges[i].owner);
      if (source != source_index.end() && input.placement.movable[i])
        sources_[source->second].ranges.push_back(i);
    }
    std::sort(sources_.begin(), sources_.end(),
              [](const Source& left, const Source& right) {
                return left.rate * right.server->capacity >
                       right.rate * left.server->capacity;
              });
    std::make_heap(targets_.begin(), targets_.end(), less_room);
  }

  std::vector<Move> run() {
    for (Source& source : sources_) shed(source);
    return std::move(moves_);
  }

 private:
  static bool less_room(const Target& left, const Target& right) {
    return left.room() < right.room();
  }

  bool ended() const {
    return moves_left_ == 0 || targets_.empty() || range_count_ >= range_limit_;
  }

  /// Moves the busiest keys until the rest is within kFillShare.
  void shed(Source& source) {
    const PlacementInput& placement = input_.placement;
    std::vector<std::pair<double, std::size_t>> by_rate;
    for (std::size_t index : source.ranges)
      by_rate.emplace_back(rate_of(placement, placement.ranges[index]), index);
    std::sort(by_rate.rbegin(), by_rate.rend());
    for (const auto& [rate, index] : by_rate) {
      double excess = source.rate - source.server->capacity * kFillShare;
      if (ended() || excess <= 0) return;
      share_out(source, hot_window(placement, placement.ranges[index], excess));
    }
  }

  /// Cuts the keys into runs that fit the free capacity of the emptiest
  /// servers.
  void share_out(Source& source,
                 const std::vector<std::pair<ShardKey, double>>& keys) {
    std::size_t next = 0;
    while (next < keys.size() && !ended()) {
      Target& target = targets_.front();
      Keys run{keys[next].first, keys[next].first, keys[next].second};
      std::size_t end = next + 1;
      while (end < keys.size() &&
             run.rate + keys[end].second <= target.room()) {
        run.last = keys[end].first;
        run.rate += keys[end].second;
        ++end;
      }
      next = end;
      if (fits(source, target, run)) move(source, target, run);
    }
  }

  static bool fits(const Source& source, const Target& target,
                   const Keys& run) {
    if (run.rate <= target.room()) return true;
    if (run.first != run.last) return false;
    return (target.rate + run.rate) / target.server->capacity <
           kSingleKeyGain * source.rate / source.server->capacity;
  }

  void move(Source& source, Target& target, const Keys& run) {
    moves_.push_back({run.first, run.last, target.server->incarnation});
    source.rate -= run.rate;
    target.rate += run.rate;
    --moves_left_;
    ++range_count_;
    std::pop_heap(targets_.begin(), targets_.end(), less_room);
    std::push_heap(targets_.begin(), targets_.end(), less_room);
  }

  const HotPlacementInput& input_;
  std::vector<Source> sources_;
  std::vector<Target> targets_;  ///< A heap; the first has most room.
  std::vector<Move> moves_;
  std::size_t moves_left_;
  std::size_t range_count_;
  std::size_t range_limit_;
};

/// Moves the ranges from `begin` to before `end` to the owner of the widest.
void join(const PlacementInput& input, std::size_t begin, std::size_t end,
          std::vector<Move>& moves) {
  if (end - begin < 2) return;
  const std::vector<KeyRange>& ranges = input.ranges;
  std::size_t widest = begin;
  for (std::size_t i = begin; i < end; ++i) {
    if (width_of(ranges[i].first, ranges[i].last) >
        width_of(ranges[widest].first, ranges[widest].last)) {
      widest = i;
    }
  }
  const ServerIncarnation& owner = ranges[widest].owner;
  // Only ranges of other owners move.
  for (std::size_t i = begin; i < end; ++i) {
    if (ranges[i].owner == owner) continue;
    std::size_t last = i;
    while (last + 1 < end && ranges[last + 1].owner != owner) ++last;
    moves.push_back({ranges[i].first, ranges[last].last, owner});
    i = last;
  }
}

}  // namespace

bool is_overloaded(const Occupancy& server) {
  return server.requests >= server.slots + config::kOverloadQueue;
}

bool needs_hot_placement(const std::vector<Occupancy>& servers) {
  if (std::none_of(servers.begin(), servers.end(), [](const Occupancy& server) {
        return is_overloaded(server);
      })) {
    return false;
  }
  auto idle = static_cast<std::size_t>(std::count_if(
      servers.begin(), servers.end(), [](const Occupancy& server) {
        return server.requests <= server.slots * config::kIdleSlotShare;
      }));
  return idle >=
         std::max<std::size_t>(servers.size() / kServersPerIdleServer, 1);
}

std::size_t max_hot_moves_per_round(std::size_t servers) {
  return std::max(config::kBaseHotMovesPerRound,
                  servers / config::kServersPerHotMove);
}

std::vector<Move> plan_hot_moves(const HotPlacementInput& input) {
  double total = 0;
  for (const auto& [key, rate] : input.placement.request_rates) total += rate;
  if (total < config::kMinRebalanceRequestsPerSecond) return {};
  return Round(input).run();
}

bool is_idle(const PlacementInput& input, const KeyRange& range) {
  return rate_of(input, range) <= kIdleRangeRequestsPerSecond;
}

bool has_many_ranges(const PlacementInput& input) {
  return static_cast<double>(input.ranges.size()) >
         config::kJoinRangesShare *
             static_cast<double>(max_ranges(input.servers.size()));
}

std::vector<Move> plan_joins(const PlacementInput& input) {
  std::vector<Move> moves;
  std::size_t servers = input.servers.size();
  if (servers == 0) return moves;
  // A joined range is no wider than a server's first one.
  double max_width =
      static_cast<double>(kKeyCount) / static_cast<double>(servers);
  std::size_t move_limit = max_hot_moves_per_round(servers);
  std::size_t begin = 0;
  for (std::size_t i = 0; i <= input.ranges.size(); ++i) {
    bool idle = i < input.ranges.size() && input.movable[i] &&
                is_idle(input, input.ranges[i]);
    bool fits = idle && width_of(input.ranges[begin].first,
                                 input.ranges[i].last) <= max_width;
    if (fits) continue;
    join(input, begin, i, moves);
    if (moves.size() >= move_limit) break;
    begin = idle ? i : i + 1;
  }
  return moves;
}

void check_overload(State& state, TimePoint now) {
  if (!state.configuration ||
      now - state.overload_checked_at < config::kOverloadCheckInterval) {
    return;
  }
  state.overload_checked_at = now;
  for (const auto& [name, service] : state.configuration->services) {
    auto listed = state.by_service.find(name);
    if (!service.keyed || listed == state.by_service.end()) continue;
    std::vector<Occupancy> servers;
    servers.reserve(listed->second.size());
    for (const ServerName& server_name : listed->second) {
      const ServerState& server = state.servers.at(server_name);
      if (!accepts_work(server)) continue;
      servers.push_back({load_at(state, server), server.server.slots});
    }
    if (needs_hot_placement(servers)) state.overloaded_at[name] = now;
  }
}

bool is_overloaded(const State& state, const ServiceName& service,
                   TimePoint now) {
  auto found = state.overloaded_at.find(service);
  return found != state.overloaded_at.end() &&
         now - found->second < config::kOverloadLinger;
}

}  // namespace eelgrasspin::fleet
