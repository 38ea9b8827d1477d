#include "io/transport_h2.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

#include "codec/message_json.h"
#include "eelgrasspin/config.h"
#include "io/endpoint.h"
#include "io/http_client.h"
#include "io/request_fields.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxQueuedMessages = 4096;
/// Time after the deadline for a refusal of the other daemon to arrive.
constexpr Duration kReplyMargin = milliseconds(50);
/// A connection without input for this long may be dead.
constexpr Duration kStaleAfter = config::kPingInterval + config::kPingTimeout;

class H2InboundRequest : public InboundRequest {
 public:
  H2InboundRequest(std::weak_ptr<H2Session> session, H2Session::StreamId stream,
                   DecodedRequest request)
      : session_(std::move(session)),
        stream_(stream),
        request_(std::move(request)) {}

  const RequestHead& head() const override { return request_.head; }
  const ForwardedFrom& from() const override { return request_.from; }
  std::shared_ptr<const Payload> payload() const override {
    return request_.payload;
  }
  void answer(std::uint16_t status, const Payload& payload) override {
    respond(encode_answer(status, payload));
  }
  void refuse(Outcome outcome, Reason reason, Duration retry_after,
              Epoch newer_epoch) override {
    respond(encode_refusal(outcome, reason, retry_after, newer_epoch));
  }
  void on_abandoned(std::function<void()> callback) override {
    on_abandoned_ = std::move(callback);
  }

  void notify_abandoned() {
    std::function<void()> callback = std::move(on_abandoned_);
    on_abandoned_ = nullptr;
    if (callback) callback();
  }

 private:
  void respond(H2Message message) {
    on_abandoned_ = nullptr;
    if (auto session = session_.lock()) {
      session->respond(stream_, std::move(message));
    }
  }

  std::weak_ptr<H2Session> session_;
  H2Session::StreamId stream_;
  DecodedRequest request_;
  std::function<void()> on_abandoned_;
};

/// A connection that another daemon opened, with its open requests.
struct IncomingConnection {
  std::shared_ptr<H2Session> session;
  std::map<H2Session::StreamId, std::weak_ptr<H2InboundRequest>> open_requests;
};

struct ForwardedRequest {
  explicit ForwardedRequest(asio::io_context& io) : timer(io) {}

  std::weak_ptr<H2Session> session;
  H2Session::StreamId stream = 0;
  asio::steady_timer timer;
  Transport::AttemptCallback done;
};

}  // namespace

struct TransportH2::Impl : std::enable_shared_from_this<TransportH2::Impl> {
  Impl(asio::io_context& io_context, DaemonName name, Handlers handle)
      : io(io_context),
        self(std::move(name)),
        handlers(std::move(handle)),
        acceptor(io_context) {}

  std::optional<Error> listen(const Endpoint& endpoint);
  void accept();
  void serve(tcp::socket socket);
  void on_request(const std::shared_ptr<IncomingConnection>& connection,
                  H2Session::StreamId stream, H2Message message);
  void on_forwarded_request(
      const std::shared_ptr<IncomingConnection>& connection,
      H2Session::StreamId stream, H2Message message);

  std::shared_ptr<H2Session> session_to(const Endpoint& to, bool must_be_fresh);
  void forward(AttemptId attempt, const Endpoint& to,
               const OutboundRequest& request, AttemptCallback done);
  void on_stream_end(AttemptId attempt, H2StreamEnd end, H2Message message);
  void on_timeout(AttemptId attempt);
  void finish(AttemptId attempt, AttemptReply reply);

  asio::io_context& io;
  DaemonName self;
  Handlers handlers;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<IncomingConnection>> incoming_connections;
  std::map<Endpoint, std::shared_ptr<H2Session>> sessions;
  std::map<AttemptId, std::shared_ptr<ForwardedRequest>> forwarded_requests;
  bool closed = false;
};

std::optional<Error> TransportH2::Impl::listen(const Endpoint& endpoint) {
  auto address = parse_endpoint(endpoint);
  if (!address) {
    return Error{ErrorCode::kInvalid,
                 "\"" + endpoint.str() + "\" is not an IP address with a port"};
  }
  error_code failed;
  acceptor.open(address->protocol(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind(*address, failed);
  if (!failed) acceptor.listen(tcp::acceptor::max_listen_connections, failed);
  if (failed) {
    return Error{ErrorCode::kUnavailable, "cannot listen on " + endpoint.str() +
                                              ": " + failed.message()};
  }
  accept();
  return std::nullopt;
}

void TransportH2::Impl::accept() {
  acceptor.async_accept(
      [self = shared_from_this()](error_code failed, tcp::socket socket) {
        if (self->closed || !self->acceptor.is_open()) return;
        if (!failed) self->serve(std::move(socket));
        self->accept();
      });
}

void TransportH2::Impl::serve(tcp::socket socket) {
  auto connection = std::make_shared<IncomingConnection>();
  std::weak_ptr<Impl> weak_impl = weak_from_this();
  H2Session::Handlers session_handlers;
  session_handlers.on_request =
      [weak_impl, connection](H2Session::StreamId stream, H2Message message) {
        if (auto impl = weak_impl.lock()) {
          impl->on_request(connection, stream, std::move(message));
        }
      };
  session_handlers.on_cancelled = [connection](H2Session::StreamId stream) {
    auto found = connection->open_requests.find(stream);
    if (found == connection->open_requests.end()) return;
    auto inbound = found->second.lock();
    connection->open_requests.erase(found);
    if (inbound) inbound->notify_abandoned();
  };
  session_handlers.on_closed = [weak_impl, connection] {
    auto keep = connection->session;
    connection->session.reset();
    if (auto impl = weak_impl.lock())
      impl->incoming_connections.erase(connection);
  };
  incoming_connections.insert(connection);
  connection->session =
      accept_h2(std::move(socket), std::move(session_handlers));
}

void TransportH2::Impl::on_request(
    const std::shared_ptr<IncomingConnection>& connection,
    H2Session::StreamId stream, H2Message message) {
  const std::string* path = find_header(message.headers, ":path");
  if (path != nullptr && *path == "/request") {
    return on_forwarded_request(connection, stream, std::move(message));
  }
  if (path == nullptr || *path != "/message") {
    return connection->session->respond(stream, {{{":status", "404"}}, {}});
  }
  Result<PeerMessage> decoded = codec::decode_message(message.body);
  connection->session->respond(
      stream, {{{":status", ok(decoded) ? "204" : "400"}}, {}});
  if (ok(decoded)) handlers.on_message(std::move(value(decoded)));
}

void TransportH2::Impl::on_forwarded_request(
    const std::shared_ptr<IncomingConnection>& connection,
    H2Session::StreamId stream, H2Message message) {
  auto decoded = decode_request(std::move(message));
  if (!decoded) {
    return connection->session->respond(
        stream, encode_refusal(Outcome::kNotRun, Reason::kBadRequest,
                               Duration(0), Epoch()));
  }
  auto inbound = std::make_shared<H2InboundRequest>(connection->session, stream,
                                                    std::move(*decoded));
  std::erase_if(connection->open_requests,
                [](const auto& item) { return item.second.expired(); });
  connection->open_requests[stream] = inbound;
  handlers.on_request(inbound);
}

/// The existing session if it accepts streams, else a new one. With
/// `must_be_fresh`, a connected session without recent input is replaced too.
std::shared_ptr<H2Session> TransportH2::Impl::session_to(const Endpoint& to,
                                                         bool must_be_fresh) {
  std::shared_ptr<H2Session>& existing = sessions[to];
  bool stale = existing && existing->connected() &&
               steady_now() - existing->last_received() > kStaleAfter;
  if (existing && existing->can_submit() && !(must_be_fresh && stale))
    return existing;
  existing = connect_h2(io, to, {});
  return existing;
}

void TransportH2::Impl::forward(AttemptId attempt, const Endpoint& to,
                                const OutboundRequest& request,
                                AttemptCallback done) {
  auto forwarded = std::make_shared<ForwardedRequest>(io);
  forwarded->done = std::move(done);
  auto session = session_to(to, !request.repeatable);
  forwarded->session = session;
  forwarded_requests[attempt] = forwarded;
  std::weak_ptr<Impl> weak_impl = weak_from_this();
  forwarded->stream =
      session->submit(encode_request(request, self),
                      [weak_impl, attempt](H2StreamEnd end, H2Message message) {
                        if (auto impl = weak_impl.lock()) {
                          impl->on_stream_end(attempt, end, std::move(message));
                        }
                      });
  forwarded->timer.expires_after(request.time_left + kReplyMargin);
  forwarded->timer.async_wait([weak_impl, attempt](error_code failed) {
    auto impl = weak_impl.lock();
    if (!failed && impl) impl->on_timeout(attempt);
  });
}

void TransportH2::Impl::on_stream_end(AttemptId attempt, H2StreamEnd end,
                                      H2Message message) {
  switch (end) {
    case H2StreamEnd::kComplete:
      return finish(attempt, decode_reply(std::move(message)));
    case H2StreamEnd::kNotProcessed:
      return finish(attempt, {AttemptNotRun{Reason::kOwnerUnreachable,
                                            Duration(0), Epoch()},
                              nullptr});
    case H2StreamEnd::kLost:
      return finish(attempt,
                    {AttemptUnknown{Reason::kConnectionLost, false}, nullptr});
  }
}

void TransportH2::Impl::on_timeout(AttemptId attempt) {
  auto found = forwarded_requests.find(attempt);
  if (found == forwarded_requests.end()) return;
  auto session = found->second->session.lock();
  bool sent = !session || session->connected();
  if (session) session->cancel(found->second->stream);
  if (sent) {
    finish(attempt,
           {AttemptUnknown{Reason::kTimeoutAfterSend, false}, nullptr});
  } else {
    finish(attempt,
           {AttemptNotRun{Reason::kOwnerUnreachable, Duration(0), Epoch()},
            nullptr});
  }
}

void TransportH2::Impl::finish(AttemptId attempt, AttemptReply reply) {
  auto found = forwarded_requests.find(attempt);
  if (found == forwarded_requests.end()) return;
  auto forwarded = std::move(found->second);
  forwarded_requests.erase(found);
  forwarded->timer.cancel();
  forwarded->done(std::move(reply));
}

TransportH2::TransportH2(asio::io_context& io, DaemonName self,
                         Handlers handlers)
    : impl_(std::make_shared<Impl>(io, std::move(self), std::move(handlers))) {}

TransportH2::~TransportH2() { close(); }

std::optional<Error> TransportH2::listen(const Endpoint& endpoint) {
  return impl_->listen(endpoint);
}

Endpoint TransportH2::bound_endpoint() const {
  error_code ignored;
  return to_endpoint(impl_->acceptor.local_endpoint(ignored));
}

void TransportH2::send(const Endpoint& to, const PeerMessage& message) {
  auto session = impl_->session_to(to, false);
  if (session->open_streams() >= kMaxQueuedMessages) return;
  session->submit(
      {{{":method", "POST"}, {":scheme", "http"}, {":path", "/message"}},
       codec::encode_message(message)},
      [](H2StreamEnd, const H2Message&) {});
}

void TransportH2::forward(AttemptId attempt, const Endpoint& to,
                          const OutboundRequest& request,
                          AttemptCallback done) {
  impl_->forward(attempt, to, request, std::move(done));
}

void TransportH2::cancel(AttemptId attempt) {
  auto found = impl_->forwarded_requests.find(attempt);
  if (found == impl_->forwarded_requests.end()) return;
  auto forwarded = std::move(found->second);
  impl_->forwarded_requests.erase(found);
  forwarded->timer.cancel();
  if (auto session = forwarded->session.lock())
    session->cancel(forwarded->stream);
}

void TransportH2::shut_down() {
  error_code ignored;
  impl_->acceptor.close(ignored);
  for (const auto& connection : impl_->incoming_connections) {
    if (connection->session) connection->session->shut_down();
  }
}

bool TransportH2::flushed() const {
  return std::all_of(
      impl_->incoming_connections.begin(), impl_->incoming_connections.end(),
      [](const auto& connection) {
        return !connection->session || connection->session->flushed();
      });
}

void TransportH2::close() {
  impl_->closed = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->forwarded_requests.clear();
  auto links = impl_->incoming_connections;
  for (const auto& connection : links) {
    if (auto session = connection->session) session->close();
  }
  auto sessions = std::move(impl_->sessions);
  impl_->sessions.clear();
  for (const auto& [endpoint, session] : sessions) session->close();
}

void TransportH2::stall_connections() {
  for (const auto& connection : impl_->incoming_connections) {
    if (connection->session) connection->session->stall();
  }
  for (const auto& [endpoint, session] : impl_->sessions) session->stall();
}

}  // namespace eelgrasspin::io
