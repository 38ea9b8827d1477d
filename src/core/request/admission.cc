#include "core/request/admission.h"

#include <algorithm>
#include <utility>

#include "core/operator/operators.h"
#include "core/ownership/ownership.h"
#include "core/request/accounts.h"
#include "core/request/fingerprint.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

bool is_printable(char c) {
  auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte < 0x7f;
}

bool is_valid_idempotency_key(const std::string& key) {
  return key.size() <= config::kMaxIdempotencyKeyBytes &&
         std::all_of(key.begin(), key.end(), is_printable);
}

bool is_deadline_out_of_range(const OpenRequest& request) {
  const std::optional<Duration>& left = request.head.time_left;
  return request.from_caller && left &&
         (*left <= Duration(0) || *left > config::kMaxDeadline);
}

Duration time_allowed(const OpenRequest& request, const ServiceRoutes* routes) {
  Duration declared = routes == nullptr ? config::kDefaultDeadline
                                        : routes->declaration.deadline;
  return std::clamp(request.head.time_left.value_or(declared), Duration(0),
                    config::kMaxDeadline);
}

void resolve_operation(OpenRequest& request, const ServiceRoutes& routes) {
  auto match = match_operation(routes.operations, request.head.method,
                               request.head.path);
  if (!match) return;
  request.operation = match->operation->name;
  request.execution_class = match->operation->execution_class;
  request.key = std::move(match->key);
  request.slot = ownership::slot_of(request.key, routes.declaration.key_slots);
  request.fingerprint = crash_fingerprint(request);
}

std::optional<Reason> check_idempotency_key(const OpenRequest& request) {
  const std::string& key = request.head.idempotency_key;
  if (!is_valid_idempotency_key(key)) return Reason::kIdempotencyKeyInvalid;
  bool needed = request.execution_class == ExecutionClass::kAtMostOnce;
  if (needed && key.empty()) return Reason::kIdempotencyKeyMissing;
  return std::nullopt;
}

}  // namespace

OpenRequest& open_request(core::State& state, const RequestArrived& arrived,
                          Now now) {
  OpenRequest& request = state.request.open[arrived.id];
  request.id = arrived.id;
  request.head = arrived.head;
  request.arrived = now.mono;
  if (const auto* from = std::get_if<ForwardedFrom>(&arrived.origin)) {
    request.from_caller = false;
    request.target_server = from->server;
    ++state.counters[Counter::kRequestsForwardedIn];
  }
  ++state.request.held;
  const ServiceRoutes* routes =
      find_service(state.request.routing, request.head.service);
  request.deadline = now.mono + time_allowed(request, routes);
  if (routes != nullptr) resolve_operation(request, *routes);
  count_admitted(state, request);
  return request;
}

std::optional<Refusal> check_admission(const core::State& state,
                                       const OpenRequest& request, Now now) {
  if (!state.request.routing.declarations_known)
    return Refusal{.reason = Reason::kNoOwner,
                   .retry_after = config::kShedRetryAfter};
  if (find_service(state.request.routing, request.head.service) == nullptr)
    return Refusal{.reason = Reason::kUnknownService};
  if (request.operation.empty())
    return Refusal{.reason = Reason::kUnknownOperation};
  if (request.head.hops > config::kMaxHops)
    return Refusal{.reason = Reason::kHopLimit};
  if (is_deadline_out_of_range(request))
    return Refusal{.reason = Reason::kBadRequest};
  if (request.head.body_bytes > config::kMaxBodyBytes)
    return Refusal{.reason = Reason::kBodyTooLarge};
  if (std::optional<Reason> reason = check_idempotency_key(request))
    return Refusal{.reason = *reason};
  if (request.from_caller &&
      operators::admission_stopped(state, request.head.service))
    return Refusal{.reason = Reason::kServiceClosed};
  if (now.mono >= request.deadline)
    return Refusal{.reason = Reason::kDeadlinePassed};
  return std::nullopt;
}

}  // namespace eelgrasspin::core::request
