#ifndef EELGRASSPIN_FLEET_QUARANTINE_H_
#define EELGRASSPIN_FLEET_QUARANTINE_H_

#include "fleet/state.h"

/// Quarantine of requests that crash servers. Evidence is an attempt that ended
/// without an answer and a crash of its server, noticed in either order. A
/// request that was running at two servers when they crashed is refused by all
/// daemons.
namespace eelgrasspin::fleet {

/// Records that the current attempt has ended without an answer: its connection
/// broke or its time was over, or this daemon cancelled it. A strike if the
/// server is known to have crashed.
void record_interruption(State& state, const RequestState& request,
                         TimePoint now, Effects& effects);
/// The server has answered an attempt that was sent at `sent_at`, so it had not
/// crashed by then.
void on_server_alive(State& state, const ServerIncarnation& server,
                     TimePoint sent_at);
/// The server's process has ended: each request that was interrupted there
/// gets a strike, now or when its attempt ends.
void on_server_crash(State& state, const ServerIncarnation& server,
                     TimePoint now, Effects& effects);
/// Records the strikes that another daemon has sent.
void on_strikes(State& state, const std::vector<Strike>& strikes,
                TimePoint now);
/// Strikes to send to the other daemons now.
std::vector<Strike> announced_strikes(const State& state, TimePoint now);
/// When the quarantine of a request ends; empty if it is in none.
std::optional<TimePoint> quarantine_end(const State& state,
                                        Fingerprint request);
bool is_quarantined(const State& state, Fingerprint request, TimePoint now);
/// Drops what is too old to count.
void expire_strikes(State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_QUARANTINE_H_
