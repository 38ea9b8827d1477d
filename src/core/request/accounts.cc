#include "core/request/accounts.h"

#include <algorithm>

#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

constexpr std::uint64_t kRetryCostPercent = 100;

ServiceStats& stats_of(core::State& state, const OpenRequest& request) {
  auto [it, inserted] =
      state.request.service_stats.try_emplace(request.stats_service);
  if (inserted)
    it->second.retry_credit_percent =
        config::kInitialRetryBudget * kRetryCostPercent;
  return it->second;
}

Counter counter_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return Counter::kAnswered;
    case Outcome::kNotRun:
      return Counter::kNotRun;
    case Outcome::kUnknown:
      return Counter::kUnknown;
  }
  return Counter::kUnknown;
}

}  // namespace

void count_admitted(core::State& state, OpenRequest& request) {
  if (!request.from_caller) return;
  ++state.counters[Counter::kRequests];
  bool known =
      find_service(state.request.routing, request.head.service) != nullptr;
  if (known) request.stats_service = request.head.service;
  ServiceStats& stats = stats_of(state, request);
  ++stats.counts.admitted;
  ++stats.counts.in_flight;
  stats.retry_credit_percent = std::min<std::uint64_t>(
      stats.retry_credit_percent + config::kRetryBudgetPercent,
      config::kMaxRetryBudget * kRetryCostPercent);
}

void count_end(core::State& state, const OpenRequest& request, Outcome outcome,
               Reason reason, Now now) {
  if (!request.from_caller) return;
  ++state.counters[counter_of(outcome)];
  ServiceStats& stats = stats_of(state, request);
  --stats.counts.in_flight;
  ++stats.counts.by_reason[static_cast<std::size_t>(outcome)][reason];
  if (outcome == Outcome::kAnswered) return;
  stats.samples.push_back(
      {now.wall, request.operation, request.key, outcome, reason});
  if (stats.samples.size() > config::kMaxRefusalSamples)
    stats.samples.pop_front();
}

bool try_spend_retry(core::State& state, const OpenRequest& request) {
  ServiceStats& stats = stats_of(state, request);
  if (stats.retry_credit_percent < kRetryCostPercent) return false;
  stats.retry_credit_percent -= kRetryCostPercent;
  ++state.counters[Counter::kRetries];
  return true;
}

std::map<ServiceName, DaemonAccount> accounts(const core::State& state,
                                              Now now) {
  std::map<ServiceName, DaemonAccount> all;
  for (const auto& [service, stats] : state.request.service_stats) {
    if (service.empty()) continue;
    DaemonAccount account{
        state.self.name, state.self.incarnation, now.wall, stats.counts, {}};
    account.samples.assign(stats.samples.begin(), stats.samples.end());
    all.emplace(service, std::move(account));
  }
  return all;
}

}  // namespace eelgrasspin::core::request
