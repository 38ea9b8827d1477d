#ifndef EELGRASSPIN_CORE_MEMBERSHIP_FRONT_ASSIGNMENT_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_FRONT_ASSIGNMENT_H_

#include <cstddef>
#include <map>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"

/// Assigns a front daemon to each backend server by rendezvous hashing with a
/// bounded load; assignments are sticky.
namespace eelgrasspin::core::membership {

using FrontAssignments = std::map<ServerName, FrontAssignment>;

/// Maximum number of servers that one daemon may front.
std::size_t front_limit(std::size_t servers, std::size_t daemons);

/// Assigns each server a front among `candidates`. An assignment is kept while
/// its daemon is a candidate within the limit. Each change of daemon or
/// incarnation raises the front epoch; a change of daemon also adds the
/// previous front to the predecessors. Without candidates nothing changes.
FrontAssignments assign_fronts(const FrontAssignments& current,
                               const std::vector<ServerName>& servers,
                               const std::vector<RosterMember>& candidates);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_FRONT_ASSIGNMENT_H_
