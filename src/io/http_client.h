#ifndef EELGRASSPIN_IO_HTTP_CLIENT_H_
#define EELGRASSPIN_IO_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/config.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/units.h"
#include "io/byte_budget.h"
#include "io/http_types.h"

namespace eelgrasspin::io {

/// Why an exchange ended without a complete response.
enum class HttpFailureKind : std::uint8_t {
  kRefused,         ///< The connection was refused; nothing was sent.
  kConnectTimeout,  ///< No connection was made in time; nothing was sent.
  kTimeout,         ///< Sent at least in part; no complete response in time.
  kClosed,          ///< Closed or reset before the first byte of a response.
  kTruncated,       ///< Closed, reset or unreadable after the first byte.
};

struct HttpFailure {
  HttpFailureKind kind = HttpFailureKind::kRefused;
  std::string why;
  /// With kRefused: no process listens on the port.
  bool no_listener = false;
  /// With kRefused: this process may open no more connections.
  bool connections_exhausted = false;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;
using HttpCallback = std::function<void(HttpResult)>;
/// Whether a response belongs to the request that waits for one.
using HttpResponseCheck = std::function<bool(const HttpResponse&)>;

/// Conditions of an exchange; each may be empty.
struct HttpExchangeChecks {
  /// Responses for which it is false are skipped; the connection is then not
  /// reused.
  HttpResponseCheck matches_request;
  /// Asked once a new connection has been made; if false, nothing is sent and
  /// the exchange fails as kConnectTimeout. It may close the connection.
  std::function<bool()> may_send;
  /// For requests that no response names: one that comes before the server's
  /// host has acknowledged the whole request fails the exchange as kTruncated.
  bool response_follows_arrival = false;
};

/// One HTTP/1.1 connection with at most one exchange at a time. Not thread
/// safe.
class HttpConnection {
 public:
  virtual ~HttpConnection() = default;
  /// Connects if necessary, sends the request and reads the complete response
  /// within `timeout`. A failed connection is closed. `done` is called exactly
  /// once, unless close() is called first.
  virtual void exchange(const HttpRequest& request, Duration timeout,
                        HttpCallback done) = 0;
  /// Like exchange(), with further conditions.
  virtual void exchange_checked(const HttpRequest& request, Duration timeout,
                                HttpExchangeChecks checks,
                                HttpCallback done) = 0;
  /// Closes at once; no further callback is called.
  virtual void close() = 0;
  /// Connected, without an exchange in progress, and not closed by the server.
  virtual bool idle() const = 0;
  /// Whether input is waiting that has not been read. On an idle connection it
  /// answers no request that is sent from now on.
  virtual bool has_unread_input() const = 0;
  virtual bool closed() const = 0;
  /// Number of complete responses so far.
  virtual std::uint64_t response_count() const = 0;
  /// Number of responses that exchange_checked() has skipped.
  virtual std::uint32_t skipped_response_count() const = 0;
  /// When the last response was complete, on the steady clock. Valid only if
  /// response_count() > 0.
  virtual TimePoint last_response_time() const = 0;
};

/// `budget` bounds the response bodies of all connections that share it; null:
/// each has the limit of its own only.
std::shared_ptr<HttpConnection> make_http_connection(
    boost::asio::io_context& io, const Endpoint& endpoint,
    std::shared_ptr<ByteBudget> budget = nullptr);

/// Current time of the steady clock.
TimePoint steady_now();

/// Sends requests to one endpoint over a few persistent connections. Each call
/// ends in exactly one callback; no request is sent twice.
class HttpClient {
 public:
  /// `budget` bounds the response bodies that are being read; null: each has
  /// the limit of its own only.
  HttpClient(boost::asio::io_context& io, Endpoint endpoint,
             std::shared_ptr<ByteBudget> budget = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void call(const HttpRequest& request, Duration timeout, HttpCallback done);
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  std::shared_ptr<HttpConnection> take_connection();

  boost::asio::io_context& io_;
  Endpoint endpoint_;
  std::shared_ptr<ByteBudget> budget_;
  std::shared_ptr<std::vector<std::shared_ptr<HttpConnection>>> connections_;
};

/// Sends one request over a new connection and blocks the calling thread until
/// it has ended. For tools.
HttpResult blocking_call(const Endpoint& endpoint, const HttpRequest& request,
                         Duration timeout);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HTTP_CLIENT_H_
