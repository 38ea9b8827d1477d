#include "tests/soak/faults.h"

#include <signal.h>

namespace eelgrasspin::soak {
namespace {

/// A leaving server serves on for this long after its notice, and its entry
/// is removed this long after a crash.
constexpr Duration kServesOn = milliseconds(3500);
constexpr Duration kEntryLapses = milliseconds(2600);

}  // namespace

Faults::Faults(Fleet& fleet, std::uint32_t seed)
    : fleet_(fleet),
      random_(seed),
      timer_(fleet.io()),
      started_(io::steady_now()) {
  next();
}

std::uint32_t Faults::number(std::uint32_t most) {
  return std::uniform_int_distribution<std::uint32_t>(0, most - 1)(random_);
}

Duration Faults::between(int least_ms, int most_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(least_ms, most_ms)(random_));
}

void Faults::after(Duration delay, std::function<void()> act) {
  boost::asio::steady_timer& timer = later_.emplace_back(fleet_.io());
  timer.expires_after(delay);
  timer.async_wait([act = std::move(act)](boost::system::error_code failed) {
    if (!failed) act();
  });
}

void Faults::did(const std::string& what) {
  history_.push_back(std::to_string(to_ms(io::steady_now() - started_)) +
                     "ms " + what);
}

void Faults::next() {
  // Most faults overlap; at times there is calm in which time bounds hold.
  Duration pause = number(5) == 0 ? between(4000, 6000) : between(150, 1200);
  timer_.expires_after(pause);
  timer_.async_wait([this](boost::system::error_code failed) {
    if (failed || stopped_) return;
    draw();
    next();
  });
}

void Faults::draw() {
  switch (number(10)) {
    case 0:
    case 1:
    case 2:
    case 3:
      return daemon_fault();
    case 4:
    case 5:
      return backend_fault();
    case 6:
      return store_fault();
    case 7:
      return link_fault();
    default:
      return configuration_change();
  }
}

void Faults::daemon_fault() {
  auto which = number(static_cast<std::uint32_t>(fleet_.daemons().size()));
  Daemon& daemon = fleet_.daemons()[which];
  Duration length = between(200, 1500);
  Duration pause = between(200, 5000);
  switch (number(6)) {
    case 0:
      did("kill " + daemon.name);
      fleet_.signal(daemon, SIGKILL);
      return after(length, [this, &daemon] {
        if (!fleet_.running(daemon)) fleet_.start(daemon);
      });
    case 1:
    case 2:
      did("pause " + daemon.name + " " + std::to_string(to_ms(pause)) + "ms");
      fleet_.signal(daemon, SIGSTOP);
      return after(pause, [this, &daemon] { fleet_.signal(daemon, SIGCONT); });
    case 3:
      did("stop " + daemon.name);
      return stop_and_start(daemon);
    case 4:
      did("reload " + daemon.name);
      return fleet_.signal(daemon, SIGHUP);
    default:
      return number(3) == 0 ? kill_all(length) : stop_and_start(daemon);
  }
}

void Faults::stop_and_start(Daemon& daemon) {
  if (daemon.paused || daemon.stop_ordered) return;
  fleet_.signal(daemon, SIGTERM);
  after(seconds(7), [this, &daemon] {
    if (!fleet_.running(daemon)) fleet_.start(daemon);
  });
}

void Faults::kill_all(Duration down) {
  did("kill all");
  for (Daemon& daemon : fleet_.daemons()) fleet_.signal(daemon, SIGKILL);
  after(down, [this] {
    for (Daemon& daemon : fleet_.daemons()) {
      if (!fleet_.running(daemon)) fleet_.start(daemon);
    }
  });
}

void Faults::backend_fault() {
  // The servers that show versions stay: each has its service to itself.
  std::vector<Backend*> candidates;
  for (Backend& backend : fleet_.backends()) {
    bool shows_version = backend.service.starts_with("version");
    if (!shows_version && backend.server->up() && !backend.leaving_since) {
      candidates.push_back(&backend);
    }
  }
  if (candidates.size() < 3) return;
  Backend& backend =
      *candidates[number(static_cast<std::uint32_t>(candidates.size()))];
  switch (number(3)) {
    case 0:
      return leave(backend);
    case 1:
      return crash(backend, true);
    default:
      return crash(backend, false);
  }
}

void Faults::leave(Backend& backend) {
  did("drain " + backend.server->name());
  backend.leaving_since = io::steady_now();
  fleet_.list(backend, "draining");
  after(kServesOn, [this, &backend] {
    backend.server->crash();
    fleet_.unlist(backend);
  });
  after(kServesOn + between(1000, 4000), [this, &backend] {
    backend.server->start();
    fleet_.list(backend, "ready");
  });
}

void Faults::crash(Backend& backend, bool at_once) {
  did("crash " + backend.server->name() + (at_once ? ", starts again" : ""));
  backend.server->crash();
  if (!at_once) {
    after(kEntryLapses, [this, &backend] { fleet_.unlist(backend); });
  }
  Duration down = at_once ? between(50, 600) : between(3000, 6000);
  after(down, [this, &backend] {
    backend.server->start();
    fleet_.list(backend, "ready");
  });
}

void Faults::store_fault() {
  platform::StoreStandin& store = fleet_.store();
  std::uint32_t kind = number(3);
  static const char* const kNames[] = {"down", "silent", "loses answers"};
  did(std::string("store ") + kNames[kind]);
  bool* faults[] = {&store.down, &store.silent, &store.loses_answers};
  bool* fault = faults[kind];
  *fault = true;
  fleet_.store_disturbed();
  after(between(500, 4000), [this, fault] {
    *fault = false;
    fleet_.store_disturbed();
  });
}

void Faults::link_fault() {
  static constexpr LinkFault kFaults[] = {
      LinkFault::kDelayed, LinkFault::kRefused, LinkFault::kAnswersLost,
      LinkFault::kSilent};
  static const char* const kNames[] = {"delayed", "reset", "cut one way",
                                       "silent"};
  std::uint32_t kind = number(4);
  bool to_store = number(2) == 0;
  auto daemons = static_cast<std::uint32_t>(fleet_.daemons().size());
  auto backends = static_cast<std::uint32_t>(fleet_.backends().size());
  std::uint32_t which = number(to_store ? daemons : backends);
  Proxy& link = to_store ? *fleet_.daemons()[which].store_link
                         : *fleet_.backends()[which].link;
  did(std::string("link ") + kNames[kind] + " " +
      (to_store ? fleet_.daemons()[which].name
                : fleet_.backends()[which].server->name()));
  link.set_fault(kFaults[kind], between(20, 150));
  fleet_.store_disturbed();
  after(between(300, 4000), [this, &link] {
    link.set_fault(LinkFault::kNone);
    fleet_.store_disturbed();
  });
}

void Faults::configuration_change() {
  std::uint32_t count = number(4) == 0 ? 5 : 1;
  did("configuration, " + std::to_string(count) + " times");
  for (std::uint32_t i = 0; i < count; ++i) {
    after(milliseconds(120) * i, [this] { fleet_.publish(); });
  }
}

void Faults::heal() {
  later_.clear();
  fleet_.store().down = false;
  fleet_.store().silent = false;
  fleet_.store().loses_answers = false;
  for (Daemon& daemon : fleet_.daemons()) {
    daemon.store_link->set_fault(LinkFault::kNone);
    fleet_.signal(daemon, SIGCONT);
    if (!fleet_.running(daemon)) fleet_.start(daemon);
  }
  for (Backend& backend : fleet_.backends()) {
    backend.link->set_fault(LinkFault::kNone);
    if (!backend.server->up()) backend.server->start();
    fleet_.list(backend, "ready");
  }
}

}  // namespace eelgrasspin::soak
