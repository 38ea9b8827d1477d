#ifndef EELGRASSPIN_FLEET_COLD_SERVERS_H_
#define EELGRASSPIN_FLEET_COLD_SERVERS_H_

#include "fleet/state.h"

/// Servers that have just started. Until they are warm, they take a low rate of
/// requests from all daemons together, and crash well above it. The rate holds
/// for daemons that do not receive each other's messages as well, so it is not
/// divided by reported demand as the limits that servers state are. Instead,
/// the time in which a server is cold is divided into turns of one request
/// each, and the turns among the daemons by an order that each of them works
/// out from the names.
namespace eelgrasspin::fleet {

/// Whether the server takes only Service::cold_rate now.
bool is_cold(const State& state, const ServerState& server, TimePoint now);
/// Whether this daemon may send the server a request: it is warm, or it is this
/// daemon's turn.
bool may_send_if_cold(const State& state, const ServerState& server,
                      TimePoint now);
/// Records that a request is sent to the server.
void record_send_to_cold(const State& state, ServerState& server,
                         TimePoint now);

/// Applies what the registry states. `restarted`: this incarnation is new.
void record_warm_up(const State& state, ServerState& server, bool restarted,
                    TimePoint now);
/// Takes the server for cold for as long as servers are after their start.
void presume_cold(const State& state, ServerState& server, TimePoint now);
/// Records that a connection was refused: the server may have started again by
/// the time that the next one is accepted.
void on_connection_refused(State& state, const ServerIncarnation& server,
                           TimePoint now);
/// Applies the same reports of other daemons.
void on_unreachable_reports(State& state,
                            const std::vector<ServerIncarnation>& servers,
                            TimePoint now);
/// Servers that have refused a connection of this daemon within the last
/// kRestartReportTime.
std::vector<ServerIncarnation> recent_unreachable_reports(const State& state,
                                                          TimePoint now);
void expire_unreachable_reports(State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_COLD_SERVERS_H_
