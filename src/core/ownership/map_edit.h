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

/// A change of one ownership map under preparation by its coordinator.
namespace eelgrasspin::core::ownership {

struct MapEdit {
  core::State& state;
  Part part;
  Now now;
  const MapIndex& index;
  const OwnershipMap& current;
  ServerViews servers;
  std::vector<PlacementCandidate> shares;
  std::map<ServerName, std::set<SlotGrant>> released;
  std::optional<OwnershipMap> next;  ///< Set once something has changed.

  using Announcement =
      std::tuple<TimelineKind, ServerName, ServerName, std::string>;
  std::map<Announcement, std::vector<Unit>> announcements;
  std::uint64_t moves_started = 0;
  std::uint64_t moves_finished = 0;
  std::uint64_t recovered = 0;
};

MapEdit begin_edit(core::State& state, const Part& part, const MapIndex& index,
                   const OwnershipMap& current, Now now);

/// The map as changed so far; copied at the first change.
OwnershipMap& editable(MapEdit& edit);
const OwnershipMap& latest(const MapEdit& edit);

/// Starts taking a settled unit away from its owner. An empty target closes it.
void start_move(MapEdit& edit, const Unit& unit, const ServerName& target,
                const std::string& cause);
/// Settles a unit on a server; the record has the epoch to be granted.
void settle_on(MapEdit& edit, const Unit& unit, const ServerName& target);

void announce(MapEdit& edit, TimelineKind kind, const ServerName& from,
              const ServerName& to, const std::string& cause, const Unit& unit);

/// Writes the changed map, if it changed; at most one write is under way.
void finish_edit(MapEdit& edit, Effects& effects);

/// Records what a confirmed write has done.
void on_write_settled(core::State& state, const Part& part, Now now,
                      Effects& effects);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_MAP_EDIT_H_
