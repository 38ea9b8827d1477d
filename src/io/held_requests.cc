#include "io/held_requests.h"

#include "io/caller_http.h"

namespace eelgrasspin::io {

RequestId HeldRequests::add(HeldRequest request) {
  RequestId id(next_id_++);
  body_bytes_ += request.payload->body.size();
  requests_.emplace(id, std::move(request));
  return id;
}

HeldRequest* HeldRequests::find(RequestId request) {
  auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

std::optional<HeldRequest> HeldRequests::take(RequestId request) {
  auto found = requests_.find(request);
  if (found == requests_.end()) return std::nullopt;
  HeldRequest held = std::move(found->second);
  requests_.erase(found);
  body_bytes_ -= held.payload->body.size();
  return held;
}

void HeldRequests::drop(RequestId request) { take(request); }

void HeldRequests::answer(RequestId request, std::uint16_t status,
                          std::shared_ptr<const Payload> payload) {
  std::optional<HeldRequest> held = take(request);
  if (!held) return;
  if (held->caller)
    held->caller->answer(make_caller_response(status, *payload));
  if (held->forwarded) held->forwarded->answer(status, *payload);
}

void HeldRequests::refuse(RequestId request, Outcome outcome, Reason reason,
                          Duration retry_after, Epoch newer_epoch) {
  std::optional<HeldRequest> held = take(request);
  if (!held) return;
  if (held->caller) {
    held->caller->answer(
        make_caller_response(outcome, reason, retry_after, request));
  }
  if (held->forwarded) {
    held->forwarded->refuse(outcome, reason, retry_after, newer_epoch);
  }
}

}  // namespace eelgrasspin::io
