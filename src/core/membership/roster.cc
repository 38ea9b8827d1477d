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

bool heard_lately(const Peer& other, Now now) {
  return other.heartbeat &&
         now.mono - other.heartbeat_heard <= config::kDaemonLostAfter;
}

/// The run of a daemon that sends heartbeats now, if it is of this zone.
std::optional<RosterMember> present_run(const core::State& state,
                                        const ZoneName& zone,
                                        const DaemonName& daemon, Now now) {
  const Peer* known = peer(state, daemon);
  if (known == nullptr || !heard_lately(*known, now)) return std::nullopt;
  const Heartbeat& beat = *known->heartbeat;
  if (beat.zone != zone) return std::nullopt;
  return RosterMember{daemon, beat.address, beat.incarnation};
}

bool is_of_other_zone(const core::State& state, const ZoneName& zone,
                      const DaemonName& daemon) {
  const Peer* known = peer(state, daemon);
  return known != nullptr && known->heartbeat && known->heartbeat->zone != zone;
}

bool is_stopping(const core::State& state, const DaemonName& daemon) {
  if (daemon == state.self.name) return state.stopping;
  const Peer* known = peer(state, daemon);
  return known != nullptr && known->heartbeat && known->heartbeat->stopping;
}

void lose_member(const core::State& state, const RosterMember& member,
                 ZoneRoster& next) {
  std::erase_if(next.lost, [&](const RosterMember& lost) {
    return lost.daemon == member.daemon;
  });
  if (!is_stopping(state, member.daemon)) next.lost.push_back(member);
}

/// Keeps, replaces or removes one member of the roster in force.
void carry_over(const core::State& state, const RosterMember& member, Now now,
                ZoneRoster& next) {
  if (member.daemon == state.self.name) return;
  if (is_of_other_zone(state, next.zone, member.daemon)) return;
  auto present = present_run(state, next.zone, member.daemon, now);
  if (present && present->incarnation != member.incarnation) return;
  if (is_silent(state, next.zone, member, now))
    lose_member(state, member, next);
  else
    next.members.push_back(member);
}

void add_newcomers(const core::State& state, Now now, ZoneRoster& next) {
  for (const auto& [daemon, other] : state.membership.peers) {
    auto present = present_run(state, next.zone, daemon, now);
    if (!present || find_member(next.members, daemon) != nullptr) continue;
    if (daemon != state.self.name) next.members.push_back(*present);
  }
}

/// A coordinator of another zone is a member only while the zone has no daemon
/// of its own.
void add_self(const core::State& state, ZoneRoster& next) {
  bool home = next.zone == state.self.zone;
  if (!home && !next.members.empty()) return;
  next.members.push_back(
      {state.self.name, state.self.address, state.self.incarnation});
}

bool has_shown_roster(const core::State& state, const ZoneRoster& in_force,
                      const RosterMember& member) {
  const RosterMember* known = find_member(in_force.members, member.daemon);
  bool listed = known != nullptr && known->incarnation == member.incarnation;
  if (!listed || in_force.members.size() < 2) return false;
  if (known->acknowledged || member.daemon == state.self.name) return true;
  const Peer* other = peer(state, member.daemon);
  if (other == nullptr || !other->heartbeat) return false;
  Version version = version_of(state.cache, roster_key(in_force.zone));
  return other->heartbeat->incarnation == member.incarnation &&
         other->heartbeat->cache_revision >= version;
}

void plan_members(const core::State& state, const ZoneRoster& in_force, Now now,
                  ZoneRoster& next) {
  next.members.clear();
  for (const RosterMember& member : in_force.members)
    carry_over(state, member, now, next);
  add_newcomers(state, now, next);
  add_self(state, next);
  std::sort(next.members.begin(), next.members.end(),
            [](const RosterMember& left, const RosterMember& right) {
              return left.daemon < right.daemon;
            });
  for (RosterMember& member : next.members) {
    member.acknowledged =
        next.members.size() > 1 && has_shown_roster(state, in_force, member);
  }
}

void plan_losses(const core::State& state, Now now, ZoneRoster& next) {
  std::erase_if(next.lost, [&](const RosterMember& lost) {
    bool back = find_member(next.members, lost.daemon) != nullptr;
    return back || has_ended(state, next.zone, lost.daemon, lost.incarnation) ||
           lone_front_stopped(state, next.zone, lost.daemon, lost.incarnation,
                              now);
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
                                           const ZoneRoster& next) {
  std::vector<RosterMember> candidates;
  for (const RosterMember& member : next.members) {
    bool leaving = is_stopping(state, member.daemon) ||
                   vm_leaving(state, member.daemon.str());
    if (!leaving) candidates.push_back(member);
  }
  return candidates;
}

bool obeys_present_front(const core::State& state, const ServerName& server,
                         const FrontAssignment& front) {
  const auto& reports = state.membership.front_reports;
  auto report = reports.find(server);
  return report != reports.end() && report->second.holds_grant &&
         report->second.front_epoch == front.epoch;
}

bool has_stopped(const core::State& state, const ZoneName& zone,
                 const ServerName& server, const FrontPredecessor& earlier,
                 Now now) {
  return reported_stopped(state, server, earlier.epoch) ||
         has_ended(state, zone, earlier.daemon, earlier.incarnation) ||
         lone_front_stopped(state, zone, earlier.daemon, earlier.incarnation,
                            now);
}

void settle_predecessors(const core::State& state, Now now, ZoneRoster& next) {
  for (auto& [name, front] : next.fronts) {
    const ServerDeclaration* server = server_declaration(state.cache, name);
    bool checks = server == nullptr || server->checks_grants;
    if (checks && obeys_present_front(state, name, front))
      front.predecessors.clear();
    std::erase_if(front.predecessors, [&, &server_name = name](
                                          const FrontPredecessor& earlier) {
      return has_stopped(state, next.zone, server_name, earlier, now);
    });
    front.awaiting_predecessor =
        !checks && !front.predecessors.empty() && state.guards.revocation_wait;
  }
}

/// A server that is not declared any more has no front; its epoch is kept.
void drop_undeclared(const core::State& state, ZoneRoster& next) {
  for (auto& [name, front] : next.fronts) {
    if (server_declaration(state.cache, name) == nullptr)
      front = FrontAssignment{.epoch = front.epoch};
  }
}

void plan_fronts(const core::State& state, Now now, ZoneRoster& next) {
  const Declarations* declared = declarations(state.cache);
  if (declared == nullptr) return;
  next.fronts =
      assign_fronts(next.fronts, servers_of_zone(*declared, next.zone),
                    front_candidates(state, next));
  drop_undeclared(state, next);
  settle_predecessors(state, now, next);
}

ServerStatus status_of(const ZoneRoster& known, const ServerName& server) {
  auto it = known.statuses.find(server);
  return it == known.statuses.end() ? ServerStatus::kActive : it->second;
}

/// What the VM list says of a server; no word unless it is leaving or gone.
std::optional<ServerStatus> listed_status(const core::State& state,
                                          const ZoneRoster& next,
                                          const ServerName& server) {
  ServerStatus status = status_of(next, server);
  bool active = status == ServerStatus::kActive;
  if (active && vm_leaving(state, server.str())) return ServerStatus::kDraining;
  auto front = next.fronts.find(server);
  bool obeys = front != next.fronts.end() &&
               obeys_present_front(state, server, front->second);
  if (vm_gone(state, server.str()) && !obeys) return ServerStatus::kLost;
  return std::nullopt;
}

void plan_statuses(const core::State& state, ZoneRoster& next) {
  for (const auto& [server, front] : next.fronts) {
    auto wanted = state.membership.wanted_statuses.find(server);
    if (wanted != state.membership.wanted_statuses.end())
      next.statuses[server] = wanted->second;
    if (auto listed = listed_status(state, next, server))
      next.statuses[server] = *listed;
  }
  std::erase_if(next.statuses, [](const auto& entry) {
    return entry.second == ServerStatus::kActive;
  });
}

/// A fence stands until a daemon of the zone joins again.
void plan_fence(const core::State& state, const ZoneRoster& in_force,
                ZoneRoster& next) {
  bool joined = std::any_of(
      next.members.begin(), next.members.end(), [&](const RosterMember& each) {
        return each.daemon != state.self.name &&
               find_member(in_force.members, each.daemon) == nullptr;
      });
  next.fenced =
      zone_is_fenced(state, next.zone) || (in_force.fenced && !joined);
}

void forget_met_statuses(core::State& state, const ZoneRoster& in_force) {
  std::erase_if(state.membership.wanted_statuses, [&](const auto& wanted) {
    return in_force.fronts.contains(wanted.first) &&
           status_of(in_force, wanted.first) == wanted.second;
  });
}

/// A coordinator from another zone goes once the zone's own daemon has the
/// fronts.
void go_home(core::State& state, const ZoneRoster& in_force, Now now) {
  if (in_force.zone == state.self.zone) return;
  if (find_member(in_force.members, state.self.name) != nullptr) return;
  bool succeeded = std::any_of(in_force.members.begin(), in_force.members.end(),
                               [&](const RosterMember& member) {
                                 return present_run(state, in_force.zone,
                                                    member.daemon, now) &&
                                        !is_stopping(state, member.daemon);
                               });
  if (succeeded) release_lease(state, in_force.zone);
}

void step_roster(core::State& state, const ZoneName& zone, Now now,
                 Effects& effects) {
  StoreKey key = roster_key(zone);
  note_roster(state, zone, now, effects);
  watch_losses(state, zone, now);
  if (write_pending(state, key)) return;
  const ZoneRoster* in_force = roster(state.cache, zone);
  ZoneRoster next = plan_roster(state, zone, now);
  if (in_force != nullptr && next == *in_force) {
    forget_met_statuses(state, *in_force);
    go_home(state, *in_force, now);
    return;
  }
  next.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), std::move(next), now,
              effects);
}

}  // namespace

ZoneRoster plan_roster(const core::State& state, const ZoneName& zone,
                       Now now) {
  ZoneRoster in_force{.zone = zone};
  if (const ZoneRoster* known = roster(state.cache, zone)) in_force = *known;
  ZoneRoster next = in_force;
  next.coordinator_epoch = coordinator_epoch(state, zone);
  plan_members(state, in_force, now, next);
  plan_fence(state, in_force, next);
  plan_losses(state, now, next);
  plan_fronts(state, now, next);
  plan_statuses(state, next);
  return next;
}

void step_rosters(core::State& state, const Event& event, Now now,
                  Effects& effects) {
  State& own = state.membership;
  if (!std::holds_alternative<Tick>(event)) return;
  bool changed =
      own.roster_due || own.roster_generation != state.cache.generation;
  if (!changed && now.mono < own.next_roster) return;
  own.roster_due = false;
  own.roster_generation = state.cache.generation;
  own.next_roster = now.mono + config::kRosterCheckInterval;
  for (const ZoneName& zone : coordinated_zones(state, now))
    step_roster(state, zone, now, effects);
}

}  // namespace eelgrasspin::core::membership
