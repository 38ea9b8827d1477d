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

/// Draws faults from a seed and brings them about, one after the other and
/// overlapping. The same seed draws the same faults at the same times.
class FaultInjector {
 public:
  FaultInjector(Fleet& fleet, std::uint32_t seed);
  /// Draws no more; faults in force end as they were to.
  void stop() { stopped_ = true; }
  /// Ends what is still in force and starts what is down.
  void heal();
  /// What was done, with the time since the start.
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
