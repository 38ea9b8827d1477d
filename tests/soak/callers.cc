#include "tests/soak/callers.h"

#include "names.h"

namespace eelgrasspin::soak {
namespace {

constexpr Duration kRequestDelay = milliseconds(25);
constexpr Duration kRequestDeadline = seconds(2);
/// A daemon must still answer requests that were sent less than this time after
/// it was ordered to stop.
constexpr Duration kMustAnswerAfterStop = seconds(3);
/// Pause of a caller whose request was refused.
constexpr Duration kRefusedDelay = milliseconds(150);
constexpr std::size_t kKeyedCallersPerDaemon = 3;
/// In a large fleet fewer callers are enough to fill the servers.
constexpr std::size_t kLargeFleet = 10;
constexpr std::size_t kAtMostOnceCallersPerDaemon = 5;
constexpr std::size_t kAtMostOnceCallersInLargeFleet = 2;
/// One request in this many loses its caller within this time.
constexpr std::uint32_t kLeaveInterval = 4;
constexpr Duration kMaxTimeToLeave = milliseconds(800);
/// One at-most-once request in this many has a body too large for one segment.
constexpr std::uint64_t kLargeBodyInterval = 4;
constexpr std::size_t kLargeBodyBytes = 100'000;

char kind_letter(Callers::Kind kind) {
  switch (kind) {
    case Callers::Kind::kKeyed:
      return 'k';
    case Callers::Kind::kAtMostOnce:
      return 'o';
    case Callers::Kind::kKeyedAtMostOnce:
      return 'w';
    case Callers::Kind::kVersion:
      return 'v';
  }
  return '?';
}

}  // namespace

Callers::Callers(Fleet& fleet, std::uint32_t seed)
    : fleet_(fleet), random_(seed) {
  for (Daemon& daemon : fleet.daemons()) {
    std::size_t at_most_once = fleet.daemons().size() > kLargeFleet
                                   ? kAtMostOnceCallersInLargeFleet
                                   : kAtMostOnceCallersPerDaemon;
    std::vector<Kind> kinds(kKeyedCallersPerDaemon, Kind::kKeyed);
    kinds.insert(kinds.end(), at_most_once, Kind::kAtMostOnce);
    kinds.insert(kinds.end(), {Kind::kKeyedAtMostOnce, Kind::kVersion});
    for (Kind kind : kinds) {
      callers_.push_back(std::make_unique<Caller>(fleet.io(), daemon, kind));
      schedule_request(*callers_.back(), kRequestDelay);
    }
  }
}

std::size_t Callers::take_served_count(const Daemon& daemon) {
  std::size_t served = 0;
  for (auto& caller : callers_) {
    if (&caller->daemon == &daemon) served += std::exchange(caller->served, 0);
  }
  return served;
}

void Callers::schedule_request(Caller& caller, Duration delay) {
  if (stopped_) return;
  caller.timer.expires_after(delay);
  caller.timer.async_wait([this, &caller](boost::system::error_code failed) {
    if (!failed) send_request(caller);
  });
}

void Callers::send_request(Caller& caller) {
  if (!caller.connection || caller.connection->closed()) {
    caller.connection = io::make_http_connection(
        fleet_.io(), fleet_.caller_endpoint(caller.daemon));
  }
  std::string id = caller.daemon.name + "-" + kind_letter(caller.kind) +
                   std::to_string(++sent_);
  bool keyed =
      caller.kind == Kind::kKeyed || caller.kind == Kind::kKeyedAtMostOnce;
  bool at_most_once =
      caller.kind == Kind::kAtMostOnce || caller.kind == Kind::kKeyedAtMostOnce;
  std::string body;
  if (at_most_once) {
    bool large = sent_ % kLargeBodyInterval == 0;
    body = large ? std::string(kLargeBodyBytes, 'x') : "text";
  }
  io::HttpRequest request = {
      at_most_once ? "POST" : "GET",
      std::string("/") + kind_letter(caller.kind) + "/x",
      {{"Host", "h"},
       {platform::kRequestIdHeader, id},
       {platform::kDeadlineMsHeader, std::to_string(to_ms(kRequestDeadline))}},
      body,
      {}};
  if (keyed) {
    request.headers.emplace_back(
        platform::kShardKeyHeader,
        std::to_string(
            std::uniform_int_distribution<std::uint32_t>(0, 65'535)(random_)));
  }
  fleet_.guarantees().request_sent(id, !at_most_once);
  caller.open_id = id;
  caller.connection->exchange(
      request, kRequestDeadline + seconds(1),
      [this, &caller, id, expected_body = "body of " + id + " " + body,
       incarnation = caller.daemon.start_count,
       sent = io::steady_now()](const io::HttpResult& result) {
        request_ended(caller, id, expected_body, incarnation, sent, result);
      });
  schedule_leave(caller, id);
}

void Callers::schedule_leave(Caller& caller, const std::string& id) {
  if (random_() % kLeaveInterval != 0) return;
  caller.leave_timer.expires_after(
      Duration(std::uniform_int_distribution<Duration::rep>(
          0, kMaxTimeToLeave.count())(random_)));
  caller.leave_timer.async_wait(
      [this, &caller, id](boost::system::error_code failed) {
        if (failed || !caller.connection || caller.open_id != id) return;
        fleet_.guarantees().caller_left(id, io::steady_now());
        caller.open_id.clear();
        caller.connection->close();
        caller.connection.reset();
        schedule_request(caller, kRequestDelay);
      });
}

void Callers::request_ended(Caller& caller, const std::string& id,
                            const std::string& expected_body,
                            std::uint64_t incarnation, TimePoint sent,
                            const io::HttpResult& result) {
  const Daemon& daemon = caller.daemon;
  caller.open_id.clear();
  if (const auto* answer = std::get_if<io::HttpResponse>(&result)) {
    const std::string* stamp =
        io::find_header(answer->headers, platform::kResponseStampHeader);
    std::string server = stamp == nullptr ? "" : stamp->substr(6);
    fleet_.guarantees().response_received(id, answer->status, server,
                                          answer->body == expected_body);
    if (answer->status == 200) {
      ++caller.served;
      if (caller.kind == Kind::kVersion && daemon.start_count == incarnation) {
        fleet_.version_service_reached(
            daemon, static_cast<std::size_t>(std::stoul(server.substr(9))));
      }
    }
    return schedule_request(
        caller, answer->status == 503 ? kRefusedDelay : kRequestDelay);
  }
  const auto& failure = std::get<io::HttpFailure>(result);
  bool closed_early = failure.kind == io::HttpFailureKind::kClosed ||
                      failure.kind == io::HttpFailureKind::kTruncated;
  bool answer_required =
      daemon.stop_ordered_at && daemon.start_count == incarnation &&
      sent - *daemon.stop_ordered_at < kMustAnswerAfterStop &&
      sent - daemon.disturbed_at > kUndisturbedPeriod;
  if (closed_early && answer_required)
    fleet_.guarantees().lost_in_graceful_stop(id);
  caller.connection.reset();
  schedule_request(caller, kRequestDelay * 2);
}

}  // namespace eelgrasspin::soak
