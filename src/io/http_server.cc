#include "io/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <set>

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
class Connection;
}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& io_context, HttpServerOptions opts, Handler handle)
      : io(io_context),
        acceptor(io_context),
        options(std::move(opts)),
        handler(std::move(handle)) {}

  void accept();
  HttpAnswer refusal(int status, std::string why) const;

  asio::io_context& io;
  tcp::acceptor acceptor;
  HttpServerOptions options;
  Handler handler;
  std::set<std::shared_ptr<Connection>> connections;
  std::size_t open_exchanges = 0;
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

class Connection : public HttpExchange,
                   public std::enable_shared_from_this<Connection> {
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

  HttpRequest& request() override { return request_; }

  void on_gone(std::function<void()> gone) override {
    if (phase_ == Phase::kHandling) gone_ = std::move(gone);
  }

  void answer(HttpAnswer answer) override {
    if (phase_ != Phase::kHandling) return;
    if (silent_) return end_exchange(Phase::kClosed);
    send(std::move(answer));
  }

  void send_raw_and_close(std::string bytes) override {
    if (phase_ != Phase::kHandling) return;
    phase_ = Phase::kAnswering;
    raw_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(raw_),
                      [self = shared_from_this()](error_code, std::size_t) {
                        self->close();
                      });
  }

  void abort() override { close(); }

  void close() {
    if (phase_ == Phase::kHandling || phase_ == Phase::kAnswering) {
      end_exchange(Phase::kClosed);
    }
    phase_ = Phase::kClosed;
    gone_ = nullptr;
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    server_->connections.erase(shared_from_this());
  }

  void silence() { silent_ = true; }

 private:
  enum class Phase { kIdle, kReceiving, kHandling, kAnswering, kClosed };

  void end_exchange(Phase next) {
    --server_->open_exchanges;
    phase_ = next;
    gone_ = nullptr;
  }

  void limit(Duration duration) {
    timer_.expires_after(duration);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed) self->on_limit();
    });
  }

  void on_limit() {
    if (timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (phase_ == Phase::kReceiving) {
      refuse(408, "request took too long to arrive");
    } else if (phase_ == Phase::kIdle || phase_ == Phase::kAnswering) {
      close();
    }
  }

  void expect_request() {
    phase_ = Phase::kIdle;
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(server_->options.header_bytes));
    parser_->body_limit(server_->options.body_bytes);
    parser_->eager(true);
    head_checked_ = false;
    if (buffer_.size() > 0) return parse();
    limit(server_->options.idle_limit);
    read_more();
  }

  void read_more() {
    if (reading_) return;
    reading_ = true;
    std::size_t room =
        std::min(kReadChunk, buffer_.max_size() - buffer_.size());
    socket_.async_read_some(
        buffer_.prepare(room),
        [self = shared_from_this()](error_code failed, std::size_t count) {
          self->on_read(failed, count);
        });
  }

  void on_read(error_code failed, std::size_t count) {
    reading_ = false;
    if (phase_ == Phase::kClosed || silent_) return;
    if (failed) return on_read_failed();
    buffer_.commit(count);
    if (phase_ == Phase::kIdle || phase_ == Phase::kReceiving) parse();
  }

  void on_read_failed() {
    if (phase_ == Phase::kAnswering) return;  // The write decides.
    std::function<void()> gone = std::move(gone_);
    gone_ = nullptr;
    close();
    if (gone) gone();
  }

  void parse() {
    if (phase_ == Phase::kIdle) {
      phase_ = Phase::kReceiving;
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
    if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      return;
    }
    auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    asio::async_write(
        socket_, asio::buffer(*text),
        [self = shared_from_this(), text](error_code, std::size_t) {});
  }

  void handle() {
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    head_request_ = message.method() == http::verb::head;
    request_ = {std::string(message.method_string()),
                std::string(message.target()), fields_of(message.base()),
                std::move(message.body()), remote_};
    phase_ = Phase::kHandling;
    ++server_->open_exchanges;
    if (buffer_.size() == 0) read_more();  // Notices that the sender closes.
    server_->handler(shared_from_this());
  }

  void refuse(int status, std::string why) {
    phase_ = Phase::kHandling;
    ++server_->open_exchanges;
    HttpAnswer refusal = server_->refusal(status, std::move(why));
    refusal.close = true;
    refusing_ = true;
    send(std::move(refusal));
  }

  void send(HttpAnswer answer) {
    phase_ = Phase::kAnswering;
    gone_ = nullptr;
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(answer.status));
    for (const auto& [name, value] : answer.headers) {
      message.insert(name, value);
    }
    close_after_ = answer.close || !keep_alive_;
    message.keep_alive(!close_after_);
    bool bodiless = answer.status == 204 || answer.status == 304;
    message.body() = bodiless ? std::string() : std::move(answer.body);
    if (!bodiless && !head_request_) message.prepare_payload();
    if (head_request_) message.body().clear();
    limit(server_->options.receive_limit);
    auto held =
        std::make_shared<http::response<http::string_body>>(std::move(message));
    http::async_write(
        socket_, *held,
        [self = shared_from_this(), held](error_code failed, std::size_t) {
          self->on_sent(failed);
        });
  }

  void on_sent(error_code failed) {
    if (phase_ != Phase::kAnswering) return;
    if (failed) return close();
    if (refusing_) return drain_and_close();
    if (close_after_) return close();
    end_exchange(Phase::kIdle);
    expect_request();
  }

  /// Closing with unread input would reset the connection and could take the
  /// refusal away from its reader.
  void drain_and_close() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kRefusalDrainLimit);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed) self->close();
    });
    drain();
  }

  void drain() {
    if (phase_ == Phase::kClosed || reading_) return;
    buffer_.clear();
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadChunk),
        [self = shared_from_this()](error_code failed, std::size_t) {
          self->reading_ = false;
          if (self->phase_ == Phase::kClosed) return;
          if (failed) return self->close();
          self->drain();
        });
  }

  std::shared_ptr<HttpServer::Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpRequest request_;
  Endpoint remote_;
  std::function<void()> gone_;
  std::string raw_;
  Phase phase_ = Phase::kIdle;
  bool reading_ = false;
  bool head_checked_ = false;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool close_after_ = false;
  bool refusing_ = false;
  bool silent_ = false;
};

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

HttpAnswer HttpServer::Impl::refusal(int status, std::string why) const {
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

Endpoint HttpServer::local() const {
  error_code ignored;
  return to_endpoint(impl_->acceptor.local_endpoint(ignored));
}

void HttpServer::stop_accepting() {
  error_code ignored;
  impl_->acceptor.close(ignored);
}

void HttpServer::close() {
  stop_accepting();
  auto connections = impl_->connections;
  for (const auto& connection : connections) connection->close();
}

void HttpServer::silence_connections() {
  for (const auto& connection : impl_->connections) connection->silence();
}

std::size_t HttpServer::connections() const {
  return impl_->connections.size();
}

std::size_t HttpServer::open_exchanges() const { return impl_->open_exchanges; }

}  // namespace eelgrasspin::io
