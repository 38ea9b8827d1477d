#include "io/loop_stats.h"

#include <gtest/gtest.h>

#include "fleet/event.h"

namespace eelgrasspin {
namespace {

TEST(LoopStats, LateTickNamesTheWorkThatTookMostTime) {
  io::LoopStats stats;
  io::record_event(stats, "order_ended", milliseconds(90));
  io::record_event(stats, "order_ended", milliseconds(80));
  io::record_event(stats, "request_received", milliseconds(20));
  auto interval = io::record_tick(stats, io::kReportedLoopDelay);
  ASSERT_TRUE(interval);
  EXPECT_EQ(interval->events, 3U);
  EXPECT_EQ(interval->busy, milliseconds(190));
  EXPECT_EQ(interval->main_kind, "order_ended");
  EXPECT_EQ(interval->main_kind_busy, milliseconds(170));
  EXPECT_EQ(stats.event_time["order_ended"].count(), 2U);
}

TEST(LoopStats, EachIntervalCountsItsOwnWork) {
  io::LoopStats stats;
  io::record_event(stats, "tick", milliseconds(500));
  EXPECT_FALSE(io::record_tick(stats, milliseconds(1)));
  auto interval = io::record_tick(stats, seconds(1));
  ASSERT_TRUE(interval);
  EXPECT_EQ(interval->events, 0U);
  EXPECT_EQ(interval->busy, Duration(0));
  EXPECT_EQ(stats.delay.count(), 2U);
}

TEST(EventName, IsThatOfTheEvent) {
  EXPECT_EQ(fleet::event_name(fleet::ConfigurationSeen()),
            "configuration_seen");
  EXPECT_EQ(fleet::event_name(fleet::MapWriteEnded()), "map_write_ended");
  EXPECT_EQ(fleet::event_name(fleet::CallerLeft()), "caller_left");
  EXPECT_EQ(fleet::event_name(fleet::OrderEnded()), "order_ended");
  EXPECT_EQ(fleet::event_name(fleet::Resumed()), "resumed");
}

}  // namespace
}  // namespace eelgrasspin
