#include "fleet/evacuations.h"

#include "fleet/store_view.h"
#include "tests/fleet_requests.h"
#include "tests/fleet_world.h"
#include "tests/store_positions.h"

/// Zones whose servers are to be sent nothing.
namespace eelgrasspin::fleet {
namespace {

class Evacuations : public FleetRequests {
 protected:
  Evacuations() {
    state_.settings.evacuation_time = seconds(5);
    configure();
    add("near", kDesk);
    add("there", kDesk, "far");
  }
  void list(std::vector<ZoneName> zones, std::uint64_t as_of) {
    apply(EvacuationsListed{std::move(zones), at(as_of)});
  }
  void change(const char* zone, bool ordered, std::uint64_t as_of) {
    StoreUpdate update;
    update.view = StoreView::kEvacuations;
    update.as_of = at(as_of);
    update.evacuations = {{ZoneName(zone), ordered}};
    apply(StoreChanged{update});
  }
  ServerName target(std::uint64_t id) {
    std::size_t before = sends_.size();
    request(id, "/safe/x");
    return sends_.size() > before ? sends_.back().server : ServerName();
  }
};

TEST_F(Evacuations, NothingIsSentToAnEvacuatedZoneUntilItIsTakenBack) {
  list({}, 5);
  EXPECT_EQ(target(1), ServerName("near"));
  change("z", true, 6);
  EXPECT_EQ(target(2), ServerName("there"));
  change("z", false, 7);
  EXPECT_EQ(target(3), ServerName("near"));
}

TEST_F(Evacuations, ServersThatRegisterLaterAreIncluded) {
  list({ZoneName("z")}, 5);
  add("late", kDesk);
  EXPECT_EQ(target(1), ServerName("there"));
}

TEST_F(Evacuations, AllZonesEvacuatedMeansRefusalAtOnce) {
  list({ZoneName("z"), ZoneName("far")}, 5);
  request(1, "/safe/x");
  EXPECT_TRUE(sends_.empty());
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
}

TEST_F(Evacuations, RetryDoesNotGoToAnEvacuatedZone) {
  list({}, 5);
  request(1, "/safe/x");
  change("far", true, 6);
  end(AttemptResult::kNotRun, 503);
  pass(seconds(2));
  EXPECT_EQ(sends_.size(), 1u);
}

/// A list that was read before a change must not undo it.
TEST_F(Evacuations, OlderListsAndChangesAreIgnored) {
  list({}, 5);
  change("z", true, 8);
  list({}, 7);
  change("z", false, 6);
  EXPECT_EQ(target(1), ServerName("there"));
}

TEST_F(Evacuations, AnOutageOfTheStoreEndsNoEvacuation) {
  list({ZoneName("z")}, 5);
  apply(StoreFailed{"down"});
  pass(seconds(20));
  EXPECT_EQ(target(1), ServerName("there"));
}

TEST_F(Evacuations, DaemonIsNotReadyBeforeItKnowsThem) {
  EXPECT_FALSE(is_ready(state_));
  list({}, 5);
  EXPECT_TRUE(is_ready(state_));
}

TEST_F(Evacuations, FollowersAdoptTheRelaysList) {
  list({}, 5);
  Heartbeat::View relay;
  relay.evacuations = at(9);
  relay.evacuated_zones = {ZoneName("z")};
  Effects effects;
  follow_evacuations(state_, relay, now_, effects);
  EXPECT_EQ(target(1), ServerName("there"));
  relay.evacuations = at(4);  // Of a relay that is behind.
  relay.evacuated_zones.clear();
  follow_evacuations(state_, relay, now_, effects);
  EXPECT_EQ(target(2), ServerName("there"));
}

/// Keys of an evacuated zone have to be owned elsewhere within the operator's
/// time, and never by two servers.
TEST(EvacuationOfOwners, KeysLeaveTheZoneInTime) {
  FleetWorld world(4, 6, 21, 2);
  for (std::size_t i = 0; i < world.daemons(); ++i)
    world.state(i).settings.evacuation_time = seconds(5);
  for (std::size_t i = 0; i < world.servers().size(); ++i)
    world.set_zone(i, FleetWorld::zone(i % 2));
  world.run_for(seconds(8));
  ASSERT_TRUE(world.all_held());
  StoreUpdate update;
  update.view = StoreView::kEvacuations;
  update.as_of = at(1000);
  update.evacuations = {{FleetWorld::zone(1), true}};
  for (std::size_t i = 0; i < world.daemons(); ++i)
    world.post(i, StoreChanged{update});
  world.run_for(seconds(2));
  EXPECT_TRUE(world.all_held());
  for (std::size_t i = 1; i < world.servers().size(); i += 2) {
    for (std::uint32_t key = 0; key <= kMaxShardKey; key += kProbeStep)
      ASSERT_FALSE(world.holds(world.servers()[i], key));
  }
  EXPECT_TRUE(world.violations.empty());
}

}  // namespace
}  // namespace eelgrasspin::fleet
