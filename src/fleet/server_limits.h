#ifndef EELGRASSPIN_FLEET_SERVER_LIMITS_H_
#define EELGRASSPIN_FLEET_SERVER_LIMITS_H_

#include "fleet/state.h"

/// Request rates that backend servers accept from all daemons together, as they
/// state in their answers. The daemons tell each other their demand for such a
/// server; each admits the share of its own demand by which the limit falls
/// short of the demand of all. This needs no division of the limit among
/// daemons, whose demand differs and is often below one request per second.
namespace eelgrasspin::fleet {

/// Applies what the answer to an attempt sent at `sent_at` says of a limit. A
/// complete answer without one withdraws an earlier statement.
void on_limit_notice(State& state, const ServerIncarnation& server,
                     const AttemptEnded& ended, TimePoint sent_at,
                     TimePoint now, Effects& effects);
/// Adopts limits of which other daemons have newer statements.
void on_limit_reports(State& state, const std::vector<LimitReport>& reports,
                      TimePoint now, Effects& effects);
/// Counts a request for which the server is selected. True if it may be sent
/// there.
bool admit_request(State& state, const ServerName& server, TimePoint now);
/// Time until this daemon is expected to admit the next request for the server.
Duration admission_delay(const ServerLimit& limit, TimePoint now);
/// Drops limits that are stated no longer, and updates the admitted shares.
void tick_limits(State& state, TimePoint now, Effects& effects);

/// Limits and demand of this daemon, for heartbeats to its zone.
std::vector<LimitReport> own_limit_reports(const State& state, TimePoint now);
/// Limits and demand of all daemons of the zone, for other zones.
std::vector<LimitReport> zone_limit_reports(const State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_SERVER_LIMITS_H_
