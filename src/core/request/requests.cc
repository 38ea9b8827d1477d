#include "core/request/requests.h"

#include <utility>

#include "core/request/entry.h"
#include "core/request/front_queue.h"
#include "core/request/intents.h"
#include "core/request/ledger.h"
#include "core/request/lifecycle.h"
#include "core/request/quarantine.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

void on_attempt_ended(core::State& state, const AttemptEnded& ended, Now now,
                      Effects& effects) {
  OpenRequest* request = find_open(state, ended.id);
  if (request == nullptr || request->attempt != ended.attempt) return;
  if (request->stage == Stage::kAtServer)
    on_server_attempt_ended(state, *request, ended.result, now, effects);
  else if (request->stage == Stage::kAtFront)
    on_front_attempt_ended(state, *request, ended.result, now, effects);
}

void on_cancelled(core::State& state, const RequestCancelled& cancelled,
                  Now now, Effects& effects) {
  OpenRequest* request = find_open(state, cancelled.id);
  if (request != nullptr) end_cancelled(state, *request, now, effects);
}

void on_message(core::State& state, const PeerMessage& message, Now now,
                Effects& effects) {
  if (const auto* batch = std::get_if<IntentBatch>(&message))
    on_intent_batch(state, *batch, now, effects);
  else if (const auto* answer = std::get_if<IntentBatchAnswer>(&message))
    on_intent_answer(state, *answer, now, effects);
  else if (const auto* outcomes = std::get_if<IntentOutcomes>(&message))
    on_intent_outcomes(state, *outcomes, effects);
  else if (const auto* strike = std::get_if<StrikeReport>(&message))
    on_strike_report(state, *strike);
}

/// Handles the messages from this daemon to itself until none are left.
void deliver_to_self(core::State& state, Now now, Effects& effects) {
  while (!state.request.messages_to_self.empty()) {
    std::vector<PeerMessage> messages =
        std::exchange(state.request.messages_to_self, {});
    for (const PeerMessage& message : messages)
      on_message(state, message, now, effects);
  }
}

/// Advances waiting requests after a change of routes, a grant reply or a tick.
void advance_waiting(core::State& state, const Event& event,
                     bool routes_changed, Now now, Effects& effects) {
  bool tick = std::holds_alternative<Tick>(event);
  bool granted = std::holds_alternative<GrantReplied>(event);
  if (tick) expire_abandoned_attempts(state, now);
  if (tick) expire_requests(state, now, effects);
  if (tick || routes_changed)
    dispatch_held(state, routes_changed, now, effects);
  if (tick || routes_changed || granted)
    process_all_queues(state, now, effects);
}

std::string stage_text(Stage stage) {
  switch (stage) {
    case Stage::kHeld:
      return "held";
    case Stage::kQueued:
      return "queued";
    case Stage::kAtServer:
      return "at_server";
    case Stage::kAtFront:
      return "at_front";
    case Stage::kWithdrawing:
      return "withdrawing";
  }
  return "held";
}

}  // namespace

void step(core::State& state, const Event& event, Now now, Effects& effects) {
  refresh_quarantine(state);
  bool routes_changed = refresh_routing(state.request.routing, state.cache);
  if (const auto* arrived = std::get_if<RequestArrived>(&event))
    on_arrived(state, *arrived, now, effects);
  else if (const auto* ended = std::get_if<AttemptEnded>(&event))
    on_attempt_ended(state, *ended, now, effects);
  else if (const auto* cancelled = std::get_if<RequestCancelled>(&event))
    on_cancelled(state, *cancelled, now, effects);
  else if (const auto* message = std::get_if<PeerReceived>(&event))
    on_message(state, message->message, now, effects);
  advance_waiting(state, event, routes_changed, now, effects);
  step_ledgers(state, event, now, effects);
  flush_intents(state, now, effects);
  step_quarantine(state, now, effects);
  deliver_to_self(state, now, effects);
}

std::vector<OpenRequestRow> open_request_list(const core::State& state, Now now,
                                              std::size_t limit) {
  std::vector<OpenRequestRow> rows;
  for (const auto& [id, request] : state.request.open) {
    if (rows.size() == limit) break;
    rows.push_back({request.head.service, request.key, request.operation,
                    request.head.caller, stage_text(request.stage),
                    now.mono - request.arrived, request.server});
  }
  return rows;
}

std::uint64_t open_requests(const core::State& state) {
  return state.request.open.size();
}

}  // namespace eelgrasspin::core::request
