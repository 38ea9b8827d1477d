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

/// Zones this daemon coordinates now: its lease is confirmed and not lapsed.
/// Usually none or its own.
std::vector<ZoneName> coordinated_zones(const core::State& state, Now now);
bool coordinates(const core::State& state, const ZoneName& zone, Now now);
/// Fencing token of this daemon's coordinator role; 0 if it has none.
TermEpoch coordinator_epoch(const core::State& state, const ZoneName& zone);

/// Where to send messages for a zone's coordinator; empty if none is known.
Endpoint coordinator_address(const core::State& state, const ZoneName& zone);

/// Latest report of each front of a coordinated zone, at the front epoch now
/// assigned.
const std::map<ServerName, FrontReport>& front_reports(
    const core::State& state);

/// Latest accounts of a coordinated zone's daemons, with when each was heard.
struct ReceivedAccounts {
  TimePoint received;
  Incarnation incarnation;
  Version cache_revision;  ///< Store revision up to which the daemon knows
                           ///< everything.
  std::map<ServiceName, DaemonAccount> accounts;
};
const std::map<DaemonName, ReceivedAccounts>& received_accounts(
    const core::State& state);

/// Brings the next heartbeat forward to the next tick: the reports in it have
/// news that a coordinator waits for. At most one round is brought forward for
/// each config::kUrgentHeartbeatInterval.
void report_soon(core::State& state, Now now);

/// Whether the store has answered lately.
bool reaches_store(const core::State& state, Now now);
/// False once this front hears neither the store nor any other daemon of its
/// roster for config::kIsolatedFrontTimeout.
bool may_renew_grants(const core::State& state, Now now);
/// Marks a server's status on its zone's roster. Only for the zone's
/// coordinator; repeats are harmless.
void set_server_status(core::State& state, const ServerName& server,
                       ServerStatus status);

/// Whether a fence command under way has had its effect: no roster names a run
/// that it vouches to be dead.
bool fence_applied(const core::State& state, const FenceCommand& command);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_MEMBERSHIP_H_
