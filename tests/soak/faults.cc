#include "tests/soak/faults.h"

#include <signal.h>

namespace eelgrasspin::soak {
namespace {

/// A draining server continues to serve for this long after its notice.
constexpr Duration kServesAfterDrainNotice = milliseconds(3500);
/// A crashed server's entry is removed from the store after this time.
constexpr Duration kEntryRemovedAfterCrash = milliseconds(2600);

}  // namespace

FaultInjector::FaultInjector(Fleet& fleet, std::uint32_t seed)
    : fleet_(fleet),
      random_(seed),
      timer_(fleet.io()),
      started_(io::steady_now()) {
  schedule_next_fault();
}

std::uint32_t FaultInjector::random_below(std::uint32_t limit) {
  return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random_);
}

Duration FaultInjector::random_duration(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
}

void FaultInjector::run_after(Duration delay, std::function<void()> action) {
  boost::asio::steady_timer& timer = scheduled_.emplace_back(fleet_.io());
  timer.expires_after(delay);
  timer.async_wait(
      [action = std::move(action)](boost::system::error_code failed) {
        if (!failed) action();
      });
}

void FaultInjector::record(const std::string& what) {
  history_.push_back(std::to_string(to_ms(io::steady_now() - started_)) +
                     "ms " + what);
}

void FaultInjector::schedule_next_fault() {
  // Most faults overlap; now and then a longer pause leaves an undisturbed
  // period, in which time bounds are checked.
  Duration pause = random_below(5) == 0 ? random_duration(4000, 6000)
                                        : random_duration(150, 1200);
  timer_.expires_after(pause);
  timer_.async_wait([this](boost::system::error_code failed) {
    if (failed || stopped_) return;
    inject_random_fault();
    schedule_next_fault();
  });
}

void FaultInjector::inject_random_fault() {
  switch (random_below(10)) {
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

void FaultInjector::daemon_fault() {
  auto which =
      random_below(static_cast<std::uint32_t>(fleet_.daemons().size()));
  Daemon& daemon = fleet_.daemons()[which];
  Duration duration = random_duration(200, 1500);
  Duration pause = random_duration(200, 5000);
  switch (random_below(6)) {
    case 0:
      record("kill " + daemon.name);
      fleet_.signal(daemon, SIGKILL);
      return run_after(duration, [this, &daemon] {
        if (!fleet_.running(daemon)) fleet_.start(daemon);
      });
    case 1:
    case 2:
      record("pause " + daemon.name + " " + std::to_string(to_ms(pause)) +
             "ms");
      fleet_.signal(daemon, SIGSTOP);
      return run_after(pause,
                       [this, &daemon] { fleet_.signal(daemon, SIGCONT); });
    case 3:
      record("stop " + daemon.name);
      return stop_and_start(daemon);
    case 4:
      record("reload " + daemon.name);
      return fleet_.signal(daemon, SIGHUP);
    default:
      return random_below(3) == 0 ? kill_all(duration) : stop_and_start(daemon);
  }
}

void FaultInjector::stop_and_start(Daemon& daemon) {
  if (daemon.paused || daemon.stop_ordered_at) return;
  fleet_.signal(daemon, SIGTERM);
  run_after(seconds(7), [this, &daemon] {
    if (!fleet_.running(daemon)) fleet_.start(daemon);
  });
}

void FaultInjector::kill_all(Duration down) {
  record("kill all");
  for (Daemon& daemon : fleet_.daemons()) fleet_.signal(daemon, SIGKILL);
  run_after(down, [this] {
    for (Daemon& daemon : fleet_.daemons()) {
      if (!fleet_.running(daemon)) fleet_.start(daemon);
    }
  });
}

void FaultInjector::backend_fault() {
  // Each version service has only one server, so these are left out.
  std::vector<Backend*> candidates;
  for (Backend& backend : fleet_.backends()) {
    bool shows_version = backend.service.starts_with("version");
    if (!shows_version && backend.server->up() && !backend.draining_since) {
      candidates.push_back(&backend);
    }
  }
  if (candidates.size() < 3) return;
  Backend& backend =
      *candidates[random_below(static_cast<std::uint32_t>(candidates.size()))];
  switch (random_below(3)) {
    case 0:
      return drain(backend);
    case 1:
      return crash(backend, true);
    default:
      return crash(backend, false);
  }
}

void FaultInjector::drain(Backend& backend) {
  record("drain " + backend.server->name());
  backend.draining_since = io::steady_now();
  fleet_.publish_entry(backend, "draining");
  run_after(kServesAfterDrainNotice, [this, &backend] {
    backend.server->crash();
    fleet_.remove_entry(backend);
  });
  run_after(kServesAfterDrainNotice + random_duration(1000, 4000),
            [this, &backend] {
              backend.server->start();
              fleet_.publish_entry(backend, "ready");
            });
}

void FaultInjector::crash(Backend& backend, bool restarts_at_once) {
  record("crash " + backend.server->name() +
         (restarts_at_once ? ", starts again" : ""));
  backend.server->crash();
  if (!restarts_at_once) {
    run_after(kEntryRemovedAfterCrash,
              [this, &backend] { fleet_.remove_entry(backend); });
  }
  Duration down =
      restarts_at_once ? random_duration(50, 600) : random_duration(3000, 6000);
  run_after(down, [this, &backend] {
    backend.server->start();
    fleet_.publish_entry(backend, "ready");
  });
}

void FaultInjector::store_fault() {
  platform::StoreStandin& store = fleet_.store();
  std::uint32_t kind = random_below(3);
  static const char* const kNames[] = {"down", "silent", "loses answers"};
  record(std::string("store ") + kNames[kind]);
  bool* faults[] = {&store.down, &store.silent, &store.loses_answers};
  bool* fault = faults[kind];
  *fault = true;
  fleet_.note_environment_disturbed();
  run_after(random_duration(500, 4000), [this, fault] {
    *fault = false;
    fleet_.note_environment_disturbed();
  });
}

void FaultInjector::link_fault() {
  static constexpr LinkFault kFaults[] = {
      LinkFault::kDelayed, LinkFault::kRefused, LinkFault::kAnswersLost,
      LinkFault::kSilent};
  static const char* const kNames[] = {"delayed", "reset", "cut one way",
                                       "silent"};
  std::uint32_t kind = random_below(4);
  bool to_store = random_below(2) == 0;
  auto daemons = static_cast<std::uint32_t>(fleet_.daemons().size());
  auto backends = static_cast<std::uint32_t>(fleet_.backends().size());
  std::uint32_t which = random_below(to_store ? daemons : backends);
  Proxy& proxy = to_store ? *fleet_.daemons()[which].store_proxy
                          : *fleet_.backends()[which].proxy;
  record(std::string("link ") + kNames[kind] + " " +
         (to_store ? fleet_.daemons()[which].name
                   : fleet_.backends()[which].server->name()));
  proxy.set_fault(kFaults[kind], random_duration(20, 150));
  fleet_.note_environment_disturbed();
  run_after(random_duration(300, 4000), [this, &proxy] {
    proxy.set_fault(LinkFault::kNone);
    fleet_.note_environment_disturbed();
  });
}

void FaultInjector::configuration_change() {
  std::uint32_t count = random_below(4) == 0 ? 5 : 1;
  record("configuration, " + std::to_string(count) + " times");
  for (std::uint32_t i = 0; i < count; ++i) {
    run_after(milliseconds(120) * i, [this] { fleet_.publish(); });
  }
}

void FaultInjector::heal() {
  scheduled_.clear();
  fleet_.store().down = false;
  fleet_.store().silent = false;
  fleet_.store().loses_answers = false;
  for (Daemon& daemon : fleet_.daemons()) {
    daemon.store_proxy->set_fault(LinkFault::kNone);
    fleet_.signal(daemon, SIGCONT);
    if (!fleet_.running(daemon)) fleet_.start(daemon);
  }
  for (Backend& backend : fleet_.backends()) {
    backend.proxy->set_fault(LinkFault::kNone);
    if (!backend.server->up()) backend.server->start();
    fleet_.publish_entry(backend, "ready");
  }
}

}  // namespace eelgrasspin::soak
