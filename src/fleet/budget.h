#ifndef EELGRASSPIN_FLEET_BUDGET_H_
#define EELGRASSPIN_FLEET_BUDGET_H_

#include "fleet/state.h"

/// The retry budget of a service, which all daemons share. Each daemon has a
/// fixed share of it, so that no retry needs a message.
namespace eelgrasspin::fleet {

void count_request(State& state, const ServiceName& service, TimePoint now);
/// Retries of this daemon for the service within Settings::retry_window, and
/// how many it may have spent.
struct RetryBudget {
  std::size_t spent = 0;
  std::size_t allowed = 0;
};
RetryBudget retry_budget(State& state, const ServiceName& service,
                         TimePoint now);
/// Takes one retry from the budget; false if none is left.
bool spend_retry(State& state, const ServiceName& service, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_BUDGET_H_
