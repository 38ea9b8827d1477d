#ifndef EELGRASSPIN_TESTS_SOAK_RESTORATIONS_H_
#define EELGRASSPIN_TESTS_SOAK_RESTORATIONS_H_

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/fleet.h"

namespace eelgrasspin::soak {

/// Restores the store from copies that are some seconds old, one after the
/// other. The same seed gives the same restorations at the same times,
/// whatever other faults are injected.
class StoreRestorations {
 public:
  StoreRestorations(Fleet& fleet, std::uint32_t seed);
  /// Starts no further restoration; one in progress ends.
  void stop() { stopped_ = true; }
  bool in_progress() const { return in_progress_; }
  const std::vector<std::string>& history() const { return history_; }

 private:
  void schedule();
  void restore();
  Duration random_duration(int min_ms, int max_ms);
  void run_after(Duration delay, std::function<void()> action);
  void record(const std::string& what);

  Fleet& fleet_;
  std::mt19937 random_;
  std::list<boost::asio::steady_timer> scheduled_;
  std::vector<std::string> history_;
  TimePoint started_;
  bool in_progress_ = false;
  bool stopped_ = false;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_RESTORATIONS_H_
