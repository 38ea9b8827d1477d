#ifndef EELGRASSPIN_FLEET_PLACEMENT_H_
#define EELGRASSPIN_FLEET_PLACEMENT_H_

#include <map>
#include <vector>

#include "fleet/model.h"

/// Decides which keys move to which server: a run of neighbouring keys with
/// requests moves from the most to the least loaded server. Of the possible
/// runs, the one is chosen whose load best balances the two. Designed for load
/// that is uneven over the keys and changes within seconds.
namespace eelgrasspin::fleet {

struct PlacedServer {
  ServerIncarnation incarnation;
  double capacity = 1.0;  ///< Requests per second that it can serve.
};

/// Input of a placement round.
struct PlacementInput {
  std::vector<KeyRange> ranges;
  std::vector<bool> movable;  ///< Whether each range may move.
  std::vector<PlacedServer> servers;
  std::map<ShardKey, double> request_rates;  ///< Requests per second.
};

struct Move {
  ShardKey first;
  ShardKey last;
  ServerIncarnation to;
};

/// Divides the key space into one range of equal size for each server.
std::vector<KeyRange> initial_ranges(const std::vector<PlacedServer>& servers,
                                     Epoch epoch);

/// Moves that one placement round may order. Grows with the number of servers,
/// as more of them are overloaded at the same time.
std::size_t max_moves_per_round(std::size_t servers);
/// Number of ranges from which on no range is split.
std::size_t max_ranges(std::size_t servers);

/// Moves that balance the load, at most max_moves_per_round().
std::vector<Move> plan_moves(const PlacementInput& input);

/// The server with the lowest load relative to its capacity; null if there is
/// none.
const PlacedServer* least_loaded(const PlacementInput& input);

/// Assigns the keys of the move to their new owner. Splits ranges where needed
/// and adds the former owners to `previous_owners`.
void assign(std::vector<KeyRange>& ranges, const Move& move, Epoch epoch);

/// Joins neighbouring ranges of the same owner and epoch.
void join_neighbours(std::vector<KeyRange>& ranges);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_PLACEMENT_H_
