#ifndef EELGRASSPIN_IO_PROGRESS_H_
#define EELGRASSPIN_IO_PROGRESS_H_

#include <cstddef>
#include <vector>

#include "eelgrasspin/units.h"

/// Which of many connections to end when they hold too much together.
namespace eelgrasspin::io {

/// Bytes that one connection has transferred lately.
struct Progress {
  TimePoint window_start;
  TimePoint last;  ///< When a byte was transferred.
  std::size_t window_bytes = 0;
  bool slow = false;  ///< In the last complete window.
};

/// A transfer that moves fewer bytes than this in a window is slow: 32 KB/s, a
/// fortieth of a link of 10 Mbit/s.
constexpr Duration kProgressWindow = milliseconds(500);
constexpr std::size_t kMinBytesPerWindow = 16 * 1024;

void start_progress(Progress& progress, TimePoint now);
void record_progress(Progress& progress, std::size_t bytes, TimePoint now);
bool is_slow(const Progress& progress, TimePoint now);

/// What one connection holds, and how its transfer goes.
struct Holding {
  std::size_t bytes = 0;
  bool slow = false;
  TimePoint last_progress;
};

/// Limits of what all connections hold together.
struct HoldingLimits {
  /// Above it, transfers that are slow or larger than `small` are ended.
  std::size_t limit = 0;
  /// Above it, small ones are ended as well.
  std::size_t limit_of_small = 0;
  std::size_t small = 0;
};

/// Indexes of the holdings to end, in order, while `used` exceeds a limit: slow
/// ones first, the largest before the others; then those without progress for
/// the longest time. `used` includes what cannot be ended.
std::vector<std::size_t> choose_to_end(const std::vector<Holding>& holdings,
                                       std::size_t used,
                                       const HoldingLimits& limits);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_PROGRESS_H_
