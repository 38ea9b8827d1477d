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
/// Services that the versions of the configuration take turns in.
inline constexpr std::size_t kVersionServices = 8;
/// Calm that has to precede a moment for time bounds to hold in it.
inline constexpr Duration kUndisturbedPeriod = seconds(3);

/// One daemon: the real program as a process of its own.
struct Daemon {
  std::string name;
  std::string ip;
  std::string settings_path;
  pid_t pid = 0;
  std::uint64_t start_count = 0;
  bool paused = false;
  std::optional<TimePoint> stop_ordered_at;
  /// Last moment at which anything but an ordered stop was done to it.
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

/// Daemons, backend servers and the store, and the promises that hold between
/// them. Processes are ended by their ids, none but those started here.
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
  void signal(Daemon& daemon, int signal_number);
  /// Notices processes that have ended. True if this one runs.
  bool running(Daemon& daemon);
  void publish_entry(Backend& backend, const char* state);
  void remove_entry(Backend& backend);
  /// Publishes the next version of the configuration.
  void publish();

  Endpoint caller_endpoint(const Daemon& daemon) const;
  Endpoint ready_endpoint(const Daemon& daemon) const;
  /// A run of a request to "/v/" at this service shows the version in force.
  void version_service_reached(const Daemon& daemon, std::size_t service_index);
  void note_environment_disturbed();
  /// Nothing has been done to the daemon, the store or a link for kCalm.
  bool undisturbed(const Daemon& daemon) const;
  /// The daemon that a request was sent to; ids begin with its name.
  const Daemon& daemon_of(const std::string& id) const;
  /// The machine was too busy for time bounds to be meaningful.
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
  TimePoint
      environment_disturbed_at_;  ///< The store, a link or the whole machine.
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_FLEET_H_
