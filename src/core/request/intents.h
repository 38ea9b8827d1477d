#ifndef EELGRASSPIN_CORE_REQUEST_INTENTS_H_
#define EELGRASSPIN_CORE_REQUEST_INTENTS_H_

#include "core/effect.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// A front's side of the ledger of at-most-once operations: nothing is sent
/// before its intent is confirmed, and how it ended is recorded afterwards.
namespace eelgrasspin::core::request {

/// Asks for the intent of a request that was queued, if its class needs one.
/// False if another request with its idempotency key runs here.
bool want_intent(core::State& state, OpenRequest& request);

/// Takes back the intent of a request that leaves its queue unsent. True if the
/// request has to wait until the ledger knows that it did not run.
bool withdraw_intent(core::State& state, OpenRequest& request);

/// Notes how a request with an intent ended, for the ledger.
void end_intent(core::State& state, const OpenRequest& request, Outcome outcome,
                std::uint16_t status);

void on_intent_answer(core::State& state, const IntentBatchAnswer& answer,
                      Now now, Effects& effects);

/// Sends what is due to the ledger writers.
void flush_intents(core::State& state, Now now, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_INTENTS_H_
