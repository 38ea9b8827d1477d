#ifndef EELGRASSPIN_FLEET_QUARANTINE_H_
#define EELGRASSPIN_FLEET_QUARANTINE_H_

#include "fleet/state.h"

/// Requests that crash the servers that run them. A request that was at two
/// servers when they crashed is sent to no other one by any daemon.
namespace eelgrasspin::fleet {

/// The request's connection to this server broke while it was being served.
void record_interruption(State& state, Fingerprint request,
                         const ServerIncarnation& server, TimePoint now);
/// The server's process has ended: requests that were at it shortly before get
/// a strike.
void on_server_crash(State& state, const ServerIncarnation& server,
                     TimePoint now, Effects& effects);
/// Strikes that another daemon has seen.
void on_strikes(State& state, const std::vector<Strike>& strikes,
                TimePoint now);
/// Strikes to tell the other daemons of.
std::vector<Strike> recent_strikes(const State& state, TimePoint now);
bool is_quarantined(const State& state, Fingerprint request, TimePoint now);
/// Forgets what is too old to count.
void expire_strikes(State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_QUARANTINE_H_
