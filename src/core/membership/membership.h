#ifndef EELGRASSPIN_CORE_MEMBERSHIP_MEMBERSHIP_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

namespace eelgrasspin::core::membership {

void step(core::State& state, const Event& event, Now now, Effects& effects);

/// Zones that this daemon coordinates now: its lease is confirmed and has not
/// expired. Usually none or its own zone.
std::vector<ZoneName> coordinated_zones(const core::State& state, Now now);
bool coordinates(const core::State& state, const ZoneName& zone, Now now);
/// Fencing token of this daemon's coordinator lease; 0 if it holds none.
TermEpoch coordinator_epoch(const core::State& state, const ZoneName& zone);

/// Address for messages to a zone's coordinator; empty if none is known.
Endpoint coordinator_address(const core::State& state, const ZoneName& zone);

/// Latest report of each front in the coordinated zones, at the currently
/// assigned front epoch.
const std::map<ServerName, FrontReport>& front_reports(
    const core::State& state);

/// Latest accounts of a daemon in a coordinated zone, with the time of receipt.
struct ReceivedAccounts {
  TimePoint received;
  Incarnation incarnation;
  Version cache_revision;  ///< Store revision up to which the daemon's cache
                           ///< was complete.
  std::map<ServiceName, DaemonAccount> accounts;
};
const std::map<DaemonName, ReceivedAccounts>& received_accounts(
    const core::State& state);

/// Sends the next heartbeat at the next tick, because its reports contain a
/// change that a coordinator waits for. Two rounds are at least
/// config::kUrgentHeartbeatInterval apart.
void expedite_heartbeat(core::State& state, Now now);

/// Whether the store has answered this daemon or its coordinator recently.
bool is_store_reachable(const core::State& state, Now now);
/// The isolated-front rule: false once this daemon, as one of several members
/// of a roster, has had no confirmation for config::kIsolatedFrontTimeout that
/// the store, the coordinator or another member received its messages.
bool may_renew_grants(const core::State& state, Now now);
/// Requests a server status on its zone's roster. Only for the zone's
/// coordinator; idempotent.
void set_server_status(core::State& state, const ServerName& server,
                       ServerStatus status);

/// Whether an active fence command has been applied: no roster names an
/// instance that it declares dead any more.
bool fence_applied(const core::State& state, const FenceCommand& command);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_MEMBERSHIP_H_
