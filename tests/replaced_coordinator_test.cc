#include <gtest/gtest.h>

#include "fleet/leases.h"
#include "tests/fleet_world.h"

/// Ownership of keys while a coordinator that has been replaced goes on
/// renewing grants: it reaches servers, but neither the store nor its
/// successor.
namespace eelgrasspin::fleet {
namespace {

/// The server that only the replaced coordinator reaches.
constexpr std::size_t kUnreached = 1;
/// Longer than any grant, from any coordinator, may last.
constexpr Duration kRecoveryTime = seconds(40);

struct ReplacedCoordinator {
  explicit ReplacedCoordinator(Duration settling = seconds(10))
      : world(5, 4, 31) {
    world.run_for(settling);
    first = world.coordinator().value();
    companion = (first + 1) % world.daemons();
  }

  bool is_cut_off(std::size_t daemon) const {
    return daemon == first || daemon == companion;
  }
  /// Cuts the coordinator off from the store and from all daemons but one,
  /// which it goes on hearing.
  void cut_off() {
    for (std::size_t cut : {first, companion}) {
      world.cut_from_store.insert(cut);
      for (std::size_t i = 0; i < world.daemons(); ++i) {
        if (!is_cut_off(i)) world.cut_links.insert({cut, i});
      }
    }
  }
  void cut_others_from_server() {
    for (std::size_t i = 0; i < world.daemons(); ++i) {
      if (!is_cut_off(i)) world.cut_from_servers.insert({i, kUnreached});
    }
  }
  std::optional<std::size_t> successor() {
    for (std::size_t i = 0; i < world.daemons(); ++i) {
      if (!is_cut_off(i) && world.state(i).maps[kBoard].coordinator_role)
        return i;
    }
    return std::nullopt;
  }
  void run_until_replaced() {
    for (int i = 0; i < 500 && !successor(); ++i)
      world.run_for(milliseconds(20));
  }
  /// Cuts the coordinator off from the store, all daemons and all servers but
  /// one.
  void cut_off_alone() {
    companion = first;
    cut_off();
    for (std::size_t i = 0; i < world.servers().size(); ++i) {
      if (i != kUnreached) world.cut_from_servers.insert({first, i});
    }
  }
  MapState& map_of_first() { return world.state(first).maps[kBoard]; }
  std::string first_violation() const {
    return world.violations.empty() ? "" : world.violations.front();
  }

  FleetWorld world;
  std::size_t first = 0;
  std::size_t companion = 0;
};

// Guards against a successor that takes a late heartbeat of the coordinator's
// earlier process for its end.
TEST(ReplacedCoordinatorTest, LateHeartbeatOfAnEarlierProcessEndsNothing) {
  ReplacedCoordinator play;
  play.cut_off();
  play.cut_others_from_server();
  play.run_until_replaced();
  ASSERT_TRUE(play.successor());
  play.world.run_for(seconds(1));
  Heartbeat late;
  late.daemon = play.world.state(play.first).settings.self;
  late.daemon.incarnation = Incarnation(late.daemon.incarnation.value - 1);
  late.terms.push_back({kBoard, TermEpoch(), Duration(0), StorePosition()});
  play.world.post(*play.successor(), HeartbeatReceived{late});
  play.world.drain_server(kUnreached);
  play.world.run_for(kRecoveryTime);
  EXPECT_EQ(play.first_violation(), "");
}

// Guards against forgetting an order that waits for its connection while the
// coordinator learns of its successor.
TEST(ReplacedCoordinatorTest, OrdersOnTheirWayAtTheEndOfItsRoleAreWaitedFor) {
  for (Duration offset{0}; offset < seconds(4); offset += milliseconds(220)) {
    ReplacedCoordinator play;
    play.cut_off();
    play.cut_others_from_server();
    // The latest arrival of an order that has been given up.
    play.world.order_delays[{play.first, kUnreached}] =
        config::kGrantTimeout + Settings().max_delivery_delay +
        config::kOrderArrivalSlack - milliseconds(20);
    play.run_until_replaced();
    ASSERT_TRUE(play.successor());
    play.world.drain_server(kUnreached);
    play.world.run_for(seconds(2) + offset);
    play.world.cut_links.clear();
    play.world.run_for(kRecoveryTime);
    EXPECT_EQ(play.first_violation(), "") << offset.count();
  }
}

// Guards against an answer from before a pause that confirms the map after it.
TEST(ReplacedCoordinatorTest, AnswerFromBeforeAPauseDoesNotConfirmTheMap) {
  ReplacedCoordinator play;
  MapState& map = play.map_of_first();
  TimePoint next_read = map.next_read;
  auto read_is_sent = [&] { return map.next_read != next_read; };
  for (int i = 0; i < 500 && !read_is_sent(); ++i)
    play.world.run_for(milliseconds(20));
  ASSERT_TRUE(read_is_sent());
  play.world.freeze(play.first);
  play.world.run_for(milliseconds(20));
  play.cut_off();
  play.cut_others_from_server();
  play.run_until_replaced();
  ASSERT_TRUE(play.successor());
  play.world.drain_server(kUnreached);
  play.world.run_for(kRecoveryTime);
  play.world.thaw(play.first);
  play.world.run_for(seconds(10));
  EXPECT_EQ(play.first_violation(), "");
}

// Guards against counting the time without the store from the arrival of an
// answer that was late.
TEST(ReplacedCoordinatorTest, LateAnswerDoesNotProlongItsRenewals) {
  ReplacedCoordinator play;
  play.world.faults.map_answer_delay = seconds(5);
  play.world.run_for(seconds(4));
  play.cut_off();
  play.cut_others_from_server();
  play.run_until_replaced();
  ASSERT_TRUE(play.successor());
  play.world.drain_server(kUnreached);
  play.world.run_for(kRecoveryTime);
  EXPECT_EQ(play.first_violation(), "");
}

// Guards against renewals for as long as the store answers anything.
TEST(ReplacedCoordinatorTest, OnlyAnswersAboutTheMapProlongItsRenewals) {
  ReplacedCoordinator play;
  play.cut_off();
  play.cut_others_from_server();
  play.run_until_replaced();
  ASSERT_TRUE(play.successor());
  play.world.drain_server(kUnreached);
  for (Duration done{0}; done < kRecoveryTime; done += milliseconds(20)) {
    play.world.post(play.first, StoreAnswered());
    play.world.run_for(milliseconds(20));
  }
  EXPECT_EQ(play.first_violation(), "");
}

// Guards against keys without an owner because the coordinator has stopped, but
// is heard and reaches the store.
TEST(ReplacedCoordinatorTest, CoordinatorThatCannotReadItsMapIsReplaced) {
  ReplacedCoordinator play;
  play.world.cut_from_store.insert(play.first);
  for (Duration done{0}; done < seconds(20); done += milliseconds(20)) {
    play.world.post(play.first, StoreAnswered());
    play.world.run_for(milliseconds(20));
    EXPECT_TRUE(play.world.all_held()) << done.count();
  }
  auto coordinator = play.world.coordinator();
  EXPECT_TRUE(coordinator && coordinator != play.first);
  EXPECT_EQ(play.first_violation(), "");
}

// Guards against renewals at a restarted server by a coordinator that another
// server has shown its successor's epoch.
TEST(ReplacedCoordinatorTest, OneRefusedRenewalEndsItsOrdersToAllServers) {
  constexpr std::uint32_t kBusyKey = 105;
  for (Duration offset{0}; offset < milliseconds(2500);
       offset += milliseconds(100)) {
    ReplacedCoordinator play(seconds(4));
    play.world.check_epochs = true;
    for (Duration done{0}; done < seconds(3) + offset;
         done += milliseconds(20)) {
      play.world.add_key_load(play.first, kBusyKey, 0.1);
      play.world.run_for(milliseconds(20));
    }
    play.cut_off();
    play.run_until_replaced();
    ASSERT_TRUE(play.successor());
    play.world.run_for(milliseconds(100));
    play.world.drain_server(kUnreached);
    play.world.run_for(milliseconds(1200));
    play.world.restart_server(kUnreached);
    play.world.run_for(kRecoveryTime);
    EXPECT_EQ(play.first_violation(), "") << offset.count();
  }
}

// Guards against trusting an epoch that a server has seen, but has forgotten
// with its restart.
TEST(ReplacedCoordinatorTest, GrantsToARestartedServerAreWaitedFor) {
  for (Duration offset{0}; offset < milliseconds(2500);
       offset += milliseconds(100)) {
    ReplacedCoordinator play(seconds(10) + offset);
    play.cut_off();
    play.run_until_replaced();
    ASSERT_TRUE(play.successor());
    play.world.run_for(milliseconds(60));
    play.cut_others_from_server();
    play.world.restart_server(kUnreached);
    play.world.run_for(milliseconds(100));
    play.world.drain_server(kUnreached);
    play.world.run_for(kRecoveryTime);
    EXPECT_EQ(play.first_violation(), "") << offset.count();
  }
}

// Guards against renewals at a restarted server by a coordinator that no server
// and no daemon can tell of its successor.
TEST(ReplacedCoordinatorTest, IsolatedOneSendsNothingOnceItMayBeReplaced) {
  for (Duration offset{0}; offset < milliseconds(2500);
       offset += milliseconds(100)) {
    ReplacedCoordinator play(seconds(10) + offset);
    play.cut_off_alone();
    play.run_until_replaced();
    ASSERT_TRUE(play.successor());
    play.world.run_for(milliseconds(100));
    play.world.drain_server(kUnreached);
    play.world.run_for(milliseconds(1200));
    play.world.restart_server(kUnreached);
    play.world.run_for(kRecoveryTime);
    EXPECT_EQ(play.first_violation(), "") << offset.count();
  }
}

// Guards against a pause of the orders that outlasts the isolation, while no
// daemon reaches the store.
TEST(ReplacedCoordinatorTest, OneThatHearsDaemonsAgainSendsOrders) {
  ReplacedCoordinator play;
  auto sends_orders = [&] {
    return may_send_orders(play.world.state(play.first), play.map_of_first(),
                           play.world.now());
  };
  play.world.stop_store();
  play.companion = play.first;
  play.cut_off();
  play.world.run_for(seconds(2));
  EXPECT_FALSE(sends_orders());
  play.world.cut_links.clear();
  play.world.run_for(milliseconds(300));
  for (Duration done{0}; done < seconds(6); done += milliseconds(20)) {
    play.world.run_for(milliseconds(20));
    EXPECT_TRUE(sends_orders()) << done.count();
    EXPECT_TRUE(play.world.all_held()) << done.count();
  }
  EXPECT_EQ(play.first_violation(), "");
}

// Guards against keys without an owner because the only daemon hears no other.
TEST(ReplacedCoordinatorTest, OnlyDaemonRenewsWithoutTheStore) {
  for (bool other_has_stopped : {false, true}) {
    FleetWorld world(other_has_stopped ? 2 : 1, 4, 32);
    world.run_for(seconds(10));
    std::size_t first = world.coordinator().value();
    if (other_has_stopped) {
      world.post(1 - first, StopOrdered());
      world.run_for(milliseconds(200));
      world.kill(1 - first);
    }
    world.stop_store();
    Duration outage = config::kMaxRenewalWithoutStore -
                      config::kMapCheckInterval - milliseconds(500);
    for (Duration done{0}; done < outage; done += milliseconds(20)) {
      world.run_for(milliseconds(20));
      EXPECT_TRUE(world.all_held()) << done.count();
    }
    EXPECT_TRUE(may_send_orders(world.state(first),
                                world.state(first).maps[kBoard], world.now()));
  }
}

// Guards against orders that stop because the only other daemon has ended,
// while the store still answers.
TEST(ReplacedCoordinatorTest, OneThatHearsOnlyTheStoreSendsOrders) {
  FleetWorld world(2, 4, 33);
  world.run_for(seconds(10));
  std::size_t first = world.coordinator().value();
  world.kill(1 - first);
  for (Duration done{0}; done < seconds(20); done += milliseconds(20)) {
    world.run_for(milliseconds(20));
    EXPECT_TRUE(may_send_orders(world.state(first),
                                world.state(first).maps[kBoard], world.now()))
        << done.count();
    EXPECT_TRUE(world.all_held()) << done.count();
  }
}

}  // namespace
}  // namespace eelgrasspin::fleet
