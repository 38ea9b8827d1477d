#include "fleet/zone_relay.h"

#include <gtest/gtest.h>

#include "fleet/peers.h"
#include "fleet/registry.h"
#include "tests/fleet_world.h"

namespace eelgrasspin::fleet {
namespace {

DaemonName daemon(std::size_t number) {
  return DaemonName("d" + std::to_string(number));
}

bool all_alive_to(FleetWorld& world, std::size_t observer) {
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    if (!world.running(i)) continue;
    if (!is_alive(world.state(observer), daemon(i), world.now())) return false;
  }
  return true;
}

/// Load: nine daemons in three zones, idle.
TEST(ZoneRelay, HeartbeatsOfEveryDaemonReachEveryZone) {
  FleetWorld world(9, 4, 1, 3);
  world.run_for(seconds(8));
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    EXPECT_TRUE(all_alive_to(world, i)) << i;
  }
}

TEST(ZoneRelay, MessagesBetweenZonesDoNotGrowWithTheSquareOfDaemons) {
  auto sent_in_a_second = [](std::size_t daemons) {
    FleetWorld world(daemons, 4, 1, 8);
    world.run_for(seconds(8));
    std::size_t before = world.datagrams;
    world.run_for(seconds(1));
    return world.datagrams - before;
  };
  std::size_t few = sent_in_a_second(16);
  std::size_t many = sent_in_a_second(48);
  EXPECT_LT(many, 5 * few) << few;
}

TEST(ZoneRelay, LostRelayIsReplacedBeforeItsZoneTimesOut) {
  FleetWorld world(9, 4, 1, 3);
  world.run_for(seconds(8));
  auto relay = zone_relay(world.state(1), FleetWorld::zone(1), world.now());
  ASSERT_TRUE(relay.has_value());
  std::size_t lost = relay->str().back() - '0';
  world.kill(lost);
  std::size_t observer = 0;
  for (int step = 0; step < 150; ++step) {
    world.run_for(config::kTickInterval);
    EXPECT_TRUE(all_alive_to(world, observer)) << step;
  }
  auto next = zone_relay(world.state(0), FleetWorld::zone(1), world.now());
  ASSERT_TRUE(next.has_value());
  EXPECT_NE(*next, *relay);
}

TEST(ZoneRelay, RequestsAtAServerAreKnownInOtherZones) {
  FleetWorld world(6, 4, 1, 3);
  world.run_for(seconds(8));
  ServerName server = world.servers()[0].entry.name;
  world.state(4).servers.at(server).in_flight = 3;
  world.state(4).fleet.load_changed = true;
  world.run_for(milliseconds(400));
  const State& other = world.state(0);
  EXPECT_EQ(load_at(other, other.servers.at(server)), 3u);
}

TEST(ZoneRelay, KeyLoadsOfAllZonesReachTheCoordinatorOnce) {
  FleetWorld world(9, 4, 1, 3);
  world.run_for(seconds(8));
  auto coordinator = world.coordinator();
  ASSERT_TRUE(coordinator.has_value());
  double expected = 0;
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    if (i == *coordinator) continue;
    world.add_key_load(i, 500, 10);
    expected += 10;
  }
  world.run_for(milliseconds(1300));
  double reported = 0;
  for (const auto& [name, peer] : world.state(*coordinator).fleet.peers) {
    for (const auto& report : peer.heartbeat.key_load_reports) {
      for (const KeyLoad& key : report.keys) {
        if (key.key == ShardKey(500)) reported += key.request_count;
      }
    }
  }
  EXPECT_GT(reported, 0.5 * expected);
  EXPECT_LE(reported, expected);
}

/// Load: requests at a server change all the time.
TEST(ZoneRelay, HeartbeatsThatADaemonReceivesDoNotGrowWithItsZone) {
  auto received_in_a_second = [](std::size_t daemons) {
    FleetWorld world(daemons, 4, 1, 1);
    world.run_for(seconds(8));
    std::size_t before = world.datagrams;
    for (int step = 0; step < 50; ++step) {
      for (std::size_t i = 0; i < daemons; ++i)
        world.state(i).fleet.load_changed = true;
      world.run_for(config::kTickInterval);
    }
    return (world.datagrams - before) / daemons;
  };
  EXPECT_LT(received_in_a_second(24), 2 * received_in_a_second(8));
}

/// A coordinator sends its heartbeats to all daemons, and its relay reports its
/// requests as well.
TEST(ZoneRelay, RequestsReportedTwiceAreCountedOnce) {
  FleetWorld world(9, 4, 1, 3);
  world.run_for(seconds(8));
  ServerName server = world.servers()[0].entry.name;
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    world.state(i).servers.at(server).in_flight = 1;
    world.state(i).fleet.load_changed = true;
  }
  world.run_for(seconds(2));
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    const State& state = world.state(i);
    EXPECT_EQ(load_at(state, state.servers.at(server)), 9u) << i;
  }
}

TEST(ZoneRelay, RequestsOfLostDaemonsAreForgotten) {
  FleetWorld world(9, 4, 1, 3);
  world.run_for(seconds(8));
  ServerName server = world.servers()[0].entry.name;
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    world.state(i).servers.at(server).in_flight = 1;
    world.state(i).fleet.load_changed = true;
  }
  world.run_for(seconds(2));
  const State& state = world.state(0);
  for (std::size_t i : {3, 6}) world.kill(i);  // Of the zone of the first one.
  world.run_for(milliseconds(1300));
  EXPECT_EQ(load_at(state, state.servers.at(server)), 7u);
  for (std::size_t i : {1, 4, 7}) world.kill(i);  // A whole zone.
  world.run_for(seconds(3));
  EXPECT_EQ(load_at(state, state.servers.at(server)), 4u);
}

/// The coordinator sends a change once to each zone, whose relay forwards it.
TEST(ZoneRelay, MapChangesReachEveryDaemon) {
  FleetWorld world(12, 4, 1, 3);
  world.run_for(seconds(8));
  Version before = world.revision();
  world.drain_server(0);
  world.run_for(milliseconds(120));
  ASSERT_NE(world.revision(), before);
  world.run_for(milliseconds(80));
  for (std::size_t i = 0; i < world.daemons(); ++i) {
    EXPECT_EQ(world.state(i).maps.at(kBoard).position.revision,
              world.revision())
        << i;
    EXPECT_FALSE(world.state(i).maps.at(kBoard).behind_since) << i;
  }
}

/// The relay of a zone is the daemon with most capacity.
TEST(ZoneRelay, LargeMachinesRelay) {
  FleetWorld world(3, 4, 1, 1);
  world.run_for(seconds(1));
  State& state = world.state(0);
  state.fleet.daemon_records[daemon(2)].capacity = 500;
  EXPECT_EQ(zone_relay(state, FleetWorld::zone(0), world.now()), daemon(2));
}

}  // namespace
}  // namespace eelgrasspin::fleet
