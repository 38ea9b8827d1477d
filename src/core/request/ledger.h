#ifndef EELGRASSPIN_CORE_REQUEST_LEDGER_H_
#define EELGRASSPIN_CORE_REQUEST_LEDGER_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// The ledger writer of a zone, held by its coordinator: commits the intents of
/// all fronts of the zone in segments, and judges repeats.
namespace eelgrasspin::core::request {

void on_intent_batch(core::State& state, const IntentBatch& batch, Now now,
                     Effects& effects);
void on_intent_outcomes(core::State& state, const IntentOutcomes& outcomes,
                        Effects& effects);

/// Takes the next steps of the ledgers of all coordinated zones: loads, commits
/// and expires.
void step_ledgers(core::State& state, const Event& event, Now now,
                  Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LEDGER_H_
