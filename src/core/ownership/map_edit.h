#ifndef EELGRASSPIN_CORE_OWNERSHIP_MAP_EDIT_H_
#define EELGRASSPIN_CORE_OWNERSHIP_MAP_EDIT_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/effect.h"
#include "core/ownership/servers.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// A change of one ownership map being prepared by its coordinator.
namespace eelgrasspin::core::ownership {

struct MapEdit {
  core::State& state;
  ServiceZone service_zone;
  Now now;
  const MapIndex& index;
  const OwnershipMap& current;
  ServerViews servers;
  std::vector<PlacementCandidate> candidates;
  std::map<ServerName, std::set<SlotGrant>> released;
  std::optional<OwnershipMap> next;  ///< Set once there is a change.

  using EventKey =
      std::tuple<TimelineKind, ServerName, ServerName, std::string>;
  std::map<EventKey, std::vector<Unit>> pending_events;
  std::uint64_t moves_started = 0;
  std::uint64_t moves_finished = 0;
  std::uint64_t units_recovered = 0;
};

MapEdit begin_edit(core::State& state, const ServiceZone& service_zone,
                   const MapIndex& index, const OwnershipMap& current, Now now);

/// The map as changed so far; the first call copies the current map.
OwnershipMap& mutable_map(MapEdit& edit);
const OwnershipMap& latest_map(const MapEdit& edit);

/// Starts to move a settled unit away from its owner. With an empty target the
/// unit is to be closed.
void start_move(MapEdit& edit, const Unit& unit, const ServerName& target,
                const std::string& cause);
/// Makes a server the owner of a unit, at the epoch that its record has.
void assign_owner(MapEdit& edit, const Unit& unit, const ServerName& target);

void queue_event(MapEdit& edit, TimelineKind kind, const ServerName& from,
                 const ServerName& to, const std::string& cause,
                 const Unit& unit);

/// Writes the map if it has changed; at most one write is pending.
void finish_edit(MapEdit& edit, Effects& effects);

/// Records the events and counts of a confirmed write.
void on_write_settled(core::State& state, const ServiceZone& service_zone,
                      Now now, Effects& effects);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_MAP_EDIT_H_
