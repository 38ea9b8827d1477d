#ifndef EELGRASSPIN_FLEET_DISPLACED_SERVERS_H_
#define EELGRASSPIN_FLEET_DISPLACED_SERVERS_H_

#include "fleet/state.h"

/// Servers that have ended and whose address another server has, possibly of
/// another service. The registry lists them for a while, and for as long as its
/// store is out of reach. They are sent nothing until their entry shows another
/// incarnation or address.
namespace eelgrasspin::fleet {

/// Records an answer that shows that the address of this incarnation belongs to
/// another server.
void on_displaced(State& state, const ServerIncarnation& server, TimePoint now,
                  Effects& effects);
/// Applies what another daemon has reported.
void on_displaced_reports(State& state,
                          const std::vector<ServerIncarnation>& servers,
                          TimePoint now, Effects& effects);
/// Servers of which this daemon has learned within the last
/// kDisplacedReportTime, kMaxDisplacedReports of them at most.
std::vector<ServerIncarnation> recent_displaced_reports(const State& state,
                                                        TimePoint now);
void expire_displaced_reports(State& state, TimePoint now);

/// Whether another server may have the address although nothing has shown it
/// yet: the registry may be outdated, and this daemon has not heard from the
/// server since its address could be given to another one.
bool may_be_displaced(const State& state, const ServerState& server,
                      TimePoint now);

/// Marks the listed servers whose address another one has that started later.
void mark_taken_addresses(State& state);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_DISPLACED_SERVERS_H_
