#include "io/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace eelgrasspin::io {

std::size_t Histogram::bucket_of(std::uint64_t us) {
  if (us < kBucketsPerPower) return us;
  auto power = static_cast<std::size_t>(std::bit_width(us / kBucketsPerPower));
  std::size_t step = (us >> (power - 1)) - kBucketsPerPower;
  return std::min(power * kBucketsPerPower + step,
                  kBucketsPerPower * kPowerCount - 1);
}

std::uint64_t Histogram::max_value_of(std::size_t bucket) {
  if (bucket < kBucketsPerPower) return bucket;
  std::size_t power = bucket / kBucketsPerPower;
  std::uint64_t step = bucket % kBucketsPerPower;
  return ((kBucketsPerPower + step + 1) << (power - 1)) - 1;
}

void Histogram::record(Duration duration) {
  Duration value = std::max(duration, Duration(0));
  ++buckets_[bucket_of(static_cast<std::uint64_t>(value.count()))];
  ++count_;
  sum_ += value;
  max_ = std::max(max_, value);
}

void Histogram::merge(const Histogram& other) {
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i] += other.buckets_[i];
  }
  count_ += other.count_;
  sum_ += other.sum_;
  max_ = std::max(max_, other.max_);
}

Duration Histogram::quantile(double q) const {
  auto rank =
      static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
  std::uint64_t counted = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    counted += buckets_[i];
    if (counted >= rank && counted > 0) {
      return std::min(Duration(max_value_of(i)), max_);
    }
  }
  return Duration(0);
}

std::uint64_t Histogram::count_below(Duration limit) const {
  std::uint64_t counted = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    if (max_value_of(i) >= static_cast<std::uint64_t>(limit.count())) break;
    counted += buckets_[i];
  }
  return counted;
}

}  // namespace eelgrasspin::io
