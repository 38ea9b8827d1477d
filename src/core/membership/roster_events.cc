#include "core/membership/roster_events.h"

#include "core/membership/liveness.h"
#include "core/membership/reports.h"

namespace eelgrasspin::core::membership {
namespace {

void note_members(core::State& state, const ZoneRoster& before,
                  const ZoneRoster& after, Now now, Effects& effects) {
  for (const RosterMember& member : after.members) {
    const RosterMember* known = find_member(before.members, member.daemon);
    if (known != nullptr && known->incarnation == member.incarnation) continue;
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

void note_fronts(core::State& state, const ZoneRoster& before,
                 const ZoneRoster& after, Now now, Effects& effects) {
  for (const auto& [server, front] : after.fronts) {
    auto known = before.fronts.find(server);
    bool same =
        known != before.fronts.end() && known->second.epoch == front.epoch &&
        known->second.awaiting_predecessor == front.awaiting_predecessor;
    if (same || front.daemon.empty()) continue;
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

void note_roster(core::State& state, const ZoneName& zone, Now now,
                 Effects& effects) {
  ZoneWatch& watch = state.membership.zones[zone];
  Version version = version_of(state.cache, roster_key(zone));
  const ZoneRoster* known = roster(state.cache, zone);
  if (known == nullptr || version == watch.roster_version) return;
  bool first = watch.roster_version.value == 0 &&
               known->coordinator_epoch != coordinator_epoch(state, zone);
  watch.roster_version = version;
  ZoneRoster before = std::exchange(watch.noted, *known);
  drop_void_reports(state, before, *known);
  if (first) return;
  note_members(state, before, *known, now, effects);
  note_fronts(state, before, *known, now, effects);
  if (known->fenced && !before.fenced)
    record(state, {.zone = zone, .kind = TimelineKind::kFenced}, now, effects);
}

}  // namespace eelgrasspin::core::membership
