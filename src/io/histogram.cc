#include "io/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace eelgrasspin::io {

std::size_t Histogram::bucket_of(std::uint64_t us) {
  if (us < kSteps) return us;
  auto power = static_cast<std::size_t>(std::bit_width(us / kSteps));
  std::size_t step = (us >> (power - 1)) - kSteps;
  return std::min(power * kSteps + step, kSteps * kPowers - 1);
}

std::uint64_t Histogram::upper_end(std::size_t bucket) {
  if (bucket < kSteps) return bucket;
  std::size_t power = bucket / kSteps;
  std::uint64_t step = bucket % kSteps;
  return ((kSteps + step + 1) << (power - 1)) - 1;
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
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    seen += buckets_[i];
    if (seen >= rank && seen > 0) {
      return std::min(Duration(upper_end(i)), max_);
    }
  }
  return Duration(0);
}

std::uint64_t Histogram::count_up_to(Duration limit) const {
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    if (upper_end(i) >= static_cast<std::uint64_t>(limit.count())) break;
    seen += buckets_[i];
  }
  return seen;
}

}  // namespace eelgrasspin::io
