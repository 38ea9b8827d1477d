#include "ctl/client.h"

#include <chrono>
#include <random>
#include <thread>

#include "codec/message_json.h"
#include "io/http_client.h"

namespace eelgrasspin::ctl {
namespace {

constexpr Duration kCallTimeout = seconds(10);
constexpr Duration kRetryDelay = milliseconds(200);
/// Times that the whole list of daemons is tried.
constexpr int kMaxRounds = 3;

bool nothing_sent(io::HttpFailureKind kind) {
  return kind == io::HttpFailureKind::kRefused ||
         kind == io::HttpFailureKind::kConnectTimeout;
}

std::string without_trailing_newlines(std::string text) {
  while (text.ends_with('\n')) text.pop_back();
  return text;
}

}  // namespace

Client::Client(const Options& options)
    : daemons_(options.daemons),
      token_(options.token),
      operator_name_(options.operator_name) {
  std::random_device device;
  run_id_ = (static_cast<std::uint64_t>(device()) << 32) | device();
}

CommandId Client::new_command_id() {
  std::string prefix = operator_name_.empty() ? "eelctl" : operator_name_.str();
  return CommandId(prefix + "-" + std::to_string(run_id_) + "-" +
                   std::to_string(++command_count_));
}

std::variant<io::HttpResponse, Failure> Client::call(io::HttpRequest request,
                                                     bool changes_state) {
  if (daemons_.empty()) {
    return Failure{kBadInput, "no daemon given (--daemon IP:PORT)"};
  }
  request.headers.emplace_back("Authorization", "Bearer " + token_);
  Failure failure;
  bool maybe_sent = false;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (round > 0) std::this_thread::sleep_for(kRetryDelay);
    for (const Endpoint& daemon : daemons_) {
      io::HttpResult result = io::blocking_call(daemon, request, kCallTimeout);
      if (auto* response = std::get_if<io::HttpResponse>(&result)) {
        return std::move(*response);
      }
      const auto& http_failure = std::get<io::HttpFailure>(result);
      maybe_sent = maybe_sent || !nothing_sent(http_failure.kind);
      failure.message = daemon.str() + ": " + http_failure.why;
    }
  }
  failure.code = maybe_sent && changes_state ? kUnknownOutcome : kUnreachable;
  return failure;
}

Answer Client::decode_response(
    const std::variant<io::HttpResponse, Failure>& result) const {
  if (const auto* failure = std::get_if<Failure>(&result)) return *failure;
  const auto& response = std::get<io::HttpResponse>(result);
  auto decoded = codec::decode_answer(response.body);
  if (ok(decoded)) return value(decoded);
  // Anything but an encoded answer is an error in plain text.
  std::string text = without_trailing_newlines(response.body);
  constexpr int kUnprocessable = 422;
  constexpr int kServerError = 500;
  if (response.status == kUnprocessable) return Failure{kBadInput, text};
  if (response.status >= kServerError) return Failure{kUnreachable, text};
  return Failure{kRefused, text};
}

Answer Client::send_command(const std::string& text, const CommandId& id,
                            bool is_query) {
  io::HttpRequest request{
      "POST", "/command", {{"Eelgrasspin-Command-Id", id.str()}}, text, {}};
  return decode_response(call(std::move(request), !is_query));
}

std::variant<CurrentDeclarations, Failure> Client::fetch_declarations() {
  auto result = call({"GET", "/declarations", {}, "", {}}, false);
  if (auto* failure = std::get_if<Failure>(&result)) return *failure;
  const auto& response = std::get<io::HttpResponse>(result);
  auto version = io::number_header(response.headers, "eelgrasspin-version");
  if (!version) {
    return Failure{kRefused, without_trailing_newlines(response.body)};
  }
  return CurrentDeclarations{Version(*version),
                             *version == 0 ? "" : response.body};
}

Answer Client::apply(const std::string& text, const std::string& file,
                     Version base_version) {
  io::HttpRequest request{
      "POST",
      "/declarations",
      {{"Eelgrasspin-Base-Version", std::to_string(base_version.value)},
       {"Eelgrasspin-File", file}},
      text,
      {}};
  return decode_response(call(std::move(request), true));
}

ExitCode exit_code_for(const CommandAnswer& answer, bool is_query) {
  if (!answer.error) return kDone;
  switch (answer.error->code) {
    case ErrorCode::kInvalid:
      return kBadInput;
    case ErrorCode::kUnavailable:
      return is_query ? kUnreachable : kUnknownOutcome;
    case ErrorCode::kNotFound:
    case ErrorCode::kConflict:
    case ErrorCode::kRefused:
      return kRefused;
  }
  return kRefused;
}

}  // namespace eelgrasspin::ctl
