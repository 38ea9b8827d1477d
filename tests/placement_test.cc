#include "core/ownership/placement.h"

#include <gtest/gtest.h>

#include "core/ownership/sketch.h"

namespace eelgrasspin::core::ownership {
namespace {

LoadSummary even_load(int servers, int slots_each, double slot_rate) {
  LoadSummary summary;
  std::uint32_t slot = 0;
  for (int i = 0; i < servers; ++i) {
    ServerLoad server{.server = ServerName("s" + std::to_string(i))};
    for (int j = 0; j < slots_each; ++j) {
      server.movable.push_back({{SlotId(slot++), Key()}, slot_rate});
      server.rate += slot_rate;
    }
    summary.servers.push_back(server);
  }
  return summary;
}

TEST(PlacementTest, EvenLoadMovesNothing) {
  EXPECT_TRUE(plan(even_load(15, 68, 0.6), {}, 64).empty());
}

TEST(PlacementTest, NoiseOfASmallRateMovesNothing) {
  LoadSummary summary = even_load(4, 16, 0.02);
  summary.servers[0].rate *= 2;
  EXPECT_TRUE(plan(summary, {}, 64).empty());
}

TEST(PlacementTest, HotKeyIsCarvedOutRatherThanItsSlotMoved) {
  LoadSummary summary = even_load(4, 256, 0.5);
  summary.servers[0].rate += 160;
  summary.servers[0].movable.push_back({{SlotId(3), Key("a")}, 80});
  summary.servers[0].movable.push_back({{SlotId(9), Key("b")}, 80});
  double before = imbalance(summary);
  std::vector<PlannedMove> moves = plan(summary, {}, 64);
  ASSERT_FALSE(moves.empty());
  EXPECT_FALSE(moves.front().unit.key.empty());
  EXPECT_EQ(moves.front().from, ServerName("s0"));
  EXPECT_LE(moves.size(), 64U);
  EXPECT_GT(before, 0.05);
}

TEST(PlacementTest, BudgetBoundsTheMoves) {
  LoadSummary summary = even_load(4, 256, 0.5);
  summary.servers.push_back({.server = ServerName("new")});
  EXPECT_EQ(plan(summary, {}, 5).size(), 5U);
  EXPECT_TRUE(plan(summary, {}, 0).empty());
}

TEST(SketchTest, KeepsTheBusiestKeysInBoundedMemory) {
  Sketch sketch{.capacity = 16};
  for (int i = 0; i < 2000; ++i) {
    add_occurrence(sketch, Key("hot"));
    add_occurrence(sketch, Key("cold-" + std::to_string(i)));
  }
  EXPECT_EQ(sketch.entries.size(), 16U);
  std::vector<CountedKey> best = top_keys(sketch, 1);
  ASSERT_EQ(best.size(), 1U);
  EXPECT_EQ(best[0].key, Key("hot"));
  EXPECT_GE(best[0].count, 2000);
  decay(sketch, 0.5);
  EXPECT_EQ(top_keys(sketch, 1)[0].count, best[0].count / 2);
}

}  // namespace
}  // namespace eelgrasspin::core::ownership
