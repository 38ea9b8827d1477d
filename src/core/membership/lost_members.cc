#include "core/membership/lost_members.h"

#include <algorithm>

#include "core/membership/coordinator_lease.h"
#include "core/membership/fences.h"
#include "core/membership/liveness.h"
#include "core/membership/vm_watch.h"

namespace eelgrasspin::core::membership {
namespace {

const CoordinatedZone* find_coordinated_zone(const core::State& state,
                                             const ZoneName& zone) {
  auto it = state.membership.zones.find(zone);
  return it == state.membership.zones.end() ? nullptr : &it->second;
}

void collect_promises(const core::State& state, const DaemonName& daemon,
                      LostMember& lost_member, Now now) {
  for (const auto& [name, peer] : state.membership.peers) {
    if (!peer.heartbeat ||
        peer.heartbeat->cache_revision < lost_member.listed_version)
      continue;
    const std::vector<DaemonName>& ignored_members =
        peer.heartbeat->ignored_members;
    bool is_promised = std::find(ignored_members.begin(), ignored_members.end(),
                                 daemon) != ignored_members.end();
    if (is_promised) lost_member.promises.emplace(name, now.mono);
  }
}

/// When the last of the other members promised; not set while one has not.
std::optional<TimePoint> last_promise_time(const core::State& state,
                                           const ZoneRoster& zone_roster,
                                           const LostMember& lost_member) {
  TimePoint last = lost_member.lost_since;
  for (const RosterMember& member : zone_roster.members) {
    if (member.daemon == state.self.name) continue;
    auto promise = lost_member.promises.find(member.daemon);
    if (promise == lost_member.promises.end()) return std::nullopt;
    last = std::max(last, promise->second);
  }
  return last;
}

}  // namespace

bool member_timed_out(const core::State& state, const ZoneName& zone,
                      const RosterMember& member, Now now) {
  const ObservedLease* lease = observed_lease(state, zone);
  const Peer* peer = find_peer(state, member.daemon);
  // Members send heartbeats only to the coordinator, so their timeout starts at
  // the start of this daemon's coordinator role at the earliest, unless they
  // are known to have ended. The previous coordinator answered this daemon's
  // heartbeats, so its timeout starts at its last message.
  TimePoint timeout_start = state.membership.running_since;
  bool received = peer != nullptr && (peer->incarnation == member.incarnation ||
                                      peer->incarnation.value == 0);
  if (received) timeout_start = std::max(timeout_start, peer->last_received);
  bool was_coordinator =
      received && lease != nullptr && member.daemon == lease->previous_holder;
  bool known_to_have_ended =
      daemon_vm_gone(state, member.daemon) ||
      is_fenced(state, member.daemon, member.incarnation);
  if (lease != nullptr && !was_coordinator && !known_to_have_ended)
    timeout_start = std::max(timeout_start, lease->coordinator_since);
  return now.mono - timeout_start > config::kDaemonLostAfter;
}

void track_lost_members(core::State& state, const ZoneName& zone, Now now) {
  CoordinatedZone& coordinated = state.membership.zones[zone];
  const ZoneRoster* zone_roster = roster(state.cache, zone);
  if (zone_roster == nullptr) return;
  std::erase_if(coordinated.lost_members, [&](const auto& entry) {
    const RosterMember* lost = find_member(zone_roster->lost, entry.first);
    return lost == nullptr || lost->incarnation != entry.second.incarnation;
  });
  for (const RosterMember& lost : zone_roster->lost) {
    LostMember new_entry{
        .incarnation = lost.incarnation,
        .listed_version = version_of(state.cache, roster_key(zone)),
        .lost_since = now.mono};
    LostMember& lost_member =
        coordinated.lost_members.emplace(lost.daemon, new_entry).first->second;
    collect_promises(state, lost.daemon, lost_member, now);
  }
}

bool instance_has_ended(const core::State& state, const ZoneName& zone,
                        const DaemonName& daemon, Incarnation incarnation) {
  if (daemon_vm_gone(state, daemon)) return true;
  if (is_fenced(state, daemon, incarnation)) return true;
  const ZoneRoster* zone_roster = roster(state.cache, zone);
  if (zone_roster == nullptr) return false;
  const RosterMember* current = find_member(zone_roster->members, daemon);
  return current != nullptr && current->incarnation != incarnation;
}

bool isolated_front_stopped(const core::State& state, const ZoneName& zone,
                            const DaemonName& daemon, Incarnation incarnation,
                            Now now) {
  const ZoneRoster* zone_roster = roster(state.cache, zone);
  const CoordinatedZone* coordinated = find_coordinated_zone(state, zone);
  if (zone_roster == nullptr || coordinated == nullptr) return false;
  const RosterMember* listed = find_member(zone_roster->lost, daemon);
  auto lost_member = coordinated->lost_members.find(daemon);
  if (listed == nullptr || lost_member == coordinated->lost_members.end())
    return false;
  bool obeys_isolated_front_rule =
      listed->incarnation == incarnation && listed->acknowledged;
  bool another_lost = zone_roster->lost.size() > 1;
  if (!obeys_isolated_front_rule || another_lost) return false;
  std::optional<TimePoint> last_promised =
      last_promise_time(state, *zone_roster, lost_member->second);
  return last_promised &&
         now.mono - *last_promised >= config::kIsolatedFrontLapseDelay;
}

}  // namespace eelgrasspin::core::membership
