#include "core/membership/front_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace eelgrasspin::core::membership {
namespace {

std::uint64_t rendezvous_weight(const ServerName& server,
                                const DaemonName& daemon) {
  std::string text = server.str() + '|' + daemon.str();
  return XXH64(text.data(), text.size(), 0);
}

using ServersByDaemon = std::map<DaemonName, std::vector<ServerName>>;

/// Servers that keep their current front, by daemon.
ServersByDaemon retained_servers(const FrontAssignments& current,
                                 const std::vector<ServerName>& servers,
                                 const std::vector<RosterMember>& candidates) {
  ServersByDaemon assigned;
  for (const RosterMember& candidate : candidates) assigned[candidate.daemon];
  for (const ServerName& server : servers) {
    auto front = current.find(server);
    if (front == current.end()) continue;
    auto retained = assigned.find(front->second.daemon);
    if (retained != assigned.end()) retained->second.push_back(server);
  }
  return assigned;
}

/// Takes servers away from daemons above the limit, those with the lowest
/// rendezvous weight first.
void trim_to_limit(ServersByDaemon& assigned, std::size_t limit) {
  for (auto& [daemon, servers] : assigned) {
    if (servers.size() <= limit) continue;
    std::sort(
        servers.begin(), servers.end(),
        [&name = daemon](const ServerName& left, const ServerName& right) {
          return rendezvous_weight(left, name) > rendezvous_weight(right, name);
        });
    servers.resize(limit);
  }
}

DaemonName preferred_daemon(const ServerName& server,
                            const ServersByDaemon& assigned,
                            std::size_t limit) {
  DaemonName best;
  std::uint64_t best_weight = 0;
  for (const auto& [daemon, servers] : assigned) {
    std::uint64_t weight = rendezvous_weight(server, daemon);
    bool full = servers.size() >= limit;
    if (full || (!best.empty() && weight <= best_weight)) continue;
    best = daemon;
    best_weight = weight;
  }
  return best;
}

/// A front that was still waiting for its predecessors is not added: it has
/// never sent to a server that does not check grants. Callers skip a restart
/// under the same name, since the earlier process has ended.
void add_predecessor(FrontAssignment& front, const FrontAssignment& previous) {
  bool never_sent = previous.awaiting_predecessor;
  if (previous.daemon.empty() || never_sent) return;
  front.predecessors.push_back(
      {previous.daemon, previous.incarnation, previous.epoch});
}

FrontAssignment make_assignment(const FrontAssignment* previous,
                                const RosterMember& member) {
  FrontAssignment front;
  if (previous != nullptr) front = *previous;
  bool unchanged =
      front.daemon == member.daemon && front.incarnation == member.incarnation;
  front.address = member.address;
  if (unchanged) return front;
  if (previous != nullptr && previous->daemon != member.daemon)
    add_predecessor(front, *previous);
  std::erase_if(front.predecessors, [&](const FrontPredecessor& predecessor) {
    return predecessor.daemon == member.daemon;
  });
  front.daemon = member.daemon;
  front.incarnation = member.incarnation;
  front.epoch = front.epoch.next();
  return front;
}

}  // namespace

std::size_t front_limit(std::size_t servers, std::size_t daemons) {
  return (servers + daemons - 1) / daemons + 1;
}

FrontAssignments assign_fronts(const FrontAssignments& current,
                               const std::vector<ServerName>& servers,
                               const std::vector<RosterMember>& candidates) {
  if (candidates.empty()) return current;
  std::size_t limit = front_limit(servers.size(), candidates.size());
  ServersByDaemon assigned = retained_servers(current, servers, candidates);
  trim_to_limit(assigned, limit);
  std::map<ServerName, DaemonName> chosen;
  for (const auto& [daemon, retained] : assigned) {
    for (const ServerName& server : retained) chosen[server] = daemon;
  }
  FrontAssignments next = current;
  for (const ServerName& server : servers) {
    DaemonName& daemon = chosen[server];
    if (daemon.empty()) {
      daemon = preferred_daemon(server, assigned, limit);
      assigned[daemon].push_back(server);
    }
    auto member = std::find_if(
        candidates.begin(), candidates.end(),
        [&](const RosterMember& each) { return each.daemon == daemon; });
    auto previous = current.find(server);
    next[server] = make_assignment(
        previous == current.end() ? nullptr : &previous->second, *member);
  }
  return next;
}

}  // namespace eelgrasspin::core::membership
