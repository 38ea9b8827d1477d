#ifndef EELGRASSPIN_TESTS_SOAK_FAULTS_H_
#define EELGRASSPIN_TESTS_SOAK_FAULTS_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/fleet.h"

namespace eelgrasspin::soak {

/// Injects random faults, which may overlap. The same seed gives the same
/// faults at the same times.
class FaultInjector {
 public:
  FaultInjector(Fleet& fleet, std::uint32_t seed);
  /// Injects no further faults; those in force end at their scheduled times.
  void stop() { stopped_ = true; }
  /// Ends all faults in force and starts every process and server that is down.
  void heal();
  /// The injected faults in order, each with the time since the start.
  const std::vector<std::string>& history() const { return history_; }

 private:
  void schedule_next_fault();
  void inject_random_fault();
  void daemon_fault();
  void backend_fault();
  void store_fault();
  void link_fault();
  void configuration_change();
  void stop_and_start(Daemon& daemon);
  void kill_all(Duration down);
  void drain(Backend& backend);
  void crash(Backend& backend, bool restarts_at_once);

  std::uint32_t random_below(std::uint32_t limit);
  Duration random_duration(int min_ms, int max_ms);
  void run_after(Duration delay, std::function<void()> action);
  void record(const std::string& what);

  Fleet& fleet_;
  std::mt19937 random_;
  boost::asio::steady_timer timer_;
  std::list<boost::asio::steady_timer> scheduled_;
  std::vector<std::string> history_;
  TimePoint started_;
  bool stopped_ = false;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_FAULTS_H_
