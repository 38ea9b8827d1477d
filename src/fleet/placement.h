#ifndef EELGRASSPIN_FLEET_PLACEMENT_H_
#define EELGRASSPIN_FLEET_PLACEMENT_H_

#include <map>
#include <vector>

#include "fleet/model.h"

/// Which keys move to which server. Answers to load that is uneven over the
/// keys and changes within seconds: the hottest run of neighbouring keys that
/// fits goes from the most loaded server to the least loaded one.
namespace eelgrasspin::fleet {

struct PlacedServer {
  ServerIncarnation incarnation;
  double capacity = 1.0;  ///< Requests a second that it can serve.
};

struct PlacementInput {
  std::vector<KeyRange> ranges;
  std::vector<bool> movable;  ///< For each range.
  std::vector<PlacedServer> servers;
  std::map<ShardKey, double> request_rates;  ///< Requests a second by key.
};

struct Move {
  ShardKey first;
  ShardKey last;
  ServerIncarnation to;
};

/// Equal contiguous ranges over the whole key space.
std::vector<KeyRange> initial_ranges(const std::vector<PlacedServer>& servers,
                                     Epoch epoch);

/// Moves that one look may order: the more servers, the more of them are
/// overloaded at once.
std::size_t max_moves_per_round(std::size_t servers);
/// Ranges from which on none is split any more.
std::size_t max_ranges(std::size_t servers);

/// At most max_moves_per_round() moves that even the load out.
std::vector<Move> plan_moves(const PlacementInput& input);

/// The server with the least load against its capacity.
const PlacedServer* least_loaded(const PlacementInput& input);

/// Gives keys `first` to `last` to another life. Ranges are cut where needed;
/// the lives that may still hold a part are remembered as previous.
void assign(std::vector<KeyRange>& ranges, const Move& move, Epoch epoch);

/// Joins neighbours that one life owns at one epoch.
void join_neighbours(std::vector<KeyRange>& ranges);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_PLACEMENT_H_
