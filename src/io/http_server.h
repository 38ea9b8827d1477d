#ifndef EELGRASSPIN_IO_HTTP_SERVER_H_
#define EELGRASSPIN_IO_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "eelgrasspin/config.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"
#include "io/http_types.h"

namespace eelgrasspin::io {

/// One request on a server's connection, waiting for its answer.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual HttpRequest& request() = 0;
  /// Sends the answer; only the first call counts.
  virtual void answer(HttpResponse answer) = 0;
  /// Called when the sender closes the connection before the answer. Attention:
  /// cleared by answer().
  virtual void on_abandoned(std::function<void()> gone) = 0;
  /// Sends these bytes as they are and closes the connection.
  virtual void send_raw_and_close(std::string bytes) = 0;
  /// Closes the connection without an answer.
  virtual void abort() = 0;
};

struct HttpServerOptions {
  std::size_t header_bytes = config::kMaxHeaderBytes;
  std::size_t body_bytes = config::kMaxBodyBytes;
  std::size_t connections = config::kMaxCallerConnections;
  /// Longest time from the first byte of a request to its last.
  Duration receive_limit = config::kRequestReceiveTimeout;
  /// Longest time a connection stays open without a request.
  Duration idle_limit = config::kIdleConnectionTimeout;
  /// Builds the answer to a request that is refused before it is whole.
  std::function<HttpResponse(int status, std::string why)> refusal;
};

/// HTTP/1.1 server on one port. Not thread safe; lives on one io_context.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(boost::asio::io_context& io, HttpServerOptions options,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the port; an error says why it could not.
  std::optional<Error> listen(const Endpoint& endpoint);
  /// Where it listens, with the port the system chose for port 0.
  Endpoint bound_endpoint() const;
  /// Takes no more connections, and no more requests on those it has.
  void stop_accepting();
  /// Each connection takes at most one more request and is closed after its
  /// last answer.
  void close_after_answers();
  /// Limits for requests and connections from now on.
  void set_limits(std::size_t header_bytes, std::size_t body_bytes,
                  Duration receive_limit, Duration idle_limit);
  /// Closes connections on which no request is under way.
  void close_idle();
  /// Closes every connection.
  void close();
  /// Connections that now exist neither receive nor answer any more, without
  /// being closed. For stand-ins and tests.
  void stall_connections();
  std::size_t connections() const;
  /// Requests received and not yet answered in full.
  std::size_t open_exchanges() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HTTP_SERVER_H_
