#include "io/backend_calls_http.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <vector>

#include "io/http_client.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;

struct BackendCallsHttp::Call {
  AttemptId attempt;
  Endpoint server;
  HttpRequest message;
  bool repeatable = false;
  TimePoint deadline;
  AttemptCallback done;
  std::shared_ptr<HttpConnection> connection;  ///< Null while it waits.
  bool connection_reused = false;
  bool cancelled = false;
};

namespace {

constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

AttemptReply not_run(Reason reason, Duration retry_after = Duration(0)) {
  return {AttemptNotRun{reason, retry_after, Epoch()}, nullptr};
}

AttemptReply unknown(Reason reason, bool connection_closed = false) {
  return {AttemptUnknown{reason, connection_closed}, nullptr};
}

Duration retry_after(const HttpResponse& response) {
  constexpr std::uint64_t kMaxRetryAfterSeconds = 3600;
  auto count = number_header(response.headers, "retry-after");
  return seconds(std::min(count.value_or(0), kMaxRetryAfterSeconds));
}

AttemptReply to_attempt_reply(HttpResponse response) {
  const std::string* refused =
      find_header(response.headers, "eelgrasspin-refused");
  if (refused != nullptr && response.status == kPreconditionFailed &&
      *refused == "grant") {
    Epoch newer(
        number_header(response.headers, "eelgrasspin-newer-epoch").value_or(0));
    return {AttemptNotRun{Reason::kGrantRefused, Duration(0), newer}, nullptr};
  }
  bool shed_status = response.status == kTooManyRequests ||
                     response.status == kServiceUnavailable;
  if (refused != nullptr && shed_status && *refused == "shed") {
    return not_run(Reason::kPushback, retry_after(response));
  }
  auto payload = std::make_shared<Payload>();
  payload->headers = end_to_end_headers(response.headers);
  payload->body = std::move(response.body);
  return {AttemptAnswered{static_cast<std::uint16_t>(response.status),
                          payload->body.size()},
          payload};
}

AttemptReply failed_reply(const BackendCallsHttp::Call& call,
                          HttpFailureKind kind) {
  switch (kind) {
    case HttpFailureKind::kRefused:
    case HttpFailureKind::kConnectTimeout:
      return not_run(Reason::kOwnerUnreachable);
    case HttpFailureKind::kTimeout:
      // A reused connection without an answer within the server's execution
      // limit is abandoned while there is time to retry on a new one.
      return unknown(steady_now() < call.deadline ? Reason::kConnectionLost
                                                  : Reason::kTimeoutAfterSend);
    case HttpFailureKind::kClosed:
      return unknown(Reason::kConnectionLost, true);
    case HttpFailureKind::kTruncated:
      return unknown(Reason::kTruncatedAnswer, true);
  }
  return unknown(Reason::kConnectionLost);
}

HttpRequest make_request(const OutboundRequest& request, std::string id) {
  HttpRequest message{request.head.method, request.head.path, {}, {}, {}};
  if (request.payload) {
    message.headers = end_to_end_headers(request.payload->headers);
    message.body = request.payload->body;
  }
  auto add = [&](const char* name, std::string value) {
    message.headers.emplace_back(name, std::move(value));
  };
  add("eelgrasspin-request", std::move(id));
  add("eelgrasspin-service", request.head.service.str());
  add("eelgrasspin-slot", std::to_string(request.slot.value));
  add("eelgrasspin-key", percent_encode(request.key.str()));
  add("eelgrasspin-epoch", std::to_string(request.epoch.value));
  add("eelgrasspin-front-epoch", std::to_string(request.front_epoch.value));
  add("eelgrasspin-deadline-ms", std::to_string(to_ms(request.time_left)));
  return message;
}

}  // namespace

/// Connections to one backend server, and calls that wait for a connection.
class BackendCallsHttp::Pool
    : public std::enable_shared_from_this<BackendCallsHttp::Pool> {
 public:
  Pool(asio::io_context& io, Endpoint server)
      : io_(io), server_(std::move(server)), timer_(io) {}

  void set_limits(const ServerLimits& limits) { limits_ = limits; }

  void run(std::shared_ptr<Call> call) {
    waiting_.push_back(std::move(call));
    dispatch_waiting();
  }

  void cancel(const std::shared_ptr<Call>& call) {
    call->cancelled = true;
    call->done = nullptr;
    if (call->connection) {
      call->connection->close();
      call->connection.reset();
      --busy_count_;
    } else {
      std::erase(waiting_, call);
    }
    dispatch_waiting();
  }

  void close() {
    closed_ = true;
    timer_.cancel();
    for (const auto& connection : idle_) connection->close();
  }

  std::size_t connections() {
    remove_expired();
    return busy_count_ + idle_.size();
  }

 private:
  void remove_expired() {
    TimePoint now = steady_now();
    std::erase_if(idle_, [&](const auto& connection) {
      bool expired = now - connection->last_response_time() >
                     config::kMaxConnectionReuseAge;
      if (expired) connection->close();
      return expired || !connection->idle();
    });
  }

  void dispatch_waiting() {
    while (!closed_ && !waiting_.empty()) {
      std::shared_ptr<Call> call = waiting_.front();
      if (call->deadline <= steady_now()) {
        waiting_.pop_front();
        finish(call, not_run(Reason::kDeadlinePassed));
        continue;
      }
      std::shared_ptr<HttpConnection> connection =
          take_connection(call->repeatable);
      if (!connection) return schedule_dispatch();
      waiting_.pop_front();
      send(call, connection);
    }
  }

  /// An idle connection that is fresh enough for the call, a new connection if
  /// the limits allow one, or null.
  std::shared_ptr<HttpConnection> take_connection(bool repeatable) {
    remove_expired();
    TimePoint now = steady_now();
    if (!idle_.empty()) {
      Duration age = now - idle_.back()->last_response_time();
      if (repeatable || age <= config::kMaxNonRepeatableReuseAge) {
        std::shared_ptr<HttpConnection> connection = std::move(idle_.back());
        idle_.pop_back();
        return connection;
      }
    }
    if (now < next_connect_time_) return nullptr;
    if (busy_count_ + idle_.size() >= limits_.connections && !idle_.empty()) {
      idle_.front()->close();
      idle_.erase(idle_.begin());
    }
    if (busy_count_ + idle_.size() >= limits_.connections) return nullptr;
    next_connect_time_ = now + limits_.connection_interval;
    return make_http_connection(io_, server_);
  }

  void schedule_dispatch() {
    TimePoint until = waiting_.front()->deadline;
    if (next_connect_time_ > steady_now())
      until = std::min(until, next_connect_time_);
    timer_.expires_at(
        std::chrono::steady_clock::time_point(until.time_since_epoch()));
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code failed) {
          if (!failed) self->dispatch_waiting();
        });
  }

  void send(const std::shared_ptr<Call>& call,
            const std::shared_ptr<HttpConnection>& connection) {
    ++busy_count_;
    call->connection = connection;
    call->connection_reused = connection->response_count() > 0;
    Duration limit = call->deadline - steady_now();
    if (call->connection_reused && call->repeatable) {
      limit = std::min(limit, limits_.execution_limit);
    }
    connection->exchange(call->message, limit,
                         [self = shared_from_this(), call](HttpResult result) {
                           self->handle_result(call, std::move(result));
                         });
  }

  void handle_result(const std::shared_ptr<Call>& call, HttpResult result) {
    if (call->cancelled) return;
    --busy_count_;
    std::shared_ptr<HttpConnection> connection = std::move(call->connection);
    call->connection.reset();
    if (connection->idle() && !closed_) idle_.push_back(connection);
    if (const auto* failure = std::get_if<HttpFailure>(&result)) {
      // The other idle connections may be dead or stalled as well.
      for (const auto& other : idle_) other->close();
      idle_.clear();
      finish(call, failed_reply(*call, failure->kind));
    } else {
      finish(call, to_attempt_reply(std::move(std::get<HttpResponse>(result))));
    }
    dispatch_waiting();
  }

  static void finish(const std::shared_ptr<Call>& call, AttemptReply reply) {
    AttemptCallback done = std::move(call->done);
    call->done = nullptr;
    if (done) done(std::move(reply));
  }

  asio::io_context& io_;
  Endpoint server_;
  asio::steady_timer timer_;
  ServerLimits limits_;
  /// The most recently used one is last.
  std::vector<std::shared_ptr<HttpConnection>> idle_;
  std::deque<std::shared_ptr<Call>> waiting_;
  std::size_t busy_count_ = 0;
  TimePoint next_connect_time_;
  bool closed_ = false;
};

BackendCallsHttp::BackendCallsHttp(asio::io_context& io, std::string id_prefix)
    : io_(io), id_prefix_(std::move(id_prefix)) {}

BackendCallsHttp::~BackendCallsHttp() {
  for (const auto& [server, pool] : pools_) pool->close();
  for (const auto& [attempt, weak_call] : calls_) {
    if (std::shared_ptr<Call> call = weak_call.lock()) {
      pools_[call->server]->cancel(call);
    }
  }
}

BackendCallsHttp::Pool& BackendCallsHttp::pool(const Endpoint& server) {
  std::shared_ptr<Pool>& pool = pools_[server];
  if (!pool) pool = std::make_shared<Pool>(io_, server);
  return *pool;
}

void BackendCallsHttp::run(AttemptId attempt, const Endpoint& server,
                           const OutboundRequest& request,
                           AttemptCallback done) {
  auto call = std::make_shared<Call>();
  call->attempt = attempt;
  call->message =
      make_request(request, id_prefix_ + "-" + std::to_string(attempt.value));
  call->repeatable = request.repeatable;
  call->deadline = steady_now() + request.time_left;
  call->done = [this, attempt, done = std::move(done)](AttemptReply reply) {
    calls_.erase(attempt);
    done(std::move(reply));
  };
  calls_[attempt] = call;
  call->server = server;
  pool(server).run(call);
}

void BackendCallsHttp::cancel(AttemptId attempt) {
  auto found = calls_.find(attempt);
  if (found == calls_.end()) return;
  std::shared_ptr<Call> call = found->second.lock();
  calls_.erase(found);
  if (call) pool(call->server).cancel(call);
}

void BackendCallsHttp::set_limits(const Endpoint& server,
                                  const ServerLimits& limits) {
  pool(server).set_limits(limits);
}

std::size_t BackendCallsHttp::connections(const Endpoint& server) const {
  auto found = pools_.find(server);
  return found == pools_.end() ? 0 : found->second->connections();
}

}  // namespace eelgrasspin::io
