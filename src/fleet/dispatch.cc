#include <algorithm>

#include "fleet/admission.h"
#include "fleet/body_room.h"
#include "fleet/budget.h"
#include "fleet/cold_servers.h"
#include "fleet/config.h"
#include "fleet/displaced_servers.h"
#include "fleet/duration.h"
#include "fleet/learning.h"
#include "fleet/log_event.h"
#include "fleet/quarantine.h"
#include "fleet/regions.h"
#include "fleet/registry.h"
#include "fleet/requests_p.h"
#include "fleet/server_limits.h"
#include "fleet/server_notices.h"

namespace eelgrasspin::fleet {
namespace {

/// Time that an answer takes to reach its caller.
constexpr Duration kAnswerDeliveryTime = milliseconds(20);

enum class Unavailable : std::uint8_t {
  kNoServer,
  kNoOwner,
  kFull,
  kBackoff,
  kLimit,
  kOwnerRegion,
  kCold,
  kLink
};

std::string_view reason_of(Unavailable why) {
  switch (why) {
    case Unavailable::kNoServer:
      return "no_server";
    case Unavailable::kNoOwner:
      return "no_owner";
    case Unavailable::kFull:
      return "servers_full";
    case Unavailable::kBackoff:
      return "servers_in_backoff";
    case Unavailable::kLimit:
      return "server_limits";
    case Unavailable::kOwnerRegion:
      return "owner_region";
    case Unavailable::kCold:
      return "servers_cold";
    case Unavailable::kLink:
      return "link_full";
  }
  return "unknown";
}

/// Longest time for which a request waits for a server with room.
Duration longest_wait(const RequestState& request) {
  return scaled(request.route->objective, config::kMaxWaitObjectiveShare);
}

/// Whether the server can hold the body of an upload beside those that it has.
bool takes_body(const State& state, const ServerState& server,
                const RequestState& request, std::uint32_t load) {
  if (!request.route->upload) return true;
  auto mean = state.mean_body_bytes.find(request.service);
  return has_body_room(
      {server.body_bytes, load - std::min(load, server.in_flight),
       mean == state.mean_body_bytes.end() ? 0 : mean->second,
       server.server.slots},
      request.body_bytes);
}

/// The server as a candidate for the request, with the room that it finds
/// there. Without room for its body, the queue counts as full.
Candidate candidate_for(const State& state, const ServerState& server,
                        const RequestState& request, TimePoint now) {
  Candidate candidate = candidate_of(state, server, now);
  bool has_body_space = takes_body(state, server, request, candidate.load);
  if (state.settings.admission_control) {
    set_queue_places(candidate, admission_request(state, request, now),
                     server.in_flight);
  } else if (request.caller.retried) {
    candidate.load -=
        std::min(candidate.load, config::kRetryingCallerExtraQueue);
  }
  if (!has_body_space) {
    std::uint32_t places =
        candidate.queue_places.value_or(config::kMaxServerQueue);
    candidate.load = std::max(candidate.load, usable_slots(candidate) + places);
  }
  return candidate;
}

std::variant<ServerName, Unavailable> owner_of(const State& state,
                                               const RequestState& request,
                                               TimePoint now) {
  auto map = state.maps.find(request.service);
  if (map == state.maps.end() || !map->second.map) return Unavailable::kNoOwner;
  const KeyRange* range = find_range(*map->second.map, *request.key);
  if (range == nullptr || !range->previous_owners.empty() ||
      !is_current(state, range->owner)) {
    return Unavailable::kNoOwner;
  }
  if (denied_by(request, range->owner.name)) return Unavailable::kLimit;
  const ServerState& server = state.servers.at(range->owner.name);
  if (!is_allowed(state.settings, *request.route, server.server.zone))
    return Unavailable::kOwnerRegion;
  if (!may_send_if_cold(state, server, now)) return Unavailable::kCold;
  if (now < server.backoff_until) return Unavailable::kBackoff;
  if (now < server.blocked_until) return Unavailable::kNoOwner;
  Candidate owner = candidate_for(state, server, request, now);
  if (!has_room(owner, request.route->objective)) return Unavailable::kFull;
  return range->owner.name;
}

/// Whether the server may be sent requests of the route.
bool is_usable(const State& state, const Route& route,
               const ServerState& server, TimePoint now) {
  return accepts_work(server) && accepts_requests(server, now) &&
         is_allowed(state.settings, route, server.server.zone);
}

/// What a search for a server has found so far.
struct Search {
  std::vector<Candidate> candidates;
  bool usable = false;  ///< A server may be sent requests.
  bool cold = false;    ///< One could, but waits for its turn.
};

/// Adds the servers at one distance that the request has not been sent to yet.
void add_candidates(const State& state, const RequestState& request,
                    const std::vector<const ServerState*>& servers,
                    TimePoint now, Search& search) {
  for (const ServerState* server : servers) {
    if (!is_usable(state, *request.route, *server, now)) continue;
    search.usable = true;
    if (std::find(request.tried_servers.begin(), request.tried_servers.end(),
                  server->server.name) != request.tried_servers.end() ||
        denied_by(request, server->server.name)) {
      continue;
    }
    if (!may_send_if_cold(state, *server, now)) {
      search.cold = true;
      continue;
    }
    search.candidates.push_back(candidate_for(state, *server, request, now));
  }
}

std::variant<ServerName, Unavailable> any_server(State& state,
                                                 const RequestState& request,
                                                 TimePoint now) {
  auto listed = state.by_distance.find(request.service);
  if (listed == state.by_distance.end()) return Unavailable::kNoServer;
  Duration objective = request.route->objective;
  ++state.tie_breaker;
  Search search;
  const std::vector<Candidate>& candidates = search.candidates;
  // Servers further away are looked at only if no near one has a free slot, so
  // that the usual cost does not grow with the service.
  for (Distance distance :
       {Distance::kSameZone, Distance::kSameRegion, Distance::kOtherRegion}) {
    const auto& servers = listed->second.at(static_cast<std::size_t>(distance));
    add_candidates(state, request, servers, now, search);
    if (distance == Distance::kOtherRegion) break;
    auto near =
        choose_nearby(candidates, distance, objective, state.tie_breaker);
    if (near) return candidates[*near].name;
  }
  if (candidates.empty()) {
    if (!request.denied_by.empty()) return Unavailable::kLimit;
    if (search.cold) return Unavailable::kCold;
    return !search.usable && backoff_end(state, request, now)
               ? Unavailable::kBackoff
               : Unavailable::kNoServer;
  }
  auto chosen = choose(candidates, objective, state.tie_breaker);
  if (!chosen) return Unavailable::kFull;
  return candidates[*chosen].name;
}

/// The server to send the request to. Servers whose limit leaves no room for it
/// are passed over.
std::variant<ServerName, Unavailable> choose_server(State& state,
                                                    RequestState& request,
                                                    TimePoint now) {
  if (request.route->upload &&
      !has_link_room(state.upload_bytes, request.body_bytes,
                     request.route->objective)) {
    return Unavailable::kLink;
  }
  for (;;) {
    auto target = request.key ? owner_of(state, request, now)
                              : any_server(state, request, now);
    const auto* name = std::get_if<ServerName>(&target);
    if (name == nullptr || admit_request(state, *name, now)) return target;
    request.denied_by.push_back(*name);
  }
}

/// Takes a retry for a send to the server, which has to follow; false if none
/// is left.
bool spend_retry_at(State& state, const RequestState& request,
                    const ServerName& name, TimePoint now) {
  bool may_stray = may_be_displaced(state, state.servers.at(name), now);
  return spend_retry(state, request.service, AttemptId(state.next_attempt),
                     may_stray, now);
}

void send(State& state, RequestState& request, const ServerName& name,
          TimePoint now, Effects& effects) {
  ServerState& server = state.servers.at(name);
  const Endpoint& address = server.server.address;
  std::vector<Endpoint>& tried = request.tried_addresses;
  bool sent_before =
      std::find(tried.begin(), tried.end(), address) != tried.end();
  if (!sent_before) tried.push_back(address);
  Candidate candidate = candidate_of(state, server, now);
  request.phase = RequestPhase::kSent;
  request.attempt = AttemptId(state.next_attempt++);
  request.server = name;
  request.server_incarnation = server.server.incarnation;
  request.sent_at = now;
  request.in_flight_at_send = candidate.load;
  request.expected_time = expected_finish(candidate);
  ++request.sends;
  if (!request.key) request.tried_servers.push_back(name);
  ++server.in_flight;
  record_send_to_cold(state, server, now);
  server.body_bytes += request.body_bytes;
  state.upload_bytes += request.body_bytes;
  state.fleet.load_changed = true;
  state.attempts[request.attempt] = request.id;
  effects.emplace_back(SendAttempt{request.attempt, request.id, name, address,
                                   time_left(request, now),
                                   give_up_time(request) - now + kTimeoutGrace,
                                   request.route->repeatable, sent_before});
  if (request.sends > 1) {
    RetryBudget budget = retry_budget(state, request.service, now);
    log_event(effects, "request_resent",
              {{"id", request.caller_request_id},
               {"fingerprint", text(request.fingerprint.value)},
               {"server", name.str()},
               {"service", request.service.str()},
               {"sends", std::to_string(request.sends)},
               {"left", text(time_left(request, now))},
               {"retries_spent", text(budget.spent)},
               {"retries_allowed", text(budget.allowed)}});
  }
}

/// Time without an answer after which the request is sent again. Designed for
/// requests whose run time varies widely: cancelling an attempt loses its work,
/// so it may run for as long as still leaves time for a second attempt before
/// the deadline.
Duration response_timeout(const RequestState& request) {
  if (request.key)
    return scaled(request.expected_time, config::kOwnerResponseTimeoutFactor);
  Duration resend_time =
      scaled(request.expected_time, config::kResendTimeFactor);
  Duration latest_resend = request.deadline - request.sent_at - resend_time;
  return std::max(
      scaled(request.expected_time, config::kMinResponseTimeoutFactor),
      std::min(scaled(request.expected_time, config::kResponseTimeoutFactor),
               latest_resend));
}

}  // namespace

std::vector<Candidate> all_candidates(const State& state,
                                      const RequestState& request,
                                      TimePoint now) {
  std::vector<Candidate> candidates;
  auto found = state.by_service.find(request.service);
  if (found == state.by_service.end()) return candidates;
  for (const ServerName& name : found->second) {
    const ServerState& server = state.servers.at(name);
    if (!is_usable(state, *request.route, server, now)) continue;
    candidates.push_back(candidate_of(state, server, now));
    if (state.settings.admission_control) {
      set_queue_places(candidates.back(),
                       admission_request(state, request, now),
                       server.in_flight);
    }
  }
  return candidates;
}

std::optional<TimePoint> backoff_end(const State& state,
                                     const RequestState& request,
                                     TimePoint now) {
  std::optional<TimePoint> earliest;
  auto add = [&](const ServerState& server) {
    if (!accepts_work(server) || now >= server.backoff_until ||
        !is_allowed(state.settings, *request.route, server.server.zone)) {
      return;
    }
    earliest =
        std::min(earliest.value_or(server.backoff_until), server.backoff_until);
  };
  if (request.key) {
    auto map = state.maps.find(request.service);
    if (map == state.maps.end() || !map->second.map) return std::nullopt;
    const KeyRange* range = find_range(*map->second.map, *request.key);
    if (range != nullptr && is_current(state, range->owner))
      add(state.servers.at(range->owner.name));
    return earliest;
  }
  auto listed = state.by_service.find(request.service);
  if (listed == state.by_service.end()) return std::nullopt;
  for (const ServerName& name : listed->second) add(state.servers.at(name));
  return earliest;
}

TimePoint give_up_time(const RequestState& request) {
  TimePoint timeout = request.arrived_at + request.route->timeout;
  if (request.deadline < timeout) return request.deadline - kAnswerDeliveryTime;
  return timeout + kTimeoutGrace;
}

void dispatch(State& state, RequestState& request, TimePoint now,
              Effects& effects) {
  if (now >= give_up_time(request)) {
    request.phase = RequestPhase::kWaiting;
    return expire(state, request, now, effects);
  }
  if (is_quarantined(state, request.fingerprint, now)) {
    return refuse(state, request, "quarantined", now, effects);
  }
  auto target = choose_server(state, request, now);
  if (const auto* name = std::get_if<ServerName>(&target)) {
    if (request.sends > 0 && !spend_retry_at(state, request, *name, now)) {
      return refuse(state, request, "retry_budget_spent", now, effects);
    }
    return send(state, request, *name, now, effects);
  }
  request.phase = RequestPhase::kWaiting;
  Unavailable why = std::get<Unavailable>(target);
  // Waiting does not help if nothing is about to change.
  bool waiting_is_futile = why == Unavailable::kNoServer ||
                           why == Unavailable::kLimit ||
                           why == Unavailable::kOwnerRegion ||
                           (request.key && why == Unavailable::kFull);
  if (why == Unavailable::kBackoff) {
    auto end = backoff_end(state, request, now);
    waiting_is_futile =
        end && *end > request.arrived_at + longest_wait(request);
  }
  if (waiting_is_futile || now - request.arrived_at >= longest_wait(request)) {
    refuse(state, request, reason_of(why), now, effects);
  }
}

void dispatch_waiting(State& state, const std::vector<RequestId>& ids,
                      TimePoint now, Effects& effects) {
  // Longest objective for which no server of a service had room.
  std::map<ServiceName, Duration> full;
  for (RequestId id : ids) {
    auto found = state.requests.find(id);
    if (found == state.requests.end()) continue;
    RequestState& request = found->second;
    bool first_choice = !request.key && !request.route->upload &&
                        request.tried_servers.empty() &&
                        !request.caller.retried;
    auto known = full.find(request.service);
    if (first_choice && known != full.end() &&
        request.route->objective <= known->second) {
      if (now - request.arrived_at >= longest_wait(request))
        refuse(state, request, reason_of(Unavailable::kFull), now, effects);
      continue;
    }
    ServiceName service = request.service;
    Duration objective = request.route->objective;
    dispatch(state, request, now, effects);
    found = state.requests.find(id);
    // Less urgent requests have no more room; a deadline before the objective
    // leaves less room than others have.
    if (first_choice && found != state.requests.end() &&
        found->second.phase == RequestPhase::kWaiting &&
        time_left(found->second, now) >= objective) {
      full[service] = std::max(full[service], objective);
    }
  }
}

void resend_slow_request(State& state, RequestState& request, TimePoint now,
                         Effects& effects) {
  bool due = request.route->repeatable &&
             request.sends < request.route->attempts &&
             now - request.sent_at > response_timeout(request) &&
             time_left(request, now) > request.expected_time;
  if (!due || !has_retry_left(state, request.service, now)) return;
  auto target = choose_server(state, request, now);
  const auto* name = std::get_if<ServerName>(&target);
  if (name == nullptr || !spend_retry_at(state, request, *name, now)) return;
  effects.emplace_back(CancelAttempt{request.attempt});
  auto server = state.servers.find(request.server);
  if (server != state.servers.end()) record_outcome(server->second, false, now);
  record_interruption(state, request, now, effects);
  end_attempt(state, request);
  request.may_have_run = true;
  send(state, request, *name, now, effects);
}

}  // namespace eelgrasspin::fleet
