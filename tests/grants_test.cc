#include <gtest/gtest.h>

#include "core/ownership/front.h"

namespace eelgrasspin::core::ownership {
namespace {

const Unit kUnit{SlotId(3), Key()};
const Duration kExecutionLimit = seconds(1);

TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }

/// A front of a server that owns one unit. After confirm_grant, the server has
/// confirmed the grant at 10 ms.
class GrantsTest : public ::testing::Test {
 protected:
  GrantsTest() {
    front_.epoch = FrontEpoch(4);
    grant_unit(front_, kUnit, Epoch(7));
    front_.set_version = 1;
  }

  GrantOrder send_order(int ms) {
    auto order = next_order(front_, DaemonName("gongoni-1"), at(ms));
    EXPECT_TRUE(order.has_value());
    return order.value_or(GrantOrder{});
  }

  void answer_order(const GrantOrder& order, int ms,
                    std::uint64_t incarnation = 1) {
    apply_reply(front_, order.sequence,
                GrantAnswer{.incarnation = Incarnation(incarnation),
                            .front_epoch = front_.epoch,
                            .sequence = order.sequence,
                            .set_version = front_.set_version,
                            .applied_set_version = front_.set_version},
                at(ms));
  }

  void confirm_grant() {
    answer_order(send_order(0), 5);
    answer_order(send_order(6), 10);
  }

  Front front_;
};

TEST_F(GrantsTest, FirstOrderGrantsNothing) {
  GrantOrder first = send_order(0);
  EXPECT_EQ(first.echo, 0U);
  EXPECT_TRUE(first.want_inventory);
  answer_order(first, 5);
  EXPECT_FALSE(may_send(front_, kUnit, Epoch(7), at(6)));
  GrantOrder second = send_order(6);
  EXPECT_EQ(second.echo, first.sequence);
  answer_order(second, 10);
  EXPECT_TRUE(may_send(front_, kUnit, Epoch(7), at(11)));
  EXPECT_FALSE(may_send(front_, kUnit, Epoch(8), at(11)));
}

TEST_F(GrantsTest, TermCountsFromTheEchoedAnswer) {
  confirm_grant();
  EXPECT_TRUE(may_send(front_, kUnit, Epoch(7), at(5 + 1899)));
  EXPECT_FALSE(may_send(front_, kUnit, Epoch(7), at(5 + 1900)));
  GrantOrder late = send_order(600);
  answer_order(late, 5000);
  EXPECT_FALSE(may_send(front_, kUnit, Epoch(7), at(5001)))
      << "the order echoes an answer whose term has passed";
}

TEST_F(GrantsTest, UnansweredRenewalMovesTheLatestHold) {
  confirm_grant();
  EXPECT_EQ(latest_grant_expiry(front_), at(5 + 2100));
  send_order(600);
  EXPECT_EQ(latest_grant_expiry(front_), at(10 + 2100));
}

TEST_F(GrantsTest, ClockJumpProvesNoLapse) {
  confirm_grant();
  send_order(600);
  discount_pause(front_, seconds(10));
  EXPECT_EQ(latest_grant_expiry(front_), at(10 + 2100 + 10'000));
  EXPECT_FALSE(may_send(front_, kUnit, Epoch(7), at(10'600)));
}

TEST_F(GrantsTest, DroppedUnitIsReleasedOnlyWhenApplied) {
  confirm_grant();
  drop_unit(front_, kUnit, at(20));
  ++front_.set_version;
  EXPECT_FALSE(is_released(front_, kUnit, kExecutionLimit, at(20)));
  GrantOrder order = send_order(20);
  EXPECT_TRUE(order.carries_set);
  EXPECT_TRUE(order.slots.empty());
  answer_order(order, 30);
  EXPECT_TRUE(is_released(front_, kUnit, kExecutionLimit, at(30)));
}

TEST_F(GrantsTest, SilentServersUnitIsReleasedAfterItsGrantAndItsWork) {
  confirm_grant();
  drop_unit(front_, kUnit, at(20));
  ++front_.set_version;
  send_order(20);
  EXPECT_FALSE(
      is_released(front_, kUnit, kExecutionLimit, at(5 + 2100 + 1000)));
  EXPECT_TRUE(is_released(front_, kUnit, kExecutionLimit, at(5 + 2100 + 1001)));
}

TEST_F(GrantsTest, RestartedServerHoldsNothingOfTheOldGrant) {
  confirm_grant();
  answer_order(send_order(600), 610, 2);
  EXPECT_FALSE(may_send(front_, kUnit, Epoch(7), at(611)));
  answer_order(send_order(611), 620, 2);
  EXPECT_TRUE(may_send(front_, kUnit, Epoch(7), at(621)));
}

TEST_F(GrantsTest, HigherFrontEpochStopsThisFront) {
  confirm_grant();
  GrantOrder order = send_order(600);
  apply_reply(front_, order.sequence, GrantStale{FrontEpoch(5)}, at(601));
  EXPECT_FALSE(may_send(front_, kUnit, Epoch(7), at(602)));
  EXPECT_FALSE(
      next_order(front_, DaemonName("gongoni-1"), at(2000)).has_value());
}

TEST_F(GrantsTest, LapseIsUnknownWhileAnEarlierFrontMayRenew) {
  send_order(0);
  EXPECT_FALSE(latest_grant_expiry(front_).has_value());
  front_.predecessor_stopped = at(100);
  EXPECT_EQ(latest_grant_expiry(front_), at(100 + 2100));
}

}  // namespace
}  // namespace eelgrasspin::core::ownership
