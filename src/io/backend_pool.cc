#include "io/backend_pool.h"

#include <algorithm>

#include "fleet/duration.h"

namespace eelgrasspin::io {

using fleet::scaled;

namespace {

/// Time that servers keep an idle connection if they name none.
constexpr Duration kDefaultKeep = seconds(4);
/// Shares of the named time after which an idle connection is not used again:
/// the server may close it while a request is on its way.
constexpr double kRepeatableShare = 0.8;
constexpr double kOnceShare = 0.5;
constexpr std::size_t kMaxIdlePerServer = 8;
/// A connection that is reset at its next request after a shorter rest was not
/// forgotten: its server ended or was full.
constexpr Duration kLeastRest = milliseconds(100);
/// Share of the rest after which a connection was forgotten that a request
/// which may run once risks, for this long.
constexpr double kForgottenShare = 0.5;
constexpr Duration kForgottenMemory = seconds(10);

Duration keep_time(const HttpResponse& answer) {
  const std::string* field = find_header(answer.headers, "keep-alive");
  if (field == nullptr) return kDefaultKeep;
  constexpr std::string_view kName = "timeout=";
  auto at = field->find(kName);
  if (at == std::string::npos) return kDefaultKeep;
  std::string_view digits = *field;
  digits.remove_prefix(at + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  auto named = parse_number(digits);
  if (!named) return kDefaultKeep;
  return seconds(
      static_cast<std::int64_t>(std::min<std::uint64_t>(*named, 60)));
}

}  // namespace

BackendPool::~BackendPool() {
  for (const auto& [number, busy] : busy_) busy.connection->close();
  for (const auto& [address, kept] : idle_) {
    for (const Idle& idle : kept) idle.connection->close();
  }
}

Duration BackendPool::longest_rest(const Idle& idle, bool repeatable,
                                   TimePoint now) const {
  if (repeatable) return scaled(idle.keep_for, kRepeatableShare);
  Duration rest = scaled(idle.keep_for, kOnceShare);
  bool known =
      forgotten_after_.count() > 0 && now - forgotten_at_ < kForgottenMemory;
  return known ? std::min(rest, scaled(forgotten_after_, kForgottenShare))
               : rest;
}

BackendPool::Busy BackendPool::take(const Endpoint& address, bool repeatable) {
  std::vector<Idle>& kept = idle_[address];
  TimePoint now = steady_now();
  // The one used last is the youngest, and the likeliest to be alive.
  while (!kept.empty()) {
    Duration rested = now - kept.back().connection->last_answer();
    bool alive = kept.back().connection->idle() &&
                 rested < longest_rest(kept.back(), true, now);
    if (alive && rested >= longest_rest(kept.back(), repeatable, now)) {
      break;  // Too risky for this request; a repeatable one may use it.
    }
    Idle idle = std::move(kept.back());
    kept.pop_back();
    if (alive) return {std::move(idle.connection), rested};
    idle.connection->close();
  }
  ++made_;
  return {make_http_connection(io_, address), Duration(0)};
}

std::uint64_t BackendPool::start(Call call, HttpCallback done) {
  std::uint64_t number = next_++;
  Busy busy = take(call.address, call.repeatable);
  busy_[number] = busy;
  busy.connection->exchange_checked(
      call.request, call.limit, std::move(call.matches_request),
      [this, number, address = call.address,
       done = std::move(done)](HttpResult result) {
        finish(number, address, result);
        done(std::move(result));
      });
  return number;
}

void BackendPool::finish(std::uint64_t number, const Endpoint& address,
                         const HttpResult& result) {
  auto found = busy_.find(number);
  if (found == busy_.end()) return;
  Busy busy = std::move(found->second);
  busy_.erase(found);
  learn_rest(busy, result);
  std::shared_ptr<HttpConnection> connection = std::move(busy.connection);
  std::vector<Idle>& kept = idle_[address];
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) {
    // The others may have gone silent as well.
    for (const Idle& idle : kept) idle.connection->close();
    kept.clear();
  } else if (connection->idle() && kept.size() < kMaxIdlePerServer) {
    kept.push_back({std::move(connection), keep_time(*answer)});
  } else {
    connection->close();
  }
}

void BackendPool::learn_rest(const Busy& busy, const HttpResult& result) {
  const auto* failure = std::get_if<HttpFailure>(&result);
  if (failure == nullptr || failure->kind != HttpFailureKind::kClosed ||
      busy.rested < kLeastRest) {
    return;
  }
  TimePoint now = steady_now();
  bool known =
      forgotten_after_.count() > 0 && now - forgotten_at_ < kForgottenMemory;
  forgotten_after_ =
      known ? std::min(forgotten_after_, busy.rested) : busy.rested;
  forgotten_at_ = now;
}

void BackendPool::cancel(std::uint64_t number) {
  auto found = busy_.find(number);
  if (found == busy_.end()) return;
  found->second.connection->close();
  busy_.erase(found);
}

void BackendPool::drop_old() {
  TimePoint now = steady_now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const Idle& idle) {
      bool old = !idle.connection->idle() ||
                 now - idle.connection->last_answer() >
                     scaled(idle.keep_for, kRepeatableShare);
      if (old) idle.connection->close();
      return old;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace eelgrasspin::io
