#include "tests/soak/callers.h"

#include "names.h"

namespace eelgrasspin::soak {
namespace {

constexpr Duration kPause = milliseconds(25);
constexpr Duration kDeadline = seconds(2);
/// Requests sent this long after a stop was ordered, or earlier, are owed an
/// answer.
constexpr Duration kOwedAfterStop = seconds(3);
constexpr std::size_t kKeyedCallers = 3;

char letter(Callers::Kind kind) {
  switch (kind) {
    case Callers::Kind::kKeyed:
      return 'k';
    case Callers::Kind::kOnce:
      return 'o';
    case Callers::Kind::kVersion:
      return 'v';
  }
  return '?';
}

}  // namespace

Callers::Callers(Fleet& fleet, std::uint32_t seed)
    : fleet_(fleet), random_(seed) {
  for (Daemon& daemon : fleet.daemons()) {
    std::vector<Kind> kinds(kKeyedCallers, Kind::kKeyed);
    kinds.insert(kinds.end(), {Kind::kOnce, Kind::kOnce, Kind::kVersion});
    for (Kind kind : kinds) {
      callers_.push_back(std::make_unique<Caller>(fleet.io(), daemon, kind));
      next(*callers_.back(), kPause);
    }
  }
}

std::size_t Callers::take_served(const Daemon& daemon) {
  std::size_t served = 0;
  for (auto& caller : callers_) {
    if (&caller->daemon == &daemon) served += std::exchange(caller->served, 0);
  }
  return served;
}

void Callers::next(Caller& caller, Duration pause) {
  if (stopped_) return;
  caller.timer.expires_after(pause);
  caller.timer.async_wait([this, &caller](boost::system::error_code failed) {
    if (!failed) call(caller);
  });
}

void Callers::call(Caller& caller) {
  if (!caller.connection || caller.connection->closed()) {
    caller.connection =
        io::make_http_connection(fleet_.io(), fleet_.callers(caller.daemon));
  }
  std::string id =
      caller.daemon.name + "-" + letter(caller.kind) + std::to_string(++sent_);
  bool once = caller.kind == Kind::kOnce;
  io::HttpRequest request = {
      once ? "POST" : "GET",
      std::string("/") + letter(caller.kind) + "/x",
      {{"Host", "h"},
       {platform::kRequestIdHeader, id},
       {platform::kDeadlineMsHeader, std::to_string(to_ms(kDeadline))}},
      once ? "text" : "",
      {}};
  if (caller.kind == Kind::kKeyed) {
    request.headers.emplace_back(
        platform::kShardKeyHeader,
        std::to_string(
            std::uniform_int_distribution<std::uint32_t>(0, 65'535)(random_)));
  }
  fleet_.promises().sent(id, !once);
  caller.connection->exchange(
      request, kDeadline + seconds(1),
      [this, &caller, id, life = caller.daemon.starts,
       sent = io::steady_now()](const io::HttpResult& result) {
        ended(caller, id, life, sent, result);
      });
}

void Callers::ended(Caller& caller, const std::string& id, std::uint64_t life,
                    TimePoint sent, const io::HttpResult& result) {
  const Daemon& daemon = caller.daemon;
  if (const auto* answer = std::get_if<io::HttpResponse>(&result)) {
    const std::string* stamp =
        io::find_header(answer->headers, platform::kResponseStampHeader);
    std::string server = stamp == nullptr ? "" : stamp->substr(6);
    std::string body =
        "body of " + id + (caller.kind == Kind::kOnce ? " text" : " ");
    fleet_.promises().answered(id, answer->status, server,
                               answer->body == body);
    if (answer->status == 200) {
      ++caller.served;
      if (caller.kind == Kind::kVersion && daemon.starts == life) {
        fleet_.version_shown(
            daemon, static_cast<std::size_t>(std::stoul(server.substr(9))));
      }
    }
    return next(caller, kPause);
  }
  const auto& failure = std::get<io::HttpFailure>(result);
  bool cut = failure.kind == io::HttpFailureKind::kClosed ||
             failure.kind == io::HttpFailureKind::kTruncated;
  bool only_stopped = daemon.stop_ordered && daemon.starts == life &&
                      sent - *daemon.stop_ordered < kOwedAfterStop &&
                      sent - daemon.disturbed > kCalm;
  if (cut && only_stopped) fleet_.promises().cut_by_stop(id);
  caller.connection.reset();
  next(caller, kPause * 2);
}

}  // namespace eelgrasspin::soak
