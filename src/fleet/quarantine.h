#ifndef EELGRASSPIN_FLEET_QUARANTINE_H_
#define EELGRASSPIN_FLEET_QUARANTINE_H_

#include "fleet/state.h"

/// Quarantine of requests that crash servers. A request that was running at two
/// servers when they crashed is refused by all daemons.
namespace eelgrasspin::fleet {

/// Records that the request's connection to the server broke before the answer.
void record_interruption(State& state, Fingerprint request,
                         const ServerIncarnation& server, TimePoint now);
/// The server's process has ended: each request whose connection to it broke
/// shortly before gets a strike.
void on_server_crash(State& state, const ServerIncarnation& server,
                     TimePoint now, Effects& effects);
/// Records the strikes that another daemon has sent.
void on_strikes(State& state, const std::vector<Strike>& strikes,
                TimePoint now);
/// Strikes to send to the other daemons.
std::vector<Strike> recent_strikes(const State& state, TimePoint now);
bool is_quarantined(const State& state, Fingerprint request, TimePoint now);
/// Drops strikes and interrupted requests that are too old to count.
void expire_strikes(State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_QUARANTINE_H_
