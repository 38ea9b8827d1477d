#include <gtest/gtest.h>

#include "fleet/placement.h"
#include "tests/fleet_world.h"

/// The work of a coordinator of a large service, many of whose servers do not
/// answer. No network.
namespace eelgrasspin::fleet {
namespace {

constexpr std::size_t kServers = 300;
constexpr std::size_t kSilentServers = 80;
constexpr std::size_t kRanges = 2000;
constexpr std::size_t kMovesPerRound = 12;
/// Half of the connections that a daemon with 4,100 descriptors has for orders.
constexpr std::size_t kMaxOrdersInFlight = 512;

class CoordinatorLoad : public ::testing::Test {
 protected:
  CoordinatorLoad() : world_(1, kServers, 45), random_(45) {
    world_.on_grant = [this](const GrantKeys& order) {
      ++orders_[order.server];
      last_grant_ = order.order;
    };
    world_.on_release = [this](const ReleaseKeys& order) {
      ++orders_[order.server];
    };
  }

  /// Lets the daemon coordinate a map with this many ranges, and confirm them.
  void start(std::size_t ranges) {
    world_.run_for(milliseconds(100));
    const DaemonRecord& self = world_.state(0).settings.self;
    OwnerMap map{kBoard, self.name, self.incarnation, TermEpoch(1), Epoch(1)};
    for (std::size_t i = 0; i < ranges; ++i) {
      auto first = static_cast<std::uint32_t>(65'536 * i / ranges);
      auto end = static_cast<std::uint32_t>(65'536 * (i + 1) / ranges);
      const Server& owner = world_.servers()[i % kServers].entry;
      map.ranges.push_back({ShardKey(first),
                            ShardKey(end - 1),
                            {owner.name, owner.incarnation},
                            Epoch(1),
                            {}});
    }
    world_.put_map(map);
    world_.run_for(seconds(3));
    ASSERT_EQ(world_.stored_map()->ranges.size(), ranges);
  }

  void silence_servers() {
    for (std::size_t i = 0; i < kSilentServers; ++i)
      world_.servers()[i].silent = true;
  }

  /// Runs for a second, in which busy keys move five times.
  void run_a_second_of_moves() {
    orders_.clear();
    most_in_flight_ = 0;
    for (int round = 0; round < 5; ++round) {
      move_keys();
      for (int step = 0; step < 10; ++step) {
        world_.run_for(milliseconds(20));
        most_in_flight_ =
            std::max(most_in_flight_, orders_in_flight(world_.state(0)));
      }
    }
  }

  std::size_t orders_to_silent_servers() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < kSilentServers; ++i) {
      auto found = orders_.find(ServerName("s" + std::to_string(i)));
      if (found != orders_.end()) count += found->second;
    }
    return count;
  }
  std::size_t all_orders() const {
    std::size_t count = 0;
    for (const auto& [server, orders] : orders_) count += orders;
    return count;
  }

  std::size_t ranges() const { return world_.stored_map()->ranges.size(); }

  FleetWorld world_;
  std::map<ServerName, std::size_t> orders_;
  std::uint64_t last_grant_ = 0;
  std::size_t most_in_flight_ = 0;

 private:
  /// Moves single keys to servers that answer.
  void move_keys() {
    OwnerMap map = *world_.stored_map();
    map.last_epoch = map.last_epoch.next();
    for (std::size_t i = 0; i < kMovesPerRound; ++i) {
      ShardKey key(static_cast<std::uint32_t>(random_() % 65'536));
      std::size_t to = kSilentServers + random_() % (kServers - kSilentServers);
      const Server& owner = world_.servers()[to].entry;
      assign(map.ranges, {key, key, {owner.name, owner.incarnation}},
             map.last_epoch);
    }
    world_.put_map(map);
  }

  std::mt19937 random_;
};

TEST_F(CoordinatorLoad, CostOfAnEndedOrderDoesNotGrowWithTheRanges) {
  start(kRanges);
  silence_servers();
  run_a_second_of_moves();
  State& state = world_.state(0);
  ASSERT_GT(orders_in_flight(state), 0U);
  std::uint64_t visited = state.ranges_visited;
  reduce(state,
         OrderEnded{last_grant_, OrderResult::kUnanswered, "", "silent", {}},
         world_.now());
  EXPECT_LE(state.ranges_visited - visited, 1U);
}

TEST_F(CoordinatorLoad, RangesAreLookedAtOnlyWhenAnOrderMayBeDue) {
  start(kRanges);
  std::uint64_t visited = world_.state(0).ranges_visited;
  world_.run_for(seconds(5));
  // Two renewals in 5 s, each with a look before it and one at its end.
  EXPECT_LE(world_.state(0).ranges_visited - visited, 5 * kRanges);
  silence_servers();
  run_a_second_of_moves();
  visited = world_.state(0).ranges_visited;
  run_a_second_of_moves();
  EXPECT_LE(world_.state(0).ranges_visited - visited, 5 * kRanges);
}

TEST_F(CoordinatorLoad, OrdersToSilentServersDependOnTheServersOnly) {
  start(kRanges);
  silence_servers();
  run_a_second_of_moves();
  EXPECT_LE(most_in_flight_, kMaxOrdersInFlight);
  // Silence shows when the next renewals have ended, and the last releases.
  for (int i = 0; i < 3; ++i) {
    run_a_second_of_moves();
    EXPECT_LE(most_in_flight_, kMaxOrdersInFlight);
    EXPECT_LE(all_orders(), ranges());
  }
  for (int i = 0; i < 5; ++i) {
    run_a_second_of_moves();
    // One order a server at a time, each of which takes 400 ms at least.
    EXPECT_LE(orders_to_silent_servers(), 3 * kSilentServers);
    EXPECT_LE(most_in_flight_, 2 * kSilentServers);
    EXPECT_LE(all_orders(), ranges());
  }
}

TEST_F(CoordinatorLoad, ServersThatAnswerAreRenewedBesideSilentOnes) {
  start(kRanges);
  silence_servers();
  for (int i = 0; i < 10; ++i) run_a_second_of_moves();
  const CoordinatorRole& role =
      *world_.state(0).maps.at(kBoard).coordinator_role;
  std::size_t overdue = 0;
  for (const KeyRange& range : world_.stored_map()->ranges) {
    const Lease& lease = role.leases.at(range.first);
    bool answers =
        !world_.servers()[std::stoul(range.owner.name.str().substr(1))].silent;
    if (answers && lease.confirmed &&
        world_.now() - lease.renewed_at >
            config::kLowTrafficRenewalInterval + milliseconds(500))
      ++overdue;
  }
  EXPECT_EQ(overdue, 0U);
}

TEST_F(CoordinatorLoad, KeysOfSilentServersAreRenewedOnceTheyAnswer) {
  start(kRanges);
  silence_servers();
  world_.run_for(seconds(5));
  for (FakeServer& server : world_.servers()) server.silent = false;
  world_.run_for(seconds(2));
  const CoordinatorRole& role =
      *world_.state(0).maps.at(kBoard).coordinator_role;
  for (const auto& [first, lease] : role.leases) {
    EXPECT_LT(world_.now() - lease.renewed_at,
              config::kLowTrafficRenewalInterval + milliseconds(500))
        << first.value;
  }
}

TEST_F(CoordinatorLoad, LostAnswersDoNotMakeAServerSilent) {
  start(kRanges);
  // Servers that leave a grant in five unanswered, now and then several in a
  // row.
  world_.faults.grant_unanswered = 0.2;
  world_.run_for(seconds(2));
  for (int i = 0; i < 8; ++i) {
    run_a_second_of_moves();
    const CoordinatorRole& role =
        *world_.state(0).maps.at(kBoard).coordinator_role;
    for (const auto& [first, lease] : role.leases) {
      if (!lease.confirmed) continue;
      EXPECT_LT(world_.now() - lease.renewed_at, config::kLowTrafficGrantHold)
          << first.value;
    }
  }
  EXPECT_TRUE(world_.violations.empty());
}

}  // namespace
}  // namespace eelgrasspin::fleet
