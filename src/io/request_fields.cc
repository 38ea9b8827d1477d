#include "io/request_fields.h"

#include <algorithm>
#include <string_view>

namespace eelgrasspin::io {
namespace {

constexpr std::string_view kOwnPrefix = "eelgrasspin-";

/// Header fields of the caller or backend server: without pseudo-header fields
/// and this project's own fields.
HeaderFields payload_headers(HeaderFields headers) {
  std::erase_if(headers, [](const auto& field) {
    return field.first.starts_with(':') || field.first.starts_with(kOwnPrefix);
  });
  return headers;
}

std::string text_field(const H2Message& message, std::string_view name) {
  const std::string* text = find_header(message.headers, name);
  return text == nullptr ? std::string() : *text;
}

std::uint64_t number_field(const H2Message& message, std::string_view name) {
  return number_header(message.headers, name).value_or(0);
}

std::shared_ptr<const Payload> take_payload(H2Message message) {
  auto payload = std::make_shared<Payload>();
  payload->headers = payload_headers(std::move(message.headers));
  payload->body = std::move(message.body);
  return payload;
}

AttemptReply unreadable_reply() {
  return {AttemptUnknown{Reason::kTruncatedAnswer, false}, nullptr};
}

}  // namespace

std::optional<Reason> parse_reason(std::string_view text) {
  for (std::size_t i = 0; i < static_cast<std::size_t>(Reason::kCount); ++i) {
    auto reason = static_cast<Reason>(i);
    if (to_string(reason) == text) return reason;
  }
  return std::nullopt;
}

std::optional<Outcome> parse_outcome(std::string_view text) {
  for (Outcome outcome :
       {Outcome::kAnswered, Outcome::kNotRun, Outcome::kUnknown}) {
    if (to_string(outcome) == text) return outcome;
  }
  return std::nullopt;
}

H2Message encode_request(const OutboundRequest& request,
                         const DaemonName& from) {
  H2Message message;
  auto add = [&](const char* name, std::string value) {
    message.headers.emplace_back(name, std::move(value));
  };
  add(":method", "POST");
  add(":scheme", "http");
  add(":path", "/request");
  add("eelgrasspin-daemon", from.str());
  add("eelgrasspin-service", request.head.service.str());
  add("eelgrasspin-method", request.head.method);
  add("eelgrasspin-path", request.head.path);
  add("eelgrasspin-caller", request.head.caller.str());
  add("eelgrasspin-idempotency-key", request.head.idempotency_key);
  add("eelgrasspin-time-left-us", std::to_string(request.time_left.count()));
  add("eelgrasspin-body-hash", std::to_string(request.head.body_hash));
  add("eelgrasspin-hops", std::to_string(request.head.hops));
  add("eelgrasspin-server", request.server.str());
  add("eelgrasspin-slot", std::to_string(request.slot.value));
  add("eelgrasspin-epoch", std::to_string(request.epoch.value));
  if (request.payload) {
    for (const auto& [name, value] : request.payload->headers) {
      message.headers.emplace_back(name, value);
    }
    message.body = request.payload->body;
  }
  return message;
}

std::optional<DecodedRequest> decode_request(H2Message message) {
  DecodedRequest request;
  RequestHead& head = request.head;
  head.service = ServiceName(text_field(message, "eelgrasspin-service"));
  head.method = text_field(message, "eelgrasspin-method");
  head.path = text_field(message, "eelgrasspin-path");
  head.caller = CallerName(text_field(message, "eelgrasspin-caller"));
  head.idempotency_key = text_field(message, "eelgrasspin-idempotency-key");
  auto left = number_header(message.headers, "eelgrasspin-time-left-us");
  if (head.service.empty() || head.method.empty() || head.path.empty() ||
      !left) {
    return std::nullopt;
  }
  head.time_left = std::min(Duration(*left), Duration(config::kMaxDeadline));
  head.body_bytes = message.body.size();
  head.body_hash = number_field(message, "eelgrasspin-body-hash");
  head.hops =
      static_cast<std::uint32_t>(number_field(message, "eelgrasspin-hops"));
  request.from.daemon = DaemonName(text_field(message, "eelgrasspin-daemon"));
  request.from.server = ServerName(text_field(message, "eelgrasspin-server"));
  request.from.slot = SlotId(
      static_cast<std::uint32_t>(number_field(message, "eelgrasspin-slot")));
  request.from.epoch = Epoch(number_field(message, "eelgrasspin-epoch"));
  request.payload = take_payload(std::move(message));
  return request;
}

H2Message encode_answer(std::uint16_t status, const Payload& payload) {
  H2Message message;
  message.headers = {
      {":status", "200"},
      {"eelgrasspin-outcome", std::string(to_string(Outcome::kAnswered))},
      {"eelgrasspin-status", std::to_string(status)},
      {"eelgrasspin-body-bytes", std::to_string(payload.body.size())}};
  for (const auto& [name, value] : payload.headers) {
    message.headers.emplace_back(name, value);
  }
  message.body = payload.body;
  return message;
}

H2Message encode_refusal(Outcome outcome, Reason reason, Duration retry_after,
                         Epoch newer_epoch) {
  return {{{":status", "200"},
           {"eelgrasspin-outcome", std::string(to_string(outcome))},
           {"eelgrasspin-reason", std::string(to_string(reason))},
           {"eelgrasspin-retry-after-us", std::to_string(retry_after.count())},
           {"eelgrasspin-newer-epoch", std::to_string(newer_epoch.value)}},
          {}};
}

AttemptReply decode_reply(H2Message message) {
  auto outcome = parse_outcome(text_field(message, "eelgrasspin-outcome"));
  if (!outcome) return unreadable_reply();
  if (*outcome == Outcome::kAnswered) {
    auto status = number_header(message.headers, "eelgrasspin-status");
    auto bytes = number_header(message.headers, "eelgrasspin-body-bytes");
    if (!status || !bytes || *bytes != message.body.size()) {
      return unreadable_reply();
    }
    return {AttemptAnswered{static_cast<std::uint16_t>(*status), *bytes},
            take_payload(std::move(message))};
  }
  auto reason = parse_reason(text_field(message, "eelgrasspin-reason"));
  if (!reason) return unreadable_reply();
  if (*outcome == Outcome::kUnknown) {
    return {AttemptUnknown{*reason, false}, nullptr};
  }
  return {AttemptNotRun{
              *reason,
              Duration(number_field(message, "eelgrasspin-retry-after-us")),
              Epoch(number_field(message, "eelgrasspin-newer-epoch"))},
          nullptr};
}

}  // namespace eelgrasspin::io
