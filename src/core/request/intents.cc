#include "core/request/intents.h"

#include <utility>

#include "core/membership/membership.h"
#include "core/request/entry.h"
#include "core/request/fingerprint.h"
#include "core/request/front_queue.h"
#include "core/request/ledger.h"
#include "core/request/lifecycle.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

IntentKey key_of(const OpenRequest& request) {
  return {request.head.service, request.head.idempotency_key};
}

ZoneName ledger_zone(const core::State& state, const OpenRequest& request) {
  const ServerDeclaration* server =
      server_declaration(state.cache, request.server);
  return server == nullptr ? state.self.zone : server->zone;
}

Intent intent_of(const OpenRequest& request, IntentState intent_state) {
  return {.service = request.head.service,
          .slot = request.slot,
          .idempotency_key = request.head.idempotency_key,
          .fingerprint = content_fingerprint(request),
          .state = intent_state,
          .intent_id = request.intent_id};
}

bool was_submitted(const OpenRequest& request) {
  return request.intent == IntentPhase::kSubmitted ||
         request.intent == IntentPhase::kRecorded;
}

IntentState state_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return IntentState::kAnswered;
    case Outcome::kNotRun:
      return IntentState::kNotRun;
    case Outcome::kUnknown:
      return IntentState::kUnknown;
  }
  return IntentState::kUnknown;
}

void erase_running(core::State& state, const OpenRequest& request) {
  auto& running = state.request.intents.running;
  auto it = running.find(key_of(request));
  if (it != running.end() && it->second == request.id) running.erase(it);
}

void send_call(core::State& state, std::uint64_t id, LedgerCall& call, Now now,
               Effects& effects) {
  call.sent_at = now.mono;
  ++call.attempts;
  PeerMessage message;
  if (call.has_outcomes) {
    message = IntentOutcomes{state.self.name, call.intents, state.self.address,
                             id, call.zone};
  } else {
    message = IntentBatch{state.self.name, state.self.address, id, call.intents,
                          call.zone};
  }
  if (membership::coordinates(state, call.zone, now)) {
    state.request.messages_to_self.push_back(std::move(message));
    return;
  }
  Endpoint writer = membership::coordinator_address(state, call.zone);
  if (writer.empty() || writer == state.self.address) return;
  ++state.counters[Counter::kPeerMessagesSent];
  effects.push_back(SendPeer{writer, std::move(message)});
}

void start_call(core::State& state, LedgerCall call, Now now,
                Effects& effects) {
  std::uint64_t id = new_write_id(state);
  auto it = state.request.intents.calls.emplace(id, std::move(call)).first;
  send_call(state, id, it->second, now, effects);
}

void send_intents(core::State& state, const ZoneName& zone,
                  const std::vector<RequestId>& unsent, Now now,
                  Effects& effects) {
  LedgerCall call{.zone = zone};
  for (RequestId id : unsent) {
    OpenRequest* request = find_open(state, id);
    if (request == nullptr || request->intent != IntentPhase::kPending)
      continue;
    request->intent = IntentPhase::kSubmitted;
    Intent intent = intent_of(*request, IntentState::kIntended);
    intent.recorded = now.wall;
    call.requests.push_back(id);
    call.intents.push_back(std::move(intent));
  }
  if (!call.intents.empty()) start_call(state, std::move(call), now, effects);
}

void send_outcomes(core::State& state, Now now, Effects& effects) {
  for (auto& [zone, ended] : state.request.intents.ended) {
    if (ended.empty()) continue;
    LedgerCall call{.zone = zone, .has_outcomes = true};
    for (EndedIntent& item : std::exchange(ended, {})) {
      call.requests.push_back(item.withdrawn_request);
      call.intents.push_back(std::move(item.intent));
    }
    start_call(state, std::move(call), now, effects);
  }
}

/// The refusal of a repeat, from the recorded intent of the earlier request.
Refusal refusal_of_repeat(const OpenRequest& request, const Intent& earlier) {
  if (earlier.fingerprint != content_fingerprint(request))
    return {.reason = Reason::kIdempotencyKeyInvalid};
  if (earlier.state == IntentState::kAnswered)
    return {.reason = Reason::kRepeatAnswered,
            .earlier_status = earlier.status};
  return {.outcome = Outcome::kUnknown,
          .reason = Reason::kRepeatOutcomeUnknown};
}

void on_verdict(core::State& state, RequestId id, const Intent& submitted,
                const IntentVerdict& verdict, Now now, Effects& effects) {
  OpenRequest* request = find_open(state, id);
  if (request == nullptr || request->intent_id != submitted.intent_id ||
      request->intent != IntentPhase::kSubmitted)
    return;
  if (verdict.recorded) {
    request->intent = IntentPhase::kRecorded;
    if (request->stage == Stage::kQueued)
      process_queue(state, ServerName(request->server), now, effects);
    return;
  }
  if (!verdict.earlier) return;
  erase_running(state, *request);
  request->intent = IntentPhase::kNotNeeded;
  ++state.counters[Counter::kIntentRepeats];
  end_refused(state, *request, refusal_of_repeat(*request, *verdict.earlier),
              now, effects);
}

/// Continues withdrawn requests once the ledger has recorded that they did not
/// run.
void finish_withdrawals(core::State& state, const LedgerCall& call, Now now,
                        Effects& effects) {
  for (RequestId id : call.requests) {
    OpenRequest* request = find_open(state, id);
    if (request == nullptr || request->stage != Stage::kWithdrawing) continue;
    request->intent = IntentPhase::kNotNeeded;
    request->stage = Stage::kHeld;
    ++state.request.held;
    on_not_run(state, *request, {.reason = Reason::kMoved}, now, effects);
  }
}

bool should_give_up(const core::State& state, const LedgerCall& call) {
  if (call.has_outcomes) return call.attempts >= config::kMaxIntentOutcomeSends;
  for (RequestId id : call.requests) {
    auto it = state.request.open.find(id);
    if (it != state.request.open.end() &&
        it->second.intent == IntentPhase::kSubmitted)
      return false;
  }
  return true;
}

void resend_calls(core::State& state, Now now, Effects& effects) {
  auto& calls = state.request.intents.calls;
  for (auto it = calls.begin(); it != calls.end();) {
    LedgerCall& call = it->second;
    bool due = now.mono - call.sent_at >= config::kIntentResendInterval;
    if (due && should_give_up(state, call)) {
      it = calls.erase(it);
      continue;
    }
    if (due) send_call(state, it->first, call, now, effects);
    ++it;
  }
}

}  // namespace

bool enqueue_intent(core::State& state, OpenRequest& request) {
  bool needed = request.execution_class == ExecutionClass::kAtMostOnce &&
                state.guards.record_intent;
  if (!needed) return true;
  auto [it, inserted] =
      state.request.intents.running.try_emplace(key_of(request), request.id);
  if (!inserted) {
    ++state.counters[Counter::kIntentRepeats];
    return false;
  }
  request.intent = IntentPhase::kPending;
  request.intent_id = new_write_id(state);
  state.request.intents.unsent[ledger_zone(state, request)].push_back(
      request.id);
  return true;
}

bool withdraw_intent(core::State& state, OpenRequest& request) {
  erase_running(state, request);
  if (!was_submitted(request)) {
    request.intent = IntentPhase::kNotNeeded;
    return false;
  }
  request.stage = Stage::kWithdrawing;
  state.request.intents.ended[ledger_zone(state, request)].push_back(
      {intent_of(request, IntentState::kNotRun), request.id});
  return true;
}

void end_intent(core::State& state, const OpenRequest& request, Outcome outcome,
                std::uint16_t status) {
  if (request.intent == IntentPhase::kNotNeeded) return;
  erase_running(state, request);
  if (!was_submitted(request)) return;
  Intent intent = intent_of(request, state_of(outcome));
  intent.status = status;
  state.request.intents.ended[ledger_zone(state, request)].push_back(
      {std::move(intent), RequestId(0)});
}

void on_intent_answer(core::State& state, const IntentBatchAnswer& answer,
                      Now now, Effects& effects) {
  auto it = state.request.intents.calls.find(answer.batch);
  if (it == state.request.intents.calls.end()) return;
  if (!it->second.has_outcomes && answer.verdicts.empty()) return;
  LedgerCall call = std::move(it->second);
  state.request.intents.calls.erase(it);
  if (call.has_outcomes) {
    finish_withdrawals(state, call, now, effects);
    return;
  }
  for (std::size_t i = 0;
       i < call.requests.size() && i < answer.verdicts.size(); ++i)
    on_verdict(state, call.requests[i], call.intents[i], answer.verdicts[i],
               now, effects);
}

void flush_intents(core::State& state, Now now, Effects& effects) {
  IntentClient& client = state.request.intents;
  resend_calls(state, now, effects);
  for (auto& [zone, unsent] : client.unsent) {
    TimePoint& last = client.last_batch[zone];
    if (unsent.empty() || now.mono - last < config::kIntentCommitInterval)
      continue;
    last = now.mono;
    send_intents(state, zone, std::exchange(unsent, {}), now, effects);
  }
  send_outcomes(state, now, effects);
}

}  // namespace eelgrasspin::core::request
