#include <algorithm>

#include "fleet/admission.h"
#include "fleet/duration.h"
#include "fleet/log_event.h"
#include "fleet/quarantine.h"
#include "fleet/registry.h"
#include "fleet/requests_p.h"
#include "fleet/server_limits.h"

namespace eelgrasspin::fleet {
namespace {

/// Requests that the owner may have for this one to be sent there.
std::string owner_room(const std::vector<Candidate>& candidates,
                       const KeyRange* range) {
  for (const Candidate& candidate : candidates) {
    if (range != nullptr && candidate.name == range->owner.name &&
        candidate.queue_places) {
      return std::to_string(usable_slots(candidate) + *candidate.queue_places);
    }
  }
  return "-";
}

/// Logs what was known when no server could take a request.
void log_refusal(const State& state, const RequestState& request,
                 std::string_view reason,
                 const std::vector<Candidate>& candidates, Duration retry_delay,
                 TimePoint now, Effects& effects) {
  auto map = state.maps.find(request.service);
  bool keyed = request.key && map != state.maps.end() && map->second.map;
  const KeyRange* range =
      keyed ? find_range(*map->second.map, *request.key) : nullptr;
  auto owner = range == nullptr ? state.servers.end()
                                : state.servers.find(range->owner.name);
  std::uint32_t least_load = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    least_load =
        i == 0 ? candidates[i].load : std::min(least_load, candidates[i].load);
  }
  log_event(
      effects, "request_refused",
      {{"id", request.caller_request_id},
       {"reason", std::string(reason)},
       {"owner", range == nullptr ? "-" : range->owner.name.str()},
       {"owner_load", owner == state.servers.end()
                          ? "-"
                          : std::to_string(load_at(state, owner->second))},
       {"owner_room", owner_room(candidates, range)},
       {"returning", request.caller.retried ? "yes" : "no"},
       {"retry_after", text(retry_delay)},
       {"arriving",
        range != nullptr && !range->previous_owners.empty() ? "yes" : "no"},
       {"map_revision", keyed ? text(map->second.position) : "-"},
       {"usable_servers", text(candidates.size())},
       {"least_load", std::to_string(least_load)},
       {"store_age", text(now - state.store_answered_at)}});
}

/// What shows that the request has run at no server.
std::string_view not_run_proof(const RequestState& request) {
  // Each send that reached a server was refused, or the request would count as
  // one that may have run.
  if (request.sends > 0) return "server_refusal";
  return request.connect_failures > 0 ? "no_connection" : "not_sent";
}

/// Time until the first of the servers that have denied the request is expected
/// to admit one.
Duration shortest_admission_delay(const State& state,
                                  const RequestState& request, TimePoint now) {
  Duration shortest = Duration::max();
  for (const ServerName& name : request.denied_by) {
    auto server = state.servers.find(name);
    if (server == state.servers.end() || !server->second.limit) continue;
    shortest = std::min(shortest, admission_delay(*server->second.limit, now));
  }
  return shortest;
}

bool is_lack_of_capacity(std::string_view reason) {
  return reason == "servers_full" || reason == "server_refused" ||
         reason == "retry_budget_spent";
}

/// Retry-After of a request for which the servers lacked capacity.
Duration overload_retry_delay(State& state, const RequestState& request,
                              std::vector<Candidate> candidates, TimePoint now,
                              Effects& effects) {
  if (!lacks_capacity(state, request.service, now)) {
    log_event(effects, "capacity_short",
              {{"service", request.service.str()},
               {"route", request.route->name},
               {"priority", std::to_string(request.route->priority)}});
  }
  ServerName owner;
  if (request.key) {
    auto map = state.maps.find(request.service);
    const KeyRange* range = map == state.maps.end() || !map->second.map
                                ? nullptr
                                : find_range(*map->second.map, *request.key);
    if (range != nullptr) owner = range->owner.name;
    std::erase_if(candidates, [&owner](const Candidate& candidate) {
      return candidate.name != owner;
    });
  }
  double refused =
      count_refusal(state.refusal_counts[{request.service, ServerName()}], now);
  if (!owner.empty()) {
    refused =
        count_refusal(state.refusal_counts[{request.service, owner}], now);
  }
  // The callers of the other daemons are as many on average.
  double callers = refused * static_cast<double>(std::max<std::size_t>(
                                 1, state.fleet.daemon_records.size()));
  return retry_delay(
      candidates, {time_left(request, now), request.route->objective,
                   request.caller.elapsed + (now - request.arrived_at), callers,
                   next_spread(state)});
}

/// Time after which the caller of a refused request should try again.
Duration refusal_retry_delay(State& state, const RequestState& request,
                             std::string_view reason,
                             std::vector<Candidate> candidates, TimePoint now,
                             Effects& effects) {
  if (auto end = quarantine_end(state, request.fingerprint); end && now < *end)
    return *end - now;
  Duration left = std::max(Duration(0), time_left(request, now));
  Duration longest = scaled(left, config::kMaxRetryAfterShare);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return denied_by(request, candidate.name);
  });
  bool no_choice = request.key || candidates.empty();
  if (no_choice && !request.denied_by.empty()) {
    Duration delay = shortest_admission_delay(state, request, now);
    return std::min(longest, std::max(delay, config::kMinRetryAfter));
  }
  Duration delay =
      state.settings.admission_control && is_lack_of_capacity(reason)
          ? overload_retry_delay(state, request, candidates, now, effects)
          : retry_after(candidates, left);
  if (auto end = backoff_end(state, request, now); end && no_choice)
    delay = std::min(longest, std::max(delay, *end - now));
  return delay;
}

}  // namespace

void log_request_end(const RequestState& request, int status,
                     std::string_view reason, TimePoint now, Effects& effects) {
  log_event(
      effects, "request_end",
      {{"id", request.caller_request_id},
       {"status", std::to_string(status)},
       {"reason", std::string(reason)},
       {"not_run",
        status == kUnavailable ? std::string(not_run_proof(request)) : "-"},
       {"route", request.route->name},
       {"service", request.service.str()},
       {"key", request.key ? std::to_string(request.key->value) : "-"},
       {"fingerprint",
        reason == "answered" ? "-" : text(request.fingerprint.value)},
       {"server", request.server.empty() ? "-" : request.server.str()},
       {"sends", std::to_string(request.sends)},
       {"load_at_send", std::to_string(request.in_flight_at_send)},
       {"elapsed", text(now - request.arrived_at)},
       {"config", text(request.configuration->version)}});
}

void answer(State& state, RequestState& request, int status,
            Duration retry_delay, std::string_view reason, TimePoint now,
            Effects& effects) {
  effects.emplace_back(AnswerCaller{request.id, status, retry_delay, reason});
  log_request_end(request, status, reason, now, effects);
  state.requests.erase(request.id);
}

void relay(State& state, RequestState& request,
           const std::shared_ptr<const ServerAnswer>& from_server, int status,
           std::string_view reason, TimePoint now, Effects& effects) {
  effects.emplace_back(RelayAnswer{request.id, from_server});
  log_request_end(request, status, reason, now, effects);
  state.requests.erase(request.id);
}

void refuse(State& state, RequestState& request, std::string_view reason,
            TimePoint now, Effects& effects) {
  if (request.failure_answer) {
    return relay(state, request, request.failure_answer, kServerError,
                 "server_failure", now, effects);
  }
  if (request.may_have_run) {
    return answer(state, request, kBadGateway, Duration(0), reason, now,
                  effects);
  }
  std::vector<Candidate> candidates = all_candidates(state, request, now);
  Duration retry_delay =
      refusal_retry_delay(state, request, reason, candidates, now, effects);
  log_refusal(state, request, reason, candidates, retry_delay, now, effects);
  answer(state, request, kUnavailable, retry_delay, reason, now, effects);
}

}  // namespace eelgrasspin::fleet
