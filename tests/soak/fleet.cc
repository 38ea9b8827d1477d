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
constexpr Duration kExecutionTime = milliseconds(15);
/// Long enough that at-most-once requests are in progress when most faults
/// begin.
constexpr Duration kAtMostOnceExecutionTime = milliseconds(150);
constexpr std::size_t kKeyedServers = 4;
constexpr std::size_t kAtMostOnceServers = 3;
/// Fewer than the callers' requests at busy times, so that servers are full.
constexpr std::size_t kAtMostOnceCapacity = 4;

/// A loopback address that depends on the process id, so that several soaks can
/// run on one machine.
std::string address(std::size_t index) {
  auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + pid / 256 % 128) + "." +
         std::to_string(pid % 256) + "." + std::to_string(index + 1);
}

std::string zone_of(std::size_t index) {
  return index % kZones == 0 ? "a" : "b";
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

std::string version_service(std::size_t index) {
  return "version" + std::to_string(index);
}

std::string configuration(std::uint64_t version) {
  json::array clusters = {
      json::object{
          {"name", kKeyedService}, {"maxConns", 100}, {"sharded", true}},
      json::object{{"name", kAtMostOnceService}, {"maxConns", 100}}};
  for (std::size_t i = 0; i < kVersionServices; ++i) {
    clusters.push_back(
        json::object{{"name", version_service(i)}, {"maxConns", 100}});
  }
  json::array rules = {rule("keyed", "safe", "/k/", kKeyedService),
                       rule("once", "unsafe", "/o/", kAtMostOnceService),
                       rule("keyed_once", "unsafe", "/w/", kKeyedService),
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
      highest_grants_(65'536) {
  for (std::size_t i = 0; i < kKeyedServers; ++i) {
    add_backend(kKeyedService, "i-board" + std::to_string(i), true);
  }
  for (std::size_t i = 0; i < kAtMostOnceServers; ++i) {
    add_backend(kAtMostOnceService, "i-book" + std::to_string(i), false);
  }
  for (std::size_t i = 0; i < kVersionServices; ++i) {
    add_backend(version_service(i), "i-version" + std::to_string(i), false);
  }
  for (Backend& backend : backends_) publish_entry(backend, "ready");
  publish();
  for (std::size_t i = 0; i < daemons; ++i) {
    Daemon daemon;
    daemon.name = "d" + std::to_string(i);
    daemon.ip = address(i);
    daemon.settings_path = folder_ + "/" + daemon.name + ".conf";
    daemon.store_proxy = std::make_unique<Proxy>(io_, store_.endpoint());
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
  backend.proxy = std::make_unique<Proxy>(io_, backend.server->endpoint());
  backend.server->address = backend.proxy->endpoint();
  bool at_most_once = service == kAtMostOnceService;
  backend.server->work =
      at_most_once ? kAtMostOnceExecutionTime : kExecutionTime;
  backend.server->capacity = at_most_once ? kAtMostOnceCapacity : 0;
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
  guarantees_.execution_started(run.id, run.server, holders, run.at);
  if (backend.draining_since) {
    guarantees_.execution_started_while_draining(
        run.id, run.server, run.at - *backend.draining_since,
        undisturbed(daemon_of(run.id)));
  }
}

void Fleet::on_grant(Backend& backend, std::uint32_t first, std::uint32_t last,
                     std::uint64_t epoch) {
  for (std::uint32_t key = first; key <= last; ++key) {
    HighestGrant& highest = highest_grants_[key];
    if (highest.backend != nullptr && highest.backend != &backend &&
        epoch <= highest.epoch) {
      guarantees_.grant_received(backend.server->name(), epoch, highest.epoch);
      return;
    }
    highest = {std::max(highest.epoch, epoch), &backend};
  }
}

void Fleet::write_settings(const Daemon& daemon) {
  std::size_t index =
      static_cast<std::size_t>(std::stoul(daemon.name.substr(1)));
  std::ofstream file(daemon.settings_path);
  file << "self.node=" << daemon.name << "\nself.ip=" << daemon.ip
       << "\nself.zone=" << zone_of(index) << "\nself.region=r\n"
       << "network.zones.a=r\nnetwork.zones.b=r\n"
       << "network.listen.front=" << caller_endpoint(daemon)
       << "\nnetwork.listen.ready=" << ready_endpoint(daemon)
       << "\nnetwork.portRange=" << kPeerPort << "," << kPeerPort + 1
       << "\nnetwork.seeds=" << address(0) << ":1," << address(1) << ":1"
       << "\nplatform.platform.addr=" << daemon.store_proxy->endpoint() << "\n";
}

void Fleet::start(Daemon& daemon) {
  std::string variable =
      std::string(platform::kSettingsVariable) + "=" + daemon.settings_path;
  std::string log = folder_ + "/" + daemon.name + ".log";
  char* arguments[] = {program_.data(), nullptr};
  char* environment[] = {variable.data(), nullptr};
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  daemon.paused = false;
  daemon.stop_ordered_at.reset();
  ++daemon.start_count;
  daemon.disturbed_at = io::steady_now();
  if (::posix_spawn(&daemon.pid, program_.c_str(), &files, nullptr, arguments,
                    environment) != 0) {
    daemon.pid = 0;
    guarantees_.not_recovered("cannot start " + program_);
  }
  ::posix_spawn_file_actions_destroy(&files);
}

void Fleet::signal(Daemon& daemon, int signal_number) {
  if (!running(daemon)) return;
  if (signal_number == SIGTERM) {
    daemon.stop_ordered_at = io::steady_now();
  } else if (signal_number != SIGHUP) {
    daemon.disturbed_at = io::steady_now();
  }
  if (signal_number == SIGSTOP) daemon.paused = true;
  if (signal_number == SIGCONT) daemon.paused = false;
  ::kill(daemon.pid, signal_number);
}

bool Fleet::running(Daemon& daemon) {
  if (daemon.pid == 0) return false;
  int status = 0;
  if (::waitpid(daemon.pid, &status, WNOHANG) == 0) return true;
  daemon.pid = 0;
  bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  bool stopped =
      daemon.stop_ordered_at && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!killed && !stopped) guarantees_.ended_unexpectedly(daemon.name, status);
  return false;
}

void Fleet::publish_entry(Backend& backend, const char* state) {
  store_.put(kServersKind, backend.server->name(),
             backend.server->entry(backend.service, state));
  if (std::string(state) == "ready") backend.draining_since.reset();
}

void Fleet::remove_entry(Backend& backend) {
  store_.remove(kServersKind, backend.server->name());
}

void Fleet::publish() {
  std::uint64_t version =
      published_versions_.empty() ? 1 : published_versions_.back().version + 1;
  store_.put(kConfigKind, kActiveConfigName, configuration(version));
  published_versions_.push_back({version, io::steady_now()});
}

void Fleet::begin_restoration() {
  restoring_ = true;
  store_.down = true;
}

void Fleet::write_again() {
  for (Backend& backend : backends_) {
    if (backend.server->up())
      publish_entry(backend, backend.draining_since ? "draining" : "ready");
  }
  store_.put(kConfigKind, kActiveConfigName,
             configuration(published_versions_.back().version));
}

void Fleet::expire_entries() {
  for (Backend& backend : backends_) {
    if (!backend.server->up()) remove_entry(backend);
  }
}

void Fleet::end_restoration() {
  restoring_ = false;
  note_environment_disturbed();
}

Endpoint Fleet::caller_endpoint(const Daemon& daemon) const {
  return Endpoint(daemon.ip + ":" + std::to_string(kCallersPort));
}

Endpoint Fleet::ready_endpoint(const Daemon& daemon) const {
  return Endpoint(daemon.ip + ":" + std::to_string(kReadyPort));
}

void Fleet::version_service_reached(const Daemon& daemon,
                                    std::size_t service_index) {
  // The newest version that routes to this service.
  for (std::size_t i = published_versions_.size(); i-- > 0;) {
    if (published_versions_[i].version % kVersionServices != service_index)
      continue;
    std::optional<Duration> outdated_for;
    if (i + 1 < published_versions_.size()) {
      outdated_for = io::steady_now() - published_versions_[i + 1].at;
    }
    guarantees_.version_observed(
        daemon.name + "/" + std::to_string(daemon.start_count),
        published_versions_[i].version, outdated_for, undisturbed(daemon));
    return;
  }
}

void Fleet::note_environment_disturbed() {
  environment_disturbed_at_ = io::steady_now();
}
void Fleet::note_machine_busy() {
  environment_disturbed_at_ = io::steady_now();
}

bool Fleet::fault_in_force() const {
  if (restoring_ || store_.down || store_.silent || store_.loses_answers)
    return true;
  return std::any_of(daemons_.begin(), daemons_.end(),
                     [](const Daemon& daemon) {
                       return daemon.store_proxy->fault() != LinkFault::kNone;
                     }) ||
         std::any_of(backends_.begin(), backends_.end(),
                     [](const Backend& backend) {
                       return is_link_down(backend.proxy->fault());
                     });
}

bool Fleet::undisturbed(const Daemon& daemon) const {
  TimePoint now = io::steady_now();
  return !fault_in_force() && !daemon.paused && !daemon.stop_ordered_at &&
         now - daemon.disturbed_at > kUndisturbedPeriod &&
         now - environment_disturbed_at_ > kUndisturbedPeriod;
}

const Daemon& Fleet::daemon_of(const std::string& id) const {
  std::string name = id.substr(0, id.find('-'));
  return *std::find_if(
      daemons_.begin(), daemons_.end(),
      [&](const Daemon& daemon) { return daemon.name == name; });
}

}  // namespace eelgrasspin::soak
