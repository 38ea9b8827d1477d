#ifndef EELGRASSPIN_CORE_REQUEST_INTENTS_H_
#define EELGRASSPIN_CORE_REQUEST_INTENTS_H_

#include "core/effect.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// A front's side of the ledger of at-most-once operations: a request is sent
/// to its server only after the ledger has confirmed its intent; its outcome is
/// recorded afterwards.
namespace eelgrasspin::core::request {

/// Adds the intent of a queued request to the next batch, if its execution
/// class needs one. False if another request with its idempotency key is open
/// at this front.
bool enqueue_intent(core::State& state, OpenRequest& request);

/// Withdraws the intent of a request that leaves its queue unsent. True if the
/// request must wait until the ledger has recorded that it did not run.
bool withdraw_intent(core::State& state, OpenRequest& request);

/// Adds the outcome of a request's intent, if it has one, to the next outcome
/// message.
void end_intent(core::State& state, const OpenRequest& request, Outcome outcome,
                std::uint16_t status);

/// Handles a ledger writer's answer to a batch of intents or outcomes.
void on_intent_answer(core::State& state, const IntentBatchAnswer& answer,
                      Now now, Effects& effects);

/// Sends due intents and outcomes to the ledger writers, and resends unanswered
/// ones.
void flush_intents(core::State& state, Now now, Effects& effects);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_INTENTS_H_
