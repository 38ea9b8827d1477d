#include "ctl/client.h"

#include <chrono>
#include <random>
#include <thread>

#include "codec/message_json.h"
#include "io/http_client.h"

namespace eelgrasspin::ctl {
namespace {

constexpr Duration kCallLimit = seconds(10);
constexpr Duration kRetryPause = milliseconds(200);
/// Times that the whole list of daemons is gone through.
constexpr int kRounds = 3;

bool nothing_sent(io::HttpFailureKind kind) {
  return kind == io::HttpFailureKind::kRefused ||
         kind == io::HttpFailureKind::kConnectTimeout;
}

std::string without_line_end(std::string text) {
  while (text.ends_with('\n')) text.pop_back();
  return text;
}

}  // namespace

Client::Client(const Options& options)
    : daemons_(options.daemons),
      token_(options.token),
      operator_(options.operator_name) {
  std::random_device device;
  run_ = (static_cast<std::uint64_t>(device()) << 32) | device();
}

CommandId Client::new_command_id() {
  std::string who = operator_.empty() ? "eelctl" : operator_.str();
  return CommandId(who + "-" + std::to_string(run_) + "-" +
                   std::to_string(++commands_));
}

std::variant<io::HttpResponse, Failure> Client::call(io::HttpRequest request,
                                                     bool changes) {
  if (daemons_.empty()) {
    return Failure{kBadInput, "no daemon named (--daemon IP:PORT)"};
  }
  request.headers.emplace_back("Authorization", "Bearer " + token_);
  Failure failure;
  bool maybe_sent = false;
  for (int round = 0; round < kRounds; ++round) {
    if (round > 0) std::this_thread::sleep_for(kRetryPause);
    for (const Endpoint& daemon : daemons_) {
      io::HttpResult result = io::blocking_call(daemon, request, kCallLimit);
      if (auto* answer = std::get_if<io::HttpResponse>(&result)) {
        return std::move(*answer);
      }
      const auto& why = std::get<io::HttpFailure>(result);
      maybe_sent = maybe_sent || !nothing_sent(why.kind);
      failure.message = daemon.str() + ": " + why.why;
    }
  }
  failure.code = maybe_sent && changes ? kUnknownOutcome : kUnreachable;
  return failure;
}

Answer Client::take_answer(
    const std::variant<io::HttpResponse, Failure>& got) const {
  if (const auto* failure = std::get_if<Failure>(&got)) return *failure;
  const auto& answer = std::get<io::HttpResponse>(got);
  auto decoded = codec::decode_answer(answer.body);
  if (ok(decoded)) return value(decoded);
  std::string text = without_line_end(answer.body);
  constexpr int kUnprocessable = 422;
  constexpr int kServerError = 500;
  if (answer.status == kUnprocessable) return Failure{kBadInput, text};
  if (answer.status >= kServerError) return Failure{kUnreachable, text};
  return Failure{kRefused, text};
}

Answer Client::command(const std::string& text, const CommandId& id,
                       bool is_query) {
  io::HttpRequest request{
      "POST", "/command", {{"Eelgrasspin-Command-Id", id.str()}}, text, {}};
  return take_answer(call(std::move(request), !is_query));
}

std::variant<InForce, Failure> Client::declarations() {
  auto got = call({"GET", "/declarations", {}, "", {}}, false);
  if (auto* failure = std::get_if<Failure>(&got)) return *failure;
  const auto& answer = std::get<io::HttpResponse>(got);
  auto version = io::number_header(answer.headers, "eelgrasspin-version");
  if (!version) {
    return Failure{kRefused, without_line_end(answer.body)};
  }
  return InForce{Version(*version), *version == 0 ? "" : answer.body};
}

Answer Client::apply(const std::string& text, const std::string& file,
                     Version base) {
  io::HttpRequest request{
      "POST",
      "/declarations",
      {{"Eelgrasspin-Base-Version", std::to_string(base.value)},
       {"Eelgrasspin-File", file}},
      text,
      {}};
  return take_answer(call(std::move(request), true));
}

ExitCode exit_code_of(const CommandAnswer& answer, bool is_query) {
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
