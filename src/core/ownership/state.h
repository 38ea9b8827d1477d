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
struct ServiceZone {
  ServiceName service;
  ZoneName zone;

  auto operator<=>(const ServiceZone&) const = default;
};

/// A unit that is not settled on an owner, with the map version since which it
/// has been in this state.
struct UnsettledUnit {
  SlotRecord record;
  Version unsettled_since;
};

/// An index of an ownership map for lookups. Rebuilt when the ownership map or
/// the zone map changes.
struct MapIndex {
  Version map_version;
  Version zone_map_version;
  /// Settled units by owner, in order.
  std::map<ServerName, std::vector<SlotGrant>> owned;
  std::map<Unit, UnsettledUnit> unsettled;
  /// Assigned to this zone by the zone map, but missing from the ownership map.
  std::vector<SlotId> missing_slots;
  /// In the ownership map, but assigned to another zone by the zone map.
  std::vector<SlotId> other_zone_slots;
  std::uint64_t closed_units = 0;
};

/// A move requested by an operator or by the placement policy that is not in
/// the store yet.
struct MoveOrder {
  ServerName target;
  ZoneName target_zone;  ///< Set for a move to another zone.
  bool carve_out = false;
  std::string cause;
};

/// State that the placement policy keeps between two rounds.
struct PlacementState {
  std::optional<TimePoint> last_run;
  double budget = 0;                     ///< Moves that it may order now.
  std::map<Unit, TimePoint> last_moved;  ///< Units in their cooldown.
  std::map<Key, TimePoint> last_hot;     ///< When carved-out keys were
                                         ///< last among the busiest.
  std::map<ServerName, TimePoint> usable_since;
};

/// The ownership history of a service in a zone, as its coordinator keeps it
/// between two writes.
struct HistoryState {
  TermEpoch term;  ///< Coordinator term in which it was loaded.
  bool loaded = false;
  std::optional<StoreOpId> pending_read;
  TimePoint next_read;  ///< Earliest time of the next read.
  OwnershipHistory draft;
  Version
      draft_map_version;  ///< Ownership map up to which the draft is current.
  bool dirty = false;
  TimePoint next_write;  ///< Earliest time of the next write.
};

/// What a coordinator keeps in memory for one service in its zone; nothing of
/// it needs to survive the coordinator.
struct ServiceZoneState {
  std::map<Unit, MoveOrder> orders;
  /// Recorded when the pending write is confirmed.
  std::vector<TimelineEvent> pending_events;
  std::uint64_t moves_started = 0;    ///< By the pending write.
  std::uint64_t moves_finished = 0;   ///< By the pending write.
  std::uint64_t units_recovered = 0;  ///< By the pending write.
  PlacementState placement;
  HistoryState history;
};

struct State {
  std::map<ServerName, Front> fronts;
  /// Ended fronts with the time of their end; still reported as stopped.
  std::map<std::pair<ServerName, FrontEpoch>, TimePoint> former_fronts;
  /// Cache generation from which `fronts` was last updated.
  std::uint64_t synced_generation = 0;
  std::map<ServiceZone, MapIndex> indexes;
  std::map<ServiceZone, ServiceZoneState> service_zones;
  TimePoint last_step;
  /// Last time that the store was known to be reachable.
  std::optional<TimePoint> last_store_answer;
};

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_STATE_H_
