#include "io/operator_http.h"

#include <string_view>

#include "codec/message_json.h"
#include "config/settings.h"
#include "lang/lang.h"

namespace eelgrasspin::io {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxCommandBytes = 64 * 1024;
constexpr std::size_t kMaxCommandIdBytes = 128;

HttpResponse text_response(int status, std::string text) {
  return {status,
          {{"Content-Type", "text/plain; charset=utf-8"}},
          std::move(text),
          false};
}

HttpResponse findings_response(const std::vector<Finding>& findings) {
  std::string lines;
  for (const Finding& finding : findings) lines += to_string(finding) + "\n";
  return text_response(422, std::move(lines));
}

int http_status_of(const CommandAnswer& answer) {
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

/// The time depends only on the length of `given_token`.
bool equal_in_constant_time(std::string_view given_token,
                            std::string_view token) {
  unsigned difference = given_token.size() == token.size() ? 0 : 1;
  for (std::size_t i = 0; i < given_token.size(); ++i) {
    char other = token.empty() ? '\0' : token[i % token.size()];
    difference |= static_cast<unsigned char>(given_token[i]) ^
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
  if (field == nullptr || !field->starts_with(kBearerPrefix))
    return std::nullopt;
  std::string_view given_token = *field;
  given_token.remove_prefix(kBearerPrefix.size());
  std::optional<OperatorName> found;
  for (const auto& [name, token] : tokens) {
    if (equal_in_constant_time(given_token, token)) found = name;
  }
  return found;
}

OperatorPort::OperatorPort(boost::asio::io_context& io,
                           std::map<OperatorName, std::string> tokens,
                           std::string id_prefix, Handlers handlers)
    : tokens_(std::move(tokens)),
      id_prefix_(std::move(id_prefix)),
      handlers_(std::move(handlers)),
      server_(io, {}, [this](const std::shared_ptr<HttpExchange>& exchange) {
        handle(exchange);
      }) {}

void OperatorPort::reply(OperatorCallId call, const CommandAnswer& answer) {
  auto found = calls_.find(call);
  if (found == calls_.end()) return;
  std::shared_ptr<HttpExchange> exchange = std::move(found->second);
  calls_.erase(found);
  exchange->answer({http_status_of(answer),
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
        text_response(healthy ? 200 : 503, healthy ? "ok\n" : "stopping\n"));
  }
  if (request.method == "GET" && path == "/metrics") {
    return exchange->answer(text_response(200, handlers_.metrics()));
  }
  auto name = authenticate(request.headers, tokens_);
  if (!name) {
    HttpResponse unauthorized =
        text_response(401, "a named operator's token is needed\n");
    unauthorized.headers.emplace_back("WWW-Authenticate", "Bearer");
    return exchange->answer(std::move(unauthorized));
  }
  if (request.method == "POST" && path == "/command") {
    return handle_command(exchange, *name);
  }
  if (request.method == "POST" && path == "/declarations") {
    return handle_declarations(exchange, *name);
  }
  if (request.method == "GET" && path == "/declarations") {
    DeclarationsText current = handlers_.declarations();
    HttpResponse response = text_response(current.version.value > 0 ? 200 : 404,
                                          std::move(current.text));
    response.headers.emplace_back("Eelgrasspin-Version",
                                  std::to_string(current.version.value));
    return exchange->answer(std::move(response));
  }
  exchange->answer(text_response(404, "no such path\n"));
}

void OperatorPort::handle_command(const std::shared_ptr<HttpExchange>& exchange,
                                  const OperatorName& name) {
  const HttpRequest& request = exchange->request();
  if (request.body.size() > kMaxCommandBytes) {
    return exchange->answer(text_response(413, "command too long\n"));
  }
  auto parsed = lang::parse(request.body);
  if (const auto* findings = std::get_if<std::vector<Finding>>(&parsed)) {
    return exchange->answer(findings_response(*findings));
  }
  const std::string* id =
      find_header(request.headers, "eelgrasspin-command-id");
  if (id != nullptr && (id->empty() || id->size() > kMaxCommandIdBytes)) {
    return exchange->answer(text_response(400, "unusable command id\n"));
  }
  OperatorCommand command{
      name,
      CommandId(id != nullptr ? *id
                              : id_prefix_ + "-" + std::to_string(next_call_)),
      request.body, std::get<Command>(std::move(parsed)),
      base_version(request.headers)};
  handlers_.on_command(register_call(exchange), std::move(command));
}

void OperatorPort::handle_declarations(
    const std::shared_ptr<HttpExchange>& exchange, const OperatorName& name) {
  const HttpRequest& request = exchange->request();
  const std::string* file = find_header(request.headers, "eelgrasspin-file");
  auto read = config::read_declarations(
      request.body, file != nullptr ? *file : "declarations");
  if (const auto* findings = std::get_if<std::vector<Finding>>(&read)) {
    return exchange->answer(findings_response(*findings));
  }
  OperatorDeclarations declarations{name,
                                    std::get<Declarations>(std::move(read)),
                                    base_version(request.headers)};
  handlers_.on_declarations(register_call(exchange), std::move(declarations));
}

OperatorCallId OperatorPort::register_call(
    const std::shared_ptr<HttpExchange>& exchange) {
  OperatorCallId call(next_call_++);
  calls_[call] = exchange;
  exchange->on_abandoned([this, call] { calls_.erase(call); });
  return call;
}

}  // namespace eelgrasspin::io
