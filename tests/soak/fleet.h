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
inline constexpr char kOnceService[] = "book";
/// Services that the versions of the configuration take turns in.
inline constexpr std::size_t kVersionServices = 8;
/// Calm that has to precede a moment for time bounds to hold in it.
inline constexpr Duration kCalm = seconds(3);

/// One daemon: the real program as a process of its own.
struct Daemon {
  std::string name;
  std::string ip;
  std::string settings;
  pid_t pid = 0;
  std::uint64_t starts = 0;
  bool paused = false;
  std::optional<TimePoint> stop_ordered;
  /// Last moment at which anything but an ordered stop was done to it.
  TimePoint disturbed;
  std::unique_ptr<Proxy> store_link;
};

/// One backend server, reached through a proxy.
struct Backend {
  std::string service;
  std::unique_ptr<platform::ServerStandin> server;
  std::unique_ptr<Proxy> link;
  std::optional<TimePoint> leaving_since;
  TimePoint disturbed;
};

/// Daemons, backend servers and the store, and the promises that hold between
/// them. Processes are ended by their ids, none but those started here.
class Fleet {
 public:
  Fleet(boost::asio::io_context& io, std::size_t daemons, std::string program,
        std::string folder);
  ~Fleet();

  boost::asio::io_context& io() { return io_; }
  Promises& promises() { return promises_; }
  platform::StoreStandin& store() { return store_; }
  std::deque<Daemon>& daemons() { return daemons_; }
  std::deque<Backend>& backends() { return backends_; }

  void start(Daemon& daemon);
  void signal(Daemon& daemon, int number);
  /// Notices processes that have ended. True if this one runs.
  bool running(Daemon& daemon);
  void list(Backend& backend, const char* state);
  void unlist(Backend& backend);
  /// Publishes the next version of the configuration.
  void publish();

  Endpoint callers(const Daemon& daemon) const;
  Endpoint ready(const Daemon& daemon) const;
  /// A run of a request to "/v/" at this service shows the version in force.
  void version_shown(const Daemon& daemon, std::size_t service);
  void store_disturbed();
  /// Nothing has been done to the daemon, the store or a link for kCalm.
  bool in_touch(const Daemon& daemon) const;
  /// The daemon that a request was sent to; ids begin with its name.
  const Daemon& daemon_of(const std::string& id) const;
  /// The machine was too busy for time bounds to be meaningful.
  void busy();

 private:
  /// A fault of the store or of a link is in force.
  bool harmed() const;
  void add_backend(const std::string& service, const std::string& name,
                   bool keyed);
  void on_run(Backend& backend, const platform::ServerRun& run);
  void on_grant(Backend& backend, std::uint32_t first, std::uint32_t last,
                std::uint64_t epoch);
  void write_settings(const Daemon& daemon);

  struct Highest {
    std::uint64_t epoch = 0;
    const Backend* backend = nullptr;
  };
  struct Published {
    std::uint64_t version;
    TimePoint at;
  };

  boost::asio::io_context& io_;
  std::string program_;
  std::string folder_;
  Promises promises_;
  platform::StoreStandin store_;
  std::deque<Daemon> daemons_;
  std::deque<Backend> backends_;
  std::vector<Highest> granted_;  ///< By key.
  std::vector<Published> published_;
  TimePoint disturbed_;  ///< The store, a link or the whole machine.
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_FLEET_H_
