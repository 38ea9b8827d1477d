#include "fleet/displaced_servers.h"

#include <gtest/gtest.h>

#include "tests/fleet_requests.h"

namespace eelgrasspin::fleet {
namespace {

class DisplacedServers : public FleetRequests {
 protected:
  void list(const char* name, const ServiceName& service, const char* address,
            std::uint64_t incarnation) {
    apply(
        ServerSeen{{ServerName(name), Endpoint(address), service, ZoneName("z"),
                    2, Incarnation(incarnation), false, Duration(0)}});
  }
  /// Ends the last attempt with 421 from the named server.
  void refuse_by(const char* server) {
    AttemptEnded ended;
    ended.id = sends_.back().id;
    ended.result = AttemptResult::kWrongOwner;
    ended.status = 421;
    ended.answered_by = ServerName(server);
    apply(ended);
  }
  void keyed_request(std::uint64_t id) {
    apply(RequestReceived{RequestId(id), "label", "h", "/once/x", ShardKey(7),
                          seconds(2), Fingerprint(id)});
  }
};

TEST_F(DisplacedServers, KeyedRequestIsNotSentAgainToAReusedAddress) {
  booking_is_keyed_ = true;
  Route once = route("/once/", kBooking, false);
  once.attempts = 3;
  configure({once});
  add("s1", kBooking);
  own("s1", 1);
  keyed_request(1);
  refuse_by("s9");
  pass(milliseconds(400));
  EXPECT_EQ(sends_.size(), 1u);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
  keyed_request(2);
  pass(milliseconds(400));
  EXPECT_EQ(sends_.size(), 1u);
}

TEST_F(DisplacedServers, OwnerThatLacksTheKeyIsSentTheRequestAgain) {
  booking_is_keyed_ = true;
  Route once = route("/once/", kBooking, false);
  configure({once});
  add("s1", kBooking);
  own("s1", 1);
  keyed_request(1);
  refuse_by("s1");
  pass(config::kOwnerRetryDelay);
  EXPECT_EQ(sends_.size(), 2u);
}

TEST_F(DisplacedServers, NothingIsSentUntilTheEntryChanges) {
  configure();
  list("s1", kDesk, "10.1.0.1:1", 1);
  request(1, "/safe/x");
  refuse_by("s9");
  pass(seconds(5));
  request(2, "/safe/x");
  EXPECT_EQ(sends_.size(), 1u);
  list("s1", kDesk, "10.1.0.1:1", 1);
  request(3, "/safe/x");
  EXPECT_EQ(sends_.size(), 1u);
  list("s1", kDesk, "10.1.0.2:1", 1);
  request(4, "/safe/x");
  EXPECT_EQ(sends_.size(), 2u);
  refuse_by("s9");
  list("s1", kDesk, "10.1.0.2:1", 2);
  request(5, "/safe/x");
  EXPECT_EQ(sends_.size(), 3u);
}

TEST_F(DisplacedServers, ReportsOfOtherDaemonsCountForTheirIncarnation) {
  configure();
  list("s1", kDesk, "10.1.0.1:1", 2);
  Effects effects;
  on_displaced_reports(state_, {{ServerName("s1"), Incarnation(1)}}, now_,
                       effects);
  request(1, "/safe/x");
  ASSERT_EQ(sends_.size(), 1u);
  end(AttemptResult::kAnswered, 200);
  on_displaced_reports(state_, {{ServerName("s1"), Incarnation(2)}}, now_,
                       effects);
  request(2, "/safe/x");
  EXPECT_EQ(sends_.size(), 1u);
  EXPECT_EQ(recent_displaced_reports(state_, now_).size(), 1u);
  pass(config::kDisplacedReportTime);
  EXPECT_TRUE(recent_displaced_reports(state_, now_).empty());
}

TEST_F(DisplacedServers, OfTwoServersAtAnAddressTheLaterStartedOneIsUsed) {
  configure();
  list("s1", kDesk, "10.1.0.1:1", 5);
  list("s2", kBooking, "10.1.0.1:1", 9);
  request(1, "/safe/x");
  EXPECT_TRUE(sends_.empty());
  request(2, "/once/x");
  ASSERT_EQ(sends_.size(), 1u);
  EXPECT_EQ(sends_[0].server, ServerName("s2"));
  apply(ServerRemoved{ServerName("s2")});
  request(3, "/safe/x");
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_EQ(sends_[1].server, ServerName("s1"));
}

TEST_F(DisplacedServers, EntryThatTurnsOutWrongGivesTheAddressBack) {
  configure();
  list("s1", kDesk, "10.1.0.1:1", 5);
  list("s2", kBooking, "10.1.0.1:1", 9);
  request(1, "/once/x");
  ASSERT_EQ(sends_.size(), 1u);
  refuse_by("s1");
  request(2, "/safe/x");
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_EQ(sends_[1].server, ServerName("s1"));
}

TEST_F(DisplacedServers, EntryOfAnUnknownServiceTakesNoAddress) {
  configure();
  list("s1", kDesk, "10.1.0.1:1", 5);
  list("s2", ServiceName("unknown"), "10.1.0.1:1", 9);
  request(1, "/safe/x");
  EXPECT_EQ(sends_.size(), 1u);
}

}  // namespace
}  // namespace eelgrasspin::fleet
