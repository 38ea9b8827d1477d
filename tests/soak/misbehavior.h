#ifndef EELGRASSPIN_TESTS_SOAK_MISBEHAVIOR_H_
#define EELGRASSPIN_TESTS_SOAK_MISBEHAVIOR_H_

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/fleet.h"

namespace eelgrasspin::soak {

/// Makes servers refuse requests, in odd ways too, lose answers, or not answer
/// what they have no room for. Each behaviour lasts for seconds; they overlap.
/// The same seed gives the same behaviours at the same times.
class ServerMisbehavior {
 public:
  ServerMisbehavior(Fleet& fleet, std::uint32_t seed);
  /// Begins no further behaviours; those in force end at their scheduled times.
  void stop() { stopped_ = true; }
  void heal();
  /// What began, in order, each with the time since the start.
  const std::vector<std::string>& history() const { return history_; }

 private:
  void schedule_next();
  void begin_random();
  /// Ends all behaviours of the server.
  static void end(Backend& backend);
  std::uint32_t random_below(std::uint32_t limit);

  Fleet& fleet_;
  std::mt19937 random_;
  boost::asio::steady_timer timer_;
  std::list<boost::asio::steady_timer> ends_;
  std::vector<std::string> history_;
  TimePoint started_;
  bool stopped_ = false;
};

}  // namespace eelgrasspin::soak

#endif  // EELGRASSPIN_TESTS_SOAK_MISBEHAVIOR_H_
