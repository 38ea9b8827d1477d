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

bool holds_lease(const ObservedLease& lease, Now now) {
  return lease.held && !lease.releasing && now.mono < lease.valid_until;
}

/// Latest time at which this daemon sent a message that the store, the
/// coordinator or another roster member is known to have received.
TimePoint latest_confirmation(const core::State& state,
                              const ZoneRoster& zone_roster) {
  TimePoint latest;
  const ObservedLease* lease = observed_lease(state, zone_roster.zone);
  if (lease != nullptr && lease->last_confirmed)
    latest = *lease->last_confirmed;
  for (const RosterMember& member : zone_roster.members) {
    const Peer* peer = find_peer(state, member.daemon);
    if (peer != nullptr && peer->echoed_round_sent)
      latest = std::max(latest, *peer->echoed_round_sent);
  }
  return latest;
}

bool is_isolated_member(const core::State& state, const ZoneRoster& zone_roster,
                        Now now) {
  const RosterMember* own = find_member(zone_roster.members, state.self.name);
  bool obeys_isolated_front_rule = own != nullptr &&
                                   own->incarnation == state.self.incarnation &&
                                   zone_roster.members.size() > 1;
  return obeys_isolated_front_rule &&
         now.mono - latest_confirmation(state, zone_roster) >
             config::kIsolatedFrontTimeout;
}

}  // namespace

void step(core::State& state, const Event& event, Now now, Effects& effects) {
  if (std::holds_alternative<Started>(event) || state.resumed_from_pause)
    state.membership.running_since = now.mono;
  step_store_sync(state, event, now, effects);
  step_fences(state, now);
  step_leases(state, event, now, effects);
  step_liveness(state, event, now, effects);
  step_vm_list(state, event, now, effects);
  step_rosters(state, event, now, effects);
}

std::vector<ZoneName> coordinated_zones(const core::State& state, Now now) {
  std::vector<ZoneName> zones;
  for (const auto& [zone, lease] : state.membership.leases) {
    if (holds_lease(lease, now)) zones.push_back(zone);
  }
  return zones;
}

bool coordinates(const core::State& state, const ZoneName& zone, Now now) {
  const ObservedLease* lease = observed_lease(state, zone);
  return lease != nullptr && holds_lease(*lease, now);
}

TermEpoch coordinator_epoch(const core::State& state, const ZoneName& zone) {
  const ObservedLease* lease = observed_lease(state, zone);
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

void expedite_heartbeat(core::State& state, Now now) {
  TimePoint& next = state.membership.next_heartbeat;
  TimePoint last = next - config::kHeartbeatInterval;
  TimePoint earliest =
      std::max(now.mono, last + config::kUrgentHeartbeatInterval);
  next = std::min(next, earliest);
}

bool is_store_reachable(const core::State& state, Now now) {
  const StoreSync& sync = state.membership.sync;
  return sync.last_answer &&
         now.mono - *sync.last_answer <= config::kStoreUnreachableAfter;
}

bool may_renew_grants(const core::State& state, Now now) {
  bool isolated = false;
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* zone_roster = std::get_if<ZoneRoster>(&entry.record);
        isolated = isolated || (zone_roster != nullptr &&
                                is_isolated_member(state, *zone_roster, now));
      });
  return !isolated;
}

void set_server_status(core::State& state, const ServerName& server,
                       ServerStatus status) {
  state.membership.wanted_statuses[server] = status;
  state.membership.roster_due = true;
}

}  // namespace eelgrasspin::core::membership
