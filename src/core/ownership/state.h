#ifndef EELGRASSPIN_CORE_OWNERSHIP_STATE_H_
#define EELGRASSPIN_CORE_OWNERSHIP_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/ownership/front.h"
#include "core/ownership/unit.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/timeline.h"
#include "eelgrasspin/units.h"

/// Slots, grants, handover, recovery and placement.
namespace eelgrasspin::core::ownership {

/// A service in an availability zone.
struct Part {
  ServiceName service;
  ZoneName zone;

  auto operator<=>(const Part&) const = default;
};

/// A unit that has no settled owner, with the map version that brought it
/// there.
struct UnsettledUnit {
  SlotRecord record;
  Version since;
};

/// What an ownership map says, arranged for lookups. Rebuilt when the map or
/// the zone map changes.
struct MapIndex {
  Version map_version;
  Version zone_map_version;
  std::map<ServerName, std::vector<SlotGrant>>
      owned;  ///< Settled units by owner, in order.
  std::map<Unit, UnsettledUnit> unsettled;
  std::vector<SlotId>
      missing;  ///< Given to the zone by the zone map, and not in the map.
  std::vector<SlotId>
      foreign;  ///< In the map, and given to another zone by the zone map.
  std::uint64_t closed_units = 0;
};

/// A move that an operator or the placement policy asked for, and that is not
/// in the store yet.
struct MoveOrder {
  ServerName target;
  ZoneName target_zone;  ///< Set for a move to another zone.
  bool carve_out = false;
  std::string cause;
};

/// What the placement policy remembers between two runs.
struct PlacementMemory {
  std::optional<TimePoint> last_run;
  double budget = 0;                  ///< Moves it may still order now.
  std::map<Unit, TimePoint> moved;    ///< Not to be moved again yet.
  std::map<Key, TimePoint> last_hot;  ///< Of carved-out keys.
  std::map<ServerName, TimePoint> usable_since;
};

/// The history of a part as its coordinator keeps it between two writes.
struct HistoryMemory {
  TermEpoch term;  ///< Coordinator term that it belongs to.
  bool loaded = false;
  std::optional<StoreOpId> reading;
  TimePoint read_at;  ///< Not before, for the next read.
  OwnershipHistory draft;
  Version seen_map;  ///< Ownership map that the draft includes.
  bool dirty = false;
  TimePoint write_at;  ///< Not before, for the next write.
};

/// What the coordinator of one part keeps in memory; all of it can be lost.
struct PartState {
  std::map<Unit, MoveOrder> orders;
  std::vector<TimelineEvent>
      announcements;  ///< Recorded when the pending write is confirmed.
  std::uint64_t moves_started = 0;   ///< By the pending write.
  std::uint64_t moves_finished = 0;  ///< By the pending write.
  std::uint64_t recovered = 0;       ///< By the pending write.
  PlacementMemory placement;
  HistoryMemory history;
};

struct State {
  std::map<ServerName, Front> fronts;
  /// Fronts given up, with when; still reported as stopped.
  std::map<std::pair<ServerName, FrontEpoch>, TimePoint> former_fronts;
  std::uint64_t seen_generation =
      0;  ///< Of the cache, when `fronts` was made from it.
  std::map<Part, MapIndex> indexes;
  std::map<Part, PartState> parts;
  TimePoint last_step;
  std::optional<TimePoint>
      store_heard;  ///< Last time that the store was known to answer.
};

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_STATE_H_
