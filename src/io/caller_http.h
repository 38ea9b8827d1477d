#ifndef EELGRASSPIN_IO_CALLER_HTTP_H_
#define EELGRASSPIN_IO_CALLER_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/request.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/transport.h"
#include "io/http_server.h"

/// HTTP interface for callers.
namespace eelgrasspin::io {

/// A well-formed request of a caller.
struct CallerRequest {
  RequestHead head;
  std::shared_ptr<const Payload> payload;
};

/// Reads the target /<service>/<path...> and the caller's header fields. On
/// failure the result is a text that says what is wrong.
std::variant<CallerRequest, std::string> read_caller_request(
    HttpRequest request);

/// Response that relays a backend server's answer, with the outcome "answered".
HttpResponse make_caller_response(std::uint16_t status, const Payload& payload);
/// Response for a request that was refused or whose outcome is unknown.
/// `request` is 0 if the request got no id.
HttpResponse make_caller_response(Outcome outcome, Reason reason,
                                  Duration retry_after, RequestId request,
                                  const std::string& message = {});

/// HTTP port for callers' requests and the health check.
class CallerPort {
 public:
  struct Handlers {
    std::function<void(CallerRequest, std::shared_ptr<HttpExchange>)>
        on_request;
    std::function<bool()> healthy;
  };

  CallerPort(boost::asio::io_context& io, Handlers handlers);

  HttpServer& server() { return server_; }

 private:
  void handle(const std::shared_ptr<HttpExchange>& exchange);

  Handlers handlers_;
  HttpServer server_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_CALLER_HTTP_H_
