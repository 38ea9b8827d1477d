#include "tests/soak/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace eelgrasspin::soak {
namespace {

namespace json = boost::json;
using platform::kActiveConfigName;
using platform::kConfigKind;
using platform::kServersKind;

constexpr int kCallersPort = 18'080;
constexpr int kReadyPort = 18'081;
constexpr int kPeerPort = 18'082;
constexpr std::size_t kZones = 2;
constexpr Duration kWork = milliseconds(15);
/// Long enough that requests which may run once are under way at most faults.
constexpr Duration kOnceWork = milliseconds(150);
constexpr std::size_t kKeyedServers = 4;
constexpr std::size_t kOnceServers = 3;

/// Loopback addresses of this process's own, so that soaks can run side by
/// side.
std::string address(std::size_t number) {
  auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + pid / 256 % 128) + "." +
         std::to_string(pid % 256) + "." + std::to_string(number + 1);
}

std::string zone_of(std::size_t number) {
  return number % kZones == 0 ? "a" : "b";
}

json::object rule(const char* name, const char* kind, const char* prefix,
                  const std::string& service) {
  return {
      {"name", name},
      {"kind", kind},
      {"sloS", 1},
      {"priority", 1},
      {"match", json::object{{"prefix", prefix}}},
      {"action",
       json::object{{"service", service}, {"timeoutS", 3}, {"attempts", 3}}}};
}

std::string version_service(std::size_t number) {
  return "version" + std::to_string(number);
}

std::string configuration(std::uint64_t version) {
  json::array clusters = {
      json::object{
          {"name", kKeyedService}, {"maxConns", 100}, {"sharded", true}},
      json::object{{"name", kOnceService}, {"maxConns", 100}}};
  for (std::size_t i = 0; i < kVersionServices; ++i) {
    clusters.push_back(
        json::object{{"name", version_service(i)}, {"maxConns", 100}});
  }
  json::array rules = {rule("keyed", "safe", "/k/", kKeyedService),
                       rule("once", "unsafe", "/o/", kOnceService),
                       rule("version", "safe", "/v/",
                            version_service(version % kVersionServices))};
  return json::serialize(json::object{
      {"version", version},
      {"limits", json::object{{"headerBytes", 16'384},
                              {"bodyBytes", 1'000'000},
                              {"headerTimeoutS", 3},
                              {"idleTimeoutS", 15}}},
      {"listeners",
       json::array{json::object{{"host", "h"}, {"rules", std::move(rules)}}}},
      {"clusters", std::move(clusters)}});
}

}  // namespace

Fleet::Fleet(boost::asio::io_context& io, std::size_t daemons,
             std::string program, std::string folder)
    : io_(io),
      program_(std::move(program)),
      folder_(std::move(folder)),
      store_(io),
      granted_(65'536) {
  for (std::size_t i = 0; i < kKeyedServers; ++i) {
    add_backend(kKeyedService, "i-board" + std::to_string(i), true);
  }
  for (std::size_t i = 0; i < kOnceServers; ++i) {
    add_backend(kOnceService, "i-book" + std::to_string(i), false);
  }
  for (std::size_t i = 0; i < kVersionServices; ++i) {
    add_backend(version_service(i), "i-version" + std::to_string(i), false);
  }
  for (Backend& backend : backends_) list(backend, "ready");
  publish();
  for (std::size_t i = 0; i < daemons; ++i) {
    Daemon daemon;
    daemon.name = "d" + std::to_string(i);
    daemon.ip = address(i);
    daemon.settings = folder_ + "/" + daemon.name + ".conf";
    daemon.store_link = std::make_unique<Proxy>(io_, store_.endpoint());
    daemons_.push_back(std::move(daemon));
  }
  for (Daemon& daemon : daemons_) {
    write_settings(daemon);
    start(daemon);
  }
}

Fleet::~Fleet() {
  for (Daemon& daemon : daemons_) {
    if (!running(daemon)) continue;
    ::kill(daemon.pid, SIGKILL);
    ::waitpid(daemon.pid, nullptr, 0);
  }
}

void Fleet::add_backend(const std::string& service, const std::string& name,
                        bool keyed) {
  Backend& backend = backends_.emplace_back();
  backend.service = service;
  backend.server = std::make_unique<platform::ServerStandin>(io_, name, keyed);
  backend.link = std::make_unique<Proxy>(io_, backend.server->endpoint());
  backend.server->address = backend.link->endpoint();
  backend.server->work = service == kOnceService ? kOnceWork : kWork;
  backend.server->on_run = [this, &backend](const platform::ServerRun& run) {
    on_run(backend, run);
  };
  backend.server->on_grant = [this, &backend](std::uint32_t first,
                                              std::uint32_t last,
                                              std::uint64_t epoch) {
    on_grant(backend, first, last, epoch);
  };
}

void Fleet::on_run(Backend& backend, const platform::ServerRun& run) {
  std::vector<std::string> holders;
  for (const Backend& other : backends_) {
    if (run.key && other.service == backend.service &&
        other.server->holds(*run.key)) {
      holders.push_back(other.server->name());
    }
  }
  promises_.ran(run.id, run.server, holders);
  if (backend.leaving_since) {
    promises_.ran_while_leaving(run.id, run.server,
                                run.at - *backend.leaving_since,
                                in_touch(daemon_of(run.id)));
  }
}

void Fleet::on_grant(Backend& backend, std::uint32_t first, std::uint32_t last,
                     std::uint64_t epoch) {
  for (std::uint32_t key = first; key <= last; ++key) {
    Highest& highest = granted_[key];
    if (highest.backend != nullptr && highest.backend != &backend &&
        epoch <= highest.epoch) {
      promises_.granted(backend.server->name(), epoch, highest.epoch);
      return;
    }
    highest = {std::max(highest.epoch, epoch), &backend};
  }
}

void Fleet::write_settings(const Daemon& daemon) {
  std::size_t number =
      static_cast<std::size_t>(std::stoul(daemon.name.substr(1)));
  std::ofstream file(daemon.settings);
  file << "self.node=" << daemon.name << "\nself.ip=" << daemon.ip
       << "\nself.zone=" << zone_of(number) << "\nself.region=r\n"
       << "network.zones.a=r\nnetwork.zones.b=r\n"
       << "network.listen.front=" << callers(daemon)
       << "\nnetwork.listen.ready=" << ready(daemon)
       << "\nnetwork.portRange=" << kPeerPort << "," << kPeerPort + 1
       << "\nnetwork.seeds=" << address(0) << ":1," << address(1) << ":1"
       << "\nplatform.platform.addr=" << daemon.store_link->endpoint() << "\n";
}

void Fleet::start(Daemon& daemon) {
  std::string variable =
      std::string(platform::kSettingsVariable) + "=" + daemon.settings;
  std::string log = folder_ + "/" + daemon.name + ".log";
  char* arguments[] = {program_.data(), nullptr};
  char* environment[] = {variable.data(), nullptr};
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  daemon.paused = false;
  daemon.stop_ordered.reset();
  ++daemon.starts;
  daemon.disturbed = io::steady_now();
  if (::posix_spawn(&daemon.pid, program_.c_str(), &files, nullptr, arguments,
                    environment) != 0) {
    daemon.pid = 0;
    promises_.not_recovered("cannot start " + program_);
  }
  ::posix_spawn_file_actions_destroy(&files);
}

void Fleet::signal(Daemon& daemon, int number) {
  if (!running(daemon)) return;
  if (number == SIGTERM) {
    daemon.stop_ordered = io::steady_now();
  } else if (number != SIGHUP) {
    daemon.disturbed = io::steady_now();
  }
  if (number == SIGSTOP) daemon.paused = true;
  if (number == SIGCONT) daemon.paused = false;
  ::kill(daemon.pid, number);
}

bool Fleet::running(Daemon& daemon) {
  if (daemon.pid == 0) return false;
  int status = 0;
  if (::waitpid(daemon.pid, &status, WNOHANG) == 0) return true;
  daemon.pid = 0;
  bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  bool stopped =
      daemon.stop_ordered && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!killed && !stopped) promises_.ended_by_itself(daemon.name, status);
  return false;
}

void Fleet::list(Backend& backend, const char* state) {
  store_.put(kServersKind, backend.server->name(),
             backend.server->entry(backend.service, state));
  if (std::string(state) == "ready") backend.leaving_since.reset();
}

void Fleet::unlist(Backend& backend) {
  store_.remove(kServersKind, backend.server->name());
}

void Fleet::publish() {
  std::uint64_t version =
      published_.empty() ? 1 : published_.back().version + 1;
  store_.put(kConfigKind, kActiveConfigName, configuration(version));
  published_.push_back({version, io::steady_now()});
}

Endpoint Fleet::callers(const Daemon& daemon) const {
  return Endpoint(daemon.ip + ":" + std::to_string(kCallersPort));
}

Endpoint Fleet::ready(const Daemon& daemon) const {
  return Endpoint(daemon.ip + ":" + std::to_string(kReadyPort));
}

void Fleet::version_shown(const Daemon& daemon, std::size_t service) {
  // The newest version that leads to this service.
  for (std::size_t i = published_.size(); i-- > 0;) {
    if (published_[i].version % kVersionServices != service) continue;
    std::optional<Duration> behind;
    if (i + 1 < published_.size()) {
      behind = io::steady_now() - published_[i + 1].at;
    }
    promises_.version_seen(daemon.name + "/" + std::to_string(daemon.starts),
                           published_[i].version, behind, in_touch(daemon));
    return;
  }
}

void Fleet::store_disturbed() { disturbed_ = io::steady_now(); }
void Fleet::busy() { disturbed_ = io::steady_now(); }

bool Fleet::harmed() const {
  if (store_.down || store_.silent || store_.loses_answers) return true;
  return std::any_of(daemons_.begin(), daemons_.end(),
                     [](const Daemon& daemon) {
                       return daemon.store_link->fault() != LinkFault::kNone;
                     }) ||
         std::any_of(backends_.begin(), backends_.end(),
                     [](const Backend& backend) {
                       return backend.link->fault() != LinkFault::kNone;
                     });
}

bool Fleet::in_touch(const Daemon& daemon) const {
  TimePoint now = io::steady_now();
  return !harmed() && !daemon.paused && !daemon.stop_ordered &&
         now - daemon.disturbed > kCalm && now - disturbed_ > kCalm;
}

const Daemon& Fleet::daemon_of(const std::string& id) const {
  std::string name = id.substr(0, id.find('-'));
  return *std::find_if(
      daemons_.begin(), daemons_.end(),
      [&](const Daemon& daemon) { return daemon.name == name; });
}

}  // namespace eelgrasspin::soak
