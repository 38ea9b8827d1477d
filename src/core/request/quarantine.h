#ifndef EELGRASSPIN_CORE_REQUEST_QUARANTINE_H_
#define EELGRASSPIN_CORE_REQUEST_QUARANTINE_H_

#include "core/effect.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Requests that crash the backend servers that run them: strikes are shared
/// through the zones' quarantine lists; at config::kQuarantineStrikes a request
/// is refused until its time has passed or an operator releases it.
namespace eelgrasspin::core::request {

bool is_quarantined(const core::State& state, std::uint64_t fingerprint,
                    Now now);

/// Takes the end of an attempt at a server: a connection that died is a strike,
/// an answer clears the suspicion.
void note_suspect(core::State& state, const OpenRequest& request,
                  const AttemptResult& result, Now now);

void on_strike_report(core::State& state, const StrikeReport& report);

/// Takes over changed quarantine lists from the cache.
void refresh_quarantine(core::State& state);

/// Sends reports, and writes the lists of coordinated zones.
void step_quarantine(core::State& state, Now now, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_QUARANTINE_H_
