#include "io/progress.h"

#include <gmock/gmock.h>

#include "io/connection_limits.h"
#include "io/memory_limits.h"

/// Which connections are ended when all of them hold too much.
namespace eelgrasspin::io {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr std::size_t kKb = 1024;
constexpr std::size_t kMb = 1024 * kKb;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

// Guards against ending a transfer that has only just begun, or one that goes
// on at the rate of a slow link.
TEST(Progress, IsSlowOnlyAfterAWindowWithFewBytes) {
  Progress progress;
  start_progress(progress, at(0));
  EXPECT_FALSE(is_slow(progress, at(499)));
  EXPECT_TRUE(is_slow(progress, at(500)));
  record_progress(progress, 20 * kKb, at(100));
  EXPECT_FALSE(is_slow(progress, at(600)));
  record_progress(progress, 20 * kKb, at(700));
  EXPECT_FALSE(is_slow(progress, at(800)));
  EXPECT_EQ(progress.last, at(700));
}

// Guards against a sender that hides a stopped transfer behind single bytes.
TEST(Progress, SingleBytesDoNotMakeATransferFast) {
  Progress progress;
  start_progress(progress, at(0));
  record_progress(progress, 30 * kMb, at(1));
  for (int ms = 600; ms < 3000; ms += 100) record_progress(progress, 1, at(ms));
  EXPECT_TRUE(is_slow(progress, at(3000)));
}

constexpr HoldingLimits kLimits = {100 * kMb, 120 * kMb, 128 * kKb};

TEST(ChooseToEnd, NobodyBelowTheLimit) {
  EXPECT_THAT(choose_to_end({{90 * kMb, true, at(0)}}, 100 * kMb, kLimits),
              IsEmpty());
}

// Guards against stopped bodies that keep the memory from active ones.
TEST(ChooseToEnd, SlowOnesGoFirstAndTheLargestOfThem) {
  std::vector<Holding> holdings = {{60 * kMb, false, at(0)},
                                   {10 * kKb, true, at(0)},
                                   {50 * kMb, true, at(5)}};
  EXPECT_THAT(choose_to_end(holdings, 110 * kMb, kLimits), ElementsAre(2));
}

// Guards against ending every transfer at once: the one that was active last
// goes on.
TEST(ChooseToEnd, LargeOnesGoByTheTimeWithoutProgress) {
  std::vector<Holding> holdings = {{10 * kKb, false, at(0)},
                                   {50 * kMb, false, at(9)},
                                   {51 * kMb, false, at(5)}};
  EXPECT_THAT(choose_to_end(holdings, 101 * kMb, kLimits), ElementsAre(2));
}

// Guards against large requests that cannot be ended any more keeping small
// ones out.
TEST(ChooseToEnd, SmallOnesHaveMemoryOfTheirOwn) {
  std::vector<Holding> small = {{64 * kKb, false, at(1)},
                                {64 * kKb, false, at(0)}};
  EXPECT_THAT(choose_to_end(small, 119 * kMb, kLimits), IsEmpty());
  EXPECT_THAT(choose_to_end(small, 120 * kMb + 1, kLimits), ElementsAre(1, 0));
}

// Guards against refusing a single request within the limits on a machine of
// 260 MB.
TEST(MemoryLimits, LargestBodyFitsOnASmallMachine) {
  EXPECT_GT(memory_limits(260 * kMb).requests, 72 * kMb);
}

// Guards against more connections than the process may have descriptors.
TEST(ConnectionLimits, AllKindsTogetherKeepTheLimit) {
  for (std::size_t total : {200U, 2'875U, 3'900U, 10'050U}) {
    ConnectionLimits limits = connection_limits(total);
    EXPECT_LE(limits.callers + limits.servers + limits.orders +
                  2 * kSmallPortConnections + kStoreConnections,
              total);
    EXPECT_GE(limits.callers, limits.servers);
  }
  EXPECT_EQ(connection_limits(0).callers, config::kMaxCallerConnections);
  EXPECT_EQ(connection_limits(0).servers, 0U);
}

}  // namespace
}  // namespace eelgrasspin::io
