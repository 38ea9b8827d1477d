#include "core/membership/roster.h"

#include <algorithm>
#include <utility>

#include "core/membership/coordinator_lease.h"
#include "core/membership/fences.h"
#include "core/membership/front_assignment.h"
#include "core/membership/liveness.h"
#include "core/membership/lost_members.h"
#include "core/membership/reports.h"
#include "core/membership/roster_events.h"
#include "core/membership/vm_watch.h"

namespace eelgrasspin::core::membership {
namespace {

bool sends_heartbeats(const Peer& peer, Now now) {
  return peer.heartbeat &&
         now.mono - peer.heartbeat_received <= config::kDaemonLostAfter;
}

/// The instance of a daemon that currently sends heartbeats, if it belongs to
/// this zone.
std::optional<RosterMember> live_member(const core::State& state,
                                        const ZoneName& zone,
                                        const DaemonName& daemon, Now now) {
  const Peer* peer = find_peer(state, daemon);
  if (peer == nullptr || !sends_heartbeats(*peer, now)) return std::nullopt;
  const Heartbeat& heartbeat = *peer->heartbeat;
  if (heartbeat.zone != zone) return std::nullopt;
  return RosterMember{daemon, heartbeat.address, heartbeat.incarnation};
}

bool is_of_other_zone(const core::State& state, const ZoneName& zone,
                      const DaemonName& daemon) {
  const Peer* peer = find_peer(state, daemon);
  return peer != nullptr && peer->heartbeat && peer->heartbeat->zone != zone;
}

bool is_stopping(const core::State& state, const DaemonName& daemon) {
  if (daemon == state.self.name) return state.stopping;
  const Peer* peer = find_peer(state, daemon);
  return peer != nullptr && peer->heartbeat && peer->heartbeat->stopping;
}

void move_to_lost(const core::State& state, const RosterMember& member,
                  ZoneRoster& planned) {
  std::erase_if(planned.lost, [&](const RosterMember& lost) {
    return lost.daemon == member.daemon;
  });
  if (!is_stopping(state, member.daemon)) planned.lost.push_back(member);
}

/// Keeps, replaces or removes one member of the current roster.
void plan_existing_member(const core::State& state, const RosterMember& member,
                          Now now, ZoneRoster& planned) {
  if (member.daemon == state.self.name) return;
  if (is_of_other_zone(state, planned.zone, member.daemon)) return;
  auto live = live_member(state, planned.zone, member.daemon, now);
  if (live && live->incarnation != member.incarnation) return;
  if (member_timed_out(state, planned.zone, member, now))
    move_to_lost(state, member, planned);
  else
    planned.members.push_back(member);
}

void add_new_members(const core::State& state, Now now, ZoneRoster& planned) {
  for (const auto& [daemon, peer] : state.membership.peers) {
    auto live = live_member(state, planned.zone, daemon, now);
    if (!live || find_member(planned.members, daemon) != nullptr) continue;
    if (daemon != state.self.name) planned.members.push_back(*live);
  }
}

/// A coordinator from another zone is a member only while the zone has no
/// daemon of its own.
void add_self(const core::State& state, ZoneRoster& planned) {
  bool is_own_zone = planned.zone == state.self.zone;
  if (!is_own_zone && !planned.members.empty()) return;
  planned.members.push_back(
      {state.self.name, state.self.address, state.self.incarnation});
}

bool knows_roster(const core::State& state, const ZoneRoster& current,
                  const RosterMember& member) {
  const RosterMember* listed_member =
      find_member(current.members, member.daemon);
  bool listed = listed_member != nullptr &&
                listed_member->incarnation == member.incarnation;
  if (!listed || current.members.size() < 2) return false;
  if (listed_member->acknowledged || member.daemon == state.self.name)
    return true;
  const Peer* peer = find_peer(state, member.daemon);
  if (peer == nullptr || !peer->heartbeat) return false;
  Version version = version_of(state.cache, roster_key(current.zone));
  return peer->heartbeat->incarnation == member.incarnation &&
         peer->heartbeat->cache_revision >= version;
}

void plan_members(const core::State& state, const ZoneRoster& current, Now now,
                  ZoneRoster& planned) {
  planned.members.clear();
  for (const RosterMember& member : current.members)
    plan_existing_member(state, member, now, planned);
  add_new_members(state, now, planned);
  add_self(state, planned);
  std::sort(planned.members.begin(), planned.members.end(),
            [](const RosterMember& left, const RosterMember& right) {
              return left.daemon < right.daemon;
            });
  for (RosterMember& member : planned.members) {
    member.acknowledged =
        planned.members.size() > 1 && knows_roster(state, current, member);
  }
}

void plan_lost_members(const core::State& state, Now now, ZoneRoster& planned) {
  std::erase_if(planned.lost, [&](const RosterMember& lost) {
    bool rejoined = find_member(planned.members, lost.daemon) != nullptr;
    return rejoined ||
           instance_has_ended(state, planned.zone, lost.daemon,
                              lost.incarnation) ||
           isolated_front_stopped(state, planned.zone, lost.daemon,
                                  lost.incarnation, now);
  });
}

std::vector<ServerName> servers_of_zone(const Declarations& declared,
                                        const ZoneName& zone) {
  std::vector<ServerName> servers;
  for (const auto& [name, server] : declared.servers) {
    if (server.zone == zone) servers.push_back(name);
  }
  return servers;
}

std::vector<RosterMember> front_candidates(const core::State& state,
                                           const ZoneRoster& planned) {
  std::vector<RosterMember> candidates;
  for (const RosterMember& member : planned.members) {
    bool leaving = is_stopping(state, member.daemon) ||
                   vm_leaving(state, member.daemon.str());
    if (!leaving) candidates.push_back(member);
  }
  return candidates;
}

bool obeys_current_front(const core::State& state, const ServerName& server,
                         const FrontAssignment& front) {
  const auto& reports = state.membership.front_reports;
  auto report = reports.find(server);
  return report != reports.end() && report->second.holds_grant &&
         report->second.front_epoch == front.epoch;
}

bool predecessor_has_stopped(const core::State& state, const ZoneName& zone,
                             const ServerName& server,
                             const FrontPredecessor& predecessor, Now now) {
  return reported_stopped(state, server, predecessor.epoch) ||
         instance_has_ended(state, zone, predecessor.daemon,
                            predecessor.incarnation) ||
         isolated_front_stopped(state, zone, predecessor.daemon,
                                predecessor.incarnation, now);
}

void plan_predecessors(const core::State& state, Now now, ZoneRoster& planned) {
  for (auto& [name, front] : planned.fronts) {
    const ServerDeclaration* server = server_declaration(state.cache, name);
    bool checks = server == nullptr || server->checks_grants;
    if (checks && obeys_current_front(state, name, front))
      front.predecessors.clear();
    std::erase_if(front.predecessors, [&, &server_name = name](
                                          const FrontPredecessor& predecessor) {
      return predecessor_has_stopped(state, planned.zone, server_name,
                                     predecessor, now);
    });
    front.awaiting_predecessor =
        !checks && !front.predecessors.empty() && state.guards.revocation_wait;
  }
}

/// A server that is no longer declared has no front; its front epoch is kept.
void clear_undeclared_fronts(const core::State& state, ZoneRoster& planned) {
  for (auto& [name, front] : planned.fronts) {
    if (server_declaration(state.cache, name) == nullptr)
      front = FrontAssignment{.epoch = front.epoch};
  }
}

void plan_fronts(const core::State& state, Now now, ZoneRoster& planned) {
  const Declarations* declared = declarations(state.cache);
  if (declared == nullptr) return;
  planned.fronts =
      assign_fronts(planned.fronts, servers_of_zone(*declared, planned.zone),
                    front_candidates(state, planned));
  clear_undeclared_fronts(state, planned);
  plan_predecessors(state, now, planned);
}

ServerStatus status_of(const ZoneRoster& zone_roster,
                       const ServerName& server) {
  auto it = zone_roster.statuses.find(server);
  return it == zone_roster.statuses.end() ? ServerStatus::kActive : it->second;
}

/// Status of a server according to the VM list; not set unless its VM is
/// leaving or gone.
std::optional<ServerStatus> listed_status(const core::State& state,
                                          const ZoneRoster& planned,
                                          const ServerName& server) {
  ServerStatus status = status_of(planned, server);
  bool active = status == ServerStatus::kActive;
  if (active && vm_leaving(state, server.str())) return ServerStatus::kDraining;
  auto front = planned.fronts.find(server);
  bool obeys = front != planned.fronts.end() &&
               obeys_current_front(state, server, front->second);
  if (vm_gone(state, server.str()) && !obeys) return ServerStatus::kLost;
  return std::nullopt;
}

void plan_statuses(const core::State& state, ZoneRoster& planned) {
  for (const auto& [server, front] : planned.fronts) {
    auto wanted = state.membership.wanted_statuses.find(server);
    if (wanted != state.membership.wanted_statuses.end())
      planned.statuses[server] = wanted->second;
    if (auto listed = listed_status(state, planned, server))
      planned.statuses[server] = *listed;
  }
  std::erase_if(planned.statuses, [](const auto& entry) {
    return entry.second == ServerStatus::kActive;
  });
}

/// A zone stays fenced until one of its daemons joins again.
void plan_fence(const core::State& state, const ZoneRoster& current,
                ZoneRoster& planned) {
  bool joined =
      std::any_of(planned.members.begin(), planned.members.end(),
                  [&](const RosterMember& each) {
                    return each.daemon != state.self.name &&
                           find_member(current.members, each.daemon) == nullptr;
                  });
  planned.fenced =
      zone_is_fenced(state, planned.zone) || (current.fenced && !joined);
}

void drop_reached_statuses(core::State& state, const ZoneRoster& current) {
  std::erase_if(state.membership.wanted_statuses, [&](const auto& wanted) {
    return current.fronts.contains(wanted.first) &&
           status_of(current, wanted.first) == wanted.second;
  });
}

/// A coordinator from another zone releases its lease once a daemon of the zone
/// itself is a member and has the fronts, and this one is no longer a member.
void release_other_zone(core::State& state, const ZoneRoster& current,
                        Now now) {
  if (current.zone == state.self.zone) return;
  if (find_member(current.members, state.self.name) != nullptr) return;
  bool has_successor = std::any_of(
      current.members.begin(), current.members.end(),
      [&](const RosterMember& member) {
        return live_member(state, current.zone, member.daemon, now) &&
               !is_stopping(state, member.daemon);
      });
  if (has_successor) release_lease(state, current.zone);
}

void step_roster(core::State& state, const ZoneName& zone, Now now,
                 Effects& effects) {
  StoreKey key = roster_key(zone);
  record_roster_changes(state, zone, now, effects);
  track_lost_members(state, zone, now);
  if (write_pending(state, key)) return;
  const ZoneRoster* current = roster(state.cache, zone);
  ZoneRoster planned = plan_roster(state, zone, now);
  if (current != nullptr && planned == *current) {
    drop_reached_statuses(state, *current);
    release_other_zone(state, *current, now);
    return;
  }
  planned.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), std::move(planned), now,
              effects);
}

}  // namespace

ZoneRoster plan_roster(const core::State& state, const ZoneName& zone,
                       Now now) {
  ZoneRoster current{.zone = zone};
  if (const ZoneRoster* stored = roster(state.cache, zone)) current = *stored;
  ZoneRoster planned = current;
  planned.coordinator_epoch = coordinator_epoch(state, zone);
  plan_members(state, current, now, planned);
  plan_fence(state, current, planned);
  plan_lost_members(state, now, planned);
  plan_fronts(state, now, planned);
  plan_statuses(state, planned);
  return planned;
}

void step_rosters(core::State& state, const Event& event, Now now,
                  Effects& effects) {
  State& membership = state.membership;
  if (!std::holds_alternative<Tick>(event)) return;
  bool changed = membership.roster_due ||
                 membership.roster_generation != state.cache.generation;
  if (!changed && now.mono < membership.next_roster_update) return;
  membership.roster_due = false;
  membership.roster_generation = state.cache.generation;
  membership.next_roster_update = now.mono + config::kRosterCheckInterval;
  for (const ZoneName& zone : coordinated_zones(state, now))
    step_roster(state, zone, now, effects);
}

}  // namespace eelgrasspin::core::membership
