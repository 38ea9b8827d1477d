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
#include "io/http_types.h"

namespace eelgrasspin::io {

/// How an exchange ended without a whole answer.
enum class HttpFailureKind : std::uint8_t {
  kRefused,         ///< The connection was refused; nothing was sent.
  kConnectTimeout,  ///< No connection was made in time; nothing was sent.
  kTimeout,         ///< Sent at least in part; no whole answer in time.
  kClosed,          ///< Closed or reset before the first byte of an answer.
  kTruncated,       ///< Closed, reset or unreadable after the first byte.
};

struct HttpFailure {
  HttpFailureKind kind = HttpFailureKind::kRefused;
  std::string why;
  /// With kRefused: nobody listens at the address.
  bool no_listener = false;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;
using HttpCallback = std::function<void(HttpResult)>;
/// Whether an answer belongs to the request that waits for one.
using HttpResponseCheck = std::function<bool(const HttpResponse&)>;

/// One HTTP/1.1 connection with at most one exchange at a time. Not thread
/// safe.
class HttpConnection {
 public:
  virtual ~HttpConnection() = default;
  /// Connects if need be, sends and reads the whole answer within `limit`. A
  /// failed connection is closed. `done` is called once unless close() comes
  /// first.
  virtual void exchange(const HttpRequest& request, Duration limit,
                        HttpCallback done) = 0;
  /// Like exchange(), but answers that fail `belongs` are passed over; the
  /// connection is then closed after the answer that passes.
  virtual void exchange_checked(const HttpRequest& request, Duration limit,
                                HttpResponseCheck matches_request,
                                HttpCallback done) = 0;
  /// Closes at once; no callback is called any more.
  virtual void close() = 0;
  /// Connected, no exchange under way, and not closed by the other side.
  virtual bool idle() const = 0;
  virtual bool closed() const = 0;
  /// Exchanges answered so far.
  virtual std::uint64_t answered() const = 0;
  /// When the last answer was complete, on the steady clock; only if
  /// answered() > 0.
  virtual TimePoint last_answer() const = 0;
};

std::shared_ptr<HttpConnection> make_http_connection(
    boost::asio::io_context& io, const Endpoint& endpoint);

/// The present on the steady clock.
TimePoint steady_now();

/// Calls one endpoint over a few kept connections. Every call stands alone and
/// answers once; nothing is sent twice.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, Endpoint endpoint);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void call(const HttpRequest& request, Duration limit, HttpCallback done);
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  std::shared_ptr<HttpConnection> take();

  boost::asio::io_context& io_;
  Endpoint endpoint_;
  std::shared_ptr<std::vector<std::shared_ptr<HttpConnection>>> connections_;
};

/// One call on a fresh connection that blocks the calling thread. For tools.
HttpResult blocking_call(const Endpoint& endpoint, const HttpRequest& request,
                         Duration limit);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HTTP_CLIENT_H_
