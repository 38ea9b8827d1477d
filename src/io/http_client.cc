#include "io/http_client.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <string_view>

#include "io/endpoint.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr std::size_t kMaxIdlePerClient = 4;
constexpr unsigned kContinue = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

using Request = http::request<http::span_body<const char>>;

/// The body belongs to `request`.
Request to_beast_request(const HttpRequest& request, const Endpoint& endpoint) {
  Request message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (find_header(request.headers, "host") == nullptr) {
    message.set(http::field::host, endpoint.str());
  }
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  const std::string& body =
      request.shared_body ? *request.shared_body : request.body;
  message.body() = beast::span<const char>(body.data(), body.size());
  message.prepare_payload();
  return message;
}

/// What scan_header() has seen of a message header.
struct HeaderScan {
  char last = 0;
  bool ended = false;
  /// A line begins with white space, so that it continues the one before it
  /// (obs-fold, RFC 9112, 5.2).
  bool has_folded_line = false;
};

/// Scans the next bytes of a message up to the end of its header.
void scan_header(HeaderScan& scan, std::string_view bytes) {
  for (char byte : bytes) {
    if (scan.ended) return;
    if (scan.last == '\n') {
      scan.ended = byte == '\r';
      if (byte == ' ' || byte == '\t') scan.has_folded_line = true;
    }
    scan.last = byte;
  }
}

class Connection : public HttpConnection,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, const Endpoint& endpoint,
             std::shared_ptr<ByteBudget> budget)
      : socket_(io),
        timer_(io),
        endpoint_(endpoint),
        buffer_(kMaxBufferBytes),
        body_share_(std::move(budget)) {}
  ~Connection() override = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void exchange(const HttpRequest& request, Duration timeout,
                HttpCallback done) override {
    done_ = std::move(done);
    is_head_request_ = request.method == "HEAD";
    request_ = std::make_shared<HttpRequest>(request);
    start_timer(timeout);
    if (phase_ == Phase::kNew) return connect(timeout);
    send();
  }

  void exchange_checked(const HttpRequest& request, Duration timeout,
                        HttpExchangeChecks checks, HttpCallback done) override {
    checks_ = std::move(checks);
    exchange(request, timeout, std::move(done));
  }

  void close() override {
    done_ = nullptr;
    checks_ = {};
    close_socket();
  }

  bool idle() const override { return phase_ == Phase::kIdle; }
  bool has_unread_input() const override {
    error_code failed;
    return socket_.available(failed) > 0;
  }
  bool closed() const override { return phase_ == Phase::kClosed; }
  std::uint64_t response_count() const override { return response_count_; }
  std::uint32_t skipped_response_count() const override {
    return skipped_response_count_;
  }
  TimePoint last_response_time() const override { return last_response_time_; }

 private:
  enum class Phase { kNew, kConnecting, kSending, kIdle, kClosed };
  static constexpr std::size_t kMaxBufferBytes =
      config::kMaxHeaderBytes + kReadChunkBytes;

  /// A connection that ends within an exchange is reset, which discards what
  /// the server has not received yet. Otherwise the kernel would still deliver
  /// the request, seconds later if the path is interrupted.
  void close_socket() {
    error_code ignored;
    if (phase_ != Phase::kSending) set_reset_on_close(false);
    phase_ = Phase::kClosed;
    body_share_.set(0);
    parser_.reset();
    timer_.cancel();
    socket_.close(ignored);
  }

  void set_reset_on_close(bool on) {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(on, 0), ignored);
  }

  void start_timer(Duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      // An expired timer's handler may still be queued when the timer is set
      // anew for the next exchange.
      bool set_anew = self->timer_.expiry() > std::chrono::steady_clock::now();
      if (failed || set_anew || !self->done_) return;
      self->fail(self->phase_ == Phase::kConnecting
                     ? HttpFailureKind::kConnectTimeout
                     : HttpFailureKind::kTimeout,
                 "no answer in time");
    });
  }

  void connect(Duration timeout) {
    phase_ = Phase::kConnecting;
    auto address = parse_endpoint(endpoint_);
    if (!address) {
      return asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->fail(HttpFailureKind::kRefused, "not an address");
      });
    }
    start_connect_timer(timeout);
    socket_.async_connect(*address,
                          [self = shared_from_this()](error_code failed) {
                            self->on_connected(failed);
                          });
  }

  void start_connect_timer(Duration timeout) {
    exchange_deadline_ = std::chrono::steady_clock::now() + timeout;
    if (timeout > config::kConnectTimeout) start_timer(config::kConnectTimeout);
  }

  void on_connected(error_code failed) {
    if (phase_ != Phase::kConnecting) return;
    if (failed) {
      return fail({HttpFailureKind::kRefused, failed.message(),
                   failed == asio::error::connection_refused,
                   failed == asio::error::no_descriptors});
    }
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    // The timer's handler may still be queued behind this one.
    auto now = std::chrono::steady_clock::now();
    if (now >= exchange_deadline_) {
      return fail(HttpFailureKind::kConnectTimeout, "connected too late");
    }
    if (auto may_send = std::exchange(checks_.may_send, nullptr)) {
      if (!may_send()) {
        return fail(HttpFailureKind::kConnectTimeout, "no longer wanted");
      }
    }
    // Set in advance, so that the end of the process resets it as well.
    set_reset_on_close(true);
    start_timer(std::chrono::duration_cast<Duration>(exchange_deadline_ - now));
    send();
  }

  void send() {
    phase_ = Phase::kSending;
    first_byte_seen_ = false;
    writing_ = true;
    write_failed_ = false;
    new_parser();
    auto request = std::exchange(request_, nullptr);
    auto message =
        std::make_shared<Request>(to_beast_request(*request, endpoint_));
    http::async_write(
        socket_, *message,
        [self = shared_from_this(), request, message](
            error_code failed, std::size_t) { self->on_sent(failed); });
    read_more();
  }

  void on_sent(error_code failed) {
    writing_ = false;
    write_failed_ = failed.failed();
    // The server may answer and close before it has read the whole request.
    if (failed && done_ && !reading_) {
      fail(HttpFailureKind::kClosed, failed.message());
    }
  }

  void new_parser() {
    body_share_.set(0);
    header_scan_ = {};
    parser_.emplace();
    parser_->header_limit(config::kMaxHeaderBytes);
    parser_->body_limit(config::kMaxAnswerBytes);
    parser_->eager(true);
    parser_->skip(is_head_request_);
  }

  void read_more() {
    if (reading_) return;
    reading_ = true;
    std::size_t room =
        std::min(kReadChunkBytes, kMaxBufferBytes - buffer_.size());
    socket_.async_read_some(
        buffer_.prepare(room),
        [self = shared_from_this()](error_code failed, std::size_t count) {
          self->on_read(failed, count);
        });
  }

  /// Detects that the server closes an idle connection. A buffer for each of
  /// them would take more memory than all requests.
  void wait_idle() {
    buffer_.shrink_to_fit();
    if (reading_) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code failed) {
                         self->on_idle_readable(failed);
                       });
  }

  void on_idle_readable(error_code failed) {
    reading_ = false;
    if (phase_ == Phase::kIdle) return close_socket();
    if (phase_ == Phase::kSending && !failed) read_more();
  }

  void on_read(error_code failed, std::size_t count) {
    // The error of a reset connection is reported once. If a write got it, the
    // read sees the end of the stream, and the write's handler may still be
    // queued.
    if (failed == asio::error::eof && writing_) {
      return asio::post(socket_.get_executor(),
                        [self = shared_from_this(), failed] {
                          self->handle_read(failed, 0);
                        });
    }
    handle_read(failed, count);
  }

  void handle_read(error_code failed, std::size_t count) {
    reading_ = false;
    if (phase_ == Phase::kClosed) return;
    if (phase_ == Phase::kIdle)
      return close_socket();  // End of stream, or input without a request.
    if (failed == asio::error::eof && first_byte_seen_) return parse_eof();
    if (failed) {
      return fail(first_byte_seen_ ? HttpFailureKind::kTruncated
                                   : HttpFailureKind::kClosed,
                  failed.message());
    }
    first_byte_seen_ = true;
    buffer_.commit(count);
    parse();
  }

  void parse() {
    error_code failed;
    std::size_t used = parser_->put(buffer_.data(), failed);
    scan_header(header_scan_,
                {static_cast<const char*>(buffer_.data().data()), used});
    buffer_.consume(used);
    if (failed == http::error::need_more) failed = {};
    if (failed) return fail(HttpFailureKind::kTruncated, failed.message());
    // The parser joins a folded line to the field before it. Read as a field of
    // its own, the line could state another length.
    if (header_scan_.has_folded_line) {
      return fail(HttpFailureKind::kTruncated, "folded header line");
    }
    if (parser_->is_header_done() && !is_usable()) {
      return fail(HttpFailureKind::kTruncated,
                  "status " + std::to_string(parser_->get().result_int()));
    }
    body_share_.set(parser_->get().body().size());
    if (body_share_.exceeds(config::kMinAnswerBytes)) {
      return fail(HttpFailureKind::kTruncated, "responses exceed the memory");
    }
    if (!parser_->is_done()) {
      if (buffer_.size() >= kMaxBufferBytes) {
        return fail(HttpFailureKind::kTruncated, "response header too large");
      }
      return read_more();
    }
    if (parser_->get().result_int() < kFirstFinalStatus) {
      new_parser();
      return buffer_.size() > 0 ? parse() : read_more();
    }
    finish();
  }

  /// Whether the header can be that of a response to this client's requests:
  /// an interim one has no body, and no other protocol was asked for.
  bool is_usable() const {
    const auto& message = parser_->get();
    unsigned status = message.result_int();
    if (status < kContinue || status > kLastStatus) return false;
    if (status >= kFirstFinalStatus) return true;
    return status != kSwitchingProtocols && !message.chunked() &&
           (message.count(http::field::content_length) == 0 ||
            message[http::field::content_length] == "0");
  }

  /// A response without a length ends with the connection, unless that was
  /// reset (RFC 9112, 8). A failed write shows a reset that the read does not.
  void parse_eof() {
    error_code failed;
    parser_->put_eof(failed);
    if (failed || !parser_->is_done() || write_failed_) {
      return fail(HttpFailureKind::kTruncated,
                  "connection closed before the end of the response");
    }
    finish();
  }

  void finish() {
    auto message = parser_->release();
    body_share_.set(0);
    HttpResponse response{
        static_cast<int>(message.result_int()), {}, {}, false};
    for (const auto& field : message.base()) {
      response.headers.emplace_back(std::string(field.name_string()),
                                    std::string(field.value()));
    }
    response.body = std::move(message.body());
    if (checks_.matches_request && !checks_.matches_request(response)) {
      ++skipped_response_count_;
      if (!message.keep_alive()) {
        return fail(HttpFailureKind::kTruncated, "response to another request");
      }
      first_byte_seen_ = false;
      new_parser();
      return buffer_.size() > 0 ? parse() : read_more();
    }
    if (checks_.response_follows_arrival && !request_has_arrived()) {
      return fail(HttpFailureKind::kTruncated, "response before the request");
    }
    checks_ = {};
    ++response_count_;
    last_response_time_ = steady_now();
    timer_.cancel();
    phase_ = Phase::kIdle;
    // Bytes after the response belong to no request: the framing may be wrong.
    if (!message.keep_alive() || buffer_.size() > 0 || writing_ ||
        write_failed_ || skipped_response_count_ > 0) {
      close_socket();
    } else {
      wait_idle();
    }
    HttpCallback done = std::move(done_);
    done_ = nullptr;
    if (done) done(std::move(response));
  }

  /// Whether the server's host has acknowledged all that was sent; true also
  /// where the system does not tell.
  bool request_has_arrived() {
    int outstanding_bytes = 0;
    if (writing_ || write_failed_) return false;
    int failed = ::ioctl(socket_.native_handle(), SIOCOUTQ, &outstanding_bytes);
    return failed != 0 || outstanding_bytes == 0;
  }

  void fail(HttpFailureKind kind, std::string why) {
    fail(HttpFailure{kind, std::move(why)});
  }

  void fail(HttpFailure failure) {
    HttpCallback done = std::move(done_);
    done_ = nullptr;
    checks_ = {};
    close_socket();
    if (done) done(std::move(failure));
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  Endpoint endpoint_;
  beast::flat_buffer buffer_;
  ByteShare body_share_;  ///< Of the response that is being read.
  std::shared_ptr<const HttpRequest> request_;  ///< Until it is sent.
  std::optional<http::response_parser<http::string_body>> parser_;
  HeaderScan header_scan_;
  HttpCallback done_;
  HttpExchangeChecks checks_;
  std::chrono::steady_clock::time_point exchange_deadline_;
  TimePoint last_response_time_;
  std::uint64_t response_count_ = 0;
  Phase phase_ = Phase::kNew;
  bool reading_ = false;
  bool first_byte_seen_ = false;
  bool is_head_request_ = false;
  bool writing_ = false;
  bool write_failed_ = false;  ///< Of the last request that was sent.
  std::uint32_t skipped_response_count_ = 0;
};

}  // namespace

TimePoint steady_now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::shared_ptr<HttpConnection> make_http_connection(
    asio::io_context& io, const Endpoint& endpoint,
    std::shared_ptr<ByteBudget> budget) {
  return std::make_shared<Connection>(io, endpoint, std::move(budget));
}

HttpClient::HttpClient(asio::io_context& io, Endpoint endpoint,
                       std::shared_ptr<ByteBudget> budget)
    : io_(io),
      endpoint_(std::move(endpoint)),
      budget_(std::move(budget)),
      connections_(
          std::make_shared<std::vector<std::shared_ptr<HttpConnection>>>()) {}

HttpClient::~HttpClient() {
  for (const auto& connection : *connections_) connection->close();
}

std::shared_ptr<HttpConnection> HttpClient::take_connection() {
  auto& idle = *connections_;
  TimePoint now = steady_now();
  while (!idle.empty()) {
    std::shared_ptr<HttpConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (connection->idle() && !connection->has_unread_input() &&
        now - connection->last_response_time() <
            config::kMaxConnectionReuseAge) {
      return connection;
    }
    connection->close();
  }
  return make_http_connection(io_, endpoint_, budget_);
}

void HttpClient::call(const HttpRequest& request, Duration timeout,
                      HttpCallback done) {
  auto connection = take_connection();
  std::weak_ptr<std::vector<std::shared_ptr<HttpConnection>>> pool =
      connections_;
  connection->exchange(
      request, timeout,
      [pool, connection, done = std::move(done)](HttpResult result) {
        auto idle = pool.lock();
        if (!idle) return connection->close();
        if (std::holds_alternative<HttpFailure>(result)) {
          idle->clear();  // The other connections may be stalled as well.
        } else if (connection->idle() && idle->size() < kMaxIdlePerClient) {
          idle->push_back(connection);
        } else {
          connection->close();
        }
        done(std::move(result));
      });
}

HttpResult blocking_call(const Endpoint& endpoint, const HttpRequest& request,
                         Duration timeout) {
  asio::io_context io;
  HttpResult result = HttpFailure{};
  auto connection = make_http_connection(io, endpoint);
  connection->exchange(request, timeout, [&](HttpResult ended) {
    result = std::move(ended);
    connection->close();
  });
  io.run();
  return result;
}

}  // namespace eelgrasspin::io
