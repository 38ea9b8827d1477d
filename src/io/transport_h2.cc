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
/// Time for a refusal of the other daemon to arrive after the deadline.
constexpr Duration kReplySlack = milliseconds(50);
constexpr Duration kFreshnessLimit =
    config::kPingInterval + config::kPingTimeout;

class Inbound : public InboundRequest {
 public:
  Inbound(std::weak_ptr<H2Session> session, H2Session::StreamId stream,
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
  void on_abandoned(std::function<void()> gone) override {
    gone_ = std::move(gone);
  }

  void gone() {
    std::function<void()> call = std::move(gone_);
    gone_ = nullptr;
    if (call) call();
  }

 private:
  void respond(H2Message message) {
    gone_ = nullptr;
    if (auto session = session_.lock()) {
      session->respond(stream_, std::move(message));
    }
  }

  std::weak_ptr<H2Session> session_;
  H2Session::StreamId stream_;
  DecodedRequest request_;
  std::function<void()> gone_;
};

/// A connection that another daemon opened, and its open requests.
struct ServerLink {
  std::shared_ptr<H2Session> session;
  std::map<H2Session::StreamId, std::weak_ptr<Inbound>> open;
};

struct Forwarded {
  explicit Forwarded(asio::io_context& io) : limit(io) {}

  std::weak_ptr<H2Session> session;
  H2Session::StreamId stream = 0;
  asio::steady_timer limit;
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
  void on_request(const std::shared_ptr<ServerLink>& link,
                  H2Session::StreamId stream, H2Message message);
  void on_forwarded(const std::shared_ptr<ServerLink>& link,
                    H2Session::StreamId stream, H2Message message);

  std::shared_ptr<H2Session> session_to(const Endpoint& to, bool proven);
  void forward(AttemptId attempt, const Endpoint& to,
               const OutboundRequest& request, AttemptCallback done);
  void on_reply(AttemptId attempt, H2End end, H2Message message);
  void on_limit(AttemptId attempt);
  void finish(AttemptId attempt, AttemptReply reply);

  asio::io_context& io;
  DaemonName self;
  Handlers handlers;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<ServerLink>> server_links;
  std::map<Endpoint, std::shared_ptr<H2Session>> sessions;
  std::map<AttemptId, std::shared_ptr<Forwarded>> forwarded;
  bool closed = false;
};

std::optional<Error> TransportH2::Impl::listen(const Endpoint& endpoint) {
  auto address = parse_endpoint(endpoint);
  if (!address) {
    return Error{ErrorCode::kInvalid,
                 "\"" + endpoint.str() + "\" is not an IP number with a port"};
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
  auto link = std::make_shared<ServerLink>();
  std::weak_ptr<Impl> weak = weak_from_this();
  H2Session::Handlers on;
  on.on_request = [weak, link](H2Session::StreamId stream, H2Message message) {
    if (auto impl = weak.lock()) {
      impl->on_request(link, stream, std::move(message));
    }
  };
  on.on_cancelled = [link](H2Session::StreamId stream) {
    auto found = link->open.find(stream);
    if (found == link->open.end()) return;
    auto inbound = found->second.lock();
    link->open.erase(found);
    if (inbound) inbound->gone();
  };
  on.on_closed = [weak, link] {
    auto keep = link->session;
    link->session.reset();
    if (auto impl = weak.lock()) impl->server_links.erase(link);
  };
  server_links.insert(link);
  link->session = accept_h2(std::move(socket), std::move(on));
}

void TransportH2::Impl::on_request(const std::shared_ptr<ServerLink>& link,
                                   H2Session::StreamId stream,
                                   H2Message message) {
  const std::string* path = find_header(message.headers, ":path");
  if (path != nullptr && *path == "/request") {
    return on_forwarded(link, stream, std::move(message));
  }
  if (path == nullptr || *path != "/message") {
    return link->session->respond(stream, {{{":status", "404"}}, {}});
  }
  Result<PeerMessage> decoded = codec::decode_message(message.body);
  link->session->respond(stream,
                         {{{":status", ok(decoded) ? "204" : "400"}}, {}});
  if (ok(decoded)) handlers.on_message(std::move(value(decoded)));
}

void TransportH2::Impl::on_forwarded(const std::shared_ptr<ServerLink>& link,
                                     H2Session::StreamId stream,
                                     H2Message message) {
  auto decoded = decode_request(std::move(message));
  if (!decoded) {
    return link->session->respond(
        stream, encode_refusal(Outcome::kNotRun, Reason::kBadRequest,
                               Duration(0), Epoch()));
  }
  auto inbound =
      std::make_shared<Inbound>(link->session, stream, std::move(*decoded));
  std::erase_if(link->open,
                [](const auto& item) { return item.second.expired(); });
  link->open[stream] = inbound;
  handlers.on_request(inbound);
}

/// The kept connection, or a new one if there is none, it is not usable, or it
/// has to be proven alive and is not.
std::shared_ptr<H2Session> TransportH2::Impl::session_to(const Endpoint& to,
                                                         bool proven) {
  std::shared_ptr<H2Session>& kept = sessions[to];
  bool stale = kept && kept->connected() &&
               steady_now() - kept->last_heard() > kFreshnessLimit;
  if (kept && kept->usable() && !(proven && stale)) return kept;
  kept = connect_h2(io, to, {});
  return kept;
}

void TransportH2::Impl::forward(AttemptId attempt, const Endpoint& to,
                                const OutboundRequest& request,
                                AttemptCallback done) {
  auto entry = std::make_shared<Forwarded>(io);
  entry->done = std::move(done);
  auto session = session_to(to, !request.repeatable);
  entry->session = session;
  forwarded[attempt] = entry;
  std::weak_ptr<Impl> weak = weak_from_this();
  entry->stream =
      session->submit(encode_request(request, self),
                      [weak, attempt](H2End end, H2Message message) {
                        if (auto impl = weak.lock()) {
                          impl->on_reply(attempt, end, std::move(message));
                        }
                      });
  entry->limit.expires_after(request.time_left + kReplySlack);
  entry->limit.async_wait([weak, attempt](error_code failed) {
    auto impl = weak.lock();
    if (!failed && impl) impl->on_limit(attempt);
  });
}

void TransportH2::Impl::on_reply(AttemptId attempt, H2End end,
                                 H2Message message) {
  switch (end) {
    case H2End::kComplete:
      return finish(attempt, decode_reply(std::move(message)));
    case H2End::kNotProcessed:
      return finish(attempt, {AttemptNotRun{Reason::kOwnerUnreachable,
                                            Duration(0), Epoch()},
                              nullptr});
    case H2End::kLost:
      return finish(attempt,
                    {AttemptUnknown{Reason::kConnectionLost, false}, nullptr});
  }
}

void TransportH2::Impl::on_limit(AttemptId attempt) {
  auto found = forwarded.find(attempt);
  if (found == forwarded.end()) return;
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
  auto found = forwarded.find(attempt);
  if (found == forwarded.end()) return;
  auto entry = std::move(found->second);
  forwarded.erase(found);
  entry->limit.cancel();
  entry->done(std::move(reply));
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
      [](H2End, const H2Message&) {});
}

void TransportH2::forward(AttemptId attempt, const Endpoint& to,
                          const OutboundRequest& request,
                          AttemptCallback done) {
  impl_->forward(attempt, to, request, std::move(done));
}

void TransportH2::cancel(AttemptId attempt) {
  auto found = impl_->forwarded.find(attempt);
  if (found == impl_->forwarded.end()) return;
  auto entry = std::move(found->second);
  impl_->forwarded.erase(found);
  entry->limit.cancel();
  if (auto session = entry->session.lock()) session->cancel(entry->stream);
}

void TransportH2::shut_down() {
  error_code ignored;
  impl_->acceptor.close(ignored);
  for (const auto& link : impl_->server_links) {
    if (link->session) link->session->shut_down();
  }
}

bool TransportH2::flushed() const {
  return std::all_of(impl_->server_links.begin(), impl_->server_links.end(),
                     [](const auto& link) {
                       return !link->session || link->session->flushed();
                     });
}

void TransportH2::close() {
  impl_->closed = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->forwarded.clear();
  auto links = impl_->server_links;
  for (const auto& link : links) {
    if (auto session = link->session) session->close();
  }
  auto sessions = std::move(impl_->sessions);
  impl_->sessions.clear();
  for (const auto& [endpoint, session] : sessions) session->close();
}

void TransportH2::stall_connections() {
  for (const auto& link : impl_->server_links) {
    if (link->session) link->session->silence();
  }
  for (const auto& [endpoint, session] : impl_->sessions) session->silence();
}

}  // namespace eelgrasspin::io
