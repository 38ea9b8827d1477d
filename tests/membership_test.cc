#include "core/membership/membership.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/membership_cluster.h"

namespace eelgrasspin::core::membership {
namespace {

using ::testing::ElementsAre;
using ::testing::SizeIs;

const ZoneName kZone("gongoni");
const ServerName kServer("panboard-01");

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

  /// Starts two daemons in the zone. The first one coordinates and was the
  /// front of every server until the second one joined.
  void start_pair(const std::string& first = "a",
                  const std::string& second = "b") {
    cluster_.add(first, "gongoni");
    cluster_.add(second, "gongoni");
    cluster_.start(first);
    cluster_.run(seconds(1));
    cluster_.start(second);
    cluster_.run(seconds(3));
    ASSERT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre(first));
    ASSERT_THAT(cluster_.stored_roster("gongoni").members, SizeIs(2));
  }

  std::map<std::string, int> front_counts() {
    std::map<std::string, int> counts;
    for (const auto& [server, front] : cluster_.stored_roster("gongoni").fronts)
      ++counts[front.daemon.str()];
    return counts;
  }

  FrontAssignment front(const ServerName& server = kServer) {
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
  cluster_.put(drain_key(kServer), DrainPlan{.id = "d1", .server = kServer});
  cluster_.run(milliseconds(300));
  EXPECT_EQ(find<DrainPlan>(cluster_.at("b").state.cache, drain_key(kServer)),
            nullptr);
  cluster_.reconnect("b");
  cluster_.run(seconds(1));
  EXPECT_NE(find<DrainPlan>(cluster_.at("b").state.cache, drain_key(kServer)),
            nullptr);
}

TEST_F(MembershipTest, DeletedKeyGoesEverywhere) {
  start_pair();
  cluster_.put(drain_key(kServer), DrainPlan{.id = "d1", .server = kServer});
  cluster_.run(seconds(1));
  cluster_.put(drain_key(kServer), std::monostate{});
  cluster_.run(seconds(1));
  for (const char* node : {"a", "b"}) {
    const Cache& cache = cluster_.at(node).state.cache;
    EXPECT_EQ(find<DrainPlan>(cache, drain_key(kServer)), nullptr);
    EXPECT_EQ(version_of(cache, drain_key(kServer)), Version(0));
  }
}

TEST_F(MembershipTest, DamagedRecordLeavesTheLastGoodOne) {
  start_pair();
  cluster_.put(declarations_key(), DamagedRecord{"format 9"});
  cluster_.run(seconds(2));
  for (const char* node : {"a", "b"})
    EXPECT_NE(declarations(cluster_.at(node).state.cache), nullptr);
  EXPECT_TRUE(recorded("a", TimelineKind::kDamagedRecord));
  EXPECT_EQ(cluster_.at("a").state.counters[Counter::kDamagedRecords], 1U);
}

TEST_F(MembershipTest, EmptyZoneIsHeldFromItsRegionUntilADaemonComes) {
  cluster_.add("m", "marereni");
  cluster_.add("x", "mpeketoni", "lamu");
  cluster_.add("a", "gongoni");
  cluster_.start("m");
  cluster_.start("x");
  cluster_.run(seconds(6));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("m"));
  EXPECT_THAT(front_counts(), (std::map<std::string, int>{{"m", 4}}));
  cluster_.start("a");
  cluster_.run(seconds(4));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("a"));
  EXPECT_THAT(cluster_.stored_roster("gongoni").members, SizeIs(1));
  EXPECT_THAT(front_counts(), (std::map<std::string, int>{{"a", 4}}));
  cluster_.run(seconds(10));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), ElementsAre("a"));
}

TEST_F(MembershipTest, DaemonThatStartsWithoutTheStoreLearnsFromItsSeeds) {
  start_pair();
  cluster_.add("c", "gongoni").state.self.seeds = {Endpoint("b")};
  cluster_.store_up = false;
  cluster_.start("c");
  cluster_.run(seconds(4));
  const core::State& late_state = cluster_.at("c").state;
  EXPECT_NE(declarations(late_state.cache), nullptr);
  EXPECT_NE(roster(late_state.cache, kZone), nullptr);
  EXPECT_FALSE(
      is_store_reachable(late_state, cluster_.now_at(cluster_.at("c"))));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), SizeIs(0));
  cluster_.store_up = true;
  cluster_.run(seconds(8));
  EXPECT_THAT(cluster_.coordinators_of("gongoni"), SizeIs(1));
  EXPECT_THAT(cluster_.stored_roster("gongoni").members, SizeIs(3));
  EXPECT_TRUE(recorded("c", TimelineKind::kStoreUp));
}

TEST_F(MembershipTest, LoneFrontStopsAndIsProvenStopped) {
  cluster_.put(declarations_key(), declared(4, false));
  start_pair("b", "a");
  Node& lost = cluster_.at("b");
  std::vector<ServerName> moved;
  for (const auto& [server, each] : cluster_.stored_roster("gongoni").fronts) {
    if (each.daemon == DaemonName("b")) moved.push_back(server);
  }
  ASSERT_THAT(moved, SizeIs(3));
  cluster_.isolate("b");
  std::optional<Duration> stopped_at;
  std::optional<Duration> cleared_at;
  cluster_.after_step = [&] {
    bool renews = may_renew_grants(lost.state, cluster_.now_at(lost));
    if (!renews && !stopped_at) stopped_at = cluster_.now();
    FrontAssignment now = front(moved.front());
    bool taken_over =
        now.daemon == DaemonName("a") && !now.awaiting_predecessor;
    if (taken_over && !cleared_at) cleared_at = cluster_.now();
  };
  cluster_.run(seconds(5));
  EXPECT_EQ(front(moved.front()).daemon, DaemonName("a"));
  EXPECT_TRUE(front(moved.front()).awaiting_predecessor);
  cluster_.run(seconds(6));
  ASSERT_TRUE(stopped_at && cleared_at);
  EXPECT_GE(*cleared_at - *stopped_at, config::kGrantTerm);
  EXPECT_THAT(cluster_.stored_roster("gongoni").lost, SizeIs(0));
}

TEST_F(MembershipTest, FrontThatHearsOnlyItsNeighbourGoesOn) {
  start_pair();
  cluster_.store_up = false;
  cluster_.run(seconds(30));
  for (auto& [name, node] : cluster_.nodes())
    EXPECT_TRUE(may_renew_grants(node.state, cluster_.now_at(node)));
}

TEST_F(MembershipTest, OneWayLinkDoesNotKeepAFrontGoing) {
  start_pair();
  cluster_.isolate("b");
  cluster_.reconnect("b");
  cluster_.at("b").store_reachable = false;
  cluster_.cut("b", "a");
  cluster_.run(seconds(5));
  Node& lost = cluster_.at("b");
  EXPECT_FALSE(may_renew_grants(lost.state, cluster_.now_at(lost)));
}

TEST_F(MembershipTest, FrontAloneOnItsRosterWaitsForTheVmList) {
  cluster_.put(declarations_key(), declared(4, false));
  cluster_.add("a", "gongoni");
  cluster_.start("a");
  cluster_.run(seconds(1));
  cluster_.add("m", "marereni");
  cluster_.start("m");
  cluster_.run(seconds(1));
  cluster_.isolate("a");
  cluster_.run(seconds(30));
  EXPECT_EQ(front().daemon, DaemonName("m"));
  EXPECT_TRUE(front().awaiting_predecessor);
  Node& alone = cluster_.at("a");
  EXPECT_TRUE(may_renew_grants(alone.state, cluster_.now_at(alone)));
  cluster_.vms = {{"a", VmState::kGone}};
  cluster_.run(seconds(6));
  EXPECT_FALSE(front().awaiting_predecessor);
}

TEST_F(MembershipTest, FenceFreesTheServersOfASilentZone) {
  cluster_.put(declarations_key(), declared(4, false));
  cluster_.add("a", "gongoni");
  cluster_.start("a");
  cluster_.run(seconds(1));
  cluster_.add("m", "marereni");
  cluster_.start("m");
  cluster_.run(seconds(1));
  cluster_.isolate("a");
  cluster_.run(seconds(20));
  EXPECT_TRUE(front().awaiting_predecessor);
  FenceCommand fence{.zone = kZone};
  CommandId id("c1");
  EXPECT_FALSE(fence_applied(cluster_.at("m").state, fence));
  cluster_.put(command_key(id), CommandRecord{.id = id, .command = fence});
  cluster_.run(seconds(1));
  EXPECT_TRUE(fence_applied(cluster_.at("m").state, fence));
  EXPECT_TRUE(cluster_.stored_roster("gongoni").fenced);
  EXPECT_FALSE(front().awaiting_predecessor);
}

TEST_F(MembershipTest, LeavingServerIsDrained) {
  start_pair();
  cluster_.vms = {{kServer.str(), VmState::kLeaving}, {"b", VmState::kLeaving}};
  cluster_.run(seconds(6));
  EXPECT_EQ(cluster_.stored_roster("gongoni").statuses.at(kServer),
            ServerStatus::kDraining);
  EXPECT_THAT(front_counts(), (std::map<std::string, int>{{"a", 4}}));
}

}  // namespace
}  // namespace eelgrasspin::core::membership
