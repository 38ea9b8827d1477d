#include "fleet/budget.h"

#include <algorithm>

namespace eelgrasspin::fleet {
namespace {

/// Share of the budget that is used. The rest is a margin: the users' window
/// counts arrivals at the servers, which come later than the sends counted
/// here.
constexpr double kBudgetUseShare = 0.8;
/// Part of that which a process uses in the window after its start: the one
/// before may have used its own share up to kBudgetUseShare within it.
constexpr double kStartUseShare = (1 - kBudgetUseShare) / kBudgetUseShare;

void drop_old(std::deque<TimePoint>& times, TimePoint window_start) {
  while (!times.empty() && times.front() < window_start) times.pop_front();
}

void drop_outdated(BudgetState& budget, TimePoint window_start) {
  drop_old(budget.requests, window_start);
  drop_old(budget.retries, window_start);
  std::erase_if(budget.unconfirmed, [window_start](const auto& retry) {
    return retry.second < window_start;
  });
}

/// Retries for other services that may have arrived at this one.
std::size_t unconfirmed_of_others(State& state, const ServiceName& service,
                                  TimePoint now) {
  std::size_t count = 0;
  for (auto& [other, budget] : state.budgets) {
    if (other == service) continue;
    drop_outdated(budget, now - state.settings.retry_window);
    count += budget.unconfirmed.size();
  }
  return count;
}

/// This daemon's share of the budget, as if it had been up for a window.
double full_share(const State& state, const BudgetState& budget) {
  auto daemons = static_cast<double>(
      std::max<std::size_t>(1, state.fleet.daemon_records.size()));
  return kBudgetUseShare * (state.settings.retry_ratio *
                                static_cast<double>(budget.requests.size()) +
                            state.settings.retry_slack / daemons);
}

/// Whether a retry for another service may be sent that may arrive at this one.
/// A service without requests has room for one.
bool has_room_for_stray(State& state, const ServiceName& service,
                        TimePoint now) {
  std::size_t spent = retry_budget(state, service, now).spent;
  double allowed = full_share(state, state.budgets[service]);
  return static_cast<double>(spent) < std::max(1.0, allowed);
}

}  // namespace

void count_request(State& state, const ServiceName& service, TimePoint now) {
  state.budgets[service].requests.push_back(now);
}

RetryBudget retry_budget(State& state, const ServiceName& service,
                         TimePoint now) {
  BudgetState& budget = state.budgets[service];
  drop_outdated(budget, now - state.settings.retry_window);
  double allowed = full_share(state, budget);
  if (now - state.started < state.settings.retry_window)
    allowed *= kStartUseShare;
  return {budget.retries.size() + unconfirmed_of_others(state, service, now),
          static_cast<std::size_t>(allowed)};
}

bool has_retry_left(State& state, const ServiceName& service, TimePoint now) {
  RetryBudget budget = retry_budget(state, service, now);
  return budget.spent < budget.allowed;
}

bool spend_retry(State& state, const ServiceName& service, AttemptId attempt,
                 bool may_stray, TimePoint now) {
  if (!has_retry_left(state, service, now)) return false;
  // It may arrive at any other service, whose requests do not pay for it.
  if (may_stray) {
    for (const auto& [other, declared] : state.configuration->services) {
      if (other != service && !has_room_for_stray(state, other, now))
        return false;
    }
  }
  BudgetState& budget = state.budgets[service];
  budget.retries.push_back(now);
  if (may_stray) budget.unconfirmed[attempt] = now;
  return true;
}

void record_stray_retry(State& state, const ServiceName& service,
                        AttemptId attempt, TimePoint now) {
  state.budgets[service].unconfirmed.try_emplace(attempt, now);
}

void confirm_retry(State& state, const ServiceName& service,
                   AttemptId attempt) {
  auto budget = state.budgets.find(service);
  if (budget != state.budgets.end()) budget->second.unconfirmed.erase(attempt);
}

}  // namespace eelgrasspin::fleet
