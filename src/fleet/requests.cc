#include "fleet/requests.h"

#include <algorithm>

#include "fleet/admission.h"
#include "fleet/body_room.h"
#include "fleet/budget.h"
#include "fleet/cold_servers.h"
#include "fleet/displaced_servers.h"
#include "fleet/duration.h"
#include "fleet/learning.h"
#include "fleet/log_event.h"
#include "fleet/quarantine.h"
#include "fleet/requests_p.h"
#include "fleet/server_limits.h"
#include "fleet/server_notices.h"

namespace eelgrasspin::fleet {
namespace {

ServiceName choose_destination(State& state, const Route& route) {
  if (route.destinations.size() == 1) return route.destinations[0].service;
  std::vector<double>& credits = state.splits[route.name].credits;
  credits.resize(route.destinations.size(), 0.0);
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += route.destinations[i].weight;
    total += route.destinations[i].weight;
    if (credits[i] > credits[best]) best = i;
  }
  credits[best] -= total;
  return route.destinations[best].service;
}

/// Time after which a daemon that has no configuration yet may have one.
constexpr Duration kNoConfigurationRetryDelay = milliseconds(500);

/// Refuses a request before it is recorded. `retry_delay` 0: coming back does
/// not help.
void refuse_on_arrival(const RequestReceived& received, int status,
                       Duration retry_delay, std::string_view reason,
                       std::uint64_t version, Effects& effects) {
  effects.emplace_back(AnswerCaller{received.id, status, retry_delay, reason});
  log_event(effects, "request_end",
            {{"id", received.caller_request_id},
             {"status", std::to_string(status)},
             {"reason", std::string(reason)},
             {"not_run", status == kUnavailable ? "not_sent" : "-"},
             {"host", received.host},
             {"path", received.path},
             {"config", text(version)}});
}

/// When a daemon that has been ordered to stop ends its open requests.
TimePoint stop_answer_time(const State& state) {
  return state.stop_ordered_at + state.settings.stop_timeout -
         config::kStopAnswerMargin;
}

}  // namespace

const Route* find_route(const Configuration& configuration,
                        std::string_view host, std::string_view path) {
  const Route* best = nullptr;
  for (const Route& route : configuration.routes) {
    if (route.host != host || !path.starts_with(route.prefix)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) {
      best = &route;
    }
  }
  return best;
}

void on_request(State& state, const RequestReceived& received, TimePoint now,
                Effects& effects) {
  if (!state.configuration) {
    return refuse_on_arrival(received, kUnavailable, kNoConfigurationRetryDelay,
                             "no_configuration", 0, effects);
  }
  std::uint64_t version = state.configuration->version;
  const Route* route =
      find_route(*state.configuration, received.host, received.path);
  if (route == nullptr) {
    return refuse_on_arrival(received, kNotFound, Duration(0), "no_route",
                             version, effects);
  }
  RequestState request;
  request.id = received.id;
  request.caller_request_id = received.caller_request_id;
  request.configuration = state.configuration;
  request.route = route;
  request.service = choose_destination(state, *route);
  auto service = state.configuration->services.find(request.service);
  if (service != state.configuration->services.end() && service->second.keyed) {
    if (!received.key) {
      return refuse_on_arrival(received, kBadRequest, Duration(0), "no_key",
                               version, effects);
    }
    request.key = received.key;
    count_key_request(state, request.service, *received.key, now);
  }
  request.fingerprint = received.fingerprint;
  if (route->upload) request.body_bytes = received.body_bytes;
  double& mean = state.mean_body_bytes[request.service];
  mean = next_mean_bytes(mean, request.body_bytes);
  request.arrived_at = now - received.age;
  if (received.deadline) {
    Duration& longest = state.deadlines[route->name];
    longest = std::max(longest, *received.deadline);
    request.caller = caller_history(*received.deadline, longest);
  }
  request.urgency = urgency_at(*state.configuration, *route, request.service);
  Duration allowed = received.deadline.value_or(config::kDefaultDeadline);
  request.deadline = request.arrived_at + std::min(allowed, route->timeout);
  if (state.stopping && request.deadline > stop_answer_time(state)) {
    // Another daemon can complete it.
    if (!route->repeatable) {
      return refuse_on_arrival(received, kUnavailable, config::kMinRetryAfter,
                               "stopping", version, effects);
    }
    request.deadline = stop_answer_time(state);
  }
  request.not_before = now;
  count_request(state, request.service, now);
  RequestState& stored =
      state.requests.emplace(received.id, std::move(request)).first->second;
  dispatch(state, stored, now, effects);
}

void on_stop_ordered(State& state) {
  for (auto& [id, request] : state.requests)
    request.deadline = std::min(request.deadline, stop_answer_time(state));
}

void on_caller_left(State& state, const CallerLeft& left, TimePoint now,
                    Effects& effects) {
  auto found = state.requests.find(left.id);
  if (found == state.requests.end()) return;
  RequestState& request = found->second;
  if (request.phase == RequestPhase::kSent) {
    effects.emplace_back(CancelAttempt{request.attempt});
    record_interruption(state, request, now, effects);
    end_attempt(state, request);
  }
  log_request_end(request, 0, "caller_left", now, effects);
  state.requests.erase(left.id);
}

void tick_requests(State& state, TimePoint now, Effects& effects) {
  decay_key_loads(state, now);
  expire_strikes(state, now);
  expire_leaving_reports(state, now);
  expire_displaced_reports(state, now);
  expire_unreachable_reports(state, now);
  tick_limits(state, now, effects);
  std::vector<RequestId> due;
  for (const auto& [id, request] : state.requests) {
    if (now >= give_up_time(request)) due.push_back(id);
  }
  for (RequestId id : due) {
    expire(state, state.requests.at(id), now, effects);
  }
  for (auto& [id, request] : state.requests) {
    if (request.phase == RequestPhase::kSent) {
      resend_slow_request(state, request, now, effects);
    }
  }
  retry_waiting(state, now, effects);
}

void retry_waiting(State& state, TimePoint now, Effects& effects) {
  std::vector<const RequestState*> waiting;
  for (const auto& [id, request] : state.requests) {
    if (request.phase == RequestPhase::kWaiting && now >= request.not_before) {
      waiting.push_back(&request);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const RequestState* left, const RequestState* right) {
              return std::pair(left->route->priority, left->deadline) <
                     std::pair(right->route->priority, right->deadline);
            });
  std::vector<RequestId> ids;
  ids.reserve(waiting.size());
  for (const RequestState* request : waiting) ids.push_back(request->id);
  dispatch_waiting(state, ids, now, effects);
}

}  // namespace eelgrasspin::fleet
