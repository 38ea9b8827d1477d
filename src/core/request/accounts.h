#ifndef EELGRASSPIN_CORE_REQUEST_ACCOUNTS_H_
#define EELGRASSPIN_CORE_REQUEST_ACCOUNTS_H_

#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Counts of callers' requests by outcome, kept at their entry only.
namespace eelgrasspin::core::request {

/// Counts a caller's request as admitted. Forwarded ones are counted by their
/// entry.
void count_admitted(core::State& state, OpenRequest& request);

void count_end(core::State& state, const OpenRequest& request, Outcome outcome,
               Reason reason, Now now);

/// Takes one retry out of the service's budget, if there is one.
bool take_retry(core::State& state, const OpenRequest& request);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_ACCOUNTS_H_
