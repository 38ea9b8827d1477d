#ifndef EELGRASSPIN_FLEET_BUDGET_H_
#define EELGRASSPIN_FLEET_BUDGET_H_

#include "fleet/state.h"

/// The retry budget of a service, which all daemons share. Each daemon has a
/// fixed share of it, so that no retry needs a message, and less of it in the
/// window after its start.
namespace eelgrasspin::fleet {

void count_request(State& state, const ServiceName& service, TimePoint now);

/// Retries of this daemon within Settings::retry_window that count for the
/// service, and how many may.
struct RetryBudget {
  std::size_t spent = 0;
  std::size_t allowed = 0;
};
RetryBudget retry_budget(State& state, const ServiceName& service,
                         TimePoint now);
bool has_retry_left(State& state, const ServiceName& service, TimePoint now);
/// Takes one retry from the budget for the attempt that is sent next; false if
/// none is left. `may_stray`: another server may have the address, so that the
/// attempt counts for all services until confirm_retry().
bool spend_retry(State& state, const ServiceName& service, AttemptId attempt,
                 bool may_stray, TimePoint now);
/// Takes note that the attempt has reached its own server, or none.
void confirm_retry(State& state, const ServiceName& service, AttemptId attempt);
/// Takes note that the attempt has reached another server.
void record_stray_retry(State& state, const ServiceName& service,
                        AttemptId attempt, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_BUDGET_H_
