#include "io/http_server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <deque>
#include <new>
#include <set>
#include <utility>
#include <vector>

#include "io/byte_budget.h"
#include "io/endpoint.h"
#include "io/http_client.h"
#include "io/progress.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr std::size_t kReadChunkBytes = 16 * 1024;
/// Of a body with a known length. Reads of 16 KB, together with a heap trimmed
/// to 128 KB, took a quarter more processor time for a body of 60 KB.
constexpr std::size_t kBodyReadBytes = 64 * 1024;
constexpr Duration kDiscardInputTimeout = milliseconds(500);
/// Input that is read after a refusal, so that its sender gets the refusal. A
/// larger body is left unread.
constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;
/// Requests of one connection that are handled concurrently.
constexpr std::size_t kMaxPipelinedRequests = 16;
/// Memory of a connection or a request besides its buffers and its text.
constexpr std::size_t kConnectionBytes = 4 * 1024;
constexpr std::size_t kRequestBytes = 4 * 1024;
/// Memory of a header field besides its text, when parsed and when copied.
constexpr std::size_t kFieldBytes = 128;
/// A field of 4 bytes takes 64 to 80 while the header is incomplete.
constexpr std::size_t kBytesPerHeaderByte = 20;
/// The allocator gives larger buffers pages of their own, which take memory
/// only where bytes have been written.
constexpr std::size_t kMinPagedBytes = 128 * 1024;
/// Bytes that are read of a request which has to wait for earlier ones.
constexpr std::size_t kMaxUnparsedBytes = 4 * 1024;
/// The part of the memory for requests that connections without one may take.
constexpr std::size_t kConnectionsPart = 4;
constexpr Duration kAcceptRetryInterval = milliseconds(20);
/// After the system had no descriptor left, there are fewer connections by a
/// quarter for this time.
constexpr Duration kDescriptorShortage = seconds(10);
constexpr std::size_t kMinConnections = 4;
/// A higher age of input is taken for a mistake of the system.
constexpr Duration kMaxInputAge = seconds(60);
/// A client is not looked for again within this time.
constexpr Duration kClientCheckInterval = milliseconds(10);
class Connection;
}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& io_context, HttpServerOptions opts, Handler handle)
      : io(io_context),
        acceptor(io_context),
        accept_timer(io_context),
        options(std::move(opts)),
        handler(std::move(handle)) {
    if (options.max_request_bytes > 0) {
      request_budget = std::make_shared<ByteBudget>(options.max_request_bytes);
    }
    if (options.max_response_bytes > 0) {
      response_budget =
          std::make_shared<ByteBudget>(options.max_response_bytes);
    }
  }

  void accept();
  void on_accepted(error_code failed, tcp::socket socket);
  std::size_t max_connections(TimePoint now) const;
  /// Closes the connection that is needed least: one without a request, or the
  /// one that has sent nothing of its request for the longest time, or that
  /// does not read its response. False if there is none.
  bool close_one(std::string_view why);
  /// Refuses requests that are being received until the limits are kept.
  void free_request_bytes();
  /// Closes connections that do not read until the limit is kept.
  void free_response_bytes();
  /// The same, later: closing may call handlers.
  void free_response_bytes_soon();
  void force_close(const std::shared_ptr<Connection>& connection,
                   std::string_view why);
  HttpResponse make_refusal(int status, std::string why,
                            const HttpRequest& received) const;

  asio::io_context& io;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  HttpServerOptions options;
  Handler handler;
  std::shared_ptr<ByteBudget> request_budget;   ///< Null: no limit.
  std::shared_ptr<ByteBudget> response_budget;  ///< Null: no limit.
  /// Part of `request_budget` held by requests that can still be refused.
  std::size_t receiving_bytes = 0;
  bool freeing_response_bytes = false;
  std::size_t reduced_connections = 0;  ///< Limit until `reduced_until`.
  TimePoint reduced_until;
  std::set<std::shared_ptr<Connection>> connections;
  std::size_t open_exchanges = 0;
  std::uint64_t limits_number = 0;  ///< Grows when a limit of size changes.
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
  if (failure == http::error::header_limit) return kHeaderTooLarge;
  if (failure == http::error::body_limit) return kBodyTooLarge;
  return kBadRequest;
}

std::size_t text_bytes(const HeaderFields& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers)
    bytes += kFieldBytes + name.size() + value.size();
  return bytes;
}

/// Memory of a body; it may be longer than what has been written to it.
std::size_t body_memory(const std::string& body) {
  return body.capacity() < kMinPagedBytes
             ? body.capacity()
             : std::max(body.size(), std::size_t{kMinPagedBytes});
}

std::size_t memory_of(const HttpRequest& request) {
  return kRequestBytes + text_bytes(request.headers) +
         body_memory(request.body);
}

std::size_t memory_of(const HttpResponse& response) {
  return kRequestBytes + text_bytes(response.headers) +
         body_memory(response.body);
}

/// Time since the socket received its last bytes; 0 where the system does not
/// tell.
Duration input_age(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int failed =
      ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  if (failed != 0 || size < offsetof(tcp_info, tcpi_last_ack_recv))
    return Duration(0);
  Duration age = milliseconds(info.tcpi_last_data_recv);
  return age < kMaxInputAge ? age : Duration(0);
}

/// Whether the peer has closed the connection, or its sending side, although
/// there may be input of it that has not been read.
bool peer_has_closed(tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool is_descriptor_shortage(error_code failed) {
  return failed == asio::error::no_descriptors ||
         failed == boost::system::errc::too_many_files_open_in_system ||
         failed == asio::error::no_buffer_space ||
         failed == asio::error::no_memory;
}

/// One request of a connection, queued until its response can be sent.
class Exchange : public HttpExchange {
 public:
  Exchange(std::weak_ptr<Connection> connection, HttpRequest request,
           const std::shared_ptr<HttpServer::Impl>& server, bool keep_alive,
           bool is_head_request)
      : connection_(std::move(connection)),
        server_(server),
        request_(std::move(request)),
        request_share_(server->request_budget),
        response_share_(server->response_budget),
        keep_alive_(keep_alive),
        is_head_request_(is_head_request) {
    request_share_.set(memory_of(request_));
  }

  HttpRequest& request() override { return request_; }
  void answer(HttpResponse response) override;
  void on_abandoned(std::function<void()> callback) override {
    if (!connection_ended_) on_abandoned_ = std::move(callback);
  }
  void send_raw_and_close(std::string bytes) override;
  void abort() override;
  bool client_waits(TimePoint now) override;

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
  std::size_t response_bytes() const { return response_share_.bytes(); }

 private:
  /// Counts the response, and no longer a body that the handler has taken.
  void count_response(std::size_t bytes) {
    request_share_.set(memory_of(request_));
    response_share_.set(bytes);
  }

  std::weak_ptr<Connection> connection_;
  std::weak_ptr<HttpServer::Impl> server_;
  HttpRequest request_;
  ByteShare request_share_;
  ByteShare response_share_;
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
        own_share_(server_->request_budget),
        received_share_(server_->request_budget),
        buffer_(server_->options.max_header_bytes + kBodyReadBytes) {}

  void start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    own_share_.set(kConnectionBytes);
    start_progress(progress_, steady_now());
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

  /// Whether the client has not closed the connection; closes it if it has.
  bool check_client(TimePoint now) {
    if (closed_) return false;
    if (now - client_checked_at_ < kClientCheckInterval) return true;
    client_checked_at_ = now;
    if (!peer_has_closed(socket_)) return true;
    on_read_failed();
    return false;
  }

  /// Closes without running the on_abandoned callbacks.
  void abort() {
    notify_abandoned_ = false;
    close();
  }

  /// Refuses the request that is being received.
  void refuse_for_memory() {
    if (receiving_ && !closed_)
      refuse(503, "too many bodies are being received");
  }

  const Endpoint& remote() const { return remote_; }
  bool receiving() const { return receiving_; }
  /// No request in progress.
  bool idle() const {
    return exchanges_.empty() && !receiving_ && !writing_ && !discarding_input_;
  }
  /// The refusal of its last request has been sent.
  bool refused() const { return discarding_input_; }
  /// Has sent all its requests completely; one of them is not answered yet.
  bool waits_for_answer() const {
    return !receiving_ && !writing_ && !exchanges_.empty();
  }
  /// What the request that is being received holds, and how it progresses.
  Holding received(TimePoint now) const {
    return {received_share_.bytes(), is_slow(progress_, now), progress_.last};
  }
  /// What the responses hold that have not been sent completely.
  Holding unsent(TimePoint now) const {
    Holding holding;
    for (const auto& exchange : exchanges_)
      holding.bytes += exchange->response_bytes();
    holding.slow = writing_ && is_slow(write_progress_, now);
    holding.last_progress = write_progress_.last;
    return holding;
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
    count_received(0);
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
  }

  void count_received(std::size_t bytes) {
    server_->receiving_bytes += bytes - received_share_.bytes();
    received_share_.set(bytes);
  }

  /// What the request that is being received holds now.
  std::size_t received_memory() const {
    return buffer_.capacity() + head_bytes_ +
           body_memory(parser_->get().body());
  }

  void count_head(std::size_t consumed) {
    if (head_checked_) return;
    if (!parser_->is_header_done()) {
      head_bytes_ += consumed * kBytesPerHeaderByte;
      return;
    }
    head_bytes_ = kRequestBytes;
    for (const auto& field : parser_->get().base()) {
      head_bytes_ +=
          2 * kFieldBytes + field.name_string().size() + field.value().size();
    }
  }

  /// Whether a body of this length has room beside the requests that cannot be
  /// refused any more.
  bool could_hold(std::uint64_t bytes) const {
    if (!server_->request_budget || bytes <= kSmallRequestBytes) return true;
    std::size_t limit = server_->request_budget->limit();
    std::size_t kept =
        server_->request_budget->used() - server_->receiving_bytes;
    return kept < limit && bytes <= limit - kept;
  }

  void start_parser() {
    receiving_ = false;
    count_received(0);
    head_bytes_ = 0;
    parser_.emplace();
    parser_->eager(true);
    head_checked_ = false;
  }

  /// Called with the first byte of a request: the connection may have waited
  /// for it since before the limits were set.
  void start_receiving() {
    receiving_ = true;
    const HttpServerOptions& options = server_->options;
    parser_->header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
    parser_->body_limit(options.max_body_bytes);
    limits_number_ = server_->limits_number;
    own_share_.set(kConnectionBytes);
    start_progress(progress_, steady_now());
    start_timer(options.receive_timeout);
  }

  void expect_request() {
    start_parser();
    if (buffer_.size() > 0 && may_parse()) return parse();
    if (exchanges_.empty()) start_timer(server_->options.idle_timeout);
    read_more();
  }

  void read_more() {
    if (reading_ || closed_ || input_room() == 0) return;
    reading_ = true;
    // There is a buffer only while there is something to read: most
    // connections are idle most of the time.
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code failed) {
                         self->on_readable(failed);
                       });
  }

  /// Bytes to read next. Input that cannot be parsed yet stays with its sender.
  std::size_t input_room() const {
    std::size_t limit = may_parse() || discarding_input_ ? buffer_.max_size()
                                                         : kMaxUnparsedBytes;
    return std::min(read_size(), limit - std::min(limit, buffer_.size()));
  }

  std::size_t read_size() const {
    if (!receiving_ || !head_checked_) return kReadChunkBytes;
    std::uint64_t left = parser_->content_length_remaining().value_or(0);
    return std::clamp<std::uint64_t>(left, kReadChunkBytes, kBodyReadBytes);
  }

  void on_readable(error_code failed) {
    reading_ = false;
    if (closed_ || stalled_) return;
    std::size_t count = 0;
    if (!failed && input_room() == 0) return;
    if (!failed) {
      count = socket_.read_some(buffer_.prepare(input_room()), failed);
    }
    if (failed == asio::error::would_block) {
      buffer_.shrink_to_fit();
      return read_more();
    }
    if (failed) return on_read_failed();
    buffer_.commit(count);
    record_progress(progress_, count, steady_now());
    if (discarding_input_) return discard(count);
    if (may_parse()) return parse();
    count_unparsed();
  }

  /// Counts input that waits until earlier requests have been answered.
  void count_unparsed() {
    if (buffer_.size() < buffer_.capacity() / 2) buffer_.shrink_to_fit();
    own_share_.set(kConnectionBytes + buffer_.capacity());
  }

  /// A body that the system has no memory for ends its connection only.
  void parse() {
    try {
      parse_input();
    } catch (const std::bad_alloc&) {
      server_->force_close(shared_from_this(), "no memory");
    }
  }

  void discard(std::size_t count) {
    buffer_.clear();
    buffer_.shrink_to_fit();
    discarded_bytes_ += count;
    if (discarded_bytes_ < kMaxDiscardedBytes) read_more();
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

  void parse_input() {
    if (!receiving_) start_receiving();
    error_code failed;
    std::size_t consumed = parser_->put(buffer_.data(), failed);
    buffer_.consume(consumed);
    if (buffer_.size() < buffer_.capacity() / 2) buffer_.shrink_to_fit();
    count_head(consumed);
    if (parser_->is_header_done() && !head_checked_) {
      head_checked_ = true;
      std::string why = framing_error(parser_->get().base());
      if (!why.empty()) return refuse(400, std::move(why));
      if (!could_hold(parser_->content_length().value_or(0)))
        return refuse(503, "no memory for a body of this length");
      if (!parser_->is_done()) send_continue();
    }
    if (failed == http::error::need_more) failed = {};
    if (failed) return refuse_by_limits(failed);
    count_received(received_memory());
    server_->free_request_bytes();
    if (!receiving_) return;  // Refused.
    if (parser_->is_done()) return dispatch();
    if (buffer_.size() >= server_->options.max_header_bytes + kReadChunkBytes) {
      return refuse_by_limits(http::error::header_limit);
    }
    read_more();
  }

  /// A request that is over limits which no longer hold may be sent again.
  void refuse_by_limits(error_code failed) {
    int status = refusal_status(failed);
    bool over_limit = status != kBadRequest;
    if (over_limit && limits_number_ != server_->limits_number)
      return refuse(kUnavailable, "limits have changed");
    refuse(status, failed.message());
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
    count_received(0);
    auto exchange =
        std::make_shared<Exchange>(weak_from_this(), std::move(request),
                                   server_, keep_alive, is_head_request);
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
    request.age = input_age(socket_);
    receiving_ = false;
    client_checked_at_ = steady_now();
    if (peer_has_closed(socket_)) return drop_request(request);
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
    count_unparsed();
    read_more();
  }

  void drop_request(const HttpRequest& request) {
    if (server_->options.on_client_gone)
      server_->options.on_client_gone(request);
    start_parser();
    on_read_failed();
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
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers)
      message.insert(name, value);
    // Later requests that have been read must be answered before the close.
    bool last = exchanges_.size() == 1;
    bool close_requested =
        response.close || !exchange.keep_alive() || server_->closing;
    close_after_response_ = close_requested && last;
    if (close_after_response_) stop_parsing_ = true;
    message.keep_alive(!close_after_response_);
    bool without_body = response.status == 204 || response.status == 304;
    if (!without_body) message.body() = std::move(response.body);
    if (!without_body && !exchange.is_head_request()) message.prepare_payload();
    if (exchange.is_head_request()) message.body().clear();
    if (!receiving_) start_timer(server_->options.receive_timeout);
    start_progress(write_progress_, steady_now());
    write(std::make_shared<Outgoing>(std::move(message)));
  }

  struct Outgoing {
    explicit Outgoing(http::response<http::string_body> response)
        : message(std::move(response)), serializer(message) {}
    http::response<http::string_body> message;
    http::response_serializer<http::string_body> serializer;
  };

  void write(std::shared_ptr<Outgoing> outgoing) {
    auto& serializer = outgoing->serializer;
    http::async_write_some(
        socket_, serializer,
        [self = shared_from_this(), outgoing = std::move(outgoing)](
            error_code failed, std::size_t count) {
          record_progress(self->write_progress_, count, steady_now());
          if (failed || outgoing->serializer.is_done())
            return self->on_sent(failed);
          self->write(outgoing);
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
    discard(buffer_.size());
  }

  std::shared_ptr<HttpServer::Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  ByteShare own_share_;
  ByteShare received_share_;     ///< Of the request that is being received.
  std::size_t head_bytes_ = 0;   ///< Memory of its header.
  TimePoint client_checked_at_;  ///< Last look for the client's close.
  Progress progress_;            ///< Of receiving.
  Progress write_progress_;      ///< Of sending the response.
  std::size_t discarded_bytes_ = 0;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::shared_ptr<Exchange>> exchanges_;
  Endpoint remote_;
  std::uint64_t limits_number_ = 0;  ///< Of the request being received.
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
  count_response(memory_of(*response_));
  if (auto connection = connection_.lock()) connection->flush();
  if (auto server = server_.lock()) server->free_response_bytes_soon();
}

void Exchange::send_raw_and_close(std::string bytes) {
  if (connection_ended_ || finished()) return;
  on_abandoned_ = nullptr;
  raw_bytes_ = std::move(bytes);
  count_response(raw_bytes_->size());
  if (auto connection = connection_.lock()) connection->flush();
}

void Exchange::abort() {
  if (auto connection = connection_.lock()) connection->abort();
}

bool Exchange::client_waits(TimePoint now) {
  auto connection = connection_.lock();
  return connection && connection->check_client(now);
}

}  // namespace

void HttpServer::Impl::accept() {
  acceptor.async_accept(
      [self = shared_from_this()](error_code failed, tcp::socket socket) {
        if (!self->acceptor.is_open()) return;
        self->on_accepted(failed, std::move(socket));
      });
}

void HttpServer::Impl::on_accepted(error_code failed, tcp::socket socket) {
  TimePoint now = steady_now();
  if (is_descriptor_shortage(failed)) {
    // The waiting caller stays in the queue of the system, and accepting again
    // at once would fail again without a pause.
    reduced_connections = std::max(connections.size() * 3 / 4, kMinConnections);
    reduced_until = now + kDescriptorShortage;
    while (connections.size() > reduced_connections &&
           close_one("no descriptor")) {
    }
    accept_timer.expires_after(kAcceptRetryInterval);
    return accept_timer.async_wait(
        [self = shared_from_this()](error_code cancelled) {
          if (!cancelled && self->acceptor.is_open()) self->accept();
        });
  }
  if (!failed && (connections.size() < max_connections(now) ||
                  close_one("too many connections"))) {
    auto connection =
        std::make_shared<Connection>(shared_from_this(), std::move(socket));
    connections.insert(connection);
    connection->start();
  }
  accept();
}

std::size_t HttpServer::Impl::max_connections(TimePoint now) const {
  std::size_t limit = options.max_connections;
  if (request_budget) {
    limit = std::min(
        limit, options.max_request_bytes / kConnectionsPart / kConnectionBytes);
  }
  if (now < reduced_until) limit = std::min(limit, reduced_connections);
  return limit;
}

bool HttpServer::Impl::close_one(std::string_view why) {
  TimePoint now = steady_now();
  std::shared_ptr<Connection> chosen;
  int chosen_rank = 0;
  Holding chosen_holding;
  for (const auto& connection : connections) {
    if (connection->waits_for_answer()) continue;
    bool idle = connection->idle();
    Holding holding = idle || connection->receiving()
                          ? connection->received(now)
                          : connection->unsent(now);
    int rank = idle ? 0 : holding.slow || connection->refused() ? 1 : 2;
    // A response that is being read is not cut short.
    if (rank == 2 && !connection->receiving()) continue;
    bool better = !chosen || rank < chosen_rank ||
                  (rank == chosen_rank &&
                   holding.last_progress < chosen_holding.last_progress);
    if (!better) continue;
    chosen = connection;
    chosen_rank = rank;
    chosen_holding = holding;
  }
  if (chosen) force_close(chosen, why);
  return chosen != nullptr;
}

void HttpServer::Impl::free_request_bytes() {
  if (!request_budget || request_budget->used() <= request_budget->limit())
    return;
  TimePoint now = steady_now();
  std::vector<std::shared_ptr<Connection>> candidates;
  std::vector<Holding> holdings;
  for (const auto& connection : connections) {
    if (!connection->receiving()) continue;
    candidates.push_back(connection);
    holdings.push_back(connection->received(now));
  }
  HoldingLimits limits = {
      options.max_request_bytes,
      std::max(options.max_request_bytes, options.max_small_request_bytes),
      kSmallRequestBytes};
  for (std::size_t index :
       choose_to_end(holdings, request_budget->used(), limits)) {
    candidates[index]->refuse_for_memory();
  }
}

void HttpServer::Impl::free_response_bytes_soon() {
  if (freeing_response_bytes || !response_budget ||
      response_budget->used() <= response_budget->limit()) {
    return;
  }
  freeing_response_bytes = true;
  asio::post(io, [weak = weak_from_this()] {
    if (auto self = weak.lock()) self->free_response_bytes();
  });
}

void HttpServer::Impl::free_response_bytes() {
  freeing_response_bytes = false;
  TimePoint now = steady_now();
  std::vector<std::shared_ptr<Connection>> candidates;
  std::vector<Holding> holdings;
  for (const auto& connection : connections) {
    Holding holding = connection->unsent(now);
    if (holding.bytes == 0) continue;
    candidates.push_back(connection);
    holdings.push_back(holding);
  }
  HoldingLimits limits = {options.max_response_bytes,
                          options.max_response_bytes, kSmallRequestBytes};
  for (std::size_t index :
       choose_to_end(holdings, response_budget->used(), limits)) {
    force_close(candidates[index], "answer not read");
  }
}

void HttpServer::Impl::force_close(
    const std::shared_ptr<Connection>& connection, std::string_view why) {
  if (options.on_forced_close)
    options.on_forced_close(connection->remote(), why);
  connection->close();
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
  impl_->accept_timer.cancel();
}

void HttpServer::close_after_answers() { impl_->closing = true; }

void HttpServer::set_limits(std::size_t max_header_bytes,
                            std::size_t max_body_bytes,
                            Duration receive_timeout, Duration idle_timeout) {
  if (max_header_bytes != impl_->options.max_header_bytes ||
      max_body_bytes != impl_->options.max_body_bytes) {
    ++impl_->limits_number;
  }
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

std::size_t HttpServer::request_bytes() const {
  return impl_->request_budget ? impl_->request_budget->used() : 0;
}

std::size_t HttpServer::response_bytes() const {
  return impl_->response_budget ? impl_->response_budget->used() : 0;
}

}  // namespace eelgrasspin::io
