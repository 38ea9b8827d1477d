#ifndef EELGRASSPIN_IO_LOG_RATE_LIMITER_H_
#define EELGRASSPIN_IO_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "eelgrasspin/units.h"

namespace eelgrasspin::io {

/// Bounds the number of log lines of each kind in each second.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// Whether a line of this kind may be written now.
  bool allow(std::string_view kind, TimePoint now);
  /// Kinds that had lines dropped in a second that has passed, with the number
  /// of lines. Each drop is returned once.
  std::vector<std::pair<std::string, std::uint64_t>> take_dropped(
      TimePoint now);

 private:
  struct Window {
    TimePoint start;
    std::uint32_t written = 0;
    std::uint64_t dropped = 0;
  };
  std::uint32_t lines_per_second_;
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_LOG_RATE_LIMITER_H_
