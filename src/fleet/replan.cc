#include "fleet/replan.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet/cold_servers.h"
#include "fleet/election.h"
#include "fleet/hot_keys.h"
#include "fleet/learning.h"
#include "fleet/leases.h"
#include "fleet/log_event.h"
#include "fleet/ownership.h"
#include "fleet/peers.h"
#include "fleet/placement.h"
#include "fleet/regions.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

/// Ratio of a key's decayed request count to its request rate: at a steady
/// rate, the count equals the requests of this many seconds.
const double kKeyLoadSeconds =
    static_cast<double>(config::kKeyLoadHalfLife.count()) / 1e6 / 0.6931;
/// Answers from which on a server's measured service time is used.
constexpr double kMinMeasuredAnswers = 2.0;
/// Lower bound of a server's capacity in requests per second, by which loads
/// are divided.
constexpr double kMinCapacity = 0.1;

/// Service times as all daemons have measured them, weighted by their numbers
/// of answers.
std::map<ServerName, Duration> measured_service_times(
    const State& state, const ServiceName& service, TimePoint now) {
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
  for (const auto& [name, peer] : state.fleet.peers) {
    if (now - peer.key_loads_received_at > config::kMaxKeyLoadReportAge)
      continue;
    for (const auto& report : peer.heartbeat.key_load_reports) {
      if (report.service != service) continue;
      for (const auto& measured : report.service_times) {
        add(measured.server, measured.answer_count, measured.service_time);
      }
    }
  }
  for (const auto& [name, server] : state.servers) {
    if (server.answer_count > 0)
      add(name, server.answer_count, server.service_time);
  }
  std::map<ServerName, Duration> service_times;
  for (const auto& [name, sum] : sums) {
    if (sum.answer_count < kMinMeasuredAnswers) continue;
    service_times[name] =
        Duration(static_cast<Duration::rep>(sum.total / sum.answer_count));
  }
  return service_times;
}

/// Servers that are listed but cannot be reached; none if there are so many
/// that the coordinator's own network path is the likelier cause.
std::set<ServerName> unreachable_servers(const State& state,
                                         const ServiceName& service,
                                         TimePoint now) {
  std::set<ServerName> unreachable;
  auto map = state.maps.find(service);
  auto listed = state.by_service.find(service);
  if (map == state.maps.end() || !map->second.coordinator_role ||
      listed == state.by_service.end()) {
    return unreachable;
  }
  for (const ServerName& name : listed->second) {
    ServerIncarnation incarnation =
        incarnation_of(state.servers.at(name).server);
    if (is_unreachable(*map->second.coordinator_role, incarnation, now))
      unreachable.insert(name);
  }
  double max_unreachable = config::kMaxUnreachableServerShare *
                           static_cast<double>(listed->second.size());
  if (static_cast<double>(unreachable.size()) > max_unreachable)
    unreachable.clear();
  return unreachable;
}

/// Servers of the service that accept work, can be reached and are in regions
/// that suit its routes.
std::vector<ServerName> available_servers(const State& state,
                                          const ServiceName& service,
                                          TimePoint now) {
  std::vector<ServerName> available;
  auto listed = state.by_service.find(service);
  if (listed == state.by_service.end()) return available;
  std::set<ServerName> unreachable = unreachable_servers(state, service, now);
  std::vector<ServerName> elsewhere;
  for (const ServerName& name : listed->second) {
    const ServerState& server = state.servers.at(name);
    if (!accepts_work(server) || unreachable.count(name) > 0) continue;
    bool suited = suits_all_routes(state, service, server.server.zone);
    (suited ? available : elsewhere).push_back(name);
  }
  // Without any server in those regions, the other requests are still served.
  return available.empty() ? elsewhere : available;
}

/// Those of the servers that are warm; all of them if none is.
std::vector<ServerName> warm_servers(const State& state,
                                     std::vector<ServerName> servers,
                                     TimePoint now) {
  std::vector<ServerName> warm;
  for (const ServerName& name : servers) {
    if (!is_cold(state, state.servers.at(name), now)) warm.push_back(name);
  }
  return warm.empty() ? std::move(servers) : warm;
}

/// Servers that may own keys of the service. A cold server takes too few
/// requests to be given keys, or to keep them.
std::vector<ServerName> eligible_owners(const State& state,
                                        const ServiceName& service,
                                        TimePoint now) {
  return warm_servers(state, available_servers(state, service, now), now);
}

std::vector<PlacedServer> usable_servers(const State& state,
                                         const ServiceName& service,
                                         TimePoint now) {
  std::vector<PlacedServer> servers;
  std::map<ServerName, Duration> service_times =
      measured_service_times(state, service, now);
  for (const ServerName& name : eligible_owners(state, service, now)) {
    const ServerState& server = state.servers.at(name);
    auto measured = service_times.find(name);
    Duration time_per_request = measured == service_times.end()
                                    ? service_time(state, server, now)
                                    : measured->second;
    double seconds = static_cast<double>(time_per_request.count()) / 1e6;
    std::uint32_t slots =
        concurrency(server.capacity, server.server.slots, now);
    double capacity = slots / std::max(seconds, 0.001);
    if (server.limit)
      capacity = std::min(capacity, server.limit->rate.per_second);
    servers.push_back(
        {incarnation_of(server.server), std::max(capacity, kMinCapacity)});
  }
  return servers;
}

void add_key_load(std::map<ShardKey, double>& rates, ShardKey key,
                  double request_count) {
  rates[key] += request_count / kKeyLoadSeconds;
}

std::map<ShardKey, double> key_request_rates(const State& state,
                                             const ServiceName& service,
                                             TimePoint now) {
  std::map<ShardKey, double> rates;
  bool recent = is_overloaded(state, service, now);
  for (const auto& [key, request_count] :
       key_request_counts(state, service, recent, now)) {
    add_key_load(rates, key, request_count);
  }
  for (const auto& [name, peer] : state.fleet.peers) {
    if (now - peer.key_loads_received_at > config::kMaxKeyLoadReportAge)
      continue;
    for (const auto& report : peer.heartbeat.key_load_reports) {
      if (report.service != service) continue;
      for (const KeyLoad& key : report.keys) {
        add_key_load(rates, key.key, key.request_count);
      }
    }
  }
  return rates;
}

bool still_joining(const State& state, const ServiceName& service,
                   TimePoint now) {
  auto listed = state.by_service.find(service);
  return listed != state.by_service.end() &&
         std::any_of(listed->second.begin(), listed->second.end(),
                     [&](const ServerName& name) {
                       return now - state.servers.at(name).joined_at <
                              config::kFirstMapJoinDelay;
                     });
}

bool finish_completed_moves(const MapState& map, OwnerMap& next) {
  bool changed = false;
  for (KeyRange& range : next.ranges) {
    if (!is_move_complete(map, range)) continue;
    range.previous_owners.clear();
    changed = true;
  }
  return changed;
}

/// Drops the coordinators of earlier terms that have stopped sending orders.
bool drop_ended_predecessors(MapState& map, OwnerMap& next, TimePoint now) {
  CoordinatorRole& role = *map.coordinator_role;
  // The last order of one may still wait for a connection.
  if (now - role.started_at >=
      config::kMaxRenewalWithoutStore + config::kGrantTimeout) {
    role.predecessors.clear();
  }
  if (next.replaced_coordinators == role.predecessors) return false;
  next.replaced_coordinators = role.predecessors;
  return true;
}

/// Ends the wait for grants that the store has lost.
bool forget_lost_grants(MapState& map, OwnerMap& next, TimePoint now) {
  CoordinatorRole& role = *map.coordinator_role;
  if (role.lost_grants_until && now < *role.lost_grants_until) return false;
  role.lost_grants_until.reset();
  return std::exchange(next.grants_lost, false);
}

/// Assigns a new epoch to ranges whose owner has refused the current one as too
/// low.
bool raise_fenced_epochs(const MapState& map, OwnerMap& next) {
  bool changed = false;
  for (KeyRange& range : next.ranges) {
    auto lease = map.coordinator_role->leases.find(range.first);
    if (lease == map.coordinator_role->leases.end() || !lease->second.fenced)
      continue;
    next.last_epoch = next.last_epoch.next();
    range.epoch = next.last_epoch;
    changed = true;
  }
  return changed;
}

PlacementInput placement_input(const State& state, const ServiceName& service,
                               const OwnerMap& map, TimePoint now) {
  PlacementInput input;
  input.ranges = map.ranges;
  input.servers = usable_servers(state, service, now);
  input.request_rates = key_request_rates(state, service, now);
  input.movable.assign(map.ranges.size(), true);
  return input;
}

/// The new owner of keys whose owner is lost: its next incarnation if the
/// server has started again, else the least loaded server.
std::optional<ServerIncarnation> replacement_owner(
    const ServerIncarnation& lost, const PlacementInput& input) {
  for (const PlacedServer& server : input.servers) {
    if (server.incarnation.name == lost.name &&
        server.incarnation.incarnation > lost.incarnation) {
      return server.incarnation;
    }
  }
  const PlacedServer* target = least_loaded(input);
  if (target == nullptr) return std::nullopt;
  return target->incarnation;
}

bool reassign_lost_ranges(const State& state, const ServiceName& service,
                          OwnerMap& next, TimePoint now, Effects& effects) {
  bool changed = false;
  std::vector<ServerName> eligible = eligible_owners(state, service, now);
  std::set<ServerName> owners(eligible.begin(), eligible.end());
  auto usable = [&](const KeyRange& range) {
    return is_current(state, range.owner) && owners.count(range.owner.name) > 0;
  };
  if (std::all_of(next.ranges.begin(), next.ranges.end(), usable)) return false;
  PlacementInput input = placement_input(state, service, next, now);
  if (input.servers.empty()) return false;
  for (std::size_t i = 0; i < input.ranges.size(); ++i) {
    KeyRange range = input.ranges[i];
    if (usable(range)) continue;
    auto to = replacement_owner(range.owner, input);
    if (!to) continue;
    next.last_epoch = next.last_epoch.next();
    assign(input.ranges, {range.first, range.last, *to}, next.last_epoch);
    log_event(effects, "keys_rehomed",
              {{"service", service.str()},
               {"keys", std::to_string(range.first.value) + "-" +
                            std::to_string(range.last.value)},
               {"from", range.owner.name.str()},
               {"to", to->name.str()},
               {"epoch", text(next.last_epoch.value)}});
    changed = true;
  }
  next.ranges = std::move(input.ranges);
  for (KeyRange& range : next.ranges) {
    // The same server needs no release first, as the new epoch is higher.
    std::erase_if(range.previous_owners,
                  [&range](const ServerIncarnation& holder) {
                    return holder.name == range.owner.name;
                  });
  }
  return changed;
}

bool movable(const State& state, const MapState& map, const KeyRange& range,
             Duration cooldown, TimePoint now) {
  if (!range.previous_owners.empty() || !is_current(state, range.owner))
    return false;
  auto lease = map.coordinator_role->leases.find(range.first);
  if (lease == map.coordinator_role->leases.end() || !lease->second.confirmed)
    return false;
  auto moved = map.coordinator_role->last_moves.find(range.first);
  return moved == map.coordinator_role->last_moves.end() ||
         now - moved->second >= cooldown;
}

void set_movable(const State& state, const MapState& map, Duration cooldown,
                 TimePoint now, PlacementInput& input) {
  input.movable.clear();
  for (const KeyRange& range : input.ranges)
    input.movable.push_back(movable(state, map, range, cooldown, now));
}

/// Marks the leases of ranges with little traffic, which are granted for
/// longer.
void mark_low_traffic(const PlacementInput& input,
                      CoordinatorRole& coordinator_role, TimePoint now) {
  for (const KeyRange& range : input.ranges) {
    auto lease = coordinator_role.leases.find(range.first);
    if (lease == coordinator_role.leases.end()) continue;
    double rate = 0;
    for (auto it = input.request_rates.lower_bound(range.first);
         it != input.request_rates.end() && it->first <= range.last; ++it) {
      rate += it->second;
    }
    set_low_traffic(coordinator_role, range.first, lease->second,
                    rate < config::kLowTrafficRequestsPerSecond, now);
  }
}

/// Assigns a new epoch to idle neighbouring ranges that have the same owner and
/// no other holder, so that they are joined. The owner is granted the keys
/// again; they keep their owner meanwhile. Busy ranges are left alone: while
/// the write of a new epoch is pending, grants are not renewed, and a failure
/// of the store would let them expire.
bool renew_joinable_ranges(const PlacementInput& input, OwnerMap& next) {
  bool changed = false;
  for (std::size_t i = 1; i < next.ranges.size(); ++i) {
    KeyRange& left = next.ranges[i - 1];
    KeyRange& right = next.ranges[i];
    if (left.owner != right.owner || left.epoch == right.epoch ||
        !input.movable[i - 1] || !input.movable[i] || !is_idle(input, left) ||
        !is_idle(input, right)) {
      continue;
    }
    if (!changed) next.last_epoch = next.last_epoch.next();
    changed = true;
    left.epoch = next.last_epoch;
    right.epoch = next.last_epoch;
  }
  return changed;
}

std::map<ServerIncarnation, Occupancy> occupancies(
    const State& state, const std::vector<PlacedServer>& servers) {
  std::map<ServerIncarnation, Occupancy> result;
  for (const PlacedServer& placed : servers) {
    const ServerState& server = state.servers.at(placed.incarnation.name);
    result[placed.incarnation] = {load_at(state, server), server.server.slots};
  }
  return result;
}

std::size_t distinct_owners(const std::vector<Move>& moves) {
  std::set<ServerIncarnation> owners;
  for (const Move& move : moves) owners.insert(move.to);
  return owners.size();
}

/// A placement round of a service with an overloaded server. All its moves have
/// one epoch.
bool rebalance_hot(const State& state, const ServiceName& service,
                   MapState& map, OwnerMap& next, const PlacementInput& input,
                   TimePoint now, Effects& effects) {
  CoordinatorRole& role = *map.coordinator_role;
  role.hot_rounds = true;
  HotPlacementInput hot{input, {}};
  hot.occupancies = occupancies(state, hot.placement.servers);
  std::vector<Move> moves = plan_hot_moves(hot);
  if (moves.empty()) return false;
  next.last_epoch = next.last_epoch.next();
  for (const Move& move : moves) {
    assign(next.ranges, move, next.last_epoch);
    role.last_moves[move.first] = now;
  }
  log_event(effects, "hot_keys_moved",
            {{"service", service.str()},
             {"moves", text(moves.size())},
             {"to_servers", text(distinct_owners(moves))},
             {"ranges", text(next.ranges.size())},
             {"epoch", text(next.last_epoch.value)}});
  return true;
}

/// Joins ranges that hot placement has split. Deployments without overloaded
/// servers never get here.
bool join_idle_ranges(const ServiceName& service, MapState& map, OwnerMap& next,
                      const PlacementInput& input, TimePoint now,
                      Effects& effects) {
  CoordinatorRole& role = *map.coordinator_role;
  if (!role.hot_rounds || !has_many_ranges(input)) return false;
  bool changed = renew_joinable_ranges(input, next);
  std::vector<Move> joins = plan_joins(input);
  if (joins.empty()) return changed;
  next.last_epoch = next.last_epoch.next();
  for (const Move& move : joins) {
    assign(next.ranges, move, next.last_epoch);
    role.last_moves[move.first] = now;
  }
  log_event(effects, "ranges_joined",
            {{"service", service.str()},
             {"moves", text(joins.size())},
             {"ranges", text(next.ranges.size())},
             {"epoch", text(next.last_epoch.value)}});
  return true;
}

bool rebalance(const State& state, const ServiceName& service, MapState& map,
               OwnerMap& next, TimePoint now, Effects& effects) {
  CoordinatorRole& role = *map.coordinator_role;
  bool hot = is_overloaded(state, service, now);
  Duration interval =
      hot ? config::kHotPlacementInterval : config::kPlacementInterval;
  if (now - role.last_placement < interval) return false;
  role.last_placement = now;
  std::erase_if(role.last_moves, [now](const auto& moved) {
    return now - moved.second >= config::kMoveCooldown;
  });
  // A move that is complete has been decided on rates that have grown since.
  Duration cooldown = hot ? Duration(0) : config::kMoveCooldown;
  PlacementInput input = placement_input(state, service, next, now);
  set_movable(state, map, cooldown, now, input);
  mark_low_traffic(input, role, now);
  if (hot) {
    bool moved = rebalance_hot(state, service, map, next, input, now, effects);
    input.ranges = next.ranges;
    set_movable(state, map, cooldown, now, input);
    return join_idle_ranges(service, map, next, input, now, effects) || moved;
  }
  std::vector<Move> moves = plan_moves(input);
  for (const Move& move : moves) {
    next.last_epoch = next.last_epoch.next();
    assign(next.ranges, move, next.last_epoch);
    role.last_moves[move.first] = now;
    log_event(effects, "keys_moved",
              {{"service", service.str()},
               {"keys", std::to_string(move.first.value) + "-" +
                            std::to_string(move.last.value)},
               {"to", move.to.name.str()},
               {"epoch", text(next.last_epoch.value)},
               {"hot_keys", text(input.request_rates.size())}});
  }
  if (!moves.empty()) return true;
  return join_idle_ranges(service, map, next, input, now, effects);
}

/// All terms and epochs of earlier eras are at most this one.
std::uint64_t last_of_earlier_eras(const State& state) {
  return current_era(state).value * config::kEpochsPerEra;
}

}  // namespace

std::optional<OwnerMap> first_map(const State& state,
                                  const ServiceName& service, TimePoint now) {
  std::vector<PlacedServer> servers = usable_servers(state, service, now);
  if (servers.empty() || still_joining(state, service, now)) {
    return std::nullopt;
  }
  OwnerMap map;
  map.service = service;
  map.coordinator = state.settings.self.name;
  map.coordinator_incarnation = state.settings.self.incarnation;
  // Terms and epochs of a map that the store has lost are not given out again.
  std::uint64_t last_before = last_of_earlier_eras(state);
  map.term = TermEpoch(last_before + 1);
  // The epoch before those of the ranges is that of the recall.
  map.last_epoch = Epoch(last_before + 2);
  map.ranges = initial_ranges(servers, map.last_epoch);
  // The store cannot tell a service that never had a map from one whose map it
  // has lost.
  map.grants_lost = true;
  return map;
}

namespace {

/// Raises the term and the last epoch above all that may have been given out
/// since the store's copy was taken.
void raise_after_loss(const State& state, std::uint64_t losses,
                      OwnerMap& next) {
  auto raised = [&](std::uint64_t last) {
    return std::max(last, last_of_earlier_eras(state)) +
           losses * config::kEpochsPerLoss;
  };
  next.term = TermEpoch(raised(next.term.value));
  next.last_epoch = Epoch(raised(next.last_epoch.value));
}

/// Whether this daemon knew the last changes before the store lost them. Their
/// owners may then be renewed at their epochs: one that has released its keys
/// since refuses, and without a release no key moves within a grant's duration.
bool knows_lost_owners(const MapState& map, TimePoint now) {
  return map.known_before_restoration && !map.behind_since &&
         !map.map->grants_lost &&
         now - map.coordinator_heartbeat_at < config::kGrantHold;
}

}  // namespace

OwnerMap map_after_loss(const State& state, const MapState& map,
                        TimePoint now) {
  OwnerMap next = *map.map;
  if (is_lost(state, map)) raise_after_loss(state, 1, next);
  const auto& until = map.coordinator_role->lost_grants_until;
  next.grants_lost = until.has_value() && now < *until;
  return next;
}

OwnerMap take_over_map(const State& state, const MapState& map, TimePoint now) {
  OwnerMap next = *map.map;
  next.coordinator = state.settings.self.name;
  next.coordinator_incarnation = state.settings.self.incarnation;
  bool lost = is_lost(state, map) || lacks_known_term(state, map);
  if (lost) {
    next.term = std::max(next.term, map.highest_term);
    // Also above a coordinator of this era whose map was replaced by a late
    // write of an earlier one.
    raise_after_loss(state, 2, next);
    next.grants_lost = true;
  }
  next.term = next.term.next();
  // The epoch before those of the ranges is that of the recall.
  if (next.grants_lost) next.last_epoch = next.last_epoch.next();
  next.last_epoch = next.last_epoch.next();
  if (!lost || !knows_lost_owners(map, now)) {
    for (KeyRange& range : next.ranges) range.epoch = next.last_epoch;
  }
  join_neighbours(next.ranges);
  auto& replaced = next.replaced_coordinators;
  replaced.push_back(coordinator_of(*map.map));
  std::erase_if(replaced, [&](const DaemonIncarnation& daemon) {
    return daemon == coordinator_of(next) || has_ended(state, daemon);
  });
  return next;
}

std::optional<OwnerMap> replan(const State& state, const ServiceName& service,
                               MapState& map, TimePoint now, Effects& effects) {
  OwnerMap next = *map.map;
  bool changed = finish_completed_moves(map, next);
  changed = drop_ended_predecessors(map, next, now) || changed;
  changed = forget_lost_grants(map, next, now) || changed;
  changed = raise_fenced_epochs(map, next) || changed;
  changed = reassign_lost_ranges(state, service, next, now, effects) || changed;
  // Keys that move would have no owner until lost grants have ended.
  if (!map.coordinator_role->lost_grants_until)
    changed = rebalance(state, service, map, next, now, effects) || changed;
  if (!changed) return std::nullopt;
  join_neighbours(next.ranges);
  return next;
}

}  // namespace eelgrasspin::fleet
