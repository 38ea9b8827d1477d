#ifndef EELGRASSPIN_FLEET_PEERS_H_
#define EELGRASSPIN_FLEET_PEERS_H_

#include "fleet/state.h"

/// The other daemons: who is alive, and what they carry.
namespace eelgrasspin::fleet {

void on_daemon(State& state, const DaemonSeen& seen);
void on_heartbeat(State& state, const HeartbeatReceived& received,
                  TimePoint now, Effects& effects);
/// Takes over what a heartbeat says. False if it is older than the last one.
bool accept_heartbeat(State& state, const Heartbeat& heartbeat, TimePoint now,
                      Effects& effects);
/// The next heartbeat of this daemon, as daemons of other regions need it
/// (`far`) or those of its own.
Heartbeat own_heartbeat(State& state, TimePoint now, bool other_region);
void send_heartbeats(State& state, TimePoint now, Effects& effects);
/// Every daemon known, and the seeds.
std::vector<Endpoint> all_receivers(const State& state);
/// Tells everybody at once that this daemon is stopping.
void announce_stop(State& state, TimePoint now, Effects& effects);

/// Heard lately.
bool is_alive(const State& state, const DaemonName& daemon, TimePoint now);
/// Silence after which the daemon is not counted as alive.
Duration daemon_timeout(const State& state, const DaemonName& daemon);
/// For how long the store has failed to answer; 0 while it answers.
Duration store_unreachable_for(const State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_PEERS_H_
