#include "io/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <set>
#include <utility>

#include "io/byte_budget.h"
#include "io/endpoint.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kReadChunkBytes = 16 * 1024;
/// Bodies up to this size are received although all bodies exceed their limit.
constexpr std::size_t kSmallBodyBytes = 64 * 1024;
constexpr Duration kDiscardInputTimeout = milliseconds(500);
/// Requests of one connection that are handled concurrently.
constexpr std::size_t kMaxPipelinedRequests = 16;
class Connection;
}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& io_context, HttpServerOptions opts, Handler handle)
      : io(io_context),
        acceptor(io_context),
        options(std::move(opts)),
        handler(std::move(handle)) {
    if (options.max_total_body_bytes > 0) {
      body_budget = std::make_shared<ByteBudget>(options.max_total_body_bytes);
    }
  }

  void accept();
  HttpResponse make_refusal(int status, std::string why,
                            const HttpRequest& received) const;

  asio::io_context& io;
  tcp::acceptor acceptor;
  HttpServerOptions options;
  Handler handler;
  std::shared_ptr<ByteBudget> body_budget;  ///< Null: no limit.
  std::set<std::shared_ptr<Connection>> connections;
  std::size_t open_exchanges = 0;
  bool closing = false;
  bool accepting = true;  ///< Connections, and further requests on them.
};

namespace {

HeaderFields fields_of(const http::fields& fields) {
  HeaderFields headers;
  for (const auto& field : fields) {
    headers.emplace_back(std::string(field.name_string()),
                         std::string(field.value()));
  }
  return headers;
}

/// Why the head of a request is refused although it can be parsed; empty if it
/// is accepted.
std::string framing_error(const http::request_header<>& head) {
  auto lengths = head.equal_range(http::field::content_length);
  auto encodings = head.equal_range(http::field::transfer_encoding);
  auto length_count = std::distance(lengths.first, lengths.second);
  auto encoding_count = std::distance(encodings.first, encodings.second);
  if (length_count > 1) return "repeated Content-Length";
  if (length_count > 0 && !parse_number(lengths.first->value())) {
    return "Content-Length is not a number";
  }
  if (encoding_count > 1) return "repeated Transfer-Encoding";
  if (length_count > 0 && encoding_count > 0) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (encoding_count > 0 &&
      !equal_ignoring_case(encodings.first->value(), "chunked")) {
    return "Transfer-Encoding other than chunked";
  }
  if (encoding_count > 0 && head.version() < 11) {
    return "Transfer-Encoding in an old HTTP version";
  }
  if (head.count(http::field::host) > 1) return "repeated Host";
  if (!head.target().starts_with('/')) return "target is not a path";
  return {};
}

int refusal_status(error_code failure) {
  if (failure == http::error::header_limit) return 431;
  if (failure == http::error::body_limit) return 413;
  return 400;
}

/// One request of a connection, queued until its response can be sent.
class Exchange : public HttpExchange {
 public:
  Exchange(std::weak_ptr<Connection> connection, HttpRequest request,
           std::shared_ptr<ByteBudget> body_budget, bool keep_alive,
           bool is_head_request)
      : connection_(std::move(connection)),
        request_(std::move(request)),
        body_share_(std::move(body_budget)),
        keep_alive_(keep_alive),
        is_head_request_(is_head_request) {
    body_share_.set(request_.body.size());
  }

  HttpRequest& request() override { return request_; }
  void answer(HttpResponse response) override;
  void on_abandoned(std::function<void()> callback) override {
    if (!connection_ended_) on_abandoned_ = std::move(callback);
  }
  void send_raw_and_close(std::string bytes) override;
  void abort() override;

  /// Records that the connection has ended. Returns the callback to run, if
  /// any.
  std::function<void()> on_connection_closed() {
    connection_ended_ = true;
    return std::exchange(on_abandoned_, nullptr);
  }

  bool has_response() const { return response_.has_value(); }
  HttpResponse take_response() { return std::move(*response_); }
  const std::optional<std::string>& raw_bytes() const { return raw_bytes_; }
  bool finished() const { return response_ || raw_bytes_; }
  bool keep_alive() const { return keep_alive_; }
  bool is_head_request() const { return is_head_request_; }

 private:
  std::weak_ptr<Connection> connection_;
  HttpRequest request_;
  ByteShare body_share_;
  std::function<void()> on_abandoned_;
  std::optional<HttpResponse> response_;
  std::optional<std::string> raw_bytes_;
  bool keep_alive_;
  bool is_head_request_;
  bool connection_ended_ = false;
};

/// Requests of one connection are handled concurrently and answered in the
/// order in which they were received.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        received_share_(server_->body_budget),
        buffer_(server_->options.max_header_bytes + kReadChunkBytes) {}

  void start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    tcp::endpoint remote = socket_.remote_endpoint(ignored);
    remote_ = to_endpoint(remote);
    expect_request();
  }

  /// Sends the next response in order. Called when an exchange gets its
  /// response.
  void flush() {
    if (writing_ || closed_ || exchanges_.empty()) return;
    Exchange& first = *exchanges_.front();
    if (first.raw_bytes()) return send_raw(*first.raw_bytes());
    if (first.has_response()) send(first);
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    auto self = shared_from_this();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    drop_received();
    server_->connections.erase(self);
    auto exchanges = std::move(exchanges_);
    exchanges_.clear();
    server_->open_exchanges -= exchanges.size();
    for (const auto& exchange : exchanges) {
      auto on_abandoned = exchange->on_connection_closed();
      if (on_abandoned && notify_abandoned_) on_abandoned();
    }
  }

  /// Closes without running the on_abandoned callbacks.
  void abort() {
    notify_abandoned_ = false;
    close();
  }

  void stall() { stalled_ = true; }
  bool stalled() const { return stalled_; }
  /// Closes the connection if no request is in progress.
  void close_if_idle() {
    if (exchanges_.empty() && !receiving_ && !writing_) close();
  }

 private:
  void start_timer(Duration duration) {
    timer_.expires_after(duration);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed) self->on_timeout();
    });
  }

  void on_timeout() {
    if (timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (receiving_) {
      refuse(408, "request took too long to arrive");
    } else if (exchanges_.empty() || writing_) {
      close();
    }
  }

  /// Frees what has been received of a request that will not be handled.
  void drop_received() {
    received_share_.set(0);
    parser_.reset();
  }

  void start_parser() {
    receiving_ = false;
    received_share_.set(0);
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(server_->options.max_header_bytes));
    parser_->body_limit(server_->options.max_body_bytes);
    parser_->eager(true);
    head_checked_ = false;
  }

  void expect_request() {
    start_parser();
    if (buffer_.size() > 0 && may_parse()) return parse();
    if (exchanges_.empty()) start_timer(server_->options.idle_timeout);
    read_more();
  }

  void read_more() {
    std::size_t room =
        std::min(kReadChunkBytes, buffer_.max_size() - buffer_.size());
    if (reading_ || closed_ || room == 0) return;
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(room),
        [self = shared_from_this()](error_code failed, std::size_t count) {
          self->on_read(failed, count);
        });
  }

  void on_read(error_code failed, std::size_t count) {
    reading_ = false;
    if (closed_ || stalled_) return;
    if (failed) return on_read_failed();
    buffer_.commit(count);
    if (discarding_input_) {
      buffer_.clear();
      return read_more();
    }
    if (may_parse()) parse();
  }

  void on_read_failed() {
    if (writing_ && exchanges_.size() <= 1 && !discarding_input_) {
      input_ended_ = true;  // Closed once the response has been sent.
      return;
    }
    close();
  }

  bool pipeline_full() const {
    return exchanges_.size() >= kMaxPipelinedRequests;
  }

  bool may_parse() const {
    return !stop_parsing_ && !pipeline_full() &&
           (receiving_ || server_->accepting);
  }

  void parse() {
    if (!receiving_) {
      receiving_ = true;
      start_timer(server_->options.receive_timeout);
    }
    error_code failed;
    std::size_t consumed = parser_->put(buffer_.data(), failed);
    buffer_.consume(consumed);
    if (parser_->is_header_done() && !head_checked_) {
      head_checked_ = true;
      std::string why = framing_error(parser_->get().base());
      if (!why.empty()) return refuse(400, std::move(why));
      if (!received_share_.could_hold(parser_->content_length().value_or(0)))
        return refuse(503, "no memory for a body of this length");
      if (!parser_->is_done()) send_continue();
    }
    if (failed == http::error::need_more) failed = {};
    if (failed) return refuse(refusal_status(failed), failed.message());
    received_share_.set(parser_->get().body().size());
    if (received_share_.exceeds(kSmallBodyBytes))
      return refuse(503, "too many bodies are being received");
    if (parser_->is_done()) return dispatch();
    if (buffer_.size() >= buffer_.max_size()) {
      return refuse(431, "header too large");
    }
    read_more();
  }

  void send_continue() {
    if (!beast::iequals(parser_->get()[http::field::expect], "100-continue") ||
        !exchanges_.empty()) {
      return;
    }
    auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    asio::async_write(
        socket_, asio::buffer(*text),
        [self = shared_from_this(), text](error_code, std::size_t) {});
  }

  std::shared_ptr<Exchange> add(HttpRequest request, bool keep_alive,
                                bool is_head_request) {
    received_share_.set(0);
    auto exchange = std::make_shared<Exchange>(
        weak_from_this(), std::move(request), server_->body_budget, keep_alive,
        is_head_request);
    exchanges_.push_back(exchange);
    ++server_->open_exchanges;
    return exchange;
  }

  void dispatch() {
    auto message = parser_->release();
    bool keep_alive = message.keep_alive();
    bool is_head_request = message.method() == http::verb::head;
    HttpRequest request = {
        std::string(message.method_string()), std::string(message.target()),
        fields_of(message.base()), std::move(message.body()), remote_};
    receiving_ = false;
    if (!writing_) timer_.cancel();
    auto exchange = add(std::move(request), keep_alive, is_head_request);
    // The response to this request closes the connection; the client sends any
    // later requests again on another connection.
    if (!keep_alive || server_->closing) stop_parsing_ = true;
    auto self = shared_from_this();
    server_->handler(exchange);
    if (closed_) return;
    // Continues reading: the next request, or the end of the connection.
    if (!stop_parsing_ && !pipeline_full()) return expect_request();
    // The next request may arrive when the pipeline has room again.
    start_parser();
    if (buffer_.size() < buffer_.max_size()) read_more();
  }

  void refuse(int status, std::string why) {
    receiving_ = false;
    stop_parsing_ = true;
    HttpRequest received;
    received.remote = remote_;
    if (parser_->is_header_done())
      received.headers = fields_of(parser_->get().base());
    HttpResponse refusal =
        server_->make_refusal(status, std::move(why), received);
    refusal.close = true;
    drop_received();
    add({}, false, false)->answer(std::move(refusal));
  }

  void send_raw(const std::string& bytes) {
    writing_ = true;
    asio::async_write(socket_, asio::buffer(bytes),
                      [self = shared_from_this(), first = exchanges_.front()](
                          error_code, std::size_t) { self->abort(); });
  }

  void send(Exchange& exchange) {
    if (stalled_) return;
    writing_ = true;
    HttpResponse response = exchange.take_response();
    auto message = std::make_shared<http::response<http::string_body>>();
    message->version(11);
    message->result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers)
      message->insert(name, value);
    // Later requests that have been read must be answered before the close.
    bool last = exchanges_.size() == 1;
    bool close_requested =
        response.close || !exchange.keep_alive() || server_->closing;
    close_after_response_ = close_requested && last;
    if (close_after_response_) stop_parsing_ = true;
    message->keep_alive(!close_after_response_);
    bool without_body = response.status == 204 || response.status == 304;
    if (!without_body) message->body() = std::move(response.body);
    if (!without_body && !exchange.is_head_request())
      message->prepare_payload();
    if (exchange.is_head_request()) message->body().clear();
    if (!receiving_) start_timer(server_->options.receive_timeout);
    http::async_write(
        socket_, *message,
        [self = shared_from_this(), message](error_code failed, std::size_t) {
          self->on_sent(failed);
        });
  }

  void on_sent(error_code failed) {
    writing_ = false;
    if (closed_) return;
    exchanges_.pop_front();
    --server_->open_exchanges;
    if (failed || input_ended_) return close();
    if (close_after_response_) return discard_input_and_close();
    if (!receiving_) timer_.cancel();
    if (exchanges_.empty() && !receiving_ && !stop_parsing_) {
      start_timer(server_->options.idle_timeout);
    }
    if (!stop_parsing_ && !receiving_ && buffer_.size() > 0) {
      expect_request();
    } else {
      read_more();
    }
    flush();
  }

  /// Closing with unread input would reset the connection, and the client could
  /// lose the response.
  void discard_input_and_close() {
    error_code ignored;
    discarding_input_ = true;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kDiscardInputTimeout);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed) self->close();
    });
    buffer_.clear();
    read_more();
  }

  std::shared_ptr<HttpServer::Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  ByteShare received_share_;  ///< Of the request that is being received.
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::shared_ptr<Exchange>> exchanges_;
  Endpoint remote_;
  bool receiving_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool head_checked_ = false;
  bool stop_parsing_ = false;
  bool close_after_response_ = false;
  bool discarding_input_ = false;
  bool input_ended_ = false;
  bool notify_abandoned_ = true;
  bool stalled_ = false;
  bool closed_ = false;
};

void Exchange::answer(HttpResponse response) {
  if (connection_ended_ || finished()) return;
  on_abandoned_ = nullptr;
  response_ = std::move(response);
  if (auto connection = connection_.lock()) connection->flush();
}

void Exchange::send_raw_and_close(std::string bytes) {
  if (connection_ended_ || finished()) return;
  on_abandoned_ = nullptr;
  raw_bytes_ = std::move(bytes);
  if (auto connection = connection_.lock()) connection->flush();
}

void Exchange::abort() {
  if (auto connection = connection_.lock()) connection->abort();
}

}  // namespace

void HttpServer::Impl::accept() {
  acceptor.async_accept([self = shared_from_this()](error_code failed,
                                                    tcp::socket socket) {
    if (!self->acceptor.is_open()) return;
    if (!failed && self->connections.size() < self->options.max_connections) {
      auto connection = std::make_shared<Connection>(self, std::move(socket));
      self->connections.insert(connection);
      connection->start();
    }
    self->accept();
  });
}

HttpResponse HttpServer::Impl::make_refusal(int status, std::string why,
                                            const HttpRequest& received) const {
  if (options.make_refusal)
    return options.make_refusal(status, std::move(why), received);
  return {status, {{"Content-Type", "text/plain"}}, why + "\n"};
}

HttpServer::HttpServer(asio::io_context& io, HttpServerOptions options,
                       Handler handler)
    : impl_(
          std::make_shared<Impl>(io, std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() { close(); }

std::optional<Error> HttpServer::listen(const Endpoint& endpoint) {
  auto address = parse_endpoint(endpoint);
  if (!address) {
    return Error{ErrorCode::kInvalid,
                 "\"" + endpoint.str() + "\" is not an IP address with a port"};
  }
  error_code failed;
  auto& acceptor = impl_->acceptor;
  acceptor.open(address->protocol(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind(*address, failed);
  if (!failed) acceptor.listen(tcp::acceptor::max_listen_connections, failed);
  if (failed) {
    error_code ignored;
    acceptor.close(ignored);
    return Error{ErrorCode::kUnavailable, "cannot listen on " + endpoint.str() +
                                              ": " + failed.message()};
  }
  impl_->accept();
  return std::nullopt;
}

Endpoint HttpServer::bound_endpoint() const {
  error_code ignored;
  return to_endpoint(impl_->acceptor.local_endpoint(ignored));
}

void HttpServer::stop_accepting() {
  impl_->accepting = false;
  error_code ignored;
  impl_->acceptor.close(ignored);
}

void HttpServer::close_after_answers() { impl_->closing = true; }

void HttpServer::set_limits(std::size_t max_header_bytes,
                            std::size_t max_body_bytes,
                            Duration receive_timeout, Duration idle_timeout) {
  impl_->options.max_header_bytes = max_header_bytes;
  impl_->options.max_body_bytes = max_body_bytes;
  impl_->options.receive_timeout = receive_timeout;
  impl_->options.idle_timeout = idle_timeout;
}

void HttpServer::close_idle() {
  auto connections = impl_->connections;
  for (const auto& connection : connections) connection->close_if_idle();
}

void HttpServer::close() {
  stop_accepting();
  auto connections = impl_->connections;
  for (const auto& connection : connections) connection->abort();
}

void HttpServer::stall_connections() {
  for (const auto& connection : impl_->connections) connection->stall();
}

std::size_t HttpServer::connections() const {
  return impl_->connections.size();
}

std::size_t HttpServer::open_exchanges() const { return impl_->open_exchanges; }

std::size_t HttpServer::body_bytes() const {
  return impl_->body_budget ? impl_->body_budget->used() : 0;
}

}  // namespace eelgrasspin::io
