#include "core/store_writer.h"

#include <gtest/gtest.h>

#include "core/reducer.h"

namespace eelgrasspin::core {
namespace {

const ZoneName kZone("gongoni");

Now at(Duration since_start) {
  return {TimePoint(since_start), WallTime(since_start)};
}

class StoreWriterTest : public ::testing::Test {
 protected:
  StoreWriterTest() { state_.self.incarnation = Incarnation(1); }

  StorePut start() {
    Effects effects;
    start_write(state_, coordinator_lease_key(kZone), Version(4), lease_,
                at(seconds(0)), effects);
    return std::get<StorePut>(effects.at(0));
  }

  State state_;
  CoordinatorLease lease_{
      .zone = kZone, .holder = DaemonName("gongoni-1"), .sequence = 7};
};

TEST_F(StoreWriterTest, ConfirmedWriteEntersTheCache) {
  StorePut put = start();
  reduce(state_, StoreAnswered{put.op, StoreWritten{Version(5)}},
         at(milliseconds(3)));
  EXPECT_TRUE(settled_write(state_, put.key)->took_effect);
  EXPECT_EQ(coordinator_lease(state_.cache, kZone)->sequence, 7U);
}

TEST_F(StoreWriterTest, LostAnswerIsSentAgainAndSettledByTheConflict) {
  StorePut put = start();
  reduce(state_, StoreAnswered{put.op, StoreUnavailable{}},
         at(milliseconds(3)));
  EXPECT_EQ(settled_write(state_, put.key), nullptr);
  EXPECT_EQ(coordinator_lease(state_.cache, kZone), nullptr);
  Effects effects = reduce(state_, Tick{}, at(milliseconds(300)));
  StorePut again = std::get<StorePut>(effects.at(0));
  EXPECT_EQ(again.expected, put.expected);
  reduce(state_,
         StoreAnswered{again.op, StoreConflict{{put.key, Version(5), lease_}}},
         at(milliseconds(310)));
  EXPECT_TRUE(settled_write(state_, put.key)->took_effect);
}

TEST_F(StoreWriterTest, AnotherWritersValueIsKept) {
  StorePut put = start();
  CoordinatorLease other = lease_;
  other.holder = DaemonName("gongoni-2");
  reduce(state_,
         StoreAnswered{put.op, StoreConflict{{put.key, Version(9), other}}},
         at(milliseconds(3)));
  EXPECT_FALSE(settled_write(state_, put.key)->took_effect);
  EXPECT_EQ(coordinator_lease(state_.cache, kZone)->holder,
            DaemonName("gongoni-2"));
}

}  // namespace
}  // namespace eelgrasspin::core
