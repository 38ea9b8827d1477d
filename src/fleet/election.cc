#include "fleet/election.h"

#include <xxhash.h>

#include <limits>
#include <utility>

#include "fleet/peers.h"

namespace eelgrasspin::fleet {
namespace {

/// The lower one takes over first: large machines before small ones, and
/// services spread over machines of one size.
std::pair<std::uint32_t, std::uint64_t> rank(const State& state,
                                             const ServiceName& service,
                                             const DaemonName& daemon) {
  std::string text = service.str() + "/" + daemon.str();
  auto known = state.fleet.known.find(daemon);
  std::uint32_t capacity =
      known == state.fleet.known.end() ? 0 : known->second.capacity;
  return {std::numeric_limits<std::uint32_t>::max() - capacity,
          XXH64(text.data(), text.size(), 0)};
}

bool has_store(Duration silence) {
  return silence < config::kCoordinatorStoreTimeout;
}

/// No other daemon that could take over ranks before this one.
bool first_candidate(const State& state, const ServiceName& service,
                     TimePoint now) {
  auto own = rank(state, service, state.settings.self.name);
  for (const auto& [name, peer] : state.fleet.heard) {
    if (!is_alive(state, name, now) || peer.heartbeat.stopping ||
        !has_store(peer.heartbeat.store_unreachable_for)) {
      continue;
    }
    if (rank(state, service, name) < own) return false;
  }
  return true;
}

/// The coordinator does its duty, as far as this daemon hears.
bool coordinator_serves(const State& state, const OwnerMap& map,
                        TimePoint now) {
  auto heard = state.fleet.heard.find(map.coordinator);
  if (heard == state.fleet.heard.end() ||
      !is_alive(state, map.coordinator, now)) {
    return false;
  }
  const Heartbeat& last = heard->second.heartbeat;
  return last.daemon.incarnation == map.coordinator_incarnation &&
         !last.stopping && has_store(last.store_unreachable_for);
}

/// Another daemon still hears the coordinator that this one does not hear.
bool heard_by_others(const State& state, const ServiceName& service,
                     const OwnerMap& map, TimePoint now) {
  for (const auto& [name, peer] : state.fleet.heard) {
    if (!is_alive(state, name, now) || name == map.coordinator) continue;
    for (const auto& term : peer.heartbeat.terms) {
      if (term.service == service && term.term == map.term &&
          term.coordinator_heartbeat_age + (now - peer.heard) <
              config::kDaemonSilence) {
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

bool coordinator_ended(const State& state, const OwnerMap& map) {
  auto known = state.fleet.known.find(map.coordinator);
  return known != state.fleet.known.end() &&
         known->second.incarnation != map.coordinator_incarnation;
}

bool should_take_over(const State& state, const ServiceName& service,
                      const MapState& map, TimePoint now) {
  if (state.stopping || map.writing || !state.store_heard ||
      !has_store(store_unreachable_for(state, now)) ||
      now - state.started < config::kElectionDelay) {
    return false;
  }
  if (!map.map) return map.absent && first_candidate(state, service, now);
  if (coordinates(state, *map.map)) return false;
  if (coordinator_serves(state, *map.map, now)) return false;
  bool ended = coordinator_ended(state, *map.map);
  auto heard = state.fleet.heard.find(map.map->coordinator);
  bool known_unfit = ended || (heard != state.fleet.heard.end() &&
                               is_alive(state, map.map->coordinator, now));
  if (!known_unfit) {
    if (now - state.started < config::kElectionDelay + config::kDaemonSilence) {
      return false;
    }
    if (now - map.coordinator_heard <
        silence_limit(state, map.map->coordinator)) {
      return false;
    }
    if (heard_by_others(state, service, *map.map, now)) return false;
  }
  return first_candidate(state, service, now);
}

}  // namespace eelgrasspin::fleet
