#include "core/membership/membership.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/membership_cluster.h"

namespace eelgrasspin::core::membership {
namespace {

using ::testing::ElementsAre;
using ::testing::SizeIs;

const ZoneName kZone("gongoni");
const ServerName kPan("panboard-01");

DeclarationsRecord declared(int servers, bool checks_grants = true) {
  DeclarationsRecord record;
  Declarations& all = record.declarations;
  for (const char* zone : {"gongoni", "marereni"})
    all.zones[ZoneName(zone)] = {ZoneName(zone), RegionName("kilifi")};
  for (int i = 1; i <= servers; ++i) {
    ServerName name("panboard-0" + std::to_string(i));
    all.servers[name] = {.name = name,
                         .service = ServiceName("panboard"),
                         .zone = kZone,
                         .address = Endpoint(name.str()),
                         .checks_grants = checks_grants};
  }
  record.write_id = 1;
  return record;
}

class MembershipTest : public ::testing::Test {
 protected:
  MembershipTest() { cluster_.put(declarations_key(), declared(4)); }

  /// Two daemons in the zone; "a" coordinates.
  void start_pair() {
    cluster_.add("a", "gongoni");
    cluster_.add("b", "gongoni");
    cluster_.start("a");
    cluster_.run(seconds(1));
    cluster_.start("b");
    cluster_.run(seconds(3));
    ASSERT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("a"));
    ASSERT_THAT(cluster_.stored_roster("gongoni").members, SizeIs(2));
  }

  std::map<std::string, int> front_counts() {
    std::map<std::string, int> counts;
    for (const auto& [server, front] : cluster_.stored_roster("gongoni").fronts)
      ++counts[front.daemon.str()];
    return counts;
  }

  FrontAssignment front(const ServerName& server = kPan) {
    return cluster_.stored_roster("gongoni").fronts.at(server);
  }

  bool recorded(const std::string& node, TimelineKind kind) {
    for (const TimelineEvent& event : cluster_.at(node).state.timeline.events) {
      if (event.kind == kind) return true;
    }
    return false;
  }

  Cluster cluster_;
};

TEST_F(MembershipTest, TwoClaimantsAtOnceGiveOneCoordinator) {
  cluster_.add("a", "gongoni");
  cluster_.add("b", "gongoni");
  cluster_.start_all();
  cluster_.run(seconds(3));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), SizeIs(1));
  EXPECT_THAT(cluster_.stored_roster("gongoni").members, SizeIs(2));
}

TEST_F(MembershipTest, PausedHolderComesBackAsNoCoordinator) {
  start_pair();
  cluster_.pause("a");
  cluster_.run(seconds(5));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("b"));
  cluster_.resume("a");
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("b"));
  cluster_.run(seconds(3));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("b"));
  EXPECT_THAT(cluster_.stored_roster("gongoni").members, SizeIs(2));
}

TEST_F(MembershipTest, OneLostRenewalAnswerCostsNothing) {
  start_pair();
  cluster_.at("a").lose_write_answers = true;
  cluster_.run(config::kCoordinatorRenewInterval);
  cluster_.at("a").lose_write_answers = false;
  cluster_.run(seconds(5));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("a"));
  EXPECT_FALSE(recorded("a", TimelineKind::kCoordinatorLost));
}

TEST_F(MembershipTest, HolderWithoutAnswersKeepsItsEpoch) {
  start_pair();
  TermEpoch epoch = coordinator_epoch(cluster_.at("a").state, kZone);
  cluster_.at("a").lose_write_answers = true;
  cluster_.run(seconds(20));
  cluster_.at("a").lose_write_answers = false;
  cluster_.run(seconds(2));
  EXPECT_EQ(coordinator_epoch(cluster_.at("a").state, kZone), epoch);
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("a"));
}

TEST_F(MembershipTest, MemberLossMovesOnlyItsFronts) {
  start_pair();
  EXPECT_THAT(front_counts(), (std::map<std::string, int>{{"a", 3}, {"b", 1}}));
  ZoneRoster before = cluster_.stored_roster("gongoni");
  cluster_.kill("b");
  cluster_.run(seconds(3));
  EXPECT_THAT(front_counts(), (std::map<std::string, int>{{"a", 4}}));
  for (const auto& [server, earlier] : before.fronts) {
    bool moved = earlier.daemon == DaemonName("b");
    EXPECT_EQ(front(server).epoch.value, earlier.epoch.value + (moved ? 1 : 0));
  }
  EXPECT_TRUE(recorded("a", TimelineKind::kMemberLost));
}

TEST_F(MembershipTest, CoordinatorAndFrontLostTogetherAreReplacedInTime) {
  start_pair();
  cluster_.kill("a");
  cluster_.run(milliseconds(4200));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("b"));
  EXPECT_THAT(front_counts(), (std::map<std::string, int>{{"b", 4}}));
}

TEST_F(MembershipTest, GracefulStopHandsTheLeaseOverAtOnce) {
  start_pair();
  cluster_.stop("a");
  cluster_.run(milliseconds(700));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("b"));
  cluster_.run(seconds(1));
  EXPECT_THAT(front_counts(), (std::map<std::string, int>{{"b", 4}}));
}

TEST_F(MembershipTest, RelayGapIsFilled) {
  start_pair();
  cluster_.cut("a", "b");
  cluster_.put(drain_key(kPan), DrainPlan{.id = "d1", .server = kPan});
  cluster_.run(milliseconds(300));
  EXPECT_EQ(find<DrainPlan>(cluster_.at("b").state.cache, drain_key(kPan)),
            nullptr);
  cluster_.mend("b");
  cluster_.run(seconds(1));
  EXPECT_NE(find<DrainPlan>(cluster_.at("b").state.cache, drain_key(kPan)),
            nullptr);
}

}  // namespace
}  // namespace eelgrasspin::core::membership
