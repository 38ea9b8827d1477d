#ifndef EELGRASSPIN_FLEET_BUDGET_H_
#define EELGRASSPIN_FLEET_BUDGET_H_

#include "fleet/state.h"

/// The budget of repeated sends that all daemons share. Each spends its own
/// share of it, so that none has to ask another.
namespace eelgrasspin::fleet {

void count_request(State& state, const ServiceName& service, TimePoint now);
/// Takes one repeated send from the budget; false if none is left.
bool spend_retry(State& state, const ServiceName& service, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_BUDGET_H_
