#ifndef EELGRASSPIN_CORE_OWNERSHIP_SERVERS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_SERVERS_H_

#include <map>
#include <vector>

#include "core/ownership/spread.h"
#include "core/ownership/state.h"
#include "eelgrasspin/declarations.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// A service's backend servers in a zone as seen by the zone's coordinator.
namespace eelgrasspin::core::ownership {

struct ServerView {
  const ServerDeclaration* declared = nullptr;
  const FrontReport* report = nullptr;  ///< Null until its front has reported.
  ServerStatus status = ServerStatus::kActive;
  bool drain_ordered = false;
  bool drain_cancelled = false;
};

using ServerViews = std::map<ServerName, ServerView>;

ServerViews view_servers(const core::State& state,
                         const ServiceZone& service_zone);

/// Whether slots may be assigned to the server.
bool is_usable(const ServerView& view);
/// Whether the server has stopped answering, so that its slots are to be moved
/// away.
bool is_unresponsive(const ServerView& view);
/// Whether the server's slots are to be moved away while it still serves.
bool is_leaving(const ServerView& view);
/// Whether a server that does not check grants is marked as lost because its VM
/// is listed as gone. It has then ended for good, which is known without a
/// report of its front.
bool is_gone(const ServerView& view);

/// The usable servers, with the number of units that they own or are about to
/// get according to the index as their load. Only those that hold a grant if
/// there are any.
std::vector<PlacementCandidate> usable_candidates(const ServerViews& views,
                                                  const MapIndex* index);

/// Requests roster statuses that match the reports and drain plans.
void update_statuses(core::State& state, const ServerViews& views,
                     const MapIndex& index);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_SERVERS_H_
