#include <gtest/gtest.h>

#include "fleet/budget.h"
#include "tests/fleet_requests.h"

namespace eelgrasspin::fleet {
namespace {

/// A daemon that may spend four retries for each of two services.
class RetryBudgets : public FleetRequests {
 protected:
  RetryBudgets() {
    state_.settings.retry_ratio = 0;
    state_.settings.retry_slack = 5;
    configure();
    apply(StoreAnswered());
  }

  void lose_store() {
    now_ += Duration(1);
    apply(StoreFailed{"refused"});
  }
  bool spend(const ServiceName& service) {
    return spend_retry(state_, service, AttemptId(++last_attempt_), may_stray_,
                       now_);
  }
  void spend_and_confirm(const ServiceName& service) {
    ASSERT_TRUE(spend(service));
    confirm_retry(state_, service, AttemptId(last_attempt_));
  }
  std::size_t spent(const ServiceName& service) {
    return retry_budget(state_, service, now_).spent;
  }

  std::uint64_t last_attempt_ = 0;
  bool may_stray_ = false;
};

TEST_F(RetryBudgets, StrayRetriesGiveNoServiceMoreThanItsBudget) {
  may_stray_ = true;
  EXPECT_TRUE(spend(kDesk));
  EXPECT_TRUE(spend(kDesk));
  spend_and_confirm(kDesk);
  EXPECT_EQ(spent(kDesk), 3u);
  EXPECT_EQ(spent(kBooking), 2u);
  spend_and_confirm(kBooking);
  spend_and_confirm(kBooking);
  EXPECT_FALSE(spend(kBooking));
  EXPECT_FALSE(spend(kDesk));
  EXPECT_EQ(spent(kDesk), 3u);
  now_ += state_.settings.retry_window + Duration(1);
  EXPECT_EQ(spent(kBooking), 0u);
}

TEST_F(RetryBudgets, RestartedDaemonDoesNotSpendTheBudgetOnceMore) {
  state_.settings.retry_slack = 50;
  state_.settings.retry_ratio = 0.5;
  auto spend_all = [this] {
    for (int i = 0; i < 20; ++i) count_request(state_, kDesk, now_);
    std::size_t count = 0;
    while (spend(kDesk)) ++count;
    return count;
  };
  EXPECT_EQ(spend_all(), 48u);
  state_ = make_state(state_.settings, now_);
  configure();
  std::size_t after_restart = spend_all();
  EXPECT_GT(after_restart, 0u);
  EXPECT_LE(48 + after_restart, 60u) << "half of 20 requests, and 50";
  now_ += state_.settings.retry_window + Duration(1);
  EXPECT_EQ(spend_all(), 48u);
}

TEST_F(RetryBudgets, WithACurrentRegistryServicesDoNotLimitEachOther) {
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(spend(kBooking));
  EXPECT_FALSE(spend(kBooking));
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(spend(kDesk));
}

TEST_F(RetryBudgets, RetryAtAnotherServiceCountsForAllServices) {
  add("s1", kDesk);
  add("s2", kDesk);
  request(1, "/safe/x");
  end(AttemptResult::kAnswerLost);
  ASSERT_EQ(sends_.size(), 2u);
  AttemptEnded refused;
  refused.id = sends_.back().id;
  refused.result = AttemptResult::kWrongOwner;
  refused.status = 421;
  refused.answered_by = ServerName("s9");
  apply(refused);
  EXPECT_EQ(spent(kDesk), 1u);
  EXPECT_EQ(spent(kBooking), 1u);
}

TEST_F(RetryBudgets, ServiceWithoutRequestsHasRoomForOneStrayRetry) {
  state_.settings.retry_slack = 0;
  state_.settings.retry_ratio = 0.5;
  may_stray_ = true;
  for (int i = 0; i < 9; ++i) count_request(state_, kDesk, now_);
  EXPECT_TRUE(spend(kDesk));
  EXPECT_FALSE(spend(kDesk));
  confirm_retry(state_, kDesk, AttemptId(1));
  EXPECT_TRUE(spend(kDesk));
}

TEST_F(RetryBudgets, RetryAtAServerThatAnsweredLatelyCannotStray) {
  add("s1", kDesk);
  add("s2", kDesk);
  lose_store();
  for (std::uint64_t id = 1; id <= 2; ++id) {
    request(id, "/safe/x");
    end(AttemptResult::kAnswered, 200);
  }
  request(3, "/safe/x");
  end(AttemptResult::kAnswerLost);
  EXPECT_EQ(spent(kDesk), 1u);
  EXPECT_EQ(spent(kBooking), 0u);
  end(AttemptResult::kAnswerLost);
  now_ += state_.settings.address_reuse_delay;
  request(4, "/safe/x");
  end(AttemptResult::kAnswerLost);
  EXPECT_EQ(spent(kBooking), 1u);
}

TEST_F(RetryBudgets, AnswerOfItsServerConfirmsARetry) {
  add("s1", kDesk);
  add("s2", kDesk);
  lose_store();
  request(1, "/safe/x");
  end(AttemptResult::kAnswerLost);
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_EQ(spent(kBooking), 1u);
  end(AttemptResult::kAnswered, 200);
  EXPECT_EQ(spent(kDesk), 1u);
  EXPECT_EQ(spent(kBooking), 0u);
}

}  // namespace
}  // namespace eelgrasspin::fleet
