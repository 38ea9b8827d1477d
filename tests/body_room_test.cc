#include "fleet/body_room.h"

#include <gtest/gtest.h>

#include "fleet/reduce.h"

/// Bytes in flight as a second dimension of room.
namespace eelgrasspin::fleet {
namespace {

constexpr std::size_t kMb = 1024 * 1024;

// Guards against a server that crashes because its requests exceed its memory.
TEST(BodyRoom, ServerTakesItsSlotsWorthOfBytes) {
  BodyLoad load;
  load.slots = 3;
  EXPECT_TRUE(has_body_room(load, 64 * kMb));  // Alone.
  load.own_bytes = 2 * kMb;
  EXPECT_TRUE(has_body_room(load, kMb));
  EXPECT_FALSE(has_body_room(load, kMb + 1));
}

// Guards against several daemons that fill the same server, each with its
// share.
TEST(BodyRoom, BodiesOfOtherDaemonsAreEstimated) {
  BodyLoad load;
  load.slots = 3;
  load.other_requests = 2;
  EXPECT_TRUE(has_body_room(load, 3 * kMb));  // Their requests have no bodies.
  load.mean_bytes = kMb;
  EXPECT_TRUE(has_body_room(load, kMb));
  EXPECT_FALSE(has_body_room(load, kMb + 1));
}

// Guards against more bytes than a link of 10 Mbit/s carries in time.
TEST(BodyRoom, LinkTakesWhatItCarriesInHalfTheObjective) {
  EXPECT_TRUE(has_link_room(0, 64 * kMb, seconds(3)));
  EXPECT_TRUE(has_link_room(1'000'000, 875'000, seconds(3)));
  EXPECT_FALSE(has_link_room(1'000'000, 875'001, seconds(3)));
}

TEST(BodyRoom, MeanFollowsTheRequests) {
  double mean = 0;
  for (int i = 0; i < 500; ++i) mean = next_mean_bytes(mean, 60'000);
  EXPECT_NEAR(mean, 60'000, 600);
}

class Uploads : public ::testing::Test {
 protected:
  Uploads() {
    Settings settings;
    settings.self = {DaemonName("d"), Incarnation(1), ZoneName("z"),
                     RegionName("r"), Endpoint("10.0.0.1:7")};
    settings.regions = {{ZoneName("z"), RegionName("r")}};
    state_ = make_state(settings, now_);
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->services[kService] = {kService, false};
    Route route;
    route.host = "h";
    route.objective = seconds(3);
    route.timeout = seconds(4);
    route.destinations = {{kService, 1}};
    route.name = route.prefix = "/up/";
    route.upload = true;
    configuration->routes.push_back(route);
    route.name = route.prefix = "/other/";
    route.upload = false;
    configuration->routes.push_back(route);
    apply(ConfigurationSeen{configuration, Version(1)});
  }

  void add(const char* name) {
    apply(ServerSeen{{ServerName(name),
                      Endpoint(std::string("10.1.0.1:") + name), kService,
                      ZoneName("z"), 2, Incarnation(1), false, Duration(0)}});
  }

  void request(std::uint64_t id, const char* path, std::size_t bytes) {
    apply(RequestReceived{RequestId(id), "label", "h", path, std::nullopt,
                          seconds(4), Fingerprint(id), bytes});
  }

  void apply(const Event& event) {
    for (const Effect& effect : reduce(state_, event, now_)) {
      if (const auto* send = std::get_if<SendAttempt>(&effect))
        sends_.push_back(*send);
    }
  }

  const ServiceName kService{"photos"};
  TimePoint now_{seconds(100)};
  State state_;
  std::vector<SendAttempt> sends_;
};

// Guards against a body sent to a server that holds large ones already, and
// against requests without large bodies being kept waiting with it.
TEST_F(Uploads, WaitForRoomAndLeaveOtherRequestsAlone) {
  add("s1");
  request(1, "/up/x", kMb);
  request(2, "/up/x", kMb + 1);  // Two slots: 2 MB.
  EXPECT_EQ(sends_.size(), 1u);
  request(3, "/other/x", 10 * kMb);
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_EQ(sends_[1].request, RequestId(3));
  apply(CallerLeft{RequestId(1)});
  apply(CallerLeft{RequestId(3)});
  now_ += config::kTickInterval;
  apply(Tick());
  ASSERT_EQ(sends_.size(), 3u);
  EXPECT_EQ(sends_[2].request, RequestId(2));
}

// Guards against bytes that are never returned: none may be left at the end.
TEST_F(Uploads, BytesAreReturnedHoweverTheAttemptEnds) {
  add("s1");
  request(1, "/up/x", kMb);
  EXPECT_EQ(state_.upload_bytes, kMb);
  EXPECT_EQ(state_.servers.at(ServerName("s1")).body_bytes, kMb);
  AttemptEnded ended;
  ended.id = sends_.back().id;
  ended.result = AttemptResult::kAnswerLost;
  apply(ended);
  request(2, "/up/x", kMb);
  now_ += seconds(10);
  apply(Tick());
  EXPECT_EQ(state_.upload_bytes, 0u);
  EXPECT_EQ(state_.servers.at(ServerName("s1")).body_bytes, 0u);
}

// Guards against uploads that fill the own link although servers have room.
TEST_F(Uploads, WaitForTheOwnLink) {
  for (const char* name : {"s1", "s2", "s3"}) add(name);
  request(1, "/up/x", kMb);
  request(2, "/up/x", 900'000);  // 1.9 MB; in half of 3 s pass 1.875 MB.
  EXPECT_EQ(sends_.size(), 1u);
  request(3, "/up/x", 500'000);
  EXPECT_EQ(sends_.size(), 2u);
}

}  // namespace
}  // namespace eelgrasspin::fleet
