#ifndef EELGRASSPIN_IO_HTTP_SERVER_H_
#define EELGRASSPIN_IO_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrasspin/config.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"
#include "io/http_types.h"

namespace eelgrasspin::io {

/// One request on a connection, waiting for its response.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual HttpRequest& request() = 0;
  /// Sends the response. Only the first call has an effect.
  virtual void answer(HttpResponse response) = 0;
  /// Sets a callback for the case that the client closes the connection before
  /// the response. answer() clears it.
  virtual void on_abandoned(std::function<void()> callback) = 0;
  /// Sends these bytes as they are and closes the connection.
  virtual void send_raw_and_close(std::string bytes) = 0;
  /// Closes the connection without a response.
  virtual void abort() = 0;
  /// Whether the client still waits, as far as the system knows at `now`. If it
  /// has closed the connection, the callback of on_abandoned() runs before the
  /// return.
  virtual bool client_waits(TimePoint now) = 0;
};

struct HttpServerOptions {
  std::size_t max_header_bytes = config::kMaxHeaderBytes;
  std::size_t max_body_bytes = config::kMaxBodyBytes;
  std::size_t max_connections = config::kMaxCallerConnections;
  /// Limit of what the connections and the requests that have not been
  /// answered hold. Beyond it, requests are refused with 503 while they are
  /// received: slow and large ones first. 0: no limit.
  std::size_t max_request_bytes = 0;
  /// The same limit for requests of up to kSmallRequestBytes.
  std::size_t max_small_request_bytes = 0;
  /// Limit of the responses that have not been sent completely. Beyond it, the
  /// connections that read least are closed. 0: no limit.
  std::size_t max_response_bytes = 0;
  /// Longest time from the first byte of a request to its last.
  Duration receive_timeout = config::kRequestReceiveTimeout;
  /// Longest time a connection stays open without a request.
  Duration idle_timeout = config::kIdleConnectionTimeout;
  /// Builds the response to a request that is refused before it was completely
  /// received; `received` has its header fields if they were read.
  std::function<HttpResponse(int status, std::string why,
                             const HttpRequest& received)>
      make_refusal;
  /// Called for a request whose client had closed the connection before it was
  /// read. It is not handled.
  std::function<void(const HttpRequest& request)> on_client_gone;
  /// Called for a connection that is closed to keep a limit.
  std::function<void(const Endpoint& remote, std::string_view why)>
      on_forced_close;
};

/// A request that holds more is refused before smaller ones. Photo uploads have
/// up to 360 KB.
inline constexpr std::size_t kSmallRequestBytes = 512 * 1024;

/// Statuses of requests that are over a limit of size.
inline constexpr int kBodyTooLarge = 413;
inline constexpr int kHeaderTooLarge = 431;

/// HTTP/1.1 server on one port. Not thread safe; runs on one io_context.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(boost::asio::io_context& io, HttpServerOptions options,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the port; an error says why that failed.
  std::optional<Error> listen(const Endpoint& endpoint);
  /// Address and port it listens on. For port 0, the port that the system
  /// chose.
  Endpoint bound_endpoint() const;
  /// Accepts no further connections, and no further requests on open ones.
  void stop_accepting();
  /// Each connection accepts at most one more request and is closed after its
  /// last response.
  void close_after_answers();
  /// Sets the limits for requests whose first byte is read later, also on open
  /// connections. A request that is being received and is over an earlier limit
  /// is refused with 503: it may be within the new one.
  void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                  Duration receive_timeout, Duration idle_timeout);
  /// Closes connections without a request in progress.
  void close_idle();
  /// Closes every connection.
  void close();
  /// Open connections stop receiving and answering without being closed. For
  /// stand-ins and tests.
  void stall_connections();
  std::size_t connections() const;
  /// Number of requests whose response has not been sent completely.
  std::size_t open_exchanges() const;
  /// What the connections hold of `max_request_bytes`.
  std::size_t request_bytes() const;
  /// What they hold of `max_response_bytes`.
  std::size_t response_bytes() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HTTP_SERVER_H_
