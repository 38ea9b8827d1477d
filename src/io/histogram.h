#ifndef EELGRASSPIN_IO_HISTOGRAM_H_
#define EELGRASSPIN_IO_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "eelgrasspin/units.h"

namespace eelgrasspin::io {

/// Counts durations in log-linear buckets: the range between two powers of two
/// microseconds is divided into kBucketsPerPower equal buckets. The relative
/// error of a value is at most 1/kBucketsPerPower.
class Histogram {
 public:
  void record(Duration duration);
  void merge(const Histogram& other);

  std::uint64_t count() const { return count_; }
  Duration sum() const { return sum_; }
  Duration max() const { return max_; }
  /// The quantile `q` (0 to 1), as the upper end of its bucket; 0 if nothing
  /// was recorded.
  Duration quantile(double q) const;
  /// Number of values below `limit`, which must be a power of two microseconds.
  std::uint64_t count_below(Duration limit) const;

 private:
  static constexpr std::size_t kBucketsPerPower = 32;
  static constexpr std::size_t kPowerCount = 36;

  static std::size_t bucket_of(std::uint64_t us);
  static std::uint64_t max_value_of(std::size_t bucket);

  std::array<std::uint64_t, kBucketsPerPower * kPowerCount> buckets_{};
  std::uint64_t count_ = 0;
  Duration sum_{0};
  Duration max_{0};
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HISTOGRAM_H_
