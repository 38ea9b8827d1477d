#include <gtest/gtest.h>

#include "fleet/leases.h"
#include "tests/fleet_world.h"

/// Ownership of keys while the store comes back from an older copy.
namespace eelgrasspin::fleet {
namespace {

constexpr Duration kSettlingTime = seconds(4);
constexpr Duration kCopyAge = seconds(3);
/// Longer than any grant, from any coordinator, may last.
constexpr Duration kRecoveryTime = seconds(40);

/// Keys move to other servers after the store's copy was taken.
void move_keys_after_copy(FleetWorld& world) {
  world.store_era = StoreEra(1);
  world.run_for(kSettlingTime);
  world.take_copy();
  world.drain_server(1);
  world.run_for(kCopyAge);
}

/// As the copy shows it.
void list_former_owner_as_ready(FleetWorld& world) {
  world.servers()[1].entry.draining = false;
}

/// The store refuses calls, loses its records, and is back.
void restore(FleetWorld& world) {
  world.run_for(milliseconds(400));
  world.restore_copy();
  world.run_for(milliseconds(600));
  world.restore_store();
}

// Guards against a coordinator that knows only the copy.
TEST(StoreRestoredOwnership, RestartedCoordinatorGrantsNoKeysThatAreHeld) {
  FleetWorld world(3, 4, 1);
  move_keys_after_copy(world);
  list_former_owner_as_ready(world);
  auto coordinator = world.coordinator();
  ASSERT_TRUE(coordinator);
  world.stop_store();
  world.kill(*coordinator);
  world.start(*coordinator);
  restore(world);
  world.run_for(kRecoveryTime);
  EXPECT_TRUE(world.violations.empty())
      << world.violations.size() << ", " << world.violations.front();
  EXPECT_TRUE(world.all_held());
}

TEST(StoreRestoredOwnership, RestartedFleetGrantsNoKeysThatAreHeld) {
  FleetWorld world(3, 4, 2);
  move_keys_after_copy(world);
  list_former_owner_as_ready(world);
  world.stop_store();
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    world.kill(i);
    world.start(i);
  }
  restore(world);
  world.run_for(kRecoveryTime);
  EXPECT_TRUE(world.violations.empty())
      << world.violations.size() << ", " << world.violations.front();
  EXPECT_TRUE(world.all_held());
}

// Guards against a recall that overlooks a holder because its entry has expired
// while nobody ran who knows it.
TEST(StoreRestoredOwnership, RestartedFleetWaitsForHoldersWithoutAnEntry) {
  FleetWorld world(3, 4, 2);
  move_keys_after_copy(world);
  world.servers()[0].listed = false;
  world.stop_store();
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    world.kill(i);
    world.start(i);
  }
  restore(world);
  world.run_for(kRecoveryTime);
  EXPECT_TRUE(world.violations.empty())
      << world.violations.size() << ", " << world.violations.front();
}

// Guards against keys that are without an owner although their coordinator
// knows all grants.
TEST(StoreRestoredOwnership, RunningCoordinatorKeepsAllKeysHeld) {
  FleetWorld world(3, 4, 3);
  move_keys_after_copy(world);
  OwnerMap before = *world.stored_map();
  world.stop_store();
  restore(world);
  world.run_for(seconds(2));
  ASSERT_TRUE(world.stored_map());
  EXPECT_EQ(world.stored_map()->ranges, before.ranges);
  EXPECT_GT(world.stored_map()->term, before.term);
  for (int i = 0; i < 80; ++i) {
    world.run_for(milliseconds(100));
    EXPECT_TRUE(world.all_held()) << "after " << i * 100 << " ms";
  }
  EXPECT_TRUE(world.violations.empty());
}

// Guards against a successor that believes a heartbeat from the time of the
// outage, although the coordinator has written its map since.
TEST(StoreRestoredOwnership, CoordinatorThatHasWrittenItsMapIsNotReplaced) {
  FleetWorld world(2, 4, 4, 2, 2);
  move_keys_after_copy(world);
  auto coordinator = world.coordinator();
  ASSERT_TRUE(coordinator);
  std::size_t other = 1 - *coordinator;
  world.stop_store();
  world.run_for(milliseconds(3100));
  world.restore_copy();
  world.cut_from_store.insert(other);
  world.restore_store();
  world.run_for(milliseconds(100));
  world.cut_from_store.clear();
  world.restore_store();
  for (int i = 0; i < 30; ++i) {
    world.run_for(milliseconds(100));
    EXPECT_EQ(world.coordinator(), coordinator) << "after " << i * 100 << " ms";
    EXPECT_TRUE(world.all_held()) << "after " << i * 100 << " ms";
  }
  EXPECT_TRUE(world.violations.empty());
}

// Guards against a record from the copy that is taken for a later start of the
// coordinator than the running one.
TEST(StoreRestoredOwnership, EarlierRecordDoesNotEndARunningCoordinator) {
  FleetWorld world(3, 4, 5);
  world.store_era = StoreEra(1);
  world.run_for(kSettlingTime);
  auto predecessor = world.coordinator();
  ASSERT_TRUE(predecessor);
  std::size_t coordinator = (*predecessor + 1) % world.daemons();
  world.take_copy();
  // The next process of that machine coordinates, which the copy lacks.
  world.kill(coordinator);
  world.start(coordinator);
  world.run_for(seconds(2));
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    if (i != coordinator) world.kill(i);
  }
  world.run_for(seconds(4));
  ASSERT_EQ(world.coordinator(), coordinator);
  // It is heard by all daemons but one, which reads the records of the copy.
  std::size_t unaware = *predecessor;
  std::size_t third = world.daemons() - coordinator - unaware;
  world.cut_links.insert({coordinator, unaware});
  world.start(third);
  world.start(unaware);
  world.run_for(seconds(3));
  ASSERT_EQ(world.coordinator(), coordinator);
  world.post(coordinator, StoreAnswered());
  world.stop_store();
  world.cut_from_store.insert(coordinator);
  world.after(seconds(2), [&] { world.cut_from_store.clear(); });
  restore(world);
  for (int i = 0; i < 30; ++i) {
    world.run_for(milliseconds(100));
    EXPECT_TRUE(world.state(coordinator).maps.at(kBoard).coordinator_role)
        << "after " << i * 100 << " ms";
  }
  world.run_for(kRecoveryTime);
  EXPECT_TRUE(world.violations.empty())
      << world.violations.size() << ", " << world.violations.front();
}

/// A daemon that has not heard the coordinator for a while takes over after a
/// restoration. Another one has heard it until then.
void take_over_from_unheard(Duration unheard, bool late_heartbeat = false) {
  FleetWorld world(3, 4, 5);
  world.store_era = StoreEra(1);
  world.check_epochs = true;
  world.run_for(kSettlingTime);
  auto found = world.coordinator();
  ASSERT_TRUE(found);
  std::size_t coordinator = *found;
  std::size_t unaware = (coordinator + 2) % 3;
  std::size_t third = (coordinator + 1) % 3;
  world.cut_links.insert({coordinator, unaware});
  world.run_for(unheard);
  ASSERT_EQ(world.coordinator(), coordinator);
  world.take_copy();
  // Keys move after the last sign of the coordinator.
  world.kill(third);
  world.drain_server(1);
  world.run_for(milliseconds(700));
  world.post(coordinator, StoreAnswered());
  // It reaches only a server that the others do not reach.
  world.cut_from_store.insert(coordinator);
  world.cut_links.insert({coordinator, third});
  world.cut_from_servers.insert({unaware, 0});
  world.cut_from_servers.insert({third, 0});
  world.restore_copy();
  world.restore_store();
  world.start(third);
  if (late_heartbeat) {
    world.run_for(seconds(2));
    Heartbeat late;
    late.daemon = world.state(coordinator).settings.self;
    late.daemon.incarnation = Incarnation(late.daemon.incarnation.value - 1);
    late.terms.push_back({kBoard, TermEpoch(), Duration(0), StorePosition()});
    world.post(unaware, HeartbeatReceived{late});
    world.post(third, HeartbeatReceived{late});
  }
  world.run_for(kRecoveryTime);
  EXPECT_TRUE(world.violations.empty())
      << world.violations.size() << ", " << world.violations.front();
}

// Guards against a coordinator that is taken for ended because this daemon has
// not heard it for long, although others have.
TEST(StoreRestoredOwnership, UnheardCoordinatorIsWaitedFor) {
  take_over_from_unheard(config::kMaxRenewalWithoutStore +
                         longest_hold(Settings()) + seconds(2));
}

// Guards against the same once its record has been dropped.
TEST(StoreRestoredOwnership, ForgottenCoordinatorIsWaitedFor) {
  take_over_from_unheard(config::kDaemonRetention + seconds(2));
}

// Guards against a late heartbeat of its earlier process that is taken for its
// end.
TEST(StoreRestoredOwnership, LateHeartbeatOfAnEarlierProcessEndsNothing) {
  take_over_from_unheard(
      config::kMaxRenewalWithoutStore + longest_hold(Settings()) + seconds(2),
      true);
}

}  // namespace
}  // namespace eelgrasspin::fleet
