#include "fleet/server_notices.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "codec/fleet_json.h"
#include "fleet/reduce.h"
#include "fleet/registry.h"
#include "tests/fleet_world.h"

/// Servers that announce that they are leaving, or send a Retry-After.
namespace eelgrasspin::fleet {
namespace {

const ServiceName kDesk{"desk"};

class ServerNotices : public ::testing::Test {
 protected:
  ServerNotices() {
    Settings settings;
    settings.self = {DaemonName("d"), Incarnation(1), ZoneName("z"),
                     RegionName("r"), Endpoint("10.0.0.1:7")};
    settings.regions = {{ZoneName("z"), RegionName("r")}};
    settings.retry_slack = 1000;
    state_ = make_state(settings, now_);
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->services[kDesk] = {kDesk, false};
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.repeatable = true;
    route.objective = milliseconds(500);
    route.timeout = seconds(3);
    route.attempts = 3;
    route.destinations = {{kDesk, 1}};
    configuration->routes = {route};
    apply(ConfigurationSeen{configuration, Version(1)});
  }

  void list(const char* name, std::uint64_t incarnation,
            bool draining = false) {
    apply(ServerSeen{{ServerName(name), Endpoint("10.1.0.1:9"), kDesk,
                      ZoneName("z"), 2, Incarnation(incarnation), draining,
                      Duration(0)}});
  }
  void apply(const Event& event) {
    for (const Effect& effect : reduce(state_, event, now_)) {
      if (const auto* send = std::get_if<SendAttempt>(&effect))
        sends_.push_back(*send);
      if (const auto* answer = std::get_if<AnswerCaller>(&effect))
        answers_.push_back(*answer);
      if (const auto* heartbeat = std::get_if<SendHeartbeat>(&effect))
        heartbeats_.push_back(heartbeat->heartbeat);
    }
  }
  void request(Duration deadline = seconds(2)) {
    RequestId id(++last_request_);
    apply(RequestReceived{id, "label", "h", "/x", std::nullopt, deadline,
                          Fingerprint(id.value)});
  }
  void answer(const SendAttempt& send, int status, ServerNotice notice) {
    AttemptEnded ended;
    ended.id = send.id;
    ended.status = status;
    ended.result =
        status == 200 ? AttemptResult::kAnswered : AttemptResult::kNotRun;
    ended.answer = {std::make_shared<int>(),
                    reinterpret_cast<const ServerAnswer*>(&token_)};
    ended.notice = notice;
    apply(ended);
  }
  void pass(Duration duration) {
    TimePoint until = now_ + duration;
    while (now_ < until) {
      now_ += config::kTickInterval;
      apply(Tick());
    }
  }
  std::size_t sends_to(const char* name) const {
    return static_cast<std::size_t>(std::count_if(
        sends_.begin(), sends_.end(),
        [&](const auto& send) { return send.server == ServerName(name); }));
  }

  static constexpr ServerNotice kLeaving{true, Duration(0)};
  TimePoint now_{seconds(100)};
  State state_;
  int token_ = 0;
  std::uint64_t last_request_ = 0;
  std::vector<SendAttempt> sends_;
  std::vector<AnswerCaller> answers_;
  std::vector<Heartbeat> heartbeats_;
};

TEST_F(ServerNotices, LeavingServerIsSentNothingMore) {
  list("s1", 1);
  request();
  answer(sends_.back(), 200, kLeaving);
  list("s2", 1);
  for (int i = 0; i < 3; ++i) request();
  EXPECT_EQ(sends_to("s1"), 1u);
  EXPECT_EQ(sends_to("s2"), 3u);
}

TEST_F(ServerNotices, RegistryDoesNotTakeALeavingNoticeBack) {
  list("s1", 1);
  request();
  answer(sends_.back(), 200, kLeaving);
  list("s1", 1);
  ServersListed listed;
  listed.servers = {state_.servers.at(ServerName("s1")).server};
  apply(listed);
  pass(seconds(5));
  request();
  EXPECT_EQ(sends_to("s1"), 1u);
  ASSERT_FALSE(answers_.empty());
  EXPECT_EQ(answers_.back().status, 503);
}

TEST_F(ServerNotices, NextIncarnationIsUsedAgain) {
  list("s1", 1);
  request();
  answer(sends_.back(), 200, kLeaving);
  list("s1", 2);
  request();
  EXPECT_EQ(sends_to("s1"), 2u);
}

TEST_F(ServerNotices, LateNoticeOfAnEarlierIncarnationIsIgnored) {
  list("s1", 1);
  request();
  list("s1", 2);
  answer(sends_.back(), 200, {true, seconds(5)});
  request();
  EXPECT_EQ(sends_to("s1"), 2u);
}

TEST_F(ServerNotices, HeartbeatsReportLeavingServersForAWhile) {
  list("s1", 1);
  request();
  answer(sends_.back(), 200, kLeaving);
  Heartbeat other;
  other.daemon = {DaemonName("e"), Incarnation(1), ZoneName("z"),
                  RegionName("r"), Endpoint("10.0.0.2:7")};
  other.sequence = 1;
  apply(HeartbeatReceived{other});
  heartbeats_.clear();
  pass(seconds(1));
  ASSERT_FALSE(heartbeats_.empty());
  auto decoded =
      codec::decode_datagram(codec::encode_heartbeat(heartbeats_.back()));
  ASSERT_TRUE(ok(decoded));
  std::vector<ServerIncarnation> expected = {
      {ServerName("s1"), Incarnation(1)}};
  EXPECT_EQ(std::get<Heartbeat>(value(decoded)).leaving_servers, expected);
  heartbeats_.clear();
  pass(seconds(3));
  ASSERT_FALSE(heartbeats_.empty());
  EXPECT_TRUE(heartbeats_.back().leaving_servers.empty());
}

TEST_F(ServerNotices, OtherDaemonsReportsAreHeeded) {
  list("s1", 1);
  list("s2", 1);
  Heartbeat other;
  other.daemon = {DaemonName("e"), Incarnation(1), ZoneName("z"),
                  RegionName("r"), Endpoint("10.0.0.2:7")};
  other.sequence = 1;
  other.leaving_servers = {{ServerName("s1"), Incarnation(1)},
                           {ServerName("s2"), Incarnation(7)},
                           {ServerName("unknown"), Incarnation(1)}};
  apply(HeartbeatReceived{other});
  for (int i = 0; i < 4; ++i) request();
  EXPECT_EQ(sends_to("s1"), 0u);
  EXPECT_EQ(sends_to("s2"), 4u);
}

TEST_F(ServerNotices, ServerInBackoffIsSentNothingUntilItEnds) {
  list("s1", 1);
  request();
  answer(sends_.back(), 503, {false, seconds(2)});
  for (int i = 0; i < 5; ++i) {
    request();
    pass(milliseconds(300));
  }
  EXPECT_EQ(sends_to("s1"), 1u);
  pass(milliseconds(600));
  request();
  EXPECT_EQ(sends_to("s1"), 2u);
}

TEST_F(ServerNotices, CallersAreRefusedAtOnceWhileAllServersAreInBackoff) {
  list("s1", 1);
  request();
  answer(sends_.back(), 503, {false, seconds(2)});
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
  EXPECT_EQ(answers_[0].reason, "servers_in_backoff");
  EXPECT_GT(answers_[0].retry_after, milliseconds(500));
  request();
  EXPECT_EQ(answers_.size(), 2u);
  EXPECT_EQ(sends_.size(), 1u);
}

TEST_F(ServerNotices, ShortBackoffIsWaitedFor) {
  list("s1", 1);
  request();
  answer(sends_.back(), 503, {false, milliseconds(100)});
  request();
  EXPECT_EQ(sends_.size(), 1u);
  EXPECT_TRUE(answers_.empty());
  pass(milliseconds(120));
  EXPECT_EQ(sends_.size(), 2u);
}

TEST_F(ServerNotices, AbsurdBackoffIsBounded) {
  list("s1", 1);
  request();
  answer(sends_.back(), 503, {false, seconds(1'000'000)});
  EXPECT_LE(state_.servers.at(ServerName("s1")).backoff_until,
            now_ + config::kMaxServerBackoff);
}

/// Whatever answers, registry changes and restarts arrive in whatever order, no
/// request goes to an incarnation that has announced that it is leaving, nor to
/// one whose Retry-After is running.
RC_GTEST_FIXTURE_PROP(ServerNotices, NoticesHoldInAnyInterleaving, ()) {
  struct Model {
    std::uint64_t incarnation = 1;
    bool leaving = false;
    TimePoint backoff_until;
  };
  std::array<const char*, 3> names = {"s1", "s2", "s3"};
  std::map<std::string, Model> model;
  for (const char* name : names) {
    list(name, 1);
    model[name] = Model();
  }
  std::map<std::uint64_t, std::uint64_t> incarnation_at_send;
  std::size_t checked = 0;
  auto check_sends = [&] {
    for (; checked < sends_.size(); ++checked) {
      const Model& server = model.at(sends_[checked].server.str());
      RC_ASSERT(!server.leaving);
      RC_ASSERT(now_ >= server.backoff_until);
      incarnation_at_send[sends_[checked].id.value] = server.incarnation;
    }
  };
  std::vector<SendAttempt> open;
  auto steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1'000'000));
  for (int step : steps) {
    std::string name = names[static_cast<std::size_t>(step / 8 % 3)];
    Model& server = model[name];
    std::size_t before = sends_.size();
    switch (step % 8) {
      case 0:
        server = Model{server.incarnation + 1, false, TimePoint()};
        list(name.c_str(), server.incarnation);
        break;
      case 1:
        list(name.c_str(), server.incarnation, step / 24 % 2 == 0);
        break;
      case 2:
        apply(ServerRemoved{ServerName(name)});
        list(name.c_str(), server.incarnation);
        break;
      case 3:
        pass(milliseconds(step % 700));
        break;
      case 4:
      case 5:
        request();
        break;
      default: {
        if (open.empty()) break;
        std::size_t index = static_cast<std::size_t>(step) % open.size();
        SendAttempt send = open[index];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
        if (state_.attempts.count(send.id) == 0) break;
        ServerNotice notice{step / 3 % 4 == 0, step / 5 % 3 == 0
                                                   ? milliseconds(step % 3000)
                                                   : Duration(0)};
        Model& from = model[send.server.str()];
        if (from.incarnation == incarnation_at_send[send.id.value]) {
          from.leaving = from.leaving || notice.leaving;
          from.backoff_until =
              std::max(from.backoff_until, now_ + notice.retry_after);
        }
        answer(send, notice.retry_after.count() > 0 ? 503 : 200, notice);
      }
    }
    for (std::size_t i = before; i < sends_.size(); ++i)
      open.push_back(sends_[i]);
    check_sends();
  }
}

/// The coordinator learns from any daemon that an owner is leaving and moves
/// its keys, although the registry still lists the server as ready.
TEST(ServerNoticesInAFleet, KeysOfALeavingServerMove) {
  FleetWorld world(6, 4, 1, 3);
  world.run_for(seconds(8));
  ASSERT_TRUE(world.all_held());
  auto coordinator = world.coordinator();
  ASSERT_TRUE(coordinator.has_value());
  std::size_t observer = (*coordinator + 1) % world.daemons();
  ServerIncarnation owner = world.stored_map()->ranges[0].owner;
  Effects ignored;
  on_server_notice(world.state(observer), owner, {true, Duration(0)},
                   world.now(), ignored);
  world.run_for(seconds(3));
  for (const KeyRange& range : world.stored_map()->ranges)
    EXPECT_NE(range.owner, owner);
  EXPECT_TRUE(world.all_held());
  EXPECT_TRUE(world.violations.empty());
}

}  // namespace
}  // namespace eelgrasspin::fleet
