#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <numeric>
#include <set>

#include "fleet/hot_keys.h"
#include "fleet/placement.h"
#include "tests/store_positions.h"

namespace eelgrasspin::fleet {
namespace {

ServerIncarnation server_incarnation(int number) {
  return {ServerName("s" + std::to_string(number)), Incarnation(1)};
}

PlacementInput input_of(int servers, std::vector<double> capacities = {}) {
  PlacementInput input;
  for (int i = 0; i < servers; ++i) {
    double capacity =
        capacities.empty() ? 12.0 : capacities[static_cast<std::size_t>(i)];
    input.servers.push_back({server_incarnation(i), capacity});
  }
  input.ranges = initial_ranges(input.servers, Epoch(1));
  input.movable.assign(input.ranges.size(), true);
  return input;
}

void carry_out(PlacementInput& input, const std::vector<Move>& moves) {
  for (const Move& move : moves) assign(input.ranges, move, Epoch(2));
  for (KeyRange& range : input.ranges) range.previous_owners.clear();
  join_neighbours(input.ranges);
  input.movable.assign(input.ranges.size(), true);
}

double worst_load_ratio(const PlacementInput& input) {
  double worst = 0;
  for (const PlacedServer& server : input.servers) {
    double load = 0;
    for (const KeyRange& range : input.ranges) {
      if (range.owner != server.incarnation) continue;
      for (const auto& [key, rate] : input.request_rates) {
        if (range.first <= key && key <= range.last) load += rate;
      }
    }
    worst = std::max(worst, load / server.capacity);
  }
  return worst;
}

bool covers_all_keys(const std::vector<KeyRange>& ranges) {
  std::uint32_t next = 0;
  for (const KeyRange& range : ranges) {
    if (range.first.value != next || range.last < range.first) return false;
    next = range.last.value + 1;
  }
  return next == kMaxShardKey + 1;
}

/// Load: 60 requests a second on 200 neighbouring keys, all in one range.
TEST(FleetPlacement, HotRunOfNeighboursIsSharedOut) {
  PlacementInput input = input_of(6);
  for (std::uint32_t key = 47'400; key < 47'600; ++key) {
    input.request_rates[ShardKey(key)] = 0.3;
  }
  EXPECT_GT(worst_load_ratio(input), 4.0);
  for (int round = 0; round < 3; ++round) carry_out(input, plan_moves(input));
  EXPECT_LT(worst_load_ratio(input), 1.3);
  EXPECT_TRUE(covers_all_keys(input.ranges));
}

/// Load: one key with more requests than a server of the usual speed can serve.
TEST(FleetPlacement, HottestKeyMovesToTheFastestServerAndOthersMoveAway) {
  PlacementInput input = input_of(4, {8.0, 8.0, 20.0, 8.0});
  input.request_rates[ShardKey(100)] = 18.0;
  input.request_rates[ShardKey(120)] = 3.0;
  input.request_rates[ShardKey(40'000)] = 4.0;
  for (int round = 0; round < 3; ++round) carry_out(input, plan_moves(input));
  OwnerMap map;
  map.ranges = input.ranges;
  EXPECT_EQ(find_range(map, ShardKey(100))->owner, server_incarnation(2));
  EXPECT_NE(find_range(map, ShardKey(120))->owner, server_incarnation(2));
  EXPECT_LT(worst_load_ratio(input), 1.0);
}

/// Load: a large fleet whose requests are for a thousand neighbouring keys, all
/// at six of its servers.
TEST(FleetPlacement, LoadIsSpreadOverALargeFleet) {
  PlacementInput input = input_of(180);
  for (std::uint32_t key = 20'000; key < 22'000; key += 2) {
    input.request_rates[ShardKey(key)] = 1.2;
  }
  EXPECT_GT(worst_load_ratio(input), 15.0);
  for (int round = 0; round < 16; ++round) carry_out(input, plan_moves(input));
  EXPECT_LT(worst_load_ratio(input), 1.3);
  EXPECT_LE(input.ranges.size(),
            max_ranges(180) + 2 * max_moves_per_round(180));
  EXPECT_TRUE(covers_all_keys(input.ranges));
}

TEST(FleetPlacement, EvenLoadMovesNothing) {
  PlacementInput input = input_of(4);
  for (std::uint32_t key = 0; key < 65'536; key += 256) {
    input.request_rates[ShardKey(key)] = 0.1;
  }
  EXPECT_TRUE(plan_moves(input).empty());
}

TEST(FleetPlacement, LittleLoadMovesNothing) {
  PlacementInput input = input_of(4);
  input.request_rates[ShardKey(3)] = 1.0;
  EXPECT_TRUE(plan_moves(input).empty());
}

TEST(FleetPlacement, NewServerIsAssignedKeysAlsoWithoutLoad) {
  PlacementInput input = input_of(3);
  input.servers.push_back({server_incarnation(9), 12.0});
  std::vector<Move> moves = plan_moves(input);
  ASSERT_FALSE(moves.empty());
  EXPECT_EQ(moves[0].to, server_incarnation(9));
}

TEST(FleetPlacement, KeysThatMovedRecentlyAreNotMoved) {
  PlacementInput input = input_of(4);
  for (std::uint32_t key = 100; key < 120; ++key) {
    input.request_rates[ShardKey(key)] = 2.0;
  }
  input.movable.assign(input.ranges.size(), false);
  EXPECT_TRUE(plan_moves(input).empty());
}

TEST(FleetPlacement, AssignRecordsPreviousOwners) {
  PlacementInput input = input_of(2);
  assign(input.ranges, {ShardKey(10), ShardKey(19), server_incarnation(1)},
         Epoch(5));
  ASSERT_EQ(input.ranges.size(), 4u);
  EXPECT_EQ(input.ranges[1].owner, server_incarnation(1));
  EXPECT_EQ(input.ranges[1].epoch, Epoch(5));
  EXPECT_EQ(input.ranges[1].previous_owners,
            std::vector<ServerIncarnation>{server_incarnation(0)});
  // Moved again before the first move was complete: both may hold the keys.
  assign(input.ranges, {ShardKey(10), ShardKey(19), server_incarnation(7)},
         Epoch(6));
  EXPECT_EQ(input.ranges[1].previous_owners,
            (std::vector<ServerIncarnation>{server_incarnation(0),
                                            server_incarnation(1)}));
}

HotPlacementInput hot_input_of(int servers) {
  HotPlacementInput input{input_of(servers), {}};
  for (const PlacedServer& server : input.placement.servers)
    input.occupancies[server.incarnation] = {0, 3};
  return input;
}

/// Load: 140 requests a second on 200 neighbouring keys of one server.
/// Guards against a hot run that needs several rounds to be spread.
TEST(FleetPlacement, HotRunIsSpreadOverIdleServersInOneRound) {
  HotPlacementInput input = hot_input_of(60);
  input.occupancies[server_incarnation(0)] = {8, 3};
  for (std::uint32_t key = 100; key < 300; ++key)
    input.placement.request_rates[ShardKey(key)] = 0.7;
  std::vector<Move> moves = plan_hot_moves(input);
  EXPECT_LE(moves.size(), max_hot_moves_per_round(60));
  carry_out(input.placement, moves);
  EXPECT_LT(worst_load_ratio(input.placement), 1.0);
  EXPECT_TRUE(covers_all_keys(input.placement.ranges));
}

/// Guards against moves that cost their keys time without need: a busy server
/// with a long queue sheds a few keys, not all, and other servers none.
TEST(FleetPlacement, HotPlacementMovesOnlyTheExcess) {
  HotPlacementInput input = hot_input_of(10);
  input.occupancies[server_incarnation(0)] = {6, 3};
  for (std::uint32_t key = 100; key < 130; ++key)
    input.placement.request_rates[ShardKey(key)] = 0.4;
  for (std::uint32_t key = 7'000; key < 7'030; ++key)
    input.placement.request_rates[ShardKey(key)] = 0.4;
  std::vector<Move> moves = plan_hot_moves(input);
  ASSERT_EQ(moves.size(), 1u);
  EXPECT_GE(moves[0].first.value, 100u);
  EXPECT_LT(moves[0].last.value, 130u);
  EXPECT_LT(moves[0].last.value - moves[0].first.value, 15u);
}

/// Guards against hot placement without an idle server, or without a long
/// queue.
TEST(FleetPlacement, HotPlacementNeedsAnOverloadedAndAnIdleServer) {
  EXPECT_TRUE(needs_hot_placement({{5, 3}, {1, 3}, {2, 3}, {2, 3}}));
  EXPECT_FALSE(needs_hot_placement({{4, 3}, {1, 3}, {2, 3}, {2, 3}}));
  EXPECT_FALSE(needs_hot_placement({{5, 3}, {2, 3}, {2, 3}, {2, 3}}));
  EXPECT_FALSE(needs_hot_placement({}));
}

/// Guards against a number of ranges that grows with each change of the hot
/// keys.
TEST(FleetPlacement, IdleRangesAreJoined) {
  PlacementInput input = input_of(10);
  for (std::uint32_t key = 0; key < 200; ++key) {
    assign(input.ranges,
           {ShardKey(key), ShardKey(key),
            server_incarnation(static_cast<int>(key % 10))},
           Epoch(2));
  }
  for (KeyRange& range : input.ranges) range.previous_owners.clear();
  input.movable.assign(input.ranges.size(), true);
  ASSERT_TRUE(has_many_ranges(input));
  std::vector<Move> joins = plan_joins(input);
  ASSERT_FALSE(joins.empty());
  carry_out(input, joins);
  EXPECT_LT(input.ranges.size(), 15u);
  EXPECT_TRUE(covers_all_keys(input.ranges));
}

RC_GTEST_PROP(FleetPlacementProperty, HotMovesKeepTheKeySpaceComplete, ()) {
  auto count = *rc::gen::inRange(1, 8);
  HotPlacementInput input = hot_input_of(count);
  input.occupancies[server_incarnation(0)] = {9, 3};
  auto keys = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 65'536));
  for (std::uint32_t key : keys)
    input.placement.request_rates[ShardKey(key)] += 3.0;
  std::vector<Move> moves = plan_hot_moves(input);
  RC_ASSERT(moves.size() <=
            max_hot_moves_per_round(input.placement.servers.size()));
  for (const Move& move : moves) {
    RC_ASSERT(move.first <= move.last);
    assign(input.placement.ranges, move, Epoch(2));
  }
  RC_ASSERT(covers_all_keys(input.placement.ranges));
}

RC_GTEST_PROP(FleetPlacementProperty, MovesKeepTheKeySpaceComplete, ()) {
  auto count = *rc::gen::inRange(1, 8);
  PlacementInput input = input_of(count);
  auto keys = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 65'536));
  for (std::uint32_t key : keys) input.request_rates[ShardKey(key)] += 3.0;
  for (const Move& move : plan_moves(input)) {
    assign(input.ranges, move, Epoch(2));
  }
  RC_ASSERT(covers_all_keys(input.ranges));
}

RC_GTEST_PROP(FleetPlacementProperty, ChangesRebuildTheMap, ()) {
  PlacementInput input = input_of(5);
  OwnerMap before;
  before.ranges = input.ranges;
  OwnerMap after = before;
  auto moves = *rc::gen::container<std::vector<std::uint32_t>>(
      6, rc::gen::inRange<std::uint32_t>(0, 65'000));
  for (std::uint32_t first : moves) {
    assign(after.ranges,
           {ShardKey(first), ShardKey(first + 500),
            server_incarnation(static_cast<int>(first % 5))},
           Epoch(first + 2));
  }
  join_neighbours(after.ranges);
  MapChange change = change_between(before, at(1), after, at(2));
  auto rebuilt = apply_change(before, change);
  RC_ASSERT(rebuilt.has_value());
  RC_ASSERT(rebuilt->ranges == after.ranges);
}

}  // namespace
}  // namespace eelgrasspin::fleet
