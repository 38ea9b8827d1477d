#ifndef EELGRASSPIN_CORE_REQUEST_QUARANTINE_H_
#define EELGRASSPIN_CORE_REQUEST_QUARANTINE_H_

#include "core/effect.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Quarantine of requests that crash backend servers: strikes are shared
/// through the zones' quarantine lists. A request with
/// config::kQuarantineStrikes strikes is refused until config::kQuarantineTime
/// has passed or an operator releases it.
namespace eelgrasspin::core::request {

bool is_quarantined(const core::State& state, std::uint64_t fingerprint,
                    Now now);

/// Updates a request's strikes after an attempt at a server: a lost
/// connection adds one, an answer clears them.
void update_strikes(core::State& state, const OpenRequest& request,
                    const AttemptResult& result, Now now);

/// Accepts a strike report as coordinator; repeats of it are ignored.
void on_strike_report(core::State& state, const StrikeReport& report);

/// Reloads the quarantine lists from the cache if they have changed.
void refresh_quarantine(core::State& state);

/// Sends strike reports, and writes the lists of coordinated zones.
void step_quarantine(core::State& state, Now now, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_QUARANTINE_H_
