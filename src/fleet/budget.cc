#include "fleet/budget.h"

#include <algorithm>

namespace eelgrasspin::fleet {
namespace {

/// Share of the budget that is used. The rest is a margin: the users' window
/// counts arrivals at the servers, which come later than the sends counted
/// here.
constexpr double kBudgetUseShare = 0.8;

void drop_old(std::deque<TimePoint>& times, TimePoint window_start) {
  while (!times.empty() && times.front() < window_start) times.pop_front();
}

}  // namespace

void count_request(State& state, const ServiceName& service, TimePoint now) {
  state.budgets[service].requests.push_back(now);
}

RetryBudget retry_budget(State& state, const ServiceName& service,
                         TimePoint now) {
  BudgetState& budget = state.budgets[service];
  TimePoint window_start = now - state.settings.retry_window;
  drop_old(budget.requests, window_start);
  drop_old(budget.retries, window_start);
  auto daemons = static_cast<double>(
      std::max<std::size_t>(1, state.fleet.daemon_records.size()));
  double allowed =
      kBudgetUseShare * (state.settings.retry_ratio *
                             static_cast<double>(budget.requests.size()) +
                         state.settings.retry_slack / daemons);
  return {budget.retries.size(), static_cast<std::size_t>(allowed)};
}

bool spend_retry(State& state, const ServiceName& service, TimePoint now) {
  RetryBudget budget = retry_budget(state, service, now);
  if (budget.spent >= budget.allowed) return false;
  state.budgets[service].retries.push_back(now);
  return true;
}

}  // namespace eelgrasspin::fleet
