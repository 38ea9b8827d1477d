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

#include "io/endpoint.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kReadChunk = 16 * 1024;
constexpr Duration kRefusalDrainLimit = milliseconds(500);
/// Requests of one connection that are handled side by side.
constexpr std::size_t kMaxPipelined = 16;
class Connection;
}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& io_context, HttpServerOptions opts, Handler handle)
      : io(io_context),
        acceptor(io_context),
        options(std::move(opts)),
        handler(std::move(handle)) {}

  void accept();
  HttpResponse refusal(int status, std::string why) const;

  asio::io_context& io;
  tcp::acceptor acceptor;
  HttpServerOptions options;
  Handler handler;
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

/// Why a request head is refused although it can be parsed; empty if it is
/// accepted.
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

int status_of(error_code failure) {
  if (failure == http::error::header_limit) return 431;
  if (failure == http::error::body_limit) return 413;
  return 400;
}

/// One request of a connection, and its place in the order of answers.
class Exchange : public HttpExchange {
 public:
  Exchange(std::weak_ptr<Connection> connection, HttpRequest request,
           bool keep_alive, bool head)
      : connection_(std::move(connection)),
        request_(std::move(request)),
        keep_alive_(keep_alive),
        head_(head) {}

  HttpRequest& request() override { return request_; }
  void answer(HttpResponse answer) override;
  void on_abandoned(std::function<void()> gone) override {
    if (!ended_) gone_ = std::move(gone);
  }
  void send_raw_and_close(std::string bytes) override;
  void abort() override;

  /// The connection has ended. Returns what is to be told, if anything.
  std::function<void()> end() {
    ended_ = true;
    return std::exchange(gone_, nullptr);
  }

  const std::optional<HttpResponse>& ready() const { return ready_; }
  const std::optional<std::string>& raw() const { return raw_; }
  bool finished() const { return ready_ || raw_; }
  bool keep_alive() const { return keep_alive_; }
  bool head() const { return head_; }

 private:
  std::weak_ptr<Connection> connection_;
  HttpRequest request_;
  std::function<void()> gone_;
  std::optional<HttpResponse> ready_;
  std::optional<std::string> raw_;
  bool keep_alive_;
  bool head_;
  bool ended_ = false;
};

/// Requests of one connection are handled side by side and answered in the
/// order in which they came.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        buffer_(server_->options.header_bytes + kReadChunk) {}

  void start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    tcp::endpoint remote = socket_.remote_endpoint(ignored);
    remote_ = to_endpoint(remote);
    expect_request();
  }

  /// Called when an exchange has its answer.
  void flush() {
    if (writing_ || closed_ || exchanges_.empty()) return;
    Exchange& first = *exchanges_.front();
    if (first.raw()) return send_raw(*first.raw());
    if (first.ready()) send(first);
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    auto self = shared_from_this();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    server_->connections.erase(self);
    auto exchanges = std::move(exchanges_);
    exchanges_.clear();
    server_->open_exchanges -= exchanges.size();
    for (const auto& exchange : exchanges) {
      auto gone = exchange->end();
      if (gone && tell_gone_) gone();
    }
  }

  /// Closes on the server's own account: nobody is told.
  void abort() {
    tell_gone_ = false;
    close();
  }

  void silence() { silent_ = true; }
  bool silent() const { return silent_; }
  /// Closes a connection on which nothing is under way.
  void close_if_idle() {
    if (exchanges_.empty() && !receiving_ && !writing_) close();
  }

 private:
  void limit(Duration duration) {
    timer_.expires_after(duration);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed) self->on_limit();
    });
  }

  void on_limit() {
    if (timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (receiving_) {
      refuse(408, "request took too long to arrive");
    } else if (exchanges_.empty() || writing_) {
      close();
    }
  }

  void expect_request() {
    receiving_ = false;
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(server_->options.header_bytes));
    parser_->body_limit(server_->options.body_bytes);
    parser_->eager(true);
    head_checked_ = false;
    if (buffer_.size() > 0 && may_parse()) return parse();
    if (exchanges_.empty()) limit(server_->options.idle_limit);
    read_more();
  }

  void read_more() {
    std::size_t room =
        std::min(kReadChunk, buffer_.max_size() - buffer_.size());
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
    if (closed_ || silent_) return;
    if (failed) return on_read_failed();
    buffer_.commit(count);
    if (draining_) {
      buffer_.clear();
      return read_more();
    }
    if (may_parse()) parse();
  }

  void on_read_failed() {
    if (writing_ && exchanges_.size() <= 1 && !draining_) {
      read_ended_ = true;  // The write decides.
      return;
    }
    close();
  }

  bool full() const { return exchanges_.size() >= kMaxPipelined; }

  bool may_parse() const {
    return !stop_parsing_ && !full() && (receiving_ || server_->accepting);
  }

  void parse() {
    if (!receiving_) {
      receiving_ = true;
      limit(server_->options.receive_limit);
    }
    error_code failed;
    std::size_t used = parser_->put(buffer_.data(), failed);
    buffer_.consume(used);
    if (parser_->is_header_done() && !head_checked_) {
      head_checked_ = true;
      std::string why = framing_error(parser_->get().base());
      if (!why.empty()) return refuse(400, std::move(why));
      if (!parser_->is_done()) send_continue();
    }
    if (failed == http::error::need_more) failed = {};
    if (failed) return refuse(status_of(failed), failed.message());
    if (parser_->is_done()) return handle();
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
                                bool head) {
    auto exchange = std::make_shared<Exchange>(
        weak_from_this(), std::move(request), keep_alive, head);
    exchanges_.push_back(exchange);
    ++server_->open_exchanges;
    return exchange;
  }

  void handle() {
    auto message = parser_->release();
    bool keep_alive = message.keep_alive();
    bool head = message.method() == http::verb::head;
    HttpRequest request = {
        std::string(message.method_string()), std::string(message.target()),
        fields_of(message.base()), std::move(message.body()), remote_};
    receiving_ = false;
    if (!writing_) timer_.cancel();
    auto exchange = add(std::move(request), keep_alive, head);
    // What comes behind it is sent again once its answer has closed the
    // connection.
    if (!keep_alive || server_->closing) stop_parsing_ = true;
    auto self = shared_from_this();
    server_->handler(exchange);
    if (closed_) return;
    // Goes on reading: the next request, or the sender's close.
    if (!stop_parsing_ && !full()) return expect_request();
    if (buffer_.size() < buffer_.max_size()) read_more();
  }

  void refuse(int status, std::string why) {
    receiving_ = false;
    stop_parsing_ = true;
    HttpResponse refusal = server_->refusal(status, std::move(why));
    refusal.close = true;
    add({}, false, false)->answer(std::move(refusal));
  }

  void send_raw(const std::string& bytes) {
    writing_ = true;
    asio::async_write(socket_, asio::buffer(bytes),
                      [self = shared_from_this(), first = exchanges_.front()](
                          error_code, std::size_t) { self->abort(); });
  }

  void send(const Exchange& exchange) {
    if (silent_) return;
    writing_ = true;
    const HttpResponse& answer = *exchange.ready();
    auto held = std::make_shared<http::response<http::string_body>>();
    held->version(11);
    held->result(static_cast<unsigned>(answer.status));
    for (const auto& [name, value] : answer.headers) held->insert(name, value);
    // Requests behind this one have been read and are owed their answers.
    bool last = exchanges_.size() == 1;
    bool wanted = answer.close || !exchange.keep_alive() || server_->closing;
    close_after_ = wanted && last;
    if (close_after_) stop_parsing_ = true;
    held->keep_alive(!close_after_);
    bool bodiless = answer.status == 204 || answer.status == 304;
    held->body() = bodiless ? std::string() : answer.body;
    if (!bodiless && !exchange.head()) held->prepare_payload();
    if (exchange.head()) held->body().clear();
    if (!receiving_) limit(server_->options.receive_limit);
    http::async_write(
        socket_, *held,
        [self = shared_from_this(), held](error_code failed, std::size_t) {
          self->on_sent(failed);
        });
  }

  void on_sent(error_code failed) {
    writing_ = false;
    if (closed_) return;
    exchanges_.pop_front();
    --server_->open_exchanges;
    if (failed || read_ended_) return close();
    if (close_after_) return drain_and_close();
    if (!receiving_) timer_.cancel();
    if (exchanges_.empty() && !receiving_ && !stop_parsing_) {
      limit(server_->options.idle_limit);
    }
    if (!stop_parsing_ && !receiving_ && buffer_.size() > 0) {
      expect_request();
    } else {
      read_more();
    }
    flush();
  }

  /// Closing with unread input would reset the connection and could take the
  /// answer away from its reader.
  void drain_and_close() {
    error_code ignored;
    draining_ = true;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kRefusalDrainLimit);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed) self->close();
    });
    buffer_.clear();
    read_more();
  }

  std::shared_ptr<HttpServer::Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::shared_ptr<Exchange>> exchanges_;
  Endpoint remote_;
  bool receiving_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool head_checked_ = false;
  bool stop_parsing_ = false;
  bool close_after_ = false;
  bool draining_ = false;
  bool read_ended_ = false;
  bool tell_gone_ = true;
  bool silent_ = false;
  bool closed_ = false;
};

void Exchange::answer(HttpResponse answer) {
  if (ended_ || finished()) return;
  gone_ = nullptr;
  ready_ = std::move(answer);
  if (auto connection = connection_.lock()) connection->flush();
}

void Exchange::send_raw_and_close(std::string bytes) {
  if (ended_ || finished()) return;
  gone_ = nullptr;
  raw_ = std::move(bytes);
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
    if (!failed && self->connections.size() < self->options.connections) {
      auto connection = std::make_shared<Connection>(self, std::move(socket));
      self->connections.insert(connection);
      connection->start();
    }
    self->accept();
  });
}

HttpResponse HttpServer::Impl::refusal(int status, std::string why) const {
  if (options.refusal) return options.refusal(status, std::move(why));
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
                 "\"" + endpoint.str() + "\" is not an IP number with a port"};
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

void HttpServer::set_limits(std::size_t header_bytes, std::size_t body_bytes,
                            Duration receive_limit, Duration idle_limit) {
  impl_->options.header_bytes = header_bytes;
  impl_->options.body_bytes = body_bytes;
  impl_->options.receive_limit = receive_limit;
  impl_->options.idle_limit = idle_limit;
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
  for (const auto& connection : impl_->connections) connection->silence();
}

std::size_t HttpServer::connections() const {
  return impl_->connections.size();
}

std::size_t HttpServer::open_exchanges() const { return impl_->open_exchanges; }

}  // namespace eelgrasspin::io
