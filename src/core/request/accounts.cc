#include "core/request/accounts.h"

#include <algorithm>

#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

constexpr std::uint64_t kRetryCost = 100;

ServiceBook& book_of(core::State& state, const OpenRequest& request) {
  auto [it, inserted] = state.request.books.try_emplace(request.book);
  if (inserted)
    it->second.retry_credit = config::kInitialRetryBudget * kRetryCost;
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
  if (known) request.book = request.head.service;
  ServiceBook& book = book_of(state, request);
  ++book.counts.admitted;
  ++book.counts.in_flight;
  book.retry_credit =
      std::min<std::uint64_t>(book.retry_credit + config::kRetryBudgetPercent,
                              config::kMaxRetryBudget * kRetryCost);
}

void count_end(core::State& state, const OpenRequest& request, Outcome outcome,
               Reason reason, Now now) {
  if (!request.from_caller) return;
  ++state.counters[counter_of(outcome)];
  ServiceBook& book = book_of(state, request);
  --book.counts.in_flight;
  ++book.counts.by_reason[static_cast<std::size_t>(outcome)][reason];
  if (outcome == Outcome::kAnswered) return;
  book.samples.push_back(
      {now.wall, request.operation, request.key, outcome, reason});
  if (book.samples.size() > config::kMaxRefusalSamples)
    book.samples.pop_front();
}

bool take_retry(core::State& state, const OpenRequest& request) {
  ServiceBook& book = book_of(state, request);
  if (book.retry_credit < kRetryCost) return false;
  book.retry_credit -= kRetryCost;
  ++state.counters[Counter::kRetries];
  return true;
}

std::map<ServiceName, DaemonAccount> accounts(const core::State& state,
                                              Now now) {
  std::map<ServiceName, DaemonAccount> all;
  for (const auto& [service, book] : state.request.books) {
    if (service.empty()) continue;
    DaemonAccount account{
        state.self.name, state.self.incarnation, now.wall, book.counts, {}};
    account.samples.assign(book.samples.begin(), book.samples.end());
    all.emplace(service, std::move(account));
  }
  return all;
}

}  // namespace eelgrasspin::core::request
