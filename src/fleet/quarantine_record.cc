#include "fleet/quarantine_record.h"

#include <algorithm>

#include "fleet/log_event.h"
#include "fleet/peers.h"
#include "fleet/quarantine.h"

namespace eelgrasspin::fleet {
namespace {

/// Strikes of all requests in quarantine, the newest first.
std::vector<Strike> strikes_to_record(const State& state, TimePoint now) {
  std::vector<Strike> strikes;
  for (const auto& [request, servers] : state.strikes) {
    if (!is_quarantined(state, request, now)) continue;
    for (const auto& [server, strike] : servers)
      strikes.push_back({request, server, now - strike.noticed_at});
  }
  std::sort(strikes.begin(), strikes.end(),
            [](const Strike& left, const Strike& right) {
              return left.age < right.age;
            });
  if (strikes.size() > config::kMaxRecordedStrikes)
    strikes.resize(config::kMaxRecordedStrikes);
  return strikes;
}

bool contains(const std::vector<Strike>& strikes, const Strike& wanted) {
  return std::any_of(strikes.begin(), strikes.end(), [&](const Strike& strike) {
    return strike.request == wanted.request && strike.server == wanted.server;
  });
}

void call_again_later(QuarantineRecordState& record, TimePoint now) {
  record.call_open = false;
  record.next_call = now + config::kQuarantineRecordRetryDelay;
}

}  // namespace

void tick_quarantine_record(State& state, TimePoint now, Effects& effects) {
  QuarantineRecordState& record = state.quarantine_record;
  if (!record.outdated || record.call_open || now < record.next_call ||
      store_unreachable_for(state, now) > Duration(0)) {
    return;
  }
  record.call_open = true;
  effects.emplace_back(ReadQuarantineRecord{});
}

void on_quarantine_record(State& state, const QuarantineRecordRead& read,
                          TimePoint now, Effects& effects) {
  on_strikes(state, read.strikes, now);
  QuarantineRecordState& record = state.quarantine_record;
  if (!record.call_open) return;  // Listed at the start.
  if (!read.answered || read.read_in < current_era(state))
    return call_again_later(record, now);
  std::vector<Strike> strikes = strikes_to_record(state, now);
  bool complete = std::all_of(
      strikes.begin(), strikes.end(),
      [&](const Strike& strike) { return contains(read.strikes, strike); });
  record.outdated = false;
  if (complete) return call_again_later(record, now);
  effects.emplace_back(
      WriteQuarantineRecord{std::move(strikes), read.revision});
}

void on_quarantine_record_written(State& state,
                                  const QuarantineRecordWritten& written,
                                  TimePoint now, Effects& effects) {
  QuarantineRecordState& record = state.quarantine_record;
  call_again_later(record, now);
  bool done = written.outcome == WriteOutcome::kWritten;
  if (!done) record.outdated = true;
  log_event(effects, done ? "quarantine_recorded" : "quarantine_not_recorded",
            {{"strikes", text(strikes_to_record(state, now).size())}});
}

}  // namespace eelgrasspin::fleet
