#include "io/caller_http.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>

#include "eelgrasspin/config.h"
#include "io/endpoint.h"

namespace eelgrasspin::io {
namespace {

constexpr std::string_view kHealthPath = "/-/health";
constexpr std::size_t kMaxCallerNameBytes = 128;
constexpr int kPayloadTooLarge = 413;
constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

/// Splits "/service/rest?query" into the service and "/rest?query".
bool split_target(const std::string& target, RequestHead& head) {
  std::size_t service_end = target.find_first_of("/?", 1);
  head.service = ServiceName(target.substr(1, service_end - 1));
  if (service_end == std::string::npos) {
    head.path = "/";
  } else if (target[service_end] == '?') {
    head.path = "/" + target.substr(service_end);
  } else {
    head.path = target.substr(service_end);
  }
  return !head.service.empty();
}

std::string read_deadline(const HttpRequest& request, RequestHead& head) {
  constexpr std::string_view kField = "eelgrasspin-deadline-ms";
  const std::string* text = find_header(request.headers, kField);
  if (text == nullptr) return {};
  auto number = parse_number(*text);
  auto max_ms = static_cast<std::uint64_t>(to_ms(config::kMaxDeadline));
  if (!number || *number == 0 || *number > max_ms) {
    return "Eelgrasspin-Deadline-Ms is not a number from 1 to " +
           std::to_string(max_ms);
  }
  head.time_left = milliseconds(*number);
  return {};
}

std::string read_caller_fields(const HttpRequest& request, RequestHead& head) {
  constexpr std::string_view kCaller = "eelgrasspin-caller";
  if (count_headers(request.headers, "idempotency-key") > 1) {
    return "repeated Idempotency-Key";
  }
  if (const auto* key = find_header(request.headers, "idempotency-key")) {
    head.idempotency_key = *key;
  }
  if (const auto* name = find_header(request.headers, kCaller)) {
    head.caller = CallerName(*name);
  } else {
    head.caller = CallerName(ip_address_of(request.remote));
  }
  if (head.caller.str().size() > kMaxCallerNameBytes) {
    return "Eelgrasspin-Caller is too long";
  }
  return {};
}

}  // namespace

std::variant<CallerRequest, std::string> read_caller_request(
    HttpRequest request) {
  CallerRequest result;
  RequestHead& head = result.head;
  if (!split_target(request.target, head)) return "no service in the path";
  head.method = request.method;
  std::string error = read_deadline(request, head);
  if (error.empty()) error = read_caller_fields(request, head);
  if (!error.empty()) return error;
  head.body_bytes = request.body.size();
  head.body_hash = XXH64(request.body.data(), request.body.size(), 0);
  auto payload = std::make_shared<Payload>();
  payload->headers = end_to_end_headers(request.headers);
  payload->body = std::move(request.body);
  result.payload = std::move(payload);
  return result;
}

HttpResponse make_caller_response(std::uint16_t status,
                                  const Payload& payload) {
  HttpResponse response{status, payload.headers, payload.body, false};
  response.headers.emplace_back("Eelgrasspin-Outcome",
                                to_string(Outcome::kAnswered));
  return response;
}

HttpResponse make_caller_response(Outcome outcome, Reason reason,
                                  Duration retry_after, RequestId request,
                                  const std::string& message) {
  boost::json::object body = {{"outcome", to_string(outcome)},
                              {"reason", to_string(reason)},
                              {"request", request.value}};
  if (!message.empty()) body["message"] = message;
  HttpResponse response;
  response.status = http_status(outcome, reason);
  response.headers = {{"Content-Type", "application/json"},
                      {"Eelgrasspin-Outcome", std::string(to_string(outcome))},
                      {"Eelgrasspin-Reason", std::string(to_string(reason))}};
  if (retry_after > Duration(0)) {
    auto whole_seconds = (to_ms(retry_after) + 999) / 1000;
    response.headers.emplace_back("Retry-After", std::to_string(whole_seconds));
  }
  response.body = boost::json::serialize(body) + "\n";
  return response;
}

CallerPort::CallerPort(boost::asio::io_context& io, Handlers handlers)
    : handlers_(std::move(handlers)),
      server_(io,
              {.make_refusal =
                   [](int status, const std::string& why, const HttpRequest&) {
                     Reason reason = status == kPayloadTooLarge
                                         ? Reason::kBodyTooLarge
                                         : Reason::kBadRequest;
                     HttpResponse response =
                         make_caller_response(Outcome::kNotRun, reason,
                                              Duration(0), RequestId(), why);
                     response.status = status;
                     return response;
                   }},
              [this](const std::shared_ptr<HttpExchange>& exchange) {
                handle(exchange);
              }) {}

void CallerPort::handle(const std::shared_ptr<HttpExchange>& exchange) {
  if (path_of(exchange->request().target) == kHealthPath) {
    bool healthy = handlers_.healthy();
    return exchange->answer({healthy ? kOk : kServiceUnavailable,
                             {{"Content-Type", "text/plain"}},
                             healthy ? "ok\n" : "stopping\n",
                             false});
  }
  auto read = read_caller_request(std::move(exchange->request()));
  if (const auto* error = std::get_if<std::string>(&read)) {
    return exchange->answer(
        make_caller_response(Outcome::kNotRun, Reason::kBadRequest, Duration(0),
                             RequestId(), *error));
  }
  handlers_.on_request(std::move(std::get<CallerRequest>(read)), exchange);
}

}  // namespace eelgrasspin::io
