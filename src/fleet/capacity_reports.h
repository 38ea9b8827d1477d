#ifndef EELGRASSPIN_FLEET_CAPACITY_REPORTS_H_
#define EELGRASSPIN_FLEET_CAPACITY_REPORTS_H_

#include <vector>

#include "fleet/state.h"

/// Exchange of what daemons learn about the concurrency of servers: answers go
/// to the coordinator of the service with the key load reports, and the
/// coordinator tells all daemons which servers it has limited.
namespace eelgrasspin::fleet {

/// The services whose answers the coordinator of `service` collects: that one,
/// and for the first coordinated service also those that are not keyed.
std::vector<ServiceName> collected_with(const State& state,
                                        const ServiceName& service);
/// Adds the answers that have not been reported yet to a report.
void add_unsent_answers(State& state, Heartbeat::KeyLoadReport& report);
/// The servers of the service whose concurrency is below their slots.
Heartbeat::KeyLoadReport limited_servers_report(const State& state,
                                                const ServiceName& service,
                                                TimePoint now);
/// Adopts the answers or the limits that another daemon has reported.
void on_capacity_reports(State& state, const DaemonName& from,
                         const std::vector<Heartbeat::KeyLoadReport>& reports,
                         TimePoint now, Effects& effects);
/// Logs the concurrency of the server if what this daemon has learned has
/// changed it.
void log_concurrency(ServerState& server, TimePoint now, Effects& effects);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_CAPACITY_REPORTS_H_
