#ifndef EELGRASSPIN_UNITS_H_
#define EELGRASSPIN_UNITS_H_

#include <chrono>
#include <cstdint>

namespace eelgrasspin {

/// Type of every time span in the project; microseconds.
using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Clock type that tags the monotonic time of one process.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// Monotonic time; only comparable within one process.
using TimePoint = std::chrono::time_point<MonotonicClock, Duration>;
/// Wall-clock time since the Unix epoch; for display and reports only, never
/// for decisions on ownership.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The current time, passed to every function whose decisions depend on it.
struct Now {
  TimePoint mono;
  WallTime wall;
};

struct Bytes {
  std::uint64_t value = 0;
  auto operator<=>(const Bytes&) const = default;
};

inline std::int64_t to_ms(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}
inline std::int64_t to_ms(WallTime t) { return to_ms(t.time_since_epoch()); }

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_UNITS_H_
