#ifndef EELGRASSPIN_FLEET_SERVER_NOTICES_H_
#define EELGRASSPIN_FLEET_SERVER_NOTICES_H_

#include "fleet/state.h"

/// What the answers of backend servers say about the servers: that one is
/// leaving, or after which time it accepts requests of this daemon again.
namespace eelgrasspin::fleet {

/// Applies what an answer of this incarnation said. Ignored if the server has
/// started again since.
void on_server_notice(State& state, const ServerIncarnation& server,
                      const ServerNotice& notice, TimePoint now,
                      Effects& effects);
/// Marks servers that have told other daemons that they are leaving.
void on_leaving_reports(State& state,
                        const std::vector<ServerIncarnation>& servers,
                        TimePoint now, Effects& effects);
/// Servers of which this daemon has learned within the last
/// kLeavingReportTime that they are leaving.
std::vector<ServerIncarnation> recent_leaving_reports(const State& state,
                                                      TimePoint now);
void expire_leaving_reports(State& state, TimePoint now);

/// Whether requests may be sent to the server now: no connection to it has just
/// failed, and the time of its Retry-After is over.
bool accepts_requests(const ServerState& server, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_SERVER_NOTICES_H_
