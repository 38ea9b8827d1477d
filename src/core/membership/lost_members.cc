#include "core/membership/lost_members.h"

#include <algorithm>

#include "core/membership/coordinator_lease.h"
#include "core/membership/fences.h"
#include "core/membership/liveness.h"
#include "core/membership/vm_watch.h"

namespace eelgrasspin::core::membership {
namespace {

const ZoneWatch* zone_watch(const core::State& state, const ZoneName& zone) {
  auto it = state.membership.zones.find(zone);
  return it == state.membership.zones.end() ? nullptr : &it->second;
}

void collect_promises(const core::State& state, const DaemonName& lost,
                      LossWatch& loss, Now now) {
  for (const auto& [name, other] : state.membership.peers) {
    if (!other.heartbeat || other.heartbeat->cache_revision < loss.version)
      continue;
    const std::vector<DaemonName>& ignored_members =
        other.heartbeat->ignored_members;
    bool promises = std::find(ignored_members.begin(), ignored_members.end(),
                              lost) != ignored_members.end();
    if (promises) loss.promised.emplace(name, now.mono);
  }
}

/// When the last of the others promised; none while one has not.
std::optional<TimePoint> last_promise(const core::State& state,
                                      const ZoneRoster& known,
                                      const LossWatch& loss) {
  TimePoint last = loss.noted;
  for (const RosterMember& member : known.members) {
    if (member.daemon == state.self.name) continue;
    auto promise = loss.promised.find(member.daemon);
    if (promise == loss.promised.end()) return std::nullopt;
    last = std::max(last, promise->second);
  }
  return last;
}

}  // namespace

bool is_silent(const core::State& state, const ZoneName& zone,
               const RosterMember& member, Now now) {
  const ZoneLease* lease = observed_lease(state, zone);
  const Peer* known = peer(state, member.daemon);
  TimePoint from = state.membership.resumed;
  bool heard = known != nullptr && (known->incarnation == member.incarnation ||
                                    known->incarnation.value == 0);
  if (heard) from = std::max(from, known->heard);
  bool stood_before =
      heard && lease != nullptr && member.daemon == lease->earlier_holder;
  bool known_gone = daemon_vm_gone(state, member.daemon) ||
                    is_fenced(state, member.daemon, member.incarnation);
  if (lease != nullptr && !stood_before && !known_gone)
    from = std::max(from, lease->since);
  return now.mono - from > config::kDaemonLostAfter;
}

void watch_losses(core::State& state, const ZoneName& zone, Now now) {
  ZoneWatch& watch = state.membership.zones[zone];
  const ZoneRoster* known = roster(state.cache, zone);
  if (known == nullptr) return;
  std::erase_if(watch.losses, [&](const auto& entry) {
    const RosterMember* lost = find_member(known->lost, entry.first);
    return lost == nullptr || lost->incarnation != entry.second.incarnation;
  });
  for (const RosterMember& lost : known->lost) {
    LossWatch fresh{.incarnation = lost.incarnation,
                    .version = version_of(state.cache, roster_key(zone)),
                    .noted = now.mono};
    LossWatch& loss = watch.losses.emplace(lost.daemon, fresh).first->second;
    collect_promises(state, lost.daemon, loss, now);
  }
}

bool has_ended(const core::State& state, const ZoneName& zone,
               const DaemonName& daemon, Incarnation incarnation) {
  if (daemon_vm_gone(state, daemon)) return true;
  if (is_fenced(state, daemon, incarnation)) return true;
  const ZoneRoster* known = roster(state.cache, zone);
  if (known == nullptr) return false;
  const RosterMember* present = find_member(known->members, daemon);
  return present != nullptr && present->incarnation != incarnation;
}

bool lone_front_stopped(const core::State& state, const ZoneName& zone,
                        const DaemonName& daemon, Incarnation incarnation,
                        Now now) {
  const ZoneRoster* known = roster(state.cache, zone);
  const ZoneWatch* watch = zone_watch(state, zone);
  if (known == nullptr || watch == nullptr) return false;
  const RosterMember* lost = find_member(known->lost, daemon);
  auto loss = watch->losses.find(daemon);
  if (lost == nullptr || loss == watch->losses.end()) return false;
  bool bound = lost->incarnation == incarnation && lost->acknowledged;
  bool another_lost = known->lost.size() > 1;
  if (!bound || another_lost) return false;
  std::optional<TimePoint> last = last_promise(state, *known, loss->second);
  return last && now.mono - *last >= config::kIsolatedFrontLapseDelay;
}

}  // namespace eelgrasspin::core::membership
