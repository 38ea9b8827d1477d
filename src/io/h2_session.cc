#include "io/h2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <vector>

#include "eelgrasspin/config.h"
#include "io/endpoint.h"
#include "io/http_client.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 64 * 1024;
constexpr std::size_t kMaxWriteBytes = 64 * 1024;
constexpr std::uint32_t kMaxConcurrentStreams = 8192;
constexpr std::int32_t kStreamWindowBytes = 1024 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 16 * 1024 * 1024;
/// A client pings every kPingInterval, so a connection without input for this
/// long is dead.
constexpr Duration kClientIdleTimeout = 4 * config::kPingInterval;

struct Stream {
  H2Message received;
  std::string body_to_send;
  std::size_t sent_bytes = 0;
  H2Session::ResponseCallback done;
  bool headers_sent = false;
  bool remote_ended = false;
};

class Session : public H2Session, public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, Handlers handlers, bool client)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        handlers_(std::make_shared<Handlers>(std::move(handlers))),
        client_(client),
        last_received_(steady_now()) {
    open_session();
  }

  ~Session() override { nghttp2_session_del(session_); }

  void start_client(const Endpoint& endpoint) {
    auto address = parse_endpoint(endpoint);
    if (!address) {
      return asio::post(socket_.get_executor(),
                        [self = shared_from_this()] { self->close(); });
    }
    timer_.expires_after(config::kConnectTimeout);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed && !self->connected_) self->close();
    });
    socket_.async_connect(*address,
                          [self = shared_from_this()](error_code failed) {
                            if (self->closed_) return;
                            if (failed) return self->close();
                            self->start();
                          });
  }

  void start() {
    connected_ = true;
    last_received_ = steady_now();
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    read();
    flush();
    start_idle_check();
  }

  StreamId submit(H2Message request, ResponseCallback done) override {
    auto stream = std::make_unique<Stream>();
    stream->body_to_send = std::move(request.body);
    stream->done = std::move(done);
    std::vector<nghttp2_nv> fields = to_name_values(request.headers);
    nghttp2_data_provider provider = data_provider(stream.get());
    StreamId id = nghttp2_submit_request(
        session_, nullptr, fields.data(), fields.size(),
        stream->body_to_send.empty() ? nullptr : &provider, stream.get());
    if (id < 0) {
      deferred_.push_back([callback = std::move(stream->done)] {
        callback(H2StreamEnd::kNotProcessed, {});
      });
    } else {
      streams_[id] = std::move(stream);
    }
    schedule_flush();
    return id;
  }

  void cancel(StreamId id) override {
    auto found = streams_.find(id);
    if (found == streams_.end()) return;
    found->second->done = nullptr;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    schedule_flush();
  }

  void respond(StreamId id, H2Message response) override {
    auto found = streams_.find(id);
    if (found == streams_.end() || closed_) return;
    Stream* stream = found->second.get();
    stream->body_to_send = std::move(response.body);
    stream->sent_bytes = 0;
    responded_[id] = true;
    std::vector<nghttp2_nv> fields = to_name_values(response.headers);
    nghttp2_data_provider provider = data_provider(stream);
    nghttp2_submit_response(session_, id, fields.data(), fields.size(),
                            stream->body_to_send.empty() ? nullptr : &provider);
    schedule_flush();
  }

  void shut_down() override {
    if (closed_) return;
    can_submit_ = false;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    schedule_flush();
  }

  void close() override {
    if (closed_) return;
    closed_ = true;
    can_submit_ = false;
    auto self = shared_from_this();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    auto streams = std::move(streams_);
    streams_.clear();
    for (auto& [id, stream] : streams) end_incomplete(id, *stream);
    if (handlers_->on_closed) deferred_.push_back(handlers_->on_closed);
    run_deferred();
    handlers_ = std::make_shared<Handlers>();
  }

  bool can_submit() const override { return can_submit_; }
  bool connected() const override { return connected_ && !closed_; }
  TimePoint last_received() const override { return last_received_; }
  std::size_t open_streams() const override { return streams_.size(); }
  bool flushed() const override {
    return streams_.empty() && !writing_ && !flush_scheduled_;
  }
  void stall() override { stalled_ = true; }

 private:
  void open_session();

  static nghttp2_data_provider data_provider(Stream* stream) {
    nghttp2_data_provider provider{};
    provider.source.ptr = stream;
    provider.read_callback = read_body_to_send;
    return provider;
  }

  static std::vector<nghttp2_nv> to_name_values(HeaderFields& headers) {
    std::vector<nghttp2_nv> fields;
    fields.reserve(headers.size());
    for (auto& [name, value] : headers) {
      std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      });
      fields.push_back({reinterpret_cast<std::uint8_t*>(name.data()),
                        reinterpret_cast<std::uint8_t*>(value.data()),
                        name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return fields;
  }

  void end_incomplete(StreamId id, Stream& stream) {
    if (client_) {
      if (!stream.done) return;
      H2StreamEnd end =
          stream.headers_sent ? H2StreamEnd::kLost : H2StreamEnd::kNotProcessed;
      deferred_.push_back(
          [done = std::move(stream.done), end] { done(end, {}); });
    } else if (stream.remote_ended && handlers_->on_cancelled) {
      deferred_.push_back(
          [handlers = handlers_, id] { handlers->on_cancelled(id); });
    }
  }

  void run_deferred() {
    while (!deferred_.empty()) {
      auto batch = std::move(deferred_);
      deferred_.clear();
      for (auto& call : batch) call();
    }
  }

  /// Sends the frames submitted during one event together.
  void schedule_flush() {
    if (flush_scheduled_ || closed_) return;
    flush_scheduled_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->flush_scheduled_ = false;
      self->flush();
    });
  }

  void flush() {
    run_deferred();
    if (writing_ || !connected_ || closed_ || stalled_) return;
    write_buffer_.clear();
    while (write_buffer_.size() < kMaxWriteBytes) {
      const std::uint8_t* data = nullptr;
      ssize_t count = nghttp2_session_mem_send(session_, &data);
      if (count < 0) return close();
      if (count == 0) break;
      write_buffer_.append(reinterpret_cast<const char*>(data),
                           static_cast<std::size_t>(count));
    }
    run_deferred();
    if (closed_) return;
    if (write_buffer_.empty()) {
      if (finished()) close();
      return;
    }
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(write_buffer_),
        [self = shared_from_this()](error_code failed, std::size_t) {
          self->writing_ = false;
          if (self->closed_) return;
          if (failed) return self->close();
          self->flush();
        });
  }

  bool finished() const {
    return nghttp2_session_want_read(session_) == 0 &&
           nghttp2_session_want_write(session_) == 0;
  }

  void read() {
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](error_code failed, std::size_t count) {
          if (self->closed_ || self->stalled_) return;
          if (failed) return self->close();
          self->receive(count);
        });
  }

  void receive(std::size_t count) {
    last_received_ = steady_now();
    ssize_t used =
        nghttp2_session_mem_recv(session_, read_buffer_.data(), count);
    run_deferred();
    if (closed_) return;
    if (used < 0) return close();
    flush();
    if (!closed_) read();
  }

  void start_idle_check() {
    timer_.expires_after(client_ ? config::kPingInterval : kClientIdleTimeout);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (failed || self->closed_) return;
      if (self->client_) return self->ping();
      if (steady_now() - self->last_received_ >= kClientIdleTimeout) {
        return self->close();
      }
      self->start_idle_check();
    });
  }

  void ping() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    TimePoint ping_time = steady_now();
    schedule_flush();
    timer_.expires_after(config::kPingTimeout);
    timer_.async_wait(
        [self = shared_from_this(), ping_time](error_code failed) {
          if (failed || self->closed_) return;
          if (self->last_received_ < ping_time) return self->close();
          self->schedule_ping();
        });
  }

  void schedule_ping() {
    timer_.expires_after(config::kPingInterval - config::kPingTimeout);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed && !self->closed_) self->ping();
    });
  }

  Stream* find(StreamId id) {
    auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second.get();
  }

  void on_stream_close(StreamId id, std::uint32_t code) {
    auto found = streams_.find(id);
    if (found == streams_.end()) return;
    std::unique_ptr<Stream> stream = std::move(found->second);
    streams_.erase(found);
    bool responded = responded_.erase(id) > 0;
    if (!client_) {
      if (!responded || code != NGHTTP2_NO_ERROR) end_incomplete(id, *stream);
      return;
    }
    if (!stream->done) return;
    H2StreamEnd end = H2StreamEnd::kLost;
    if (code == NGHTTP2_REFUSED_STREAM || !stream->headers_sent) {
      end = H2StreamEnd::kNotProcessed;
    } else if (code == NGHTTP2_NO_ERROR && stream->remote_ended) {
      end = H2StreamEnd::kComplete;
    }
    deferred_.push_back([done = std::move(stream->done), end,
                         message = std::move(stream->received)]() mutable {
      done(end, std::move(message));
    });
  }

  void on_message_complete(StreamId id) {
    Stream* stream = find(id);
    if (stream == nullptr) return;
    stream->remote_ended = true;
    if (client_ || !handlers_->on_request) return;
    deferred_.push_back([this, handlers = handlers_, id,
                         message = std::move(stream->received)]() mutable {
      if (!closed_) handlers->on_request(id, std::move(message));
    });
  }

  static ssize_t read_body_to_send(nghttp2_session*, std::int32_t,
                                   std::uint8_t* to, std::size_t room,
                                   std::uint32_t* flags,
                                   nghttp2_data_source* source, void*) {
    auto* stream = static_cast<Stream*>(source->ptr);
    std::size_t count =
        std::min(room, stream->body_to_send.size() - stream->sent_bytes);
    std::copy_n(stream->body_to_send.data() + stream->sent_bytes, count,
                reinterpret_cast<char*>(to));
    stream->sent_bytes += count;
    if (stream->sent_bytes == stream->body_to_send.size())
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
  }

  static Session* session_of(void* user) { return static_cast<Session*>(user); }

  static int begin_headers(nghttp2_session*, const nghttp2_frame* frame,
                           void* user) {
    Session* self = session_of(user);
    if (!self->client_ && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      self->streams_[frame->hd.stream_id] = std::make_unique<Stream>();
    }
    return 0;
  }

  static int header(nghttp2_session*, const nghttp2_frame* frame,
                    const std::uint8_t* name, std::size_t name_size,
                    const std::uint8_t* value, std::size_t value_size,
                    std::uint8_t, void* user) {
    Stream* stream = session_of(user)->find(frame->hd.stream_id);
    if (stream == nullptr) return 0;
    stream->received.headers.emplace_back(
        std::string(reinterpret_cast<const char*>(name), name_size),
        std::string(reinterpret_cast<const char*>(value), value_size));
    return 0;
  }

  static int data_chunk(nghttp2_session* session, std::uint8_t, std::int32_t id,
                        const std::uint8_t* data, std::size_t size,
                        void* user) {
    Session* self = session_of(user);
    Stream* stream = self->find(id);
    if (stream == nullptr) return 0;
    std::size_t max_bytes =
        self->client_ ? config::kMaxAnswerBytes : config::kMaxBodyBytes;
    if (stream->received.body.size() + size > max_bytes) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
      return 0;
    }
    stream->received.body.append(reinterpret_cast<const char*>(data), size);
    return 0;
  }

  static int frame_received(nghttp2_session*, const nghttp2_frame* frame,
                            void* user) {
    Session* self = session_of(user);
    bool carries_message =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (carries_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self->on_message_complete(frame->hd.stream_id);
    }
    if (frame->hd.type == NGHTTP2_GOAWAY) self->can_submit_ = false;
    return 0;
  }

  static int frame_sent(nghttp2_session*, const nghttp2_frame* frame,
                        void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    Stream* stream = session_of(user)->find(frame->hd.stream_id);
    if (stream != nullptr) stream->headers_sent = true;
    return 0;
  }

  static int stream_closed(nghttp2_session*, std::int32_t id,
                           std::uint32_t code, void* user) {
    session_of(user)->on_stream_close(id, code);
    return 0;
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Handlers> handlers_;
  bool client_;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, std::unique_ptr<Stream>> streams_;
  std::map<StreamId, bool> responded_;
  std::vector<std::function<void()>> deferred_;
  std::array<std::uint8_t, kReadBufferBytes> read_buffer_{};
  std::string write_buffer_;
  TimePoint last_received_;
  bool connected_ = false;
  bool can_submit_ = true;
  bool closed_ = false;
  bool writing_ = false;
  bool flush_scheduled_ = false;
  bool stalled_ = false;
};

void Session::open_session() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          begin_headers);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            data_chunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       frame_received);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, frame_sent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         stream_closed);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  // Header fields carry keys and caller names verbatim, which may contain bytes
  // that HTTP does not allow.
  nghttp2_option_set_no_http_messaging(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, kMaxConcurrentStreams);
  if (client_) {
    nghttp2_session_client_new2(&session_, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&session_, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<std::uint32_t>(kStreamWindowBytes)},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

}  // namespace

std::shared_ptr<H2Session> connect_h2(asio::io_context& io,
                                      const Endpoint& endpoint,
                                      H2Session::Handlers handlers) {
  auto session =
      std::make_shared<Session>(tcp::socket(io), std::move(handlers), true);
  session->start_client(endpoint);
  return session;
}

std::shared_ptr<H2Session> accept_h2(tcp::socket socket,
                                     H2Session::Handlers handlers) {
  auto session =
      std::make_shared<Session>(std::move(socket), std::move(handlers), false);
  session->start();
  return session;
}

}  // namespace eelgrasspin::io
