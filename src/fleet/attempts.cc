#include <algorithm>

#include "fleet/budget.h"
#include "fleet/capacity_reports.h"
#include "fleet/cold_servers.h"
#include "fleet/displaced_servers.h"
#include "fleet/learning.h"
#include "fleet/log_event.h"
#include "fleet/quarantine.h"
#include "fleet/registry.h"
#include "fleet/requests.h"
#include "fleet/requests_p.h"
#include "fleet/server_limits.h"
#include "fleet/server_notices.h"

namespace eelgrasspin::fleet {
namespace {

/// Whether the status itself promises that the request has not run.
bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Whether a refusal shows that another server has the address now.
bool is_of_other_server(const RequestState& request,
                        const AttemptEnded& ended) {
  bool refused = ended.result == AttemptResult::kNotRun ||
                 ended.result == AttemptResult::kWrongOwner;
  return refused && !ended.answered_by.empty() &&
         ended.answered_by != request.server;
}

/// Whether the server that the attempt was for has answered. A server that is
/// not the one named in a request refuses it with its own name; other refusals
/// name none.
bool is_of_its_server(const RequestState& request, const AttemptEnded& ended) {
  return ended.result == AttemptResult::kAnswered ||
         (ended.result == AttemptResult::kNotRun &&
          ended.answered_by.empty()) ||
         ended.answered_by == request.server;
}

/// Whether the attempt has reached the server that it was for, or none.
bool reached_no_other_server(const RequestState& request,
                             const AttemptEnded& ended) {
  return ended.result == AttemptResult::kNotSent ||
         is_of_its_server(request, ended);
}

void record_alive(State& state, const RequestState& request) {
  auto found = state.servers.find(request.server);
  if (found == state.servers.end() ||
      found->second.server.incarnation != request.server_incarnation) {
    return;
  }
  TimePoint& alive_at = found->second.alive_at;
  alive_at = std::max(alive_at, request.sent_at);
}

/// Records what the end of an attempt shows of how much the server takes.
void record_capacity(State& state, const RequestState& request,
                     const AttemptEnded& ended, TimePoint now,
                     Effects& effects) {
  auto found = state.servers.find(request.server);
  if (found == state.servers.end() ||
      found->second.server.incarnation != request.server_incarnation) {
    return;
  }
  ServerState& server = found->second;
  std::uint32_t slots = server.server.slots;
  if (ended.notice.load) {
    record_statement(server.capacity, *ended.notice.load, server.in_flight,
                     slots, now);
  }
  if (ended.result == AttemptResult::kAnswered && ended.status < kServerError) {
    record_answer(server.capacity, now - request.sent_at,
                  request.in_flight_at_send + 1, slots, now);
  }
  // A rejection for another reason does not show that the server is full. Where
  // daemons may choose among servers, they reject because all chose the same
  // one; limits then move the crowd to the next server.
  if (request.key && ended.result == AttemptResult::kNotRun &&
      !ended.notice.leaving && !ended.notice.request_limit &&
      accepts_work(server) && !is_cold(state, server, now)) {
    record_rejection(server.capacity, slots, now);
  }
  log_concurrency(server, now, effects);
}

/// Applies what the answer says of the server that the request was for.
void record_statements(State& state, const RequestState& request,
                       const AttemptEnded& ended, TimePoint now,
                       Effects& effects) {
  on_server_notice(state, server_of(request), ended.notice, now, effects);
  on_limit_notice(state, server_of(request), ended, request.sent_at, now,
                  effects);
  record_capacity(state, request, ended, now, effects);
  if (ended.result == AttemptResult::kAnswered ||
      ended.result == AttemptResult::kNotRun) {
    on_server_alive(state, server_of(request), request.sent_at);
  }
}

/// Sends the request again if it has attempts left, else refuses it.
void try_again(State& state, RequestState& request, std::string_view reason,
               TimePoint now, Effects& effects) {
  bool sends_left = request.sends < request.route->attempts;
  if (!sends_left || request.connect_failures >= config::kMaxConnectAttempts) {
    return refuse(state, request, reason, now, effects);
  }
  request.phase = RequestPhase::kWaiting;
  if (now >= request.not_before) dispatch(state, request, now, effects);
}

void on_answered(State& state, RequestState& request, const AttemptEnded& ended,
                 TimePoint now, Effects& effects) {
  bool failed = ended.status >= kServerError;
  auto server = state.servers.find(request.server);
  if (server != state.servers.end()) {
    record_outcome(server->second, !failed, now);
    if (!failed) {
      record_latency(state, server->second, now - request.sent_at,
                     request.in_flight_at_send, now);
    }
  }
  if (promises_not_run(ended.status)) {
    // The server has not stated that it did not run the request, and the status
    // alone does not prove it.
    request.may_have_run = true;
    if (request.route->repeatable) {
      return try_again(state, request, "unproven_refusal", now, effects);
    }
    return answer(state, request, kBadGateway, Duration(0), "unproven_refusal",
                  now, effects);
  }
  if (failed && request.route->repeatable &&
      request.sends < request.route->attempts &&
      time_left(request, now) > request.expected_time) {
    request.may_have_run = true;
    request.failure_answer = ended.answer;
    return try_again(state, request, "server_failure", now, effects);
  }
  relay(state, request, ended.answer, ended.status, "answered", now, effects);
}

void on_not_run(State& state, RequestState& request, const AttemptEnded& ended,
                TimePoint now, Effects& effects) {
  auto server = state.servers.find(request.server);
  if (server != state.servers.end()) {
    record_outcome(server->second, false, now);
    if (ended.result == AttemptResult::kWrongOwner && !request.key)
      server->second.blocked_until = now + seconds(1);
  }
  if (request.key) request.not_before = now + config::kOwnerRetryDelay;
  std::string_view reason = "server_refused";
  if (ended.result == AttemptResult::kWrongOwner) reason = "wrong_owner";
  if (is_of_other_server(request, ended)) reason = "other_server";
  try_again(state, request, reason, now, effects);
}

void on_not_sent(State& state, RequestState& request, const AttemptEnded& ended,
                 TimePoint now, Effects& effects) {
  auto server = state.servers.find(request.server);
  if (ended.connections_exhausted) {
    request.not_before = now + config::kOwnerRetryDelay;
  } else if (server != state.servers.end()) {
    record_outcome(server->second, false, now);
    server->second.blocked_until = now + config::kConnectBackoff;
  }
  if (ended.no_listener) {
    on_server_crash(state, server_of(request), now, effects);
    on_connection_refused(state, server_of(request), now);
  }
  --request.sends;  // Nothing reached the server.
  ++request.connect_failures;
  try_again(state, request, "no_connection", now, effects);
}

void on_lost(State& state, RequestState& request, const AttemptEnded& ended,
             TimePoint now, Effects& effects) {
  auto server = state.servers.find(request.server);
  if (server != state.servers.end()) record_outcome(server->second, false, now);
  record_interruption(state, request, now, effects);
  request.may_have_run = true;
  bool timed_out = ended.result == AttemptResult::kTimedOut;
  std::string_view reason = timed_out ? "no_answer" : "connection_lost";
  if (request.route->repeatable) {
    return try_again(state, request, reason, now, effects);
  }
  answer(state, request, timed_out ? kGatewayTimeout : kBadGateway, Duration(0),
         reason, now, effects);
}

}  // namespace

void end_attempt(State& state, RequestState& request) {
  auto server = state.servers.find(request.server);
  if (server != state.servers.end() && server->second.in_flight > 0) {
    --server->second.in_flight;
    server->second.body_bytes -=
        std::min(server->second.body_bytes, request.body_bytes);
  }
  state.upload_bytes -= std::min(state.upload_bytes, request.body_bytes);
  state.attempts.erase(request.attempt);
  state.fleet.load_changed = true;
}

void expire(State& state, RequestState& request, TimePoint now,
            Effects& effects) {
  if (request.phase == RequestPhase::kSent) {
    effects.emplace_back(CancelAttempt{request.attempt});
    auto server = state.servers.find(request.server);
    if (server != state.servers.end()) {
      record_outcome(server->second, false, now);
    }
    record_interruption(state, request, now, effects);
    end_attempt(state, request);
    return answer(state, request, kGatewayTimeout, Duration(0), "deadline", now,
                  effects);
  }
  refuse(state, request, "deadline", now, effects);
}

void on_attempt_ended(State& state, const AttemptEnded& ended, TimePoint now,
                      Effects& effects) {
  auto attempt = state.attempts.find(ended.id);
  if (attempt == state.attempts.end()) return;
  auto found = state.requests.find(attempt->second);
  if (found == state.requests.end()) return;
  RequestState& request = found->second;
  end_attempt(state, request);
  if (is_of_other_server(request, ended)) {
    on_displaced(state, server_of(request), now, effects);
    if (request.sends > 1)
      record_stray_retry(state, request.service, ended.id, now);
  } else {
    if (reached_no_other_server(request, ended))
      confirm_retry(state, request.service, ended.id);
    if (is_of_its_server(request, ended)) record_alive(state, request);
    record_statements(state, request, ended, now, effects);
  }
  if (ended.skipped_responses > 0) {
    log_event(effects, "responses_skipped",
              {{"id", request.caller_request_id},
               {"server", request.server.str()},
               {"count", std::to_string(ended.skipped_responses)}});
  }
  if (ended.result != AttemptResult::kAnswered) {
    log_event(effects, "attempt_failed",
              {{"id", request.caller_request_id},
               {"fingerprint", text(request.fingerprint.value)},
               {"server", request.server.str()},
               {"incarnation", text(request.server_incarnation.value)},
               {"status", std::to_string(ended.status)},
               {"answered_by",
                ended.answered_by.empty() ? "-" : ended.answered_by.str()},
               {"why", ended.why},
               {"after", text(now - request.sent_at)},
               {"connection", ended.reused_connection ? "reused" : "new"},
               {"load_at_send", std::to_string(request.in_flight_at_send)}});
  }
  switch (ended.result) {
    case AttemptResult::kAnswered:
      on_answered(state, request, ended, now, effects);
      break;
    case AttemptResult::kNotRun:
    case AttemptResult::kWrongOwner:
      on_not_run(state, request, ended, now, effects);
      break;
    case AttemptResult::kNotSent:
      on_not_sent(state, request, ended, now, effects);
      break;
    case AttemptResult::kAnswerLost:
    case AttemptResult::kTimedOut:
      on_lost(state, request, ended, now, effects);
      break;
  }
  retry_waiting(state, now, effects);
}

}  // namespace eelgrasspin::fleet
