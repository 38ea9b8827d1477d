#include <gtest/gtest.h>

#include "fleet/leases.h"
#include "tests/fleet_world.h"

/// First owner maps of a service, of which the store may have lost an earlier
/// one, on virtual time.
namespace eelgrasspin::fleet {
namespace {

constexpr Duration kServingTime = seconds(4);
/// Longer than any grant, from any coordinator, may last.
constexpr Duration kRecoveryTime = seconds(40);
/// In which all keys have to be served again if a server does not answer. A
/// coordinator that nobody knows any more may renew its grants, and the last
/// ones have to expire.
const Duration kRecoveryLimit =
    config::kMaxRenewalWithoutStore + longest_hold(Settings()) + seconds(2);

/// A service whose owner map is younger than the store's copy.
class LostFirstMap : public testing::Test {
 protected:
  LostFirstMap() {
    world_.store_era = StoreEra(1);
    world_.check_epochs = true;
    world_.take_copy();
  }
  /// The store loses the map while all daemons lose power. A server has joined
  /// since the map was made, so that the next one has other owners.
  void lose_map() {
    world_.run_for(kServingTime);
    ASSERT_TRUE(world_.all_held());
    world_.add_server(world_.servers().size());
    world_.run_for(seconds(1));
    world_.stop_store();
    for (std::size_t i = 0; i < world_.daemons(); ++i) world_.kill(i);
    world_.restore_copy();
    world_.run_for(milliseconds(300));
  }
  void start_again() {
    for (std::size_t i = 0; i < world_.daemons(); ++i) world_.start(i);
    world_.restore_store();
  }
  void expect_no_violations() {
    EXPECT_TRUE(world_.violations.empty())
        << world_.violations.size() << ", " << world_.violations.front();
  }
  /// Time until all keys are held; `limit` if they are not by then.
  Duration time_until_held(Duration limit) {
    TimePoint from = world_.now();
    while (!world_.all_held() && world_.now() - from < limit)
      world_.run_for(config::kTickInterval);
    return world_.now() - from;
  }

  FleetWorld world_{3, 4, 1};
};

// Guards against a missing map that is taken for one that never was.
TEST_F(LostFirstMap, RestartedFleetGrantsNoKeysThatAreHeld) {
  lose_map();
  start_again();
  EXPECT_LT(time_until_held(kRecoveryTime), seconds(4));
  world_.run_for(kRecoveryTime);
  expect_no_violations();
}

// Guards against a holder that is overlooked because it has not registered
// again yet.
TEST_F(LostFirstMap, WaitsForServersThatRegisterAgainLate) {
  lose_map();
  world_.servers()[0].listed = false;
  start_again();
  world_.after(milliseconds(2000), [this] { world_.list_server(0); });
  world_.run_for(kRecoveryTime);
  expect_no_violations();
  EXPECT_TRUE(world_.all_held());
}

// Guards against grants of keys that a server without a path may hold.
TEST_F(LostFirstMap, WaitsForTheGrantsOfServersThatDoNotAnswer) {
  lose_map();
  world_.servers()[0].reachable = false;
  start_again();
  EXPECT_LT(time_until_held(kRecoveryTime), kRecoveryLimit);
  world_.run_for(kRecoveryTime);
  expect_no_violations();
}

// Guards against a holder that is forgotten because its entry has expired.
TEST_F(LostFirstMap, WaitsForServersWhoseEntriesAreRemoved) {
  lose_map();
  world_.servers()[0].reachable = false;
  start_again();
  world_.run_for(milliseconds(1000));
  world_.servers()[0].listed = false;
  world_.unlist_server(0);
  EXPECT_LT(time_until_held(kRecoveryTime), kRecoveryLimit);
  world_.run_for(kRecoveryTime);
  expect_no_violations();
}

// Guards against a successor that takes the recall for completed.
TEST_F(LostFirstMap, SuccessorAsksAllServersAgain) {
  lose_map();
  world_.servers()[0].reachable = false;
  start_again();
  world_.run_for(milliseconds(2300));
  auto coordinator = world_.coordinator();
  ASSERT_TRUE(coordinator);
  world_.kill(*coordinator);
  world_.run_for(milliseconds(500));
  world_.servers()[0].reachable = true;
  EXPECT_LT(time_until_held(kRecoveryTime), seconds(6));
  world_.run_for(kRecoveryTime);
  expect_no_violations();
}

// Guards against a first map with epochs that a takeover has given out, in an
// earlier era of the store.
TEST_F(LostFirstMap, EpochsAreAboveThoseOfATakeoverInTheEraBefore) {
  world_.run_for(kServingTime);
  auto coordinator = world_.coordinator();
  ASSERT_TRUE(coordinator);
  world_.stop_store();
  world_.kill(*coordinator);
  world_.restore_copy();
  world_.restore_store();
  world_.run_for(kRecoveryTime);
  ASSERT_TRUE(world_.all_held());
  lose_map();
  start_again();
  world_.run_for(kRecoveryTime);
  expect_no_violations();
  EXPECT_TRUE(world_.all_held());
}

/// A daemon is added while the others have not noticed yet that the store has
/// lost the map.
class AddedDaemon : public LostFirstMap {
 protected:
  /// The others reach the store again after the time given.
  void add_after_restoration(Duration others_cut) {
    world_.kill(kAdded);
    world_.run_for(kServingTime);
    ASSERT_TRUE(world_.coordinator());
    owners_ = world_.stored_map()->ranges;
    world_.stop_store();
    world_.run_for(milliseconds(300));
    world_.restore_copy();
    for (std::size_t i = 0; i < kAdded; ++i) world_.cut_from_store.insert(i);
    world_.restore_store();
    world_.start(kAdded);
    world_.after(others_cut, [this] { world_.cut_from_store.clear(); });
  }
  /// All keys stay with their owners, and the map is written again.
  void expect_same_owners() {
    for (int i = 0; i < 120; ++i) {
      world_.run_for(milliseconds(100));
      if (!world_.stored_map()) continue;
      EXPECT_EQ(world_.stored_map()->ranges, owners_) << i * 100 << " ms";
      EXPECT_TRUE(world_.all_held()) << i * 100 << " ms";
    }
    EXPECT_TRUE(world_.stored_map());
    expect_no_violations();
  }

  static constexpr std::size_t kAdded = 2;
  std::vector<KeyRange> owners_;
};

// Guards against a first map beside that of a coordinator which is alive.
TEST_F(AddedDaemon, LeavesTheMapToARunningCoordinator) {
  add_after_restoration(milliseconds(1800));
  expect_same_owners();
}

// Guards against the same while the coordinator cannot reach the store for
// longer than another one would need to take over.
TEST_F(AddedDaemon, LeavesTheMapToACoordinatorThatStillRenews) {
  add_after_restoration(seconds(6));
  expect_same_owners();
}

// Guards against keys that wait for a coordinator which stays cut off.
TEST_F(AddedDaemon, ServesKeysIfNobodyCanWriteTheMapAgain) {
  add_after_restoration(minutes(5));
  world_.run_for(config::kMaxRenewalWithoutStore);
  EXPECT_LT(time_until_held(kRecoveryTime), seconds(10));
  expect_no_violations();
}

/// The coordinator can reach neither the store nor the added daemon, but a
/// server that the added daemon cannot reach. Nobody knows of it any more: the
/// store has lost its record as well.
class UnheardCoordinator : public LostFirstMap {
 protected:
  void add_daemon() {
    world_.kill(kAdded);
    world_.run_for(kServingTime);
    world_.add_server(world_.servers().size());
    world_.run_for(seconds(2));
    ASSERT_TRUE(world_.all_held());
    ASSERT_TRUE(world_.coordinator());
    coordinator_ = *world_.coordinator();
    for (std::size_t i = 0; i < kAdded; ++i) {
      if (i != coordinator_) world_.kill(i);
    }
    world_.cut_links.insert({coordinator_, kAdded});
    world_.cut_from_servers.insert({kAdded, 0});
    world_.stop_store();
    world_.run_for(milliseconds(300));
    world_.restore_copy();
    world_.cut_from_store.insert(coordinator_);
    world_.restore_store();
    world_.start(kAdded);
  }

  static constexpr std::size_t kAdded = 2;
  std::size_t coordinator_ = 0;
};

// Guards against lost grants that are taken for expired because no daemon that
// may have made them is known.
TEST_F(UnheardCoordinator, ItsGrantsAreWaitedFor) {
  add_daemon();
  EXPECT_LT(time_until_held(kRecoveryTime), kRecoveryLimit);
  world_.run_for(kRecoveryTime);
  expect_no_violations();
}

// Guards against a coordinator that goes on renewing because it has had an
// answer, although not about its map.
TEST_F(UnheardCoordinator, ItDoesNotRenewLongerAfterAnAnswer) {
  add_daemon();
  world_.run_for(seconds(6));
  world_.post(coordinator_, StoreEraSeen{*world_.store_era});
  world_.post(coordinator_, StoreAnswered());
  EXPECT_LT(time_until_held(kRecoveryTime), kRecoveryLimit);
  world_.run_for(kRecoveryTime);
  expect_no_violations();
}

/// All running daemons are paused while the store loses the map, and one is
/// added before they go on.
class PausedDaemons : public LostFirstMap {
 protected:
  void pause_and_add(Duration pause) {
    world_.kill(kAdded);
    world_.run_for(longest_hold(Settings()));
    world_.add_server(world_.servers().size());
    world_.run_for(seconds(2));
    ASSERT_TRUE(world_.all_held());
    for (std::size_t i = 0; i < kAdded; ++i) world_.freeze(i);
    world_.stop_store();
    world_.run_for(milliseconds(300));
    world_.restore_copy();
    world_.restore_store();
    world_.start(kAdded);
    world_.run_for(pause);
    for (std::size_t i = 0; i < kAdded; ++i) world_.thaw(i);
  }
  /// How long any key was without an owner within the time given.
  Duration time_without_owner(Duration duration) {
    Duration without{0};
    for (TimePoint end = world_.now() + duration; world_.now() < end;) {
      world_.run_for(config::kTickInterval);
      if (!world_.all_held()) without += config::kTickInterval;
    }
    return without;
  }

  static constexpr std::size_t kAdded = 2;
};

// Guards against a successor that waits until all grants have expired, although
// it can ask the servers.
TEST_F(PausedDaemons, KeysAreServedSoonIfTheyCreateNoNewMap) {
  pause_and_add(milliseconds(400));
  EXPECT_LT(time_without_owner(kRecoveryTime), seconds(5));
  expect_no_violations();
}

// Guards against a second loss of all keys once the added daemon has granted
// them.
TEST_F(PausedDaemons, KeysAreServedSoonBesideANewMap) {
  pause_and_add(seconds(4));
  EXPECT_LT(time_without_owner(kRecoveryTime), seconds(5));
  expect_no_violations();
}

// Guards against a first start that waits like one after a loss, although the
// store can have lost nothing.
TEST_F(LostFirstMap, FirstStartBesideAStoreWithoutErasDoesNotWait) {
  world_.store_era.reset();
  EXPECT_LE(time_until_held(kRecoveryTime), milliseconds(1200));
}

// Guards against a first start that takes longer than the entries.
TEST_F(LostFirstMap, FirstStartWaitsOnlyForLateEntries) {
  EXPECT_LE(time_until_held(kRecoveryTime),
            config::kEntryReturnTime + milliseconds(1000));
}

}  // namespace
}  // namespace eelgrasspin::fleet
