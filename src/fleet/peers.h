#ifndef EELGRASSPIN_FLEET_PEERS_H_
#define EELGRASSPIN_FLEET_PEERS_H_

#include "fleet/state.h"

/// Heartbeats between daemons: which daemons are alive, and their load.
namespace eelgrasspin::fleet {

void on_daemon(State& state, const DaemonSeen& seen);
void on_heartbeat(State& state, const HeartbeatReceived& received,
                  TimePoint now, Effects& effects);
/// Applies a heartbeat. False if it is older than the last one of that daemon.
bool accept_heartbeat(State& state, const Heartbeat& heartbeat, TimePoint now,
                      Effects& effects);
/// The next heartbeat of this daemon, for daemons of other regions or of its
/// own.
Heartbeat own_heartbeat(State& state, TimePoint now, bool other_region);
/// Minimum time between two heartbeats to the own zone while the load changes.
/// It grows with the zone, so that the rate of heartbeats that a daemon
/// receives does not.
Duration load_change_interval(std::size_t zone_daemons);
void send_heartbeats(State& state, TimePoint now, Effects& effects);
/// Addresses of all known daemons and of the seeds, without this daemon.
std::vector<Endpoint> all_receivers(const State& state);
/// Notifies all daemons that this one is stopping.
void announce_stop(State& state, TimePoint now, Effects& effects);

/// Whether the last heartbeat of the daemon is within its timeout.
bool is_alive(const State& state, const DaemonName& daemon, TimePoint now);
/// Time without a heartbeat after which the daemon is not considered alive.
Duration daemon_timeout(const State& state, const DaemonName& daemon);
/// Whether other daemons are known that may have taken over a role, and none of
/// them has been heard for this time.
bool hears_no_daemon(const State& state, Duration duration, TimePoint now);
/// Time since the last answer of the store if the last call to it failed,
/// else 0.
Duration store_unreachable_for(const State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_PEERS_H_
