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
class Faults {
 public:
  Faults(Fleet& fleet, std::uint32_t seed);
  /// Draws no more; faults in force end as they were to.
  void stop() { stopped_ = true; }
  /// Ends what is still in force and starts what is down.
  void heal();
  /// What was done, with the time since the start.
  const std::vector<std::string>& history() const { return history_; }

 private:
  void next();
  void draw();
  void daemon_fault();
  void backend_fault();
  void store_fault();
  void link_fault();
  void configuration_change();
  void stop_and_start(Daemon& daemon);
  void kill_all(Duration down);
  void leave(Backend& backend);
  void crash(Backend& backend, bool at_once);

  std::uint32_t number(std::uint32_t most);
  Duration between(int least_ms, int most_ms);
  void after(Duration delay, std::function<void()> act);
  void did(const std::string& what);

  Fleet& fleet_;
  std::mt19937 random_;
  boost::asio::steady_timer timer_;
  std::list<boost::asio::steady_timer> later_;
  std::vector<std::string> history_;
  TimePoint started_;
  bool stopped_ = false;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_FAULTS_H_
