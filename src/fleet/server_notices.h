#ifndef EELGRASSPIN_FLEET_SERVER_NOTICES_H_
#define EELGRASSPIN_FLEET_SERVER_NOTICES_H_

#include "fleet/state.h"

/// What backend servers say about themselves in their answers: that they are
/// leaving, or that this daemon shall send them nothing for a time.
namespace eelgrasspin::fleet {

/// Applies what an answer of this incarnation said. Ignored if the server has
/// started again since.
void on_server_notice(State& state, const ServerIncarnation& server,
                      const ServerNotice& notice, TimePoint now,
                      Effects& effects);
/// Applies what other daemons have heard from leaving servers.
void on_leaving_reports(State& state,
                        const std::vector<ServerIncarnation>& servers,
                        TimePoint now, Effects& effects);
/// Servers of which this daemon has learned within the last
/// kLeavingReportTime that they are leaving.
std::vector<ServerIncarnation> recent_leaving_reports(const State& state,
                                                      TimePoint now);
void expire_leaving_reports(State& state, TimePoint now);

/// Whether requests may be sent to the server now: no connection to it has just
/// failed, and it has not asked this daemon for quiet.
bool accepts_requests(const ServerState& server, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_SERVER_NOTICES_H_
