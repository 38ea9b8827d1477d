#include "fleet/election.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "fleet/ownership.h"
#include "fleet/peers.h"

namespace eelgrasspin::fleet {
namespace {

/// The daemon with the lowest rank takes over. Larger machines rank lower, and
/// a hash spreads the services over machines of the same size.
std::pair<std::uint32_t, std::uint64_t> takeover_rank(
    const State& state, const ServiceName& service, const DaemonName& daemon) {
  std::string text = service.str() + "/" + daemon.str();
  auto known = state.fleet.daemon_records.find(daemon);
  std::uint32_t capacity =
      known == state.fleet.daemon_records.end() ? 0 : known->second.capacity;
  return {std::numeric_limits<std::uint32_t>::max() - capacity,
          XXH64(text.data(), text.size(), 0)};
}

bool store_is_reachable(Duration unreachable_for) {
  return unreachable_for < config::kCoordinatorStoreTimeout;
}

/// Whether the daemon states that it coordinates the service.
bool states_role(const Heartbeat& heartbeat, const ServiceName& service) {
  return std::any_of(heartbeat.terms.begin(), heartbeat.terms.end(),
                     [&](const auto& term) {
                       return term.service == service &&
                              term.coordinator_heartbeat_age == Duration(0);
                     });
}

/// Position of the map that the daemon has stated last.
StorePosition stated_position(const Heartbeat& heartbeat,
                              const ServiceName& service) {
  for (const auto& term : heartbeat.terms) {
    if (term.service == service) return term.position;
  }
  return {};
}

/// Whether another daemon has a map that the store lacks, and will write it
/// again: the coordinator, as long as it may renew grants, or one that can take
/// over.
bool is_known_elsewhere(const State& state, const ServiceName& service,
                        TimePoint now) {
  for (const auto& [name, peer] : state.fleet.peers) {
    const Heartbeat& last = peer.heartbeat;
    if (!is_alive(state, name, now) ||
        stated_position(last, service) == StorePosition()) {
      continue;
    }
    if (states_role(last, service)) {
      if (last.store_unreachable_for < config::kMaxRenewalWithoutStore)
        return true;
    } else if (!last.stopping &&
               store_is_reachable(last.store_unreachable_for)) {
      return true;
    }
  }
  return false;
}

/// Whether the daemon is the coordinator of the map and has stopped. It does
/// not take over from itself, unless the store has lost who had the role.
bool is_former_coordinator(const State& state, const MapState& map,
                           const Heartbeat& heartbeat) {
  return map.map && !is_lost(state, map) && !lacks_known_term(state, map) &&
         heartbeat.daemon.name == map.map->coordinator &&
         heartbeat.daemon.incarnation == map.map->coordinator_incarnation;
}

/// Whether no other daemon that could take over has a lower rank. If the store
/// has lost the latest map, a daemon that knows a later one comes first.
bool is_first_candidate(const State& state, const ServiceName& service,
                        const MapState& map, TimePoint now) {
  auto own = takeover_rank(state, service, state.settings.self.name);
  for (const auto& [name, peer] : state.fleet.peers) {
    if (!is_alive(state, name, now) || peer.heartbeat.stopping ||
        !store_is_reachable(peer.heartbeat.store_unreachable_for) ||
        is_former_coordinator(state, map, peer.heartbeat)) {
      continue;
    }
    StorePosition theirs = stated_position(peer.heartbeat, service);
    if (is_lost(state, map) && theirs > map.position) return false;
    // Also if the store no longer holds this daemon's version of the map.
    if (is_lost(state, map) ? theirs < map.position
                            : theirs.era < map.position.era) {
      continue;
    }
    if (takeover_rank(state, service, name) < own) return false;
  }
  return true;
}

/// Whether recent heartbeats of the coordinator show that it is working.
bool coordinator_is_working(const State& state, const ServiceName& service,
                            const MapState& map_state, TimePoint now) {
  const OwnerMap& map = *map_state.map;
  auto peer = state.fleet.peers.find(map.coordinator);
  if (peer == state.fleet.peers.end() ||
      !is_alive(state, map.coordinator, now)) {
    return false;
  }
  const Heartbeat& last = peer->second.heartbeat;
  // One that has not learned of the write that made it coordinator cannot read
  // it from the store any more. Otherwise it may have written the map since it
  // sent its last heartbeat, unless that states this version of the map.
  bool has_stopped = !states_role(last, service) &&
                     stated_position(last, service) >= map_state.position &&
                     now - map_state.adopted_at >= config::kDaemonTimeout;
  if (has_stopped ||
      (is_lost(state, map_state) && !states_role(last, service))) {
    return false;
  }
  bool reaches_store = store_is_reachable(last.store_unreachable_for) ||
                       map_state.adopted_at > peer->second.received_at;
  return last.daemon.incarnation == map.coordinator_incarnation &&
         !last.stopping && reaches_store;
}

/// Whether another daemon still receives heartbeats of the coordinator.
bool others_receive_heartbeats(const State& state, const ServiceName& service,
                               const OwnerMap& map, TimePoint now) {
  for (const auto& [name, peer] : state.fleet.peers) {
    if (!is_alive(state, name, now) || name == map.coordinator) continue;
    for (const auto& term : peer.heartbeat.terms) {
      if (term.service == service && term.term == map.term &&
          term.coordinator_heartbeat_age + (now - peer.received_at) <
              config::kDaemonTimeout) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

bool coordinates(const State& state, const OwnerMap& map) {
  const DaemonRecord& self = state.settings.self;
  return map.coordinator == self.name &&
         map.coordinator_incarnation == self.incarnation;
}

bool has_ended(const State& state, const DaemonIncarnation& daemon) {
  auto known = state.fleet.daemon_records.find(daemon.name);
  // A restored store may list the record of an earlier process.
  return known != state.fleet.daemon_records.end() &&
         known->second.incarnation > daemon.incarnation;
}

DaemonIncarnation coordinator_of(const OwnerMap& map) {
  return {map.coordinator, map.coordinator_incarnation};
}

bool should_take_over(const State& state, const ServiceName& service,
                      const MapState& map, TimePoint now) {
  if (state.stopping || map.pending_write || !state.store_has_answered ||
      !store_is_reachable(store_unreachable_for(state, now)) ||
      now - state.started < config::kElectionStartDelay) {
    return false;
  }
  if (!map.map) {
    // A map that stays missing although another daemon has it has been deleted.
    return map.absent_since &&
           (now - *map.absent_since >= config::kMaxRenewalWithoutStore ||
            !is_known_elsewhere(state, service, now)) &&
           is_first_candidate(state, service, map, now);
  }
  // A daemon that no longer has the role takes it up again only if the store
  // has lost who had it.
  if (coordinates(state, *map.map)) {
    return is_lost(state, map) ||
           (lacks_known_term(state, map) && !map.must_verify);
  }
  if (coordinator_is_working(state, service, map, now)) return false;
  bool ended = has_ended(state, coordinator_of(*map.map));
  auto peer = state.fleet.peers.find(map.map->coordinator);
  bool known_unfit = ended || (peer != state.fleet.peers.end() &&
                               is_alive(state, map.map->coordinator, now));
  if (!known_unfit) {
    if (now - state.started <
        config::kElectionStartDelay + config::kDaemonTimeout) {
      return false;
    }
    if (now - map.coordinator_heartbeat_at <
        daemon_timeout(state, map.map->coordinator)) {
      return false;
    }
    if (others_receive_heartbeats(state, service, *map.map, now)) return false;
  }
  return is_first_candidate(state, service, map, now);
}

}  // namespace eelgrasspin::fleet
