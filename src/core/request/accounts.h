#ifndef EELGRASSPIN_CORE_REQUEST_ACCOUNTS_H_
#define EELGRASSPIN_CORE_REQUEST_ACCOUNTS_H_

#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Counts of callers' requests by outcome, and the retry budgets. Each request
/// is counted by its entry only.
namespace eelgrasspin::core::request {

/// Counts a caller's request as admitted. Does nothing for a forwarded request.
void count_admitted(core::State& state, OpenRequest& request);

/// Counts the end of a caller's request, and keeps a sample unless it was
/// answered.
void count_end(core::State& state, const OpenRequest& request, Outcome outcome,
               Reason reason, Now now);

/// Takes one retry from the service's retry budget; false if none is left.
bool try_spend_retry(core::State& state, const OpenRequest& request);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_ACCOUNTS_H_
