#ifndef EELGRASSPIN_FLEET_HOT_KEYS_H_
#define EELGRASSPIN_FLEET_HOT_KEYS_H_

#include <map>
#include <vector>

#include "fleet/placement.h"
#include "fleet/state.h"

/// Placement of keys while a server of their service is overloaded. Busy keys
/// are spread over servers with free capacity, many of them in one round. The
/// ordinary placement compares all servers with the mean instead.
namespace eelgrasspin::fleet {

/// The requests that a server has now.
struct Occupancy {
  std::uint32_t requests = 0;
  std::uint32_t slots = 1;
};

/// Whether the server's queue is full but for one place.
bool is_overloaded(const Occupancy& server);
/// Whether one server is overloaded while a quarter of the servers, and at
/// least one, are idle.
bool needs_hot_placement(const std::vector<Occupancy>& servers);

/// Input of a round of hot placement.
struct HotPlacementInput {
  PlacementInput placement;  ///< With the rates of recent requests.
  std::map<ServerIncarnation, Occupancy> occupancies;
};

/// Moves that one round of hot placement may order.
std::size_t max_hot_moves_per_round(std::size_t servers);
/// Moves of busy keys from overloaded servers to servers with free capacity,
/// the most overloaded servers first.
std::vector<Move> plan_hot_moves(const HotPlacementInput& input);
/// Whether the range has nearly no requests.
bool is_idle(const PlacementInput& input, const KeyRange& range);
/// Whether there are so many ranges that those without traffic are joined.
bool has_many_ranges(const PlacementInput& input);
/// Moves that let neighbouring ranges without traffic have one owner, so that
/// they can be joined.
std::vector<Move> plan_joins(const PlacementInput& input);

/// Records which keyed services have an overloaded server.
void check_overload(State& state, TimePoint now);
/// Whether the service has had an overloaded server within kOverloadLinger.
bool is_overloaded(const State& state, const ServiceName& service,
                   TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_HOT_KEYS_H_
