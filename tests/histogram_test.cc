#include "io/histogram.h"

#include <gtest/gtest.h>

namespace eelgrasspin {
namespace {

TEST(HistogramTest, QuantilesAreWithinOneBucket) {
  io::Histogram histogram;
  for (int us = 1; us <= 100'000; ++us) histogram.record(Duration(us));
  EXPECT_EQ(histogram.count(), 100'000U);
  EXPECT_NEAR(static_cast<double>(histogram.quantile(0.5).count()), 50'000,
              50'000 / 32.0);
  EXPECT_NEAR(static_cast<double>(histogram.quantile(0.999).count()), 99'900,
              99'900 / 32.0);
  EXPECT_EQ(histogram.quantile(1), Duration(100'000));
  EXPECT_EQ(histogram.max(), Duration(100'000));
  EXPECT_EQ(io::Histogram().quantile(0.99), Duration(0));
}

TEST(HistogramTest, CountsBelowPowersOfTwo) {
  io::Histogram histogram;
  for (int us : {1, 1023, 1024, 1025, 5000}) histogram.record(Duration(us));
  EXPECT_EQ(histogram.count_below(Duration(1024)), 2U);
  EXPECT_EQ(histogram.count_below(Duration(8192)), 5U);
}

TEST(HistogramTest, MergedCountsAreTheSum) {
  io::Histogram left;
  io::Histogram right;
  left.record(Duration(10));
  right.record(seconds(500));
  left.merge(right);
  EXPECT_EQ(left.count(), 2U);
  EXPECT_EQ(left.max(), seconds(500));
  EXPECT_EQ(left.sum(), seconds(500) + Duration(10));
}

}  // namespace
}  // namespace eelgrasspin
