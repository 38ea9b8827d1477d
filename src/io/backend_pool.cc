#include "io/backend_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "fleet/duration.h"

namespace eelgrasspin::io {

using fleet::scaled;

namespace {

/// Time for which a server keeps an idle connection open if it names none.
constexpr Duration kDefaultKeepAlive = seconds(4);
/// Shares of the server's keep-alive time after which an idle connection is not
/// reused, as the server may close it while a request is on its way: for
/// repeatable requests, and for those that may run only once.
constexpr double kRepeatableKeepAliveShare = 0.8;
constexpr double kRunOnceKeepAliveShare = 0.5;
constexpr std::size_t kMaxIdlePerServer = 8;
constexpr int kLowestFailureStatus = 400;
/// A connection that is reset after a shorter idle time was not stale: its
/// server ended or was at capacity.
constexpr Duration kMinStaleIdleTime = milliseconds(100);
/// After a connection was found stale, a request that may run only once reuses
/// a connection only up to this share of the stale connection's idle time.
constexpr double kRunOnceStaleShare = 0.5;
/// Time for which a stale connection limits the reuse of others.
constexpr Duration kStaleRecordLifetime = seconds(10);

Duration keep_alive_of(const HttpResponse& response) {
  const std::string* field = find_header(response.headers, "keep-alive");
  if (field == nullptr) return kDefaultKeepAlive;
  constexpr std::string_view kTimeoutParameter = "timeout=";
  auto position = field->find(kTimeoutParameter);
  if (position == std::string::npos) return kDefaultKeepAlive;
  std::string_view digits = *field;
  digits.remove_prefix(position + kTimeoutParameter.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  auto timeout_seconds = parse_number(digits);
  if (!timeout_seconds) return kDefaultKeepAlive;
  return seconds(
      static_cast<std::int64_t>(std::min<std::uint64_t>(*timeout_seconds, 60)));
}

}  // namespace

BackendPool::BackendPool(boost::asio::io_context& io,
                         std::size_t max_response_bytes,
                         std::size_t max_connections)
    : io_(io),
      budget_(std::make_shared<ByteBudget>(max_response_bytes)),
      max_connections_(max_connections) {}

BackendPool::~BackendPool() {
  for (const auto& [number, busy] : busy_) busy.connection->close();
  for (const auto& [address, idle_connections] : idle_) {
    for (const Idle& idle : idle_connections) idle.connection->close();
  }
}

Duration BackendPool::max_idle_time(const Idle& idle, bool repeatable,
                                    TimePoint now) const {
  if (repeatable) return scaled(idle.keep_alive, kRepeatableKeepAliveShare);
  Duration max_time = scaled(idle.keep_alive, kRunOnceKeepAliveShare);
  bool recently_stale =
      stale_after_.count() > 0 && now - stale_seen_at_ < kStaleRecordLifetime;
  return recently_stale
             ? std::min(max_time, scaled(stale_after_, kRunOnceStaleShare))
             : max_time;
}

std::size_t BackendPool::idle_count() const {
  std::size_t count = 0;
  for (const auto& [address, idle_connections] : idle_)
    count += idle_connections.size();
  return count;
}

bool BackendPool::make_room() {
  if (max_connections_ == 0) return true;
  while (connections() >= max_connections_) {
    // Each list is in the order of last use.
    auto oldest = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end(); ++it) {
      if (it->second.empty()) continue;
      if (oldest == idle_.end() ||
          it->second.front().connection->last_response_time() <
              oldest->second.front().connection->last_response_time()) {
        oldest = it;
      }
    }
    if (oldest == idle_.end()) return false;
    oldest->second.front().connection->close();
    oldest->second.erase(oldest->second.begin());
  }
  return true;
}

BackendPool::Busy BackendPool::new_connection(const Endpoint& address) {
  if (!make_room()) return {};
  ++connections_made_;
  return {make_http_connection(io_, address, budget_)};
}

bool BackendPool::may_reuse(const Idle& idle, bool repeatable,
                            TimePoint now) const {
  // A server may send a refusal once more. Taken for the answer to a request
  // that may run only once, it would promise that the request has not run.
  if (!repeatable && idle.carried_failure) return false;
  return now - idle.connection->last_response_time() <
         max_idle_time(idle, repeatable, now);
}

BackendPool::Busy BackendPool::take_connection(const Call& call) {
  std::vector<Idle>& idle_connections = idle_[call.address];
  TimePoint now = steady_now();
  std::erase_if(idle_connections, [&](const Idle& idle) {
    bool alive = idle.connection->idle() && may_reuse(idle, true, now);
    if (!alive) idle.connection->close();
    return !alive;
  });
  // The most recently used connection is the most likely to be alive.
  auto found = std::find_if(idle_connections.rbegin(), idle_connections.rend(),
                            [&](const Idle& idle) {
                              return may_reuse(idle, call.repeatable, now) &&
                                     !(call.response_follows_arrival &&
                                       idle.connection->has_unread_input());
                            });
  if (found == idle_connections.rend()) return new_connection(call.address);
  Idle idle = std::move(*found);
  idle_connections.erase(std::next(found).base());
  Duration idle_time = now - idle.connection->last_response_time();
  return {std::move(idle.connection), true, idle_time, idle.carried_failure};
}

std::uint64_t BackendPool::start(Call call, Callback done) {
  std::uint64_t number = next_number_++;
  Busy busy = call.on_new_connection ? new_connection(call.address)
                                     : take_connection(call);
  if (!busy.connection) return fail_for_room(std::move(done));
  busy.keeps_connection = std::move(call.keeps_connection);
  auto connection = busy.connection;
  busy_[number] = std::move(busy);
  connection->exchange_checked(
      call.request, call.timeout,
      {std::move(call.matches_request), std::move(call.may_send),
       call.response_follows_arrival},
      [this, number, address = call.address,
       done = std::move(done)](HttpResult result) {
        ConnectionUse use = finish(number, address, result);
        done(std::move(result), use);
      });
  return number;
}

std::uint64_t BackendPool::fail_for_room(Callback done) {
  std::uint64_t number = next_number_ - 1;
  refused_.insert(number);
  boost::asio::post(io_, [this, alive = std::weak_ptr<ByteBudget>(budget_),
                          number, done = std::move(done)] {
    if (alive.expired() || refused_.erase(number) == 0) return;
    done(HttpFailure{HttpFailureKind::kRefused, "too many connections", false,
                     true},
         {});
  });
  return number;
}

BackendPool::ConnectionUse BackendPool::finish(std::uint64_t number,
                                               const Endpoint& address,
                                               const HttpResult& result) {
  auto found = busy_.find(number);
  if (found == busy_.end()) return {};
  Busy busy = std::move(found->second);
  busy_.erase(found);
  record_stale_connection(busy, result);
  std::shared_ptr<HttpConnection> connection = std::move(busy.connection);
  ConnectionUse use = {busy.reused, connection->skipped_response_count()};
  std::vector<Idle>& idle_connections = idle_[address];
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) {
    // The other idle connections may be stalled as well.
    for (const Idle& idle : idle_connections) idle.connection->close();
    idle_connections.clear();
  } else if (connection->idle() &&
             idle_connections.size() < kMaxIdlePerServer &&
             (!busy.keeps_connection || busy.keeps_connection(*response))) {
    idle_connections.push_back(
        {std::move(connection), keep_alive_of(*response),
         busy.carried_failure || response->status >= kLowestFailureStatus});
  } else {
    connection->close();
  }
  return use;
}

void BackendPool::record_stale_connection(const Busy& busy,
                                          const HttpResult& result) {
  const auto* failure = std::get_if<HttpFailure>(&result);
  if (failure == nullptr || failure->kind != HttpFailureKind::kClosed ||
      busy.idle_time < kMinStaleIdleTime) {
    return;
  }
  TimePoint now = steady_now();
  bool recently_stale =
      stale_after_.count() > 0 && now - stale_seen_at_ < kStaleRecordLifetime;
  stale_after_ =
      recently_stale ? std::min(stale_after_, busy.idle_time) : busy.idle_time;
  stale_seen_at_ = now;
}

void BackendPool::cancel(std::uint64_t number) {
  refused_.erase(number);
  auto found = busy_.find(number);
  if (found == busy_.end()) return;
  found->second.connection->close();
  busy_.erase(found);
}

void BackendPool::close_expired() {
  TimePoint now = steady_now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const Idle& idle) {
      bool expired = !idle.connection->idle() ||
                     now - idle.connection->last_response_time() >
                         scaled(idle.keep_alive, kRepeatableKeepAliveShare);
      if (expired) idle.connection->close();
      return expired;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace eelgrasspin::io
