#ifndef EELGRASSPIN_REVIEW_KIT_3_HPP_
#define EELGRASSPIN_REVIEW_KIT_3_HPP_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "io/endpoint.h"
#include "io/http_client.h"
#include "tests/platform_standin.h"

/// What the review scripts share: the router in processes of its own, beside
/// the project's stand-ins of the store and of backend servers, all on loopback
/// addresses.
namespace review {

using namespace eelgrasspin;            // NOLINT
using namespace eelgrasspin::platform;  // NOLINT

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Longest time that a script may run.
inline constexpr unsigned kMaxSeconds = 110;

inline volatile std::sig_atomic_t interrupted = 0;

/// Makes a signal, the end of the time and the end of the shell end the script
/// in order: run_for() throws, and ~Bench ends the routers.
inline void handle_interruptions() {
  for (int number : {SIGINT, SIGTERM, SIGHUP, SIGALRM})
    ::signal(number, [](int) { interrupted = 1; });
  ::prctl(PR_SET_PDEATHSIG, SIGTERM);
  if (::getppid() == 1) interrupted = 1;
  ::alarm(kMaxSeconds);
}

/// Runs a case. Without a result it could not run.
template <class Case>
int run_case(Case run) {
  handle_interruptions();
  try {
    return run();
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "%s\n", failure.what());
    return kCouldNotRun;
  }
}

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Writes record.txt. Times are seconds since the start of the script.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(path, std::exchange(begun_, true) ? std::ios::app
                                                : std::ios::trunc) {}
  void line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", seconds_now());
    file_ << time << text << "\n" << std::flush;
  }
  double seconds_now() const {
    return static_cast<double>((io::steady_now() - started_).count()) / 1e6;
  }

 private:
  static inline bool begun_ = false;  ///< By a part of the script before.
  std::ofstream file_;
  TimePoint started_ = io::steady_now();
};

inline std::uint16_t free_port(const std::string& ip) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::make_address(ip), 0});
  return acceptor.local_endpoint().port();
}

/// One machine with the router.
struct Router {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  std::string settings;
  pid_t pid = 0;
};

class Bench {
 public:
  Bench(const std::string& folder, int network)
      : record(folder + "/record.txt"), store(io), network_(network) {
    char pattern[] = "/tmp/review-XXXXXX";
    const char* made = ::mkdtemp(pattern);
    if (made != nullptr) folder_ = made;
    front_port_ = free_port(ip_of(1));
    ready_port_ = free_port(ip_of(1));
    peer_port_ = free_port(ip_of(1));
  }

  ~Bench() {
    for (Router& router : routers) signal(router, SIGKILL);
    for (const Router& router : routers) ::unlink(router.settings.c_str());
    if (!folder_.empty()) ::rmdir(folder_.c_str());
  }

  std::string ip_of(int number) const {
    return "127.0." + std::to_string(network_) + "." + std::to_string(number);
  }

  /// Writes the settings of a small deployment, and starts the program.
  Router& add_router(int number, const std::string& zone,
                     const std::string& region) {
    Router router{"front-" + zone + "-" + std::to_string(number),
                  ip_of(number),
                  zone,
                  region,
                  folder_ + "/local-" + std::to_string(number) + ".conf",
                  0};
    std::ofstream(router.settings)
        << "grants=rpc\nself.node=" << router.name
        << "\nself.role=router\nself.machineClass=front\nself.serves=front\n"
        << "self.ip=" << router.ip << "\nself.zone=" << zone
        << "\nself.region=" << region
        << "\nself.lossCounts=false\nself.bootstrap=true\n"
        << "self.limits.cpuShare=0.2\nself.limits.cores=1\n"
        << "self.limits.memoryMb=260\nself.limits.maxFds=4100\n"
        << "self.limits.linkMbps=1000.0\nself.limits.diskMb=0\n"
        << "network.listen.front=" << router.ip << ":" << front_port_
        << "\nnetwork.listen.ready=" << router.ip << ":" << ready_port_
        << "\nnetwork.portRange=" << peer_port_ << "," << peer_port_ + 15
        << "\nnetwork.seeds=" << ip_of(1) << ":" << peer_port_
        << "\nnetwork.zones.gongoni=kilifi\nnetwork.zones.kipevu=mombasa\n"
        << "platform.discovery=platform\nplatform.entry=vip\n"
        << "platform.heartbeatS=0.87\nplatform.platform.addr="
        << store.endpoint() << "\nplatform.platform.form=objects\n"
        << "platform.platform.writesPerS=400\n"
        << "platform.platform.readsPerS=2000\n"
        << "platform.platform.retentionS=20\n"
        << "platform.platform.maxValueBytes=1048576\n"
        << "terms.contracts=base,drain,config,cost,retry,recover,own,platform\n"
        << "terms.faultTolerance.machines=2\nterms.faultTolerance.zones=0\n"
        << "terms.faultTolerance.regions=0\nterms.bounds.seedLagS=3\n"
        << "terms.bounds.reuseAfterS=2\nterms.bounds.stableWindowS=3\n"
        << "terms.bounds.ackS=4\nterms.bounds.syncS=4\nterms.bounds.drainS=2\n"
        << "terms.bounds.graceS=6\nterms.bounds.lossSlackS=0.2\n"
        << "terms.bounds.applyS=2\nterms.bounds.revertSlackS=0.25\n"
        << "terms.bounds.stretchMaxS=5\nterms.bounds.budgetRatio=0.2\n"
        << "terms.bounds.budgetWindowS=10\nterms.bounds.budgetSlack=64\n"
        << "terms.bounds.recoveryS=15\nterms.bounds.holdMaxS=10\n"
        << "terms.bounds.thawSlackS=0.3\n";
    routers.push_back(router);
    start(routers.back());
    return routers.back();
  }

  /// The command of deploy/system.toml, in the repository's root.
  void start(Router& router) {
    std::string variable =
        std::string(kSettingsVariable) + "=" + router.settings;
    std::string log = folder_log_ + router.name + ".log";
    pid_t pid = ::fork();
    if (pid == 0) {
      // It ends with this process, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() == 1) ::_exit(127);
      const char* kept = std::getenv("KEEP_LOGS");
      int out = ::open(kept == nullptr ? "/dev/null" : log.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      char program[] = "target/bin/eelgrasspin-platform";
      char* arguments[] = {program, nullptr};
      char* environment[] = {variable.data(), nullptr};
      ::execve(program, arguments, environment);
      ::_exit(127);
    }
    router.pid = pid;
    record.line("router " + router.name + " started");
  }

  /// Sends the signal; for SIGKILL and SIGTERM waits for the end.
  void signal(Router& router, int number) {
    if (router.pid == 0) return;
    ::kill(router.pid, number);
    if (number != SIGKILL && number != SIGTERM) return;
    if (number == SIGKILL) {
      ::waitpid(router.pid, nullptr, 0);
      router.pid = 0;
    }
  }

  bool alive(Router& router) {
    int status = 0;
    if (router.pid == 0) return false;
    if (::waitpid(router.pid, &status, WNOHANG) != router.pid) return true;
    record.line("router " + router.name + " has ended, status " +
                std::to_string(status));
    router.pid = 0;
    return false;
  }

  Endpoint front(const Router& router) const {
    return Endpoint(router.ip + ":" + std::to_string(front_port_));
  }

  void list(const ServerStandin& server, const std::string& service,
            const std::string& state = "ready") {
    store.put(kServersKind, server.name(), server.entry(service, state));
    record.line("instance " + server.name() + " (" + server.endpoint().str() +
                ") is written to the store as " + state);
  }

  /// Runs everything for a time, calling `each` every few milliseconds.
  void run_for(Duration time, const std::function<void()>& each = {}) {
    TimePoint end = io::steady_now() + time;
    while (io::steady_now() < end) {
      io.run_for(std::chrono::milliseconds(2));
      io.restart();
      if (interrupted != 0) throw std::runtime_error("interrupted");
      if (each) each();
    }
  }

  bool run_until(const std::function<bool()>& done, Duration limit,
                 const std::function<void()>& each = {}) {
    TimePoint end = io::steady_now() + limit;
    while (io::steady_now() < end) {
      if (done()) return true;
      run_for(milliseconds(5), each);
    }
    return done();
  }

  /// Sends a request on a connection of its own; `done` gets 0 for a failure.
  void send(const Router& router, const io::HttpRequest& request,
            Duration timeout, std::function<void(io::HttpResult)> done) {
    auto connection = io::make_http_connection(io, front(router));
    connection->exchange(
        request, timeout,
        [connection, done = std::move(done)](io::HttpResult result) {
          connection->close();
          done(std::move(result));
        });
  }

  int status_of(const Router& router, const io::HttpRequest& request) {
    int status = -1;
    send(router, request, seconds(3), [&](io::HttpResult result) {
      const auto* answer = std::get_if<io::HttpResponse>(&result);
      status = answer == nullptr ? 0 : answer->status;
    });
    run_until([&] { return status >= 0; }, seconds(4));
    return status;
  }

  bool become_ready(const Router& router, Duration limit = seconds(15)) {
    Endpoint ready(router.ip + ":" + std::to_string(ready_port_));
    bool is_ready = false;
    bool asking = false;
    return run_until(
        [&] {
          if (is_ready || asking) return is_ready;
          asking = true;
          auto connection = io::make_http_connection(io, ready);
          connection->exchange({"GET", "/ready", {}, "", {}}, milliseconds(500),
                               [&, connection](io::HttpResult result) {
                                 connection->close();
                                 const auto* answer =
                                     std::get_if<io::HttpResponse>(&result);
                                 is_ready =
                                     answer != nullptr && answer->status == 200;
                                 asking = false;
                               });
          return false;
        },
        limit);
  }

  boost::asio::io_context io;
  Record record;
  StoreStandin store;
  std::vector<Router> routers;

 private:
  int network_;
  std::string folder_;
  std::string folder_log_ = "/tmp/review-log-";
  std::uint16_t front_port_ = 0;
  std::uint16_t ready_port_ = 0;
  std::uint16_t peer_port_ = 0;
};

/// Looks for keys that two instances hold at the same time.
class HolderCheck {
 public:
  HolderCheck(Record& record, std::vector<ServerStandin*> servers)
      : record_(record), servers_(std::move(servers)) {}

  void add(ServerStandin* server) { servers_.push_back(server); }

  void look() {
    TimePoint now = io::steady_now();
    if (now - looked_at_ < milliseconds(10)) return;
    looked_at_ = now;
    std::size_t doubly_held = 0;
    std::string example;
    for (std::uint32_t key = 0; key < 65'536; key += 64) {
      std::vector<std::string> holders;
      for (ServerStandin* server : servers_) {
        if (server->holds(key)) holders.push_back(server->name());
      }
      if (holders.size() < 2) {
        since_.erase(key);
        continue;
      }
      ++doubly_held;
      since_.try_emplace(key, now);
      longest_ = std::max(longest_, now - since_[key]);
      if (example.empty()) {
        example = "key " + std::to_string(key) + " by " + holders[0] +
                  " (fence " + std::to_string(epoch(holders[0], key)) +
                  ") and " + holders[1] + " (fence " +
                  std::to_string(epoch(holders[1], key)) + ")";
      }
    }
    if (doubly_held == last_count_) return;
    last_count_ = doubly_held;
    record_.line(std::to_string(doubly_held) +
                 " of 1024 keys looked at are held by two instances" +
                 (example.empty() ? "" : ": " + example));
  }

  Duration longest() const { return longest_; }
  /// Whether a run begins on a key that another instance holds as well.
  bool held_elsewhere(const std::string& server, std::uint32_t key) const {
    for (ServerStandin* other : servers_) {
      if (other->name() != server && other->holds(key)) return true;
    }
    return false;
  }

 private:
  std::uint64_t epoch(const std::string& name, std::uint32_t key) const {
    for (ServerStandin* server : servers_) {
      if (server->name() == name) return server->epoch(key);
    }
    return 0;
  }

  Record& record_;
  std::vector<ServerStandin*> servers_;
  std::map<std::uint32_t, TimePoint> since_;
  TimePoint looked_at_;
  Duration longest_{0};
  std::size_t last_count_ = 0;
};

inline io::HttpRequest keyed_request(const std::string& id, std::uint32_t key,
                                     int deadline_ms = 2000) {
  return {"GET",
          "/pans/reading",
          {{"Host", "salt.example"},
           {kRequestIdHeader, id},
           {kDeadlineMsHeader, std::to_string(deadline_ms)},
           {kShardKeyHeader, std::to_string(key)}},
          "",
          {}};
}

inline io::HttpRequest unsafe_request(const std::string& id,
                                      const std::string& body,
                                      int deadline_ms = 2500) {
  return {"POST",
          "/dispatch/post",
          {{"Host", "salt.example"},
           {kRequestIdHeader, id},
           {kDeadlineMsHeader, std::to_string(deadline_ms)}},
          body,
          {}};
}

inline constexpr char kConfiguration[] =
    R"({"version":7,"limits":{"headerBytes":16384,"bodyBytes":1000000,)"
    R"("headerTimeoutS":3,"idleTimeoutS":15},"listeners":[{"host":)"
    R"("salt.example","rules":[{"name":"pan-reading","kind":"safe",)"
    R"("sloS":0.5,"priority":2,"match":{"prefix":"/pans/"},"action":)"
    R"({"service":"panboard","timeoutS":2,"attempts":2}},)"
    R"({"name":"dispatch-post","kind":"unsafe","sloS":0.6,"priority":1,)"
    R"("match":{"prefix":"/dispatch/"},"action":{"service":"dispatchbook",)"
    R"("timeoutS":2.5,"attempts":2}},)"
    R"({"name":"ledger-pull","kind":"safe","sloS":1.2,"priority":2,)"
    R"("match":{"prefix":"/ledger/"},"action":{"service":"dispatchbook",)"
    R"("timeoutS":5,"attempts":2}}]}],)"
    R"("clusters":[{"name":"panboard","maxConns":130,"sharded":true},)"
    R"({"name":"dispatchbook","maxConns":130}]})";

}  // namespace review

#endif  // EELGRASSPIN_REVIEW_KIT_3_HPP_
