#ifndef EELGRASSPIN_TESTS_SOAK_FLEET_H_
#define EELGRASSPIN_TESTS_SOAK_FLEET_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/platform_standin.h"
#include "tests/soak/guarantee_checker.h"
#include "tests/soak/proxy.h"

namespace eelgrasspin::soak {

inline constexpr char kKeyedService[] = "board";
inline constexpr char kAtMostOnceService[] = "book";
/// Services of which each configuration version routes "/v/" to one, in turn,
/// so that an answer tells which version the daemon uses.
inline constexpr std::size_t kVersionServices = 8;
/// Time bounds are checked only after this long without a disturbance.
inline constexpr Duration kUndisturbedPeriod = seconds(3);

/// One daemon: the real program in a separate process.
struct Daemon {
  std::string name;
  std::string ip;
  std::string settings_path;
  pid_t pid = 0;
  std::uint64_t start_count = 0;
  bool paused = false;
  std::optional<TimePoint> stop_ordered_at;
  /// Last start, kill, pause or resume. Ordered stops and reloads do not count.
  TimePoint disturbed_at;
  std::unique_ptr<Proxy> store_proxy;
};

/// One backend server, reached through a proxy.
struct Backend {
  std::string service;
  std::unique_ptr<platform::ServerStandin> server;
  std::unique_ptr<Proxy> proxy;
  std::optional<TimePoint> draining_since;
  TimePoint disturbed_at;
};

/// The daemons, backend servers and store under test, and the checker of their
/// guarantees. Signals only processes that it started, by their ids.
class Fleet {
 public:
  Fleet(boost::asio::io_context& io, std::size_t daemons, std::string program,
        std::string folder);
  ~Fleet();

  boost::asio::io_context& io() { return io_; }
  GuaranteeChecker& guarantees() { return guarantees_; }
  platform::StoreStandin& store() { return store_; }
  std::deque<Daemon>& daemons() { return daemons_; }
  std::deque<Backend>& backends() { return backends_; }

  void start(Daemon& daemon);
  /// Sends a signal if the process runs. SIGTERM counts as an ordered stop; any
  /// other signal but SIGHUP disturbs the daemon.
  void signal(Daemon& daemon, int signal_number);
  /// True while the process runs. Reaps it if it has ended, and reports an
  /// unexpected end.
  bool running(Daemon& daemon);
  /// Writes the server's entry with this state, "ready" or "draining".
  void publish_entry(Backend& backend, const char* state);
  void remove_entry(Backend& backend);
  /// Publishes the next version of the configuration.
  void publish();
  /// The store refuses calls until it is back from a copy.
  void begin_restoration();
  /// The operator and the servers that run write their objects again.
  void write_again();
  /// Drops the entries of servers that do not run.
  void expire_entries();
  void end_restoration();

  Endpoint caller_endpoint(const Daemon& daemon) const;
  Endpoint ready_endpoint(const Daemon& daemon) const;
  /// The daemon routed a request for "/v/" to this version service, which tells
  /// the configuration version that it uses.
  void version_service_reached(const Daemon& daemon, std::size_t service_index);
  /// A fault of the store or of a link has begun or ended.
  void note_environment_disturbed();
  /// Time bounds apply to the daemon: no fault is in force, it has not been
  /// ordered to stop, and nothing has been disturbed for kUndisturbedPeriod.
  bool undisturbed(const Daemon& daemon) const;
  /// The daemon that a request was sent to. Request ids begin with its name.
  const Daemon& daemon_of(const std::string& id) const;
  /// The machine is too busy for time bounds to be meaningful.
  void note_machine_busy();

 private:
  /// A fault of the store or of a link is in force.
  bool fault_in_force() const;
  void add_backend(const std::string& service, const std::string& name,
                   bool keyed);
  void on_run(Backend& backend, const platform::ServerRun& run);
  void on_grant(Backend& backend, std::uint32_t first, std::uint32_t last,
                std::uint64_t epoch);
  void write_settings(const Daemon& daemon);

  struct HighestGrant {
    std::uint64_t epoch = 0;
    const Backend* backend = nullptr;
  };
  struct PublishedVersion {
    std::uint64_t version;
    TimePoint at;
  };

  boost::asio::io_context& io_;
  std::string program_;
  std::string folder_;
  GuaranteeChecker guarantees_;
  platform::StoreStandin store_;
  std::deque<Daemon> daemons_;
  std::deque<Backend> backends_;
  std::vector<HighestGrant> highest_grants_;  ///< By key.
  std::vector<PublishedVersion> published_versions_;
  bool restoring_ = false;
  /// Last disturbance of the store, a link or the whole machine.
  TimePoint environment_disturbed_at_;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_FLEET_H_
