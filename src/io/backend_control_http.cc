#include "io/backend_control_http.h"

#include "codec/message_json.h"

namespace eelgrasspin::io {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

GrantReply read_reply(const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    return GrantUnreachable{failure->kind == HttpFailureKind::kRefused};
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.status != kOk && response.status != kConflict) {
    return GrantUnreachable{};
  }
  Result<GrantReply> reply = codec::decode_grant_reply(response.body);
  if (!ok(reply)) return GrantUnreachable{};
  return value(reply);
}

}  // namespace

void BackendControlHttp::order(const ServerName& server,
                               const Endpoint& address, const GrantOrder& order,
                               Callback done) {
  HttpRequest request{"POST",
                      "/-/grant",
                      {{"Content-Type", "application/json"}},
                      codec::encode_grant_order(order),
                      {}};
  client(server, address)
      .call(request, config::kGrantCallTimeout,
            [done = std::move(done)](const HttpResult& result) {
              done(read_reply(result));
            });
}

HttpClient& BackendControlHttp::client(const ServerName& server,
                                       const Endpoint& address) {
  std::unique_ptr<HttpClient>& client = clients_[server];
  if (!client || client->endpoint() != address) {
    client = std::make_unique<HttpClient>(io_, address);
  }
  return *client;
}

}  // namespace eelgrasspin::io
