#include "tests/soak/misbehavior.h"

namespace eelgrasspin::soak {
namespace {

enum class Behavior : std::uint8_t {
  kRefuses,
  kLosesAnswers,
  kHangsWhenFull,
  kResetsWhenFull,
  kRepeatsRefusals,
  kRefusesEarly,
};
constexpr std::uint32_t kBehaviors = 6;
constexpr const char* kNames[kBehaviors] = {
    "refuses",          "loses answers",    "hangs when full",
    "resets when full", "repeats refusals", "refuses early"};

constexpr std::uint32_t kMinPauseMs = 200;
constexpr std::uint32_t kMaxPauseMs = 1200;
constexpr std::uint32_t kMinDurationMs = 500;
constexpr std::uint32_t kMaxDurationMs = 3000;

void begin(Backend& backend, Behavior behavior) {
  platform::ServerStandin& server = *backend.server;
  switch (behavior) {
    case Behavior::kRefuses:
      server.refuse_every = 2;
      break;
    case Behavior::kLosesAnswers:
      server.lose_answer_every = 2;
      break;
    case Behavior::kHangsWhenFull:
      server.when_full = platform::FullPolicy::kHang;
      break;
    case Behavior::kResetsWhenFull:
      server.when_full = platform::FullPolicy::kReset;
      break;
    case Behavior::kRepeatsRefusals:
      server.refuse_every = 2;
      backend.proxy->set_fault(LinkFault::kRefusalsRepeated);
      break;
    case Behavior::kRefusesEarly:
      backend.proxy->set_fault(LinkFault::kRefusedEarly);
      break;
  }
}

}  // namespace

ServerMisbehavior::ServerMisbehavior(Fleet& fleet, std::uint32_t seed)
    : fleet_(fleet),
      random_(seed),
      timer_(fleet.io()),
      started_(io::steady_now()) {
  schedule_next();
}

std::uint32_t ServerMisbehavior::random_below(std::uint32_t limit) {
  return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random_);
}

void ServerMisbehavior::schedule_next() {
  timer_.expires_after(
      milliseconds(kMinPauseMs + random_below(kMaxPauseMs - kMinPauseMs)));
  timer_.async_wait([this](boost::system::error_code failed) {
    if (failed || stopped_) return;
    begin_random();
    schedule_next();
  });
}

void ServerMisbehavior::begin_random() {
  auto behavior = static_cast<Behavior>(random_below(kBehaviors));
  bool all = random_below(2) == 0;
  std::vector<Backend*> affected;
  for (Backend& backend : fleet_.backends()) {
    bool keyed = backend.service == kKeyedService;
    bool at_most_once = backend.service == kAtMostOnceService;
    if (at_most_once || (keyed && !all)) affected.push_back(&backend);
  }
  if (!all) {
    affected = {
        affected[random_below(static_cast<std::uint32_t>(affected.size()))]};
  }
  Duration duration = milliseconds(
      kMinDurationMs + random_below(kMaxDurationMs - kMinDurationMs));
  for (Backend* backend : affected) {
    history_.push_back(std::to_string(to_ms(io::steady_now() - started_)) +
                       "ms " + backend->server->name() + " " +
                       kNames[static_cast<std::size_t>(behavior)]);
    begin(*backend, behavior);
  }
  boost::asio::steady_timer& timer = ends_.emplace_back(fleet_.io());
  timer.expires_after(duration);
  timer.async_wait([affected](boost::system::error_code failed) {
    if (failed) return;
    for (Backend* backend : affected) end(*backend);
  });
}

void ServerMisbehavior::end(Backend& backend) {
  backend.server->refuse_every = 0;
  backend.server->lose_answer_every = 0;
  backend.server->when_full = platform::FullPolicy::kRefuse;
  if (!is_link_down(backend.proxy->fault()))
    backend.proxy->set_fault(LinkFault::kNone);
}

void ServerMisbehavior::heal() {
  ends_.clear();
  for (Backend& backend : fleet_.backends()) end(backend);
}

}  // namespace eelgrasspin::soak
