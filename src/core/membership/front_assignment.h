#ifndef EELGRASSPIN_CORE_MEMBERSHIP_FRONT_ASSIGNMENT_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_FRONT_ASSIGNMENT_H_

#include <cstddef>
#include <map>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"

/// Which daemon fronts which backend server: bounded rendezvous hashing,
/// sticky.
namespace eelgrasspin::core::membership {

using Fronts = std::map<ServerName, FrontAssignment>;

/// Most servers that one daemon fronts.
std::size_t front_limit(std::size_t servers, std::size_t daemons);

/// Gives each server a front among `candidates`. An assignment stays while its
/// daemon is a candidate within the limit; each change of daemon or incarnation
/// raises the front epoch and notes the earlier front as a predecessor. Without
/// candidates nothing changes.
Fronts assign_fronts(const Fronts& current,
                     const std::vector<ServerName>& servers,
                     const std::vector<RosterMember>& candidates);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_FRONT_ASSIGNMENT_H_
