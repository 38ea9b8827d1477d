#include "tests/fleet_requests.h"

#include <gtest/gtest.h>

#include "fleet/budget.h"
#include "fleet/requests.h"
#include "tests/fleet_world.h"

/// Requests in the reducer: what is sent to servers and what callers are
/// answered.
namespace eelgrasspin::fleet {
namespace {

TEST_F(FleetRequests, WithoutAConfigurationNothingIsDenied) {
  request(1, "/safe/x");
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
  EXPECT_GT(answers_[0].retry_after, Duration(0));
}

// Guards against servers that are avoided because this daemon has no connection
// left, and against sending in a tight loop.
TEST_F(FleetRequests, OwnLackOfConnectionsDoesNotBlockTheServer) {
  configure();
  add("s1", kDesk);
  request(1, "/safe/x");
  AttemptEnded ended;
  ended.id = sends_.back().id;
  ended.result = AttemptResult::kNotSent;
  ended.connections_exhausted = true;
  apply(ended);
  EXPECT_EQ(sends_.size(), 1u);
  request(2, "/safe/x");
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_EQ(sends_[1].request, RequestId(2));
}

TEST_F(FleetRequests, UnknownRouteIs404AndTheLongestPrefixWins) {
  configure({route("/a/", kDesk, true), route("/a/b/", kBooking, true)});
  add("s1", kDesk);
  add("s2", kBooking);
  request(1, "/a/b/x");
  ASSERT_EQ(sends_.size(), 1u);
  EXPECT_EQ(sends_[0].server, ServerName("s2"));
  request(2, "/c/");
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 404);
}

TEST_F(FleetRequests, OlderConfigurationsChangeNothing) {
  configure({}, 5);
  configure({route("/old/", kDesk, true)}, 3);
  EXPECT_EQ(state_.configuration->version, 5u);
}

TEST_F(FleetRequests, OnceOnlyRequestIsNeverSentAgainAfterAByteWasSent) {
  configure();
  add("s1", kBooking);
  add("s2", kBooking);
  request(1, "/once/x");
  end(AttemptResult::kAnswerLost);
  EXPECT_EQ(sends_.size(), 1u);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 502);
}

TEST_F(FleetRequests, OnceOnlyRequestIsSentAgainWhenItProvablyDidNotRun) {
  configure();
  add("s1", kBooking);
  add("s2", kBooking);
  request(1, "/once/x");
  end(AttemptResult::kNotRun, 503);
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_NE(sends_[0].server, sends_[1].server);
  end(AttemptResult::kNotRun, 503);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
}

TEST_F(FleetRequests, SendToAFormerOwnerUsesANewConnection) {
  booking_is_keyed_ = true;
  Route once = route("/once/", kBooking, false);
  once.attempts = 3;
  configure({once});
  add("s1", kBooking);
  add("s2", kBooking);
  own("s1", 1);
  apply(RequestReceived{RequestId(1), "label", "h", "/once/x", ShardKey(7),
                        seconds(2), Fingerprint(1)});
  end(AttemptResult::kWrongOwner, 421);
  own("s2", 2);
  pass(config::kOwnerRetryDelay);
  end(AttemptResult::kWrongOwner, 421);
  own("s1", 3);
  pass(config::kOwnerRetryDelay);
  ASSERT_EQ(sends_.size(), 3u);
  EXPECT_EQ(sends_[2].server, ServerName("s1"));
  EXPECT_FALSE(sends_[1].on_new_connection);
  EXPECT_TRUE(sends_[2].on_new_connection);
}

TEST_F(FleetRequests, SendToAnotherNameAtTheSameAddressUsesANewConnection) {
  configure();
  Server server = {ServerName("s1"),
                   Endpoint("10.1.0.1:1"),
                   kBooking,
                   ZoneName("z"),
                   2,
                   Incarnation(1),
                   false,
                   Duration(0)};
  apply(ServerSeen{server});
  request(1, "/once/x");
  server.name = ServerName("s2");
  apply(ServerSeen{server});
  end(AttemptResult::kNotRun, 503);
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_EQ(sends_[1].server, ServerName("s2"));
  EXPECT_TRUE(sends_[1].on_new_connection);
}

TEST_F(FleetRequests, RefusalWithoutProofIsNotForwardedAsOne) {
  configure();
  add("s1", kBooking);
  request(1, "/once/x");
  end(AttemptResult::kAnswered, 503);
  EXPECT_TRUE(relays_.empty());
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 502);
}

TEST_F(FleetRequests, SafeRequestThatMayHaveRunIsNotReportedAsNotRun) {
  configure();
  add("s1", kDesk);
  add("s2", kDesk);
  request(1, "/safe/x");
  end(AttemptResult::kAnswerLost);
  ASSERT_EQ(sends_.size(), 2u);
  end(AttemptResult::kNotRun, 503);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 502);
}

TEST_F(FleetRequests, ServersOwnFailureIsRelayedWhenNoOtherCanHelp) {
  configure();
  add("s1", kDesk);
  request(1, "/safe/x");
  end(AttemptResult::kAnswered, 500);
  EXPECT_EQ(relays_.size(), 1u);
  EXPECT_TRUE(answers_.empty());
}

TEST_F(FleetRequests, RefusedConnectionCostsNoAttempt) {
  configure();
  add("s1", kBooking);
  add("s2", kBooking);
  add("s3", kBooking);
  request(1, "/once/x");
  end(AttemptResult::kNotSent);
  end(AttemptResult::kNotSent);
  ASSERT_EQ(sends_.size(), 3u);
  end(AttemptResult::kAnswered, 200);
  EXPECT_EQ(relays_.size(), 1u);
}

TEST_F(FleetRequests, RetriesStayWithinThisDaemonsShareOfTheBudget) {
  configure();
  add("s1", kDesk);
  add("s2", kDesk);
  // With 11 other daemons known, a twelfth of the slack belongs to this one.
  for (int i = 0; i < 11; ++i) {
    apply(DaemonSeen{{DaemonName("p" + std::to_string(i)), Incarnation(1),
                      ZoneName("z"), RegionName("r"), Endpoint("10.0.1.1:7")}});
  }
  std::size_t retries = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    std::size_t before = sends_.size();
    request(id, "/safe/x");
    if (sends_.size() == before) continue;
    end(AttemptResult::kNotRun, 503);
    if (sends_.size() == before + 2) {
      ++retries;
      end(AttemptResult::kAnswered, 200);
    }
  }
  EXPECT_LE(retries, 25u);  // 0.2 x 100 + 60 / 12
  EXPECT_GE(retries, 15u);
}

TEST_F(FleetRequests, DeadlineSentIsNeverLongerThanTheRoutesTimeout) {
  configure();
  add("s1", kDesk);
  request(1, "/safe/x", seconds(30));
  ASSERT_EQ(sends_.size(), 1u);
  EXPECT_LE(sends_[0].time_left, seconds(1));
}

TEST_F(FleetRequests, FinalAnswerComesAtTheRoutesTimeout) {
  configure();
  add("s1", kBooking);
  request(1, "/once/x", seconds(5));
  pass(milliseconds(1300));
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 504);
  EXPECT_EQ(cancels_.size(), 1u);
}

TEST_F(FleetRequests, SlowSafeRequestIsReplacedOnlyIfAnotherServerHasRoom) {
  configure();
  add("s1", kDesk);
  request(1, "/safe/x");
  pass(milliseconds(700));
  EXPECT_EQ(sends_.size(), 1u);
  add("s2", kDesk);
  pass(milliseconds(40));
  EXPECT_EQ(sends_.size(), 2u);
  EXPECT_EQ(cancels_.size(), 1u);
}

/// Load: one request in fifty takes five times the usual time. An attempt that
/// is about to end is not cancelled in favour of a new one.
TEST_F(FleetRequests, LongRunIsNotReplacedWhileASecondOneWouldStillBeInTime) {
  configure();
  add("s1", kDesk);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    request(id, "/safe/x");
    pass(milliseconds(100));
    end(AttemptResult::kAnswered, 200);
  }
  sends_.clear();
  add("s2", kDesk);
  request(30, "/safe/x");
  ASSERT_EQ(sends_.size(), 1u);
  pass(milliseconds(500));
  EXPECT_EQ(sends_.size(), 1u);
  EXPECT_TRUE(cancels_.empty());
  pass(milliseconds(300));
  EXPECT_EQ(sends_.size(), 2u);
}

TEST_F(FleetRequests, CallerThatLeavesCancelsItsRequest) {
  configure();
  add("s1", kDesk);
  request(1, "/safe/x");
  apply(CallerLeft{RequestId(1)});
  EXPECT_EQ(cancels_.size(), 1u);
  EXPECT_EQ(open_requests(state_), 0u);
  EXPECT_EQ(state_.servers.at(ServerName("s1")).in_flight, 0u);
}

TEST_F(FleetRequests, RequestWhoseDeadlinePassedWhileItWaitedIsNotSent) {
  configure();
  add("s1", kDesk);
  for (std::uint64_t id = 1; sends_.size() == id - 1; ++id)
    request(id, "/safe/x");
  std::size_t sent = sends_.size();
  ASSERT_TRUE(answers_.empty());
  request(100, "/safe/x", milliseconds(100));
  // The tick that would end it is late; an answer makes room before.
  now_ += milliseconds(120);
  end(AttemptResult::kAnswered, 200);
  EXPECT_EQ(sends_.size(), sent + 1);
  EXPECT_NE(sends_.back().request, RequestId(100));
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].request, RequestId(100));
  EXPECT_EQ(answers_[0].status, 503);
}

TEST_F(FleetRequests, TimeBeforeARequestIsReadCountsTowardsItsDeadline) {
  configure();
  add("s1", kDesk);
  RequestReceived received{
      RequestId(1),      "label",        "h", "/safe/x",        std::nullopt,
      milliseconds(500), Fingerprint(1), 0,   milliseconds(200)};
  apply(received);
  ASSERT_EQ(sends_.size(), 1u);
  EXPECT_EQ(sends_[0].time_left, milliseconds(300));
  received.id = RequestId(2);
  received.age = milliseconds(500);
  apply(received);
  EXPECT_EQ(sends_.size(), 1u);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
}

TEST_F(FleetRequests, LeavingServerGetsNoNewWork) {
  configure();
  add("s1", kDesk);
  apply(ServerSeen{{ServerName("s1"), Endpoint("10.1.0.1:1"), kDesk,
                    ZoneName("z"), 2, Incarnation(1), true, Duration(0)}});
  request(1, "/safe/x");
  EXPECT_TRUE(sends_.empty());
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
}

TEST_F(FleetRequests, RequestsBeyondTheServersRoomWaitAndAreThenRefused) {
  configure();
  add("s1", kDesk);
  for (std::uint64_t id = 1; id <= 7; ++id) request(id, "/safe/x");
  EXPECT_EQ(sends_.size(), 2u + config::kMaxServerQueue);
  EXPECT_TRUE(answers_.empty());
  pass(milliseconds(200));
  EXPECT_EQ(answers_.size(), 7u - sends_.size());
  for (const AnswerCaller& answer : answers_) {
    EXPECT_EQ(answer.status, 503);
    EXPECT_GT(answer.retry_after, Duration(0));
  }
}

TEST_F(FleetRequests, EntriesThatExpireInAnOutageAreUsedUntilRemoved) {
  configure();
  apply(StoreAnswered());
  add("s1", kDesk);
  now_ += seconds(1);
  apply(StoreFailed{"down"});
  apply(ServerRemoved{ServerName("s1")});
  request(1, "/safe/x");
  EXPECT_EQ(sends_.size(), 1u);
  now_ += seconds(5);
  apply(StoreAnswered());
  pass(config::kRegistryRecoveryTime + milliseconds(100));
  request(2, "/safe/x");
  EXPECT_EQ(sends_.size(), 1u);
}

TEST_F(FleetRequests, RequestThatCrashedTwoServersIsSentNowhere) {
  configure();
  for (const char* name : {"s1", "s2", "s3"}) add(name, kDesk);
  constexpr std::uint64_t kPoison = 77;
  request(1, "/safe/x", seconds(2), kPoison);
  end(AttemptResult::kAnswerLost);  // Sent to a second server, which crashes as
                                    // well.
  ASSERT_EQ(sends_.size(), 2u);
  end(AttemptResult::kAnswerLost);
  for (std::size_t i = 0; i < 2; ++i) {
    ServerSeen again{state_.servers.at(sends_[i].server).server};
    again.server.incarnation = Incarnation(2);
    apply(again);
  }
  request(2, "/safe/x", seconds(2), kPoison);
  EXPECT_EQ(sends_.size(), 2u);
  EXPECT_EQ(answers_.back().status, 503);
  EXPECT_EQ(answers_.back().reason, "quarantined");
  request(3, "/safe/x", seconds(2), kPoison + 1);
  EXPECT_EQ(sends_.size(), 3u);
}

TEST_F(FleetRequests, CallerOfAQuarantinedRequestIsToldWhenItsQuarantineEnds) {
  configure();
  add("s1", kDesk);
  Heartbeat heartbeat;
  heartbeat.daemon = {DaemonName("p"), Incarnation(1), ZoneName("z"),
                      RegionName("r"), Endpoint("10.0.1.1:7")};
  heartbeat.sequence = 1;
  heartbeat.strikes = {
      {Fingerprint(9), {ServerName("a"), Incarnation(1)}, seconds(40)},
      {Fingerprint(9), {ServerName("b"), Incarnation(1)}, seconds(10)}};
  apply(HeartbeatReceived{heartbeat});
  request(1, "/safe/x", seconds(2), 9);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
  EXPECT_EQ(answers_[0].retry_after, config::kQuarantineTime - seconds(40));
}

TEST_F(FleetRequests, StrikesOfOtherDaemonsCount) {
  configure();
  add("s1", kDesk);
  Heartbeat heartbeat;
  heartbeat.daemon = {DaemonName("p"), Incarnation(1), ZoneName("z"),
                      RegionName("r"), Endpoint("10.0.1.1:7")};
  heartbeat.sequence = 1;
  heartbeat.strikes = {{Fingerprint(9), {ServerName("a"), Incarnation(1)}},
                       {Fingerprint(9), {ServerName("b"), Incarnation(1)}}};
  apply(HeartbeatReceived{heartbeat});
  request(1, "/safe/x", seconds(2), 9);
  EXPECT_TRUE(sends_.empty());
  now_ += config::kQuarantineTime;
  request(2, "/safe/x", seconds(2), 9);
  EXPECT_EQ(sends_.size(), 1u);
}

TEST_F(FleetRequests, ALostAnswerAloneIsNoStrike) {
  configure();
  for (const char* name : {"s1", "s2", "s3"}) add(name, kDesk);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    request(id, "/safe/x", seconds(2), 9);
    end(AttemptResult::kAnswerLost);
    end(AttemptResult::kAnswered, 200);
  }
  EXPECT_EQ(sends_.size(), 8u);
}

TEST_F(FleetRequests, SplitsAreExactOverAFewHundredRequests) {
  Route split = route("/w/", kDesk, true);
  split.destinations = {{kDesk, 70}, {kBooking, 30}};
  configure({split});
  add("s1", kDesk);
  add("s2", kBooking);
  std::map<ServerName, int> shares;
  for (std::uint64_t id = 1; id <= 300; ++id) {
    request(id, "/w/x");
    ++shares[sends_.back().server];
    end(AttemptResult::kAnswered, 200);
  }
  EXPECT_EQ(shares[ServerName("s1")], 210);
  EXPECT_EQ(shares[ServerName("s2")], 90);
}

TEST_F(FleetRequests, StoppingDaemonTakesNoOnceOnlyRequestThatItWouldCut) {
  configure();
  add("s1", kDesk);
  add("s2", kBooking);
  apply(StopOrdered());
  request(1, "/once/x");
  EXPECT_EQ(sends_.size(), 1u);
  pass(state_.settings.stop_timeout - milliseconds(1100));
  request(2, "/once/x");
  EXPECT_EQ(sends_.size(), 1u);
  EXPECT_EQ(answers_.back().status, 503);
  EXPECT_EQ(answers_.back().reason, "stopping");
  request(3, "/safe/x");
  EXPECT_EQ(sends_.size(), 2u);
}

TEST_F(FleetRequests, OpenRequestsAreAnsweredBeforeAStoppingDaemonIsKilled) {
  Route slow = route("/once/", kBooking, false);
  slow.timeout = seconds(20);
  configure({slow});
  add("s1", kBooking);
  request(1, "/once/x", seconds(20));
  apply(StopOrdered());
  pass(state_.settings.stop_timeout - milliseconds(200));
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 504);
  EXPECT_EQ(cancels_.size(), 1u);
}

TEST(FleetKeyedRequests, SecondSendToAnOwnerUsesANewConnection) {
  FleetWorld world(1, 1, 1);
  std::vector<SendAttempt> sends;
  world.on_send = [&](std::size_t, const SendAttempt& attempt) {
    sends.push_back(attempt);
  };
  world.run_for(seconds(8));
  world.post(0, RequestReceived{RequestId(1), "x", "h", "/x", ShardKey(7),
                                seconds(2), Fingerprint(1)});
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_FALSE(sends[0].on_new_connection);
  AttemptEnded refused;
  refused.id = sends[0].id;
  refused.result = AttemptResult::kWrongOwner;
  refused.status = 421;
  world.post(0, refused);
  world.run_for(milliseconds(300));
  ASSERT_EQ(sends.size(), 2u);
  EXPECT_EQ(sends[1].server, sends[0].server);
  EXPECT_TRUE(sends[1].on_new_connection);
}

}  // namespace
}  // namespace eelgrasspin::fleet
