#include "fleet/replan.h"

#include <algorithm>
#include <set>

#include "fleet/learning.h"
#include "fleet/leases.h"
#include "fleet/note.h"
#include "fleet/peers.h"
#include "fleet/placement.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

/// KeyLoadReport halves in kHeatHalfLife, so a steady rate adds up to this many
/// seconds of it.
const double kHeatSeconds =
    static_cast<double>(config::kHeatHalfLife.count()) / 1e6 / 0.6931;
/// Answers that a server's measured speed has to rest on.
constexpr double kLeastAnswers = 2.0;

/// Mean of what all daemons have measured, weighted by their answers.
std::map<ServerName, Duration> fleet_speeds(const State& state,
                                            const ServiceName& service,
                                            TimePoint now) {
  struct Sum {
    double answer_count = 0;
    double total = 0;
  };
  std::map<ServerName, Sum> sums;
  auto add = [&sums](const ServerName& name, double answer_count,
                     Duration mean) {
    Sum& sum = sums[name];
    sum.answer_count += answer_count;
    sum.total += answer_count * static_cast<double>(mean.count());
  };
  for (const auto& [name, peer] : state.fleet.heard) {
    if (now - peer.heat_heard > config::kHeatRetention) continue;
    for (const auto& heat : peer.heartbeat.key_load_reports) {
      if (heat.service != service) continue;
      for (const auto& speed : heat.service_times) {
        add(speed.server, speed.answer_count, speed.service_time);
      }
    }
  }
  for (const auto& [name, server] : state.servers) {
    if (server.answer_count > 0)
      add(name, server.answer_count, server.service_time);
  }
  std::map<ServerName, Duration> service_times;
  for (const auto& [name, sum] : sums) {
    if (sum.answer_count < kLeastAnswers) continue;
    service_times[name] =
        Duration(static_cast<Duration::rep>(sum.total / sum.answer_count));
  }
  return service_times;
}

/// Servers that are listed but answer no orders; none if that holds for so many
/// that the coordinator's own path is the likelier cause.
std::set<ServerName> silent_servers(const State& state,
                                    const ServiceName& service, TimePoint now) {
  std::set<ServerName> silent;
  auto map = state.maps.find(service);
  auto listed = state.by_service.find(service);
  if (map == state.maps.end() || !map->second.duty ||
      listed == state.by_service.end()) {
    return silent;
  }
  for (const ServerName& name : listed->second) {
    ServerIncarnation life = life_of(state.servers.at(name).server);
    if (is_silent(*map->second.duty, life, now)) silent.insert(name);
  }
  double most =
      config::kMostSilentShare * static_cast<double>(listed->second.size());
  if (static_cast<double>(silent.size()) > most) silent.clear();
  return silent;
}

std::vector<PlacedServer> placeable(const State& state,
                                    const ServiceName& service, TimePoint now) {
  std::vector<PlacedServer> servers;
  auto found = state.by_service.find(service);
  if (found == state.by_service.end()) return servers;
  std::map<ServerName, Duration> service_times =
      fleet_speeds(state, service, now);
  std::set<ServerName> silent = silent_servers(state, service, now);
  for (const ServerName& name : found->second) {
    const ServerState& server = state.servers.at(name);
    if (!accepts_work(server) || silent.count(name) > 0) continue;
    auto speed = service_times.find(name);
    Duration each = speed == service_times.end()
                        ? service_time(state, server, now)
                        : speed->second;
    double seconds = static_cast<double>(each.count()) / 1e6;
    servers.push_back({life_of(server.server),
                       server.server.slots / std::max(seconds, 0.001)});
  }
  return servers;
}

void add_heat(std::map<ShardKey, double>& heat, ShardKey key, double weight) {
  heat[key] += weight / kHeatSeconds;
}

std::map<ShardKey, double> fleet_heat(const State& state,
                                      const ServiceName& service,
                                      TimePoint now) {
  std::map<ShardKey, double> heat;
  auto own = state.heat.find(service);
  if (own != state.heat.end()) {
    for (const auto& [key, weight] : own->second.weights) {
      add_heat(heat, ShardKey(key), weight);
    }
  }
  for (const auto& [name, peer] : state.fleet.heard) {
    if (now - peer.heat_heard > config::kHeatRetention) continue;
    for (const auto& reported : peer.heartbeat.key_load_reports) {
      if (reported.service != service) continue;
      for (const KeyLoad& key : reported.keys) {
        add_heat(heat, key.key, key.weight);
      }
    }
  }
  return heat;
}

bool still_joining(const State& state, const ServiceName& service,
                   TimePoint now) {
  auto listed = state.by_service.find(service);
  return listed != state.by_service.end() &&
         std::any_of(listed->second.begin(), listed->second.end(),
                     [&](const ServerName& name) {
                       return now - state.servers.at(name).joined <
                              config::kFirstMapQuiet;
                     });
}

bool settle(const MapState& map, OwnerMap& next) {
  bool changed = false;
  for (KeyRange& range : next.ranges) {
    if (!has_arrived(map, range)) continue;
    range.previous_owners.clear();
    changed = true;
  }
  return changed;
}

/// A server that has seen a higher epoch is shown a still higher one.
bool raise_fenced(const MapState& map, OwnerMap& next) {
  bool changed = false;
  for (KeyRange& range : next.ranges) {
    auto lease = map.duty->leases.find(range.first);
    if (lease == map.duty->leases.end() || !lease->second.fenced) continue;
    next.next_epoch = next.next_epoch.next();
    range.epoch = next.next_epoch;
    changed = true;
  }
  return changed;
}

PlacementInput placement_input(const State& state, const ServiceName& service,
                               const OwnerMap& map, TimePoint now) {
  PlacementInput input;
  input.ranges = map.ranges;
  input.servers = placeable(state, service, now);
  input.heat = fleet_heat(state, service, now);
  input.movable.assign(map.ranges.size(), true);
  return input;
}

/// The life that keys of a lost one go to: its next life if the server has
/// started again, else the least loaded server.
std::optional<ServerIncarnation> heir(const State& state,
                                      const ServerIncarnation& lost,
                                      const PlacementInput& input) {
  auto again = state.servers.find(lost.name);
  if (again != state.servers.end() && accepts_work(again->second) &&
      again->second.server.incarnation != lost.incarnation) {
    return life_of(again->second.server);
  }
  const PlacedServer* taker = least_loaded(input);
  if (taker == nullptr) return std::nullopt;
  return taker->life;
}

bool rehome(const State& state, const ServiceName& service, OwnerMap& next,
            TimePoint now, Effects& effects) {
  bool changed = false;
  std::set<ServerName> silent = silent_servers(state, service, now);
  auto usable = [&](const KeyRange& range) {
    return is_current(state, range.owner) &&
           silent.count(range.owner.name) == 0;
  };
  if (std::all_of(next.ranges.begin(), next.ranges.end(), usable)) return false;
  PlacementInput input = placement_input(state, service, next, now);
  if (input.servers.empty()) return false;
  for (std::size_t i = 0; i < input.ranges.size(); ++i) {
    KeyRange range = input.ranges[i];
    if (usable(range)) continue;
    auto to = heir(state, range.owner, input);
    if (!to) continue;
    next.next_epoch = next.next_epoch.next();
    assign(input.ranges, {range.first, range.last, *to}, next.next_epoch);
    note(effects, "keys_rehomed",
         {{"service", service.str()},
          {"keys", std::to_string(range.first.value) + "-" +
                       std::to_string(range.last.value)},
          {"from", range.owner.name.str()},
          {"to", to->name.str()},
          {"epoch", text(next.next_epoch.value)}});
    changed = true;
  }
  next.ranges = std::move(input.ranges);
  for (KeyRange& range : next.ranges) {
    // A higher epoch at the same server needs no release first.
    std::erase_if(range.previous_owners,
                  [&range](const ServerIncarnation& life) {
                    return life.name == range.owner.name;
                  });
  }
  return changed;
}

bool movable(const State& state, const MapState& map, const KeyRange& range,
             TimePoint now) {
  if (!range.previous_owners.empty() || !is_current(state, range.owner))
    return false;
  auto lease = map.duty->leases.find(range.first);
  if (lease == map.duty->leases.end() || !lease->second.confirmed) return false;
  auto moved = map.duty->moved.find(range.first);
  return moved == map.duty->moved.end() ||
         now - moved->second >= config::kMoveCooldown;
}

/// Ranges without much traffic are granted for longer.
void note_quiet(const PlacementInput& input, Coordination& duty) {
  for (const KeyRange& range : input.ranges) {
    auto lease = duty.leases.find(range.first);
    if (lease == duty.leases.end()) continue;
    double rate = 0;
    for (auto it = input.heat.lower_bound(range.first);
         it != input.heat.end() && it->first <= range.last; ++it) {
      rate += it->second;
    }
    lease->second.quiet = rate < config::kQuietRate;
  }
}

bool rebalance(const State& state, const ServiceName& service, MapState& map,
               OwnerMap& next, TimePoint now, Effects& effects) {
  if (now - map.duty->placed < config::kPlacementInterval) return false;
  map.duty->placed = now;
  PlacementInput input = placement_input(state, service, next, now);
  for (std::size_t i = 0; i < input.ranges.size(); ++i) {
    input.movable[i] = movable(state, map, input.ranges[i], now);
  }
  note_quiet(input, *map.duty);
  std::vector<Move> moves = plan_moves(input);
  for (const Move& move : moves) {
    next.next_epoch = next.next_epoch.next();
    assign(next.ranges, move, next.next_epoch);
    map.duty->moved[move.first] = now;
    note(effects, "keys_moved",
         {{"service", service.str()},
          {"keys", std::to_string(move.first.value) + "-" +
                       std::to_string(move.last.value)},
          {"to", move.to.name.str()},
          {"epoch", text(next.next_epoch.value)},
          {"hot_keys", text(input.heat.size())}});
  }
  return !moves.empty();
}

}  // namespace

std::optional<OwnerMap> first_map(const State& state,
                                  const ServiceName& service, TimePoint now) {
  std::vector<PlacedServer> servers = placeable(state, service, now);
  if (servers.empty() || still_joining(state, service, now)) {
    return std::nullopt;
  }
  OwnerMap map;
  map.service = service;
  map.coordinator = state.settings.self.name;
  map.coordinator_incarnation = state.settings.self.incarnation;
  map.term = TermEpoch(1);
  map.next_epoch = Epoch(1);
  map.ranges = initial_ranges(servers, map.next_epoch);
  return map;
}

OwnerMap taken_over(const State& state, const OwnerMap& map) {
  OwnerMap next = map;
  next.coordinator = state.settings.self.name;
  next.coordinator_incarnation = state.settings.self.incarnation;
  next.term = map.term.next();
  next.next_epoch = map.next_epoch.next();
  for (KeyRange& range : next.ranges) range.epoch = next.next_epoch;
  join_neighbours(next.ranges);
  return next;
}

std::optional<OwnerMap> replan(const State& state, const ServiceName& service,
                               MapState& map, TimePoint now, Effects& effects) {
  OwnerMap next = *map.map;
  bool changed = settle(map, next);
  changed = raise_fenced(map, next) || changed;
  changed = rehome(state, service, next, now, effects) || changed;
  changed = rebalance(state, service, map, next, now, effects) || changed;
  if (!changed) return std::nullopt;
  join_neighbours(next.ranges);
  return next;
}

}  // namespace eelgrasspin::fleet
