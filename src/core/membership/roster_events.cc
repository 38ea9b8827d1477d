#include "core/membership/roster_events.h"

#include "core/membership/liveness.h"
#include "core/membership/reports.h"

namespace eelgrasspin::core::membership {
namespace {

void record_member_changes(core::State& state, const ZoneRoster& before,
                           const ZoneRoster& after, Now now, Effects& effects) {
  for (const RosterMember& member : after.members) {
    const RosterMember* previous = find_member(before.members, member.daemon);
    if (previous != nullptr && previous->incarnation == member.incarnation)
      continue;
    record(state,
           {.zone = after.zone,
            .kind = TimelineKind::kMemberJoined,
            .detail = member.daemon.str()},
           now, effects);
  }
  for (const RosterMember& member : before.members) {
    if (find_member(after.members, member.daemon) != nullptr) continue;
    record(state,
           {.zone = after.zone,
            .kind = TimelineKind::kMemberLost,
            .detail = member.daemon.str()},
           now, effects);
  }
}

void record_front_changes(core::State& state, const ZoneRoster& before,
                          const ZoneRoster& after, Now now, Effects& effects) {
  for (const auto& [server, front] : after.fronts) {
    auto previous = before.fronts.find(server);
    bool unchanged =
        previous != before.fronts.end() &&
        previous->second.epoch == front.epoch &&
        previous->second.awaiting_predecessor == front.awaiting_predecessor;
    if (unchanged || front.daemon.empty()) continue;
    record(state,
           {.zone = after.zone,
            .kind = TimelineKind::kFrontAssigned,
            .server = server,
            .epoch = front.epoch.value,
            .cause = front.awaiting_predecessor ? "awaits predecessor" : "",
            .detail = front.daemon.str()},
           now, effects);
  }
}

}  // namespace

void record_roster_changes(core::State& state, const ZoneName& zone, Now now,
                           Effects& effects) {
  CoordinatedZone& coordinated = state.membership.zones[zone];
  Version version = version_of(state.cache, roster_key(zone));
  const ZoneRoster* zone_roster = roster(state.cache, zone);
  if (zone_roster == nullptr || version == coordinated.roster_version) return;
  bool from_earlier_term =
      coordinated.roster_version.value == 0 &&
      zone_roster->coordinator_epoch != coordinator_epoch(state, zone);
  coordinated.roster_version = version;
  ZoneRoster before = std::exchange(coordinated.recorded_roster, *zone_roster);
  drop_obsolete_reports(state, before, *zone_roster);
  if (from_earlier_term) return;
  record_member_changes(state, before, *zone_roster, now, effects);
  record_front_changes(state, before, *zone_roster, now, effects);
  if (zone_roster->fenced && !before.fenced)
    record(state, {.zone = zone, .kind = TimelineKind::kFenced}, now, effects);
}

}  // namespace eelgrasspin::core::membership
