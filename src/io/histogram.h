#ifndef EELGRASSPIN_IO_HISTOGRAM_H_
#define EELGRASSPIN_IO_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "eelgrasspin/units.h"

namespace eelgrasspin::io {

/// Counts durations in log-linear buckets: each power of two of microseconds is
/// cut into kSteps equal ones, so that a value is off by at most 1/kSteps.
class Histogram {
 public:
  void record(Duration duration);
  void merge(const Histogram& other);

  std::uint64_t count() const { return count_; }
  Duration sum() const { return sum_; }
  Duration max() const { return max_; }
  /// Upper end of the bucket that holds the share `q` (0 to 1) of all values; 0
  /// if there are none.
  Duration quantile(double q) const;
  /// Values below `limit`, which is a power of two of microseconds.
  std::uint64_t count_up_to(Duration limit) const;

 private:
  static constexpr std::size_t kSteps = 32;
  static constexpr std::size_t kPowers = 36;

  static std::size_t bucket_of(std::uint64_t us);
  static std::uint64_t upper_end(std::size_t bucket);

  std::array<std::uint64_t, kSteps * kPowers> buckets_{};
  std::uint64_t count_ = 0;
  Duration sum_{0};
  Duration max_{0};
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HISTOGRAM_H_
