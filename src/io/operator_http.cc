#include "io/operator_http.h"

#include <string_view>

#include "codec/message_json.h"
#include "config/settings.h"
#include "lang/lang.h"

namespace eelgrasspin::io {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxCommandBytes = 64 * 1024;
constexpr std::size_t kMaxCommandIdBytes = 128;

HttpResponse text_answer(int status, std::string text) {
  return {status,
          {{"Content-Type", "text/plain; charset=utf-8"}},
          std::move(text),
          false};
}

HttpResponse findings_answer(const std::vector<Finding>& findings) {
  std::string lines;
  for (const Finding& finding : findings) lines += to_string(finding) + "\n";
  return text_answer(422, std::move(lines));
}

int status_of(const CommandAnswer& answer) {
  if (!answer.error) return 200;
  switch (answer.error->code) {
    case ErrorCode::kInvalid:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kRefused:
      return 403;
  }
  return 500;
}

/// Takes as long for every text of the same length as `given`.
bool equal_in_constant_time(std::string_view given, std::string_view token) {
  unsigned difference = given.size() == token.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size(); ++i) {
    char other = token.empty() ? '\0' : token[i % token.size()];
    difference |= static_cast<unsigned char>(given[i]) ^
                  static_cast<unsigned char>(other);
  }
  return difference == 0 && !token.empty();
}

Version base_version(const HeaderFields& headers) {
  return Version(
      number_header(headers, "eelgrasspin-base-version").value_or(0));
}

}  // namespace

std::optional<OperatorName> authenticate(
    const HeaderFields& headers,
    const std::map<OperatorName, std::string>& tokens) {
  const std::string* field = find_header(headers, "authorization");
  if (field == nullptr || !field->starts_with(kBearer)) return std::nullopt;
  std::string_view given = *field;
  given.remove_prefix(kBearer.size());
  std::optional<OperatorName> found;
  for (const auto& [name, token] : tokens) {
    if (equal_in_constant_time(given, token)) found = name;
  }
  return found;
}

OperatorPort::OperatorPort(boost::asio::io_context& io,
                           std::map<OperatorName, std::string> tokens,
                           std::string run_name, Handlers handlers)
    : tokens_(std::move(tokens)),
      run_name_(std::move(run_name)),
      handlers_(std::move(handlers)),
      server_(io, {}, [this](const std::shared_ptr<HttpExchange>& exchange) {
        handle(exchange);
      }) {}

void OperatorPort::reply(OperatorCallId call, const CommandAnswer& answer) {
  auto found = calls_.find(call);
  if (found == calls_.end()) return;
  std::shared_ptr<HttpExchange> exchange = std::move(found->second);
  calls_.erase(found);
  exchange->answer({status_of(answer),
                    {{"Content-Type", "application/json"}},
                    codec::encode_answer(answer) + "\n",
                    false});
}

void OperatorPort::handle(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->request();
  std::string_view path = path_of(request.target);
  if (request.method == "GET" && path == "/health") {
    bool healthy = handlers_.healthy();
    return exchange->answer(
        text_answer(healthy ? 200 : 503, healthy ? "ok\n" : "stopping\n"));
  }
  if (request.method == "GET" && path == "/metrics") {
    return exchange->answer(text_answer(200, handlers_.metrics()));
  }
  auto name = authenticate(request.headers, tokens_);
  if (!name) {
    HttpResponse refused =
        text_answer(401, "a named operator's token is needed\n");
    refused.headers.emplace_back("WWW-Authenticate", "Bearer");
    return exchange->answer(std::move(refused));
  }
  if (request.method == "POST" && path == "/command") {
    return handle_command(exchange, *name);
  }
  if (request.method == "POST" && path == "/declarations") {
    return handle_declarations(exchange, *name);
  }
  if (request.method == "GET" && path == "/declarations") {
    DeclarationsText current = handlers_.declarations();
    HttpResponse answer = text_answer(current.version.value > 0 ? 200 : 404,
                                      std::move(current.text));
    answer.headers.emplace_back("Eelgrasspin-Version",
                                std::to_string(current.version.value));
    return exchange->answer(std::move(answer));
  }
  exchange->answer(text_answer(404, "no such path\n"));
}

void OperatorPort::handle_command(const std::shared_ptr<HttpExchange>& exchange,
                                  const OperatorName& name) {
  const HttpRequest& request = exchange->request();
  if (request.body.size() > kMaxCommandBytes) {
    return exchange->answer(text_answer(413, "command too long\n"));
  }
  auto parsed = lang::parse(request.body);
  if (const auto* findings = std::get_if<std::vector<Finding>>(&parsed)) {
    return exchange->answer(findings_answer(*findings));
  }
  const std::string* id =
      find_header(request.headers, "eelgrasspin-command-id");
  if (id != nullptr && (id->empty() || id->size() > kMaxCommandIdBytes)) {
    return exchange->answer(text_answer(400, "unusable command id\n"));
  }
  OperatorCommand command{
      name,
      CommandId(id != nullptr ? *id
                              : run_name_ + "-" + std::to_string(next_call_)),
      request.body, std::get<Command>(std::move(parsed)),
      base_version(request.headers)};
  handlers_.on_command(hold(exchange), std::move(command));
}

void OperatorPort::handle_declarations(
    const std::shared_ptr<HttpExchange>& exchange, const OperatorName& name) {
  const HttpRequest& request = exchange->request();
  const std::string* file = find_header(request.headers, "eelgrasspin-file");
  auto read = config::read_declarations(
      request.body, file != nullptr ? *file : "declarations");
  if (const auto* findings = std::get_if<std::vector<Finding>>(&read)) {
    return exchange->answer(findings_answer(*findings));
  }
  OperatorDeclarations declarations{name,
                                    std::get<Declarations>(std::move(read)),
                                    base_version(request.headers)};
  handlers_.on_declarations(hold(exchange), std::move(declarations));
}

OperatorCallId OperatorPort::hold(
    const std::shared_ptr<HttpExchange>& exchange) {
  OperatorCallId call(next_call_++);
  calls_[call] = exchange;
  exchange->on_abandoned([this, call] { calls_.erase(call); });
  return call;
}

}  // namespace eelgrasspin::io
