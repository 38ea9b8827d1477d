#include "core/membership/membership.h"

#include <algorithm>

#include "core/membership/coordinator_lease.h"
#include "core/membership/fences.h"
#include "core/membership/liveness.h"
#include "core/membership/roster.h"
#include "core/membership/store_sync.h"
#include "core/membership/vm_watch.h"
#include "core/state.h"

namespace eelgrasspin::core::membership {
namespace {

bool holds(const ZoneLease& lease, Now now) {
  return lease.held && !lease.releasing && now.mono < lease.valid_until;
}

/// Time up to which the store, the coordinator or another member of the roster
/// is known to count on this daemon.
TimePoint latest_evidence(const core::State& state, const ZoneRoster& known) {
  TimePoint latest;
  const ZoneLease* lease = observed_lease(state, known.zone);
  if (lease != nullptr && lease->evidence) latest = *lease->evidence;
  for (const RosterMember& member : known.members) {
    const Peer* other = peer(state, member.daemon);
    if (other != nullptr && other->echo_sent)
      latest = std::max(latest, *other->echo_sent);
  }
  return latest;
}

bool is_alone_on(const core::State& state, const ZoneRoster& known, Now now) {
  const RosterMember* own = find_member(known.members, state.self.name);
  bool bound = own != nullptr && own->incarnation == state.self.incarnation &&
               known.members.size() > 1;
  return bound && now.mono - latest_evidence(state, known) >
                      config::kIsolatedFrontTimeout;
}

}  // namespace

void step(core::State& state, const Event& event, Now now, Effects& effects) {
  if (std::holds_alternative<Started>(event) || state.resumed_from_pause)
    state.membership.resumed = now.mono;
  step_sync(state, event, now, effects);
  step_fences(state, now);
  step_leases(state, event, now, effects);
  step_liveness(state, event, now, effects);
  step_vms(state, event, now, effects);
  step_rosters(state, event, now, effects);
}

std::vector<ZoneName> coordinated_zones(const core::State& state, Now now) {
  std::vector<ZoneName> zones;
  for (const auto& [zone, lease] : state.membership.leases) {
    if (holds(lease, now)) zones.push_back(zone);
  }
  return zones;
}

bool coordinates(const core::State& state, const ZoneName& zone, Now now) {
  const ZoneLease* lease = observed_lease(state, zone);
  return lease != nullptr && holds(*lease, now);
}

TermEpoch coordinator_epoch(const core::State& state, const ZoneName& zone) {
  const ZoneLease* lease = observed_lease(state, zone);
  return lease != nullptr && lease->held ? lease->epoch : TermEpoch(0);
}

Endpoint coordinator_address(const core::State& state, const ZoneName& zone) {
  const CoordinatorLease* lease = coordinator_lease(state.cache, zone);
  return lease == nullptr || lease->released ? Endpoint() : lease->address;
}

const std::map<ServerName, FrontReport>& front_reports(
    const core::State& state) {
  return state.membership.front_reports;
}

const std::map<DaemonName, ReceivedAccounts>& received_accounts(
    const core::State& state) {
  return state.membership.accounts;
}

void report_soon(core::State& state, Now now) {
  TimePoint& next = state.membership.next_heartbeat;
  TimePoint last = next - config::kHeartbeatInterval;
  TimePoint earliest =
      std::max(now.mono, last + config::kUrgentHeartbeatInterval);
  next = std::min(next, earliest);
}

bool reaches_store(const core::State& state, Now now) {
  const StoreSync& sync = state.membership.sync;
  return sync.heard && now.mono - *sync.heard <= config::kStoreUnreachableAfter;
}

bool may_renew_grants(const core::State& state, Now now) {
  bool alone = false;
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* known = std::get_if<ZoneRoster>(&entry.record);
        alone = alone || (known != nullptr && is_alone_on(state, *known, now));
      });
  return !alone;
}

void set_server_status(core::State& state, const ServerName& server,
                       ServerStatus status) {
  state.membership.wanted_statuses[server] = status;
  state.membership.roster_due = true;
}

}  // namespace eelgrasspin::core::membership
