#ifndef EELGRASSPIN_CORE_REQUEST_LEDGER_H_
#define EELGRASSPIN_CORE_REQUEST_LEDGER_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// The ledger writer of a zone, run by the zone's coordinator: commits the
/// intents of all fronts of the zone to segments in the store, and detects
/// repeats.
namespace eelgrasspin::core::request {

/// Accepts a front's batch of intents. It is answered once all its verdicts are
/// known; a batch for a zone that this daemon does not coordinate is ignored.
void on_intent_batch(core::State& state, const IntentBatch& batch, Now now,
                     Effects& effects);
/// Applies the outcomes of intents. Answers only if all the intents are known,
/// so that the front sends them again otherwise.
void on_intent_outcomes(core::State& state, const IntentOutcomes& outcomes,
                        Effects& effects);

/// Advances the ledgers of all coordinated zones: loads, commits and deletes
/// expired segments.
void step_ledgers(core::State& state, const Event& event, Now now,
                  Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LEDGER_H_
