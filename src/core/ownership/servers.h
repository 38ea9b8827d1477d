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

/// Backend servers of a part as its coordinator sees them.
namespace eelgrasspin::core::ownership {

struct ServerView {
  const ServerDeclaration* declared = nullptr;
  const FrontReport* report = nullptr;  ///< Null until its front reports.
  ServerStatus status = ServerStatus::kActive;
  bool drain_ordered = false;
  bool drain_cancelled = false;
};

using ServerViews = std::map<ServerName, ServerView>;

ServerViews view_servers(const core::State& state, const Part& part);

/// Whether slots may be given to it.
bool is_usable(const ServerView& view);
/// Whether it stopped answering, so that its slots should go to others.
bool is_grant_expired(const ServerView& view);
/// Whether its slots should go to others while it still serves.
bool is_leaving(const ServerView& view);
/// Whether the platform has ended it for good, known without its front.
bool is_gone(const ServerView& view);

/// Shares of the usable servers, loaded with what the index says they own and
/// what they are about to get. Servers that hold a grant are preferred.
std::vector<PlacementCandidate> usable_shares(const ServerViews& views,
                                              const MapIndex* index);

/// Keeps the statuses on the roster in step with reports and drain plans.
void update_statuses(core::State& state, const ServerViews& views,
                     const MapIndex& index);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_SERVERS_H_
