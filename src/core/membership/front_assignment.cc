#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "core/membership/front_assignment.h"

namespace eelgrasspin::core::membership {
namespace {

std::uint64_t weight(const ServerName& server, const DaemonName& daemon) {
  std::string text = server.str() + '|' + daemon.str();
  return XXH64(text.data(), text.size(), 0);
}

using Load = std::map<DaemonName, std::vector<ServerName>>;

/// Servers whose front stays, by daemon.
Load kept_servers(const Fronts& current, const std::vector<ServerName>& servers,
                  const std::vector<RosterMember>& candidates) {
  Load load;
  for (const RosterMember& candidate : candidates) load[candidate.daemon];
  for (const ServerName& server : servers) {
    auto front = current.find(server);
    if (front == current.end()) continue;
    auto kept = load.find(front->second.daemon);
    if (kept != load.end()) kept->second.push_back(server);
  }
  return load;
}

/// Takes servers from daemons above the limit, least preferred first.
void trim(Load& load, std::size_t limit) {
  for (auto& [daemon, servers] : load) {
    if (servers.size() <= limit) continue;
    std::sort(
        servers.begin(), servers.end(),
        [&name = daemon](const ServerName& left, const ServerName& right) {
          return weight(left, name) > weight(right, name);
        });
    servers.resize(limit);
  }
}

DaemonName preferred(const ServerName& server, const Load& load,
                     std::size_t limit) {
  DaemonName best;
  std::uint64_t best_weight = 0;
  for (const auto& [daemon, servers] : load) {
    std::uint64_t candidate_weight = weight(server, daemon);
    bool full = servers.size() >= limit;
    if (full || (!best.empty() && candidate_weight <= best_weight)) continue;
    best = daemon;
    best_weight = candidate_weight;
  }
  return best;
}

/// A process that starts again under its name has ended before; a front that
/// had to wait for its predecessors has never sent to a server that does not
/// check.
void note_predecessor(FrontAssignment& front, const FrontAssignment& earlier) {
  bool never_sent = earlier.awaiting_predecessor;
  if (earlier.daemon.empty() || never_sent) return;
  front.predecessors.push_back(
      {earlier.daemon, earlier.incarnation, earlier.epoch});
}

FrontAssignment assignment(const FrontAssignment* earlier,
                           const RosterMember& member) {
  FrontAssignment front;
  if (earlier != nullptr) front = *earlier;
  bool same =
      front.daemon == member.daemon && front.incarnation == member.incarnation;
  front.address = member.address;
  if (same) return front;
  if (earlier != nullptr && earlier->daemon != member.daemon)
    note_predecessor(front, *earlier);
  std::erase_if(front.predecessors, [&](const FrontPredecessor& before) {
    return before.daemon == member.daemon;
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

Fronts assign_fronts(const Fronts& current,
                     const std::vector<ServerName>& servers,
                     const std::vector<RosterMember>& candidates) {
  if (candidates.empty()) return current;
  std::size_t limit = front_limit(servers.size(), candidates.size());
  Load load = kept_servers(current, servers, candidates);
  trim(load, limit);
  std::map<ServerName, DaemonName> chosen;
  for (const auto& [daemon, kept] : load) {
    for (const ServerName& server : kept) chosen[server] = daemon;
  }
  Fronts next = current;
  for (const ServerName& server : servers) {
    DaemonName& daemon = chosen[server];
    if (daemon.empty()) {
      daemon = preferred(server, load, limit);
      load[daemon].push_back(server);
    }
    auto member = std::find_if(
        candidates.begin(), candidates.end(),
        [&](const RosterMember& each) { return each.daemon == daemon; });
    auto earlier = current.find(server);
    next[server] = assignment(
        earlier == current.end() ? nullptr : &earlier->second, *member);
  }
  return next;
}

}  // namespace eelgrasspin::core::membership
