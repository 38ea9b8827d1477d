#ifndef EELGRASSPIN_FLEET_BUDGET_H_
#define EELGRASSPIN_FLEET_BUDGET_H_

#include "fleet/state.h"

/// The retry budget of a service, which all daemons share. Each daemon has a
/// fixed share of it, so that no retry needs a message.
namespace eelgrasspin::fleet {

void count_request(State& state, const ServiceName& service, TimePoint now);
/// Takes one retry from the budget; false if none is left.
bool spend_retry(State& state, const ServiceName& service, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_BUDGET_H_
