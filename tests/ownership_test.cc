#include "core/ownership/ownership.h"

#include <gtest/gtest.h>

#include "tests/ownership_world.h"

namespace eelgrasspin::core::ownership {
namespace {

TEST(OwnershipTest, EverySlotIsOwnedAndServedAfterTheStart) {
  World world = start_world({});
  Duration from = world.now;
  scenario::run_for(world, seconds(5));
  EXPECT_EQ(stored_map(world, kGongoni).slots.size(), 12U);
  EXPECT_EQ(stored_map(world, kMarereni).slots.size(), 4U);
  for (int i = 1; i <= 3; ++i)
    EXPECT_EQ(owned_by(world, kGongoni, server_name(i)), 4U);
  EXPECT_LT(longest_outage(world, from), milliseconds(100));
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, MoveIsServedAgainAtOnce) {
  World world = start_world({});
  SlotId slot = slot_owned_by(world, server_name(1));
  Duration from = world.now;
  EXPECT_EQ(
      order(world,
            {.service = kService, .slot = slot, .server = server_name(2)}),
      "");
  scenario::run_for(world, seconds(3));
  EXPECT_EQ(stored_map(world, kGongoni).slots.at(slot).owner, server_name(2));
  EXPECT_LT(longest_outage(world, from), milliseconds(700));
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, LostServersSlotsAreServedWithinFiveSeconds) {
  World world = start_world({});
  Duration from = world.now;
  OwnershipMap before = stored_map(world, kGongoni);
  scenario::crash_server(world, server_name(1));
  scenario::run_for(world, seconds(8));
  EXPECT_LT(longest_outage(world, from), seconds(5));
  for (const auto& [slot, record] : stored_map(world, kGongoni).slots) {
    if (before.slots.at(slot).owner == server_name(1)) continue;
    EXPECT_EQ(record, before.slots.at(slot)) << slot;
  }
  EXPECT_EQ(owned_by(world, kGongoni, server_name(1)), 0U);
  scenario::restart_server(world, server_name(1));
  scenario::run_for(world, seconds(4));
  EXPECT_EQ(front_of(world, server_name(1)).empty(), false);
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, FrozenServerThatThawsRunsNothing) {
  World world = start_world({});
  scenario::freeze_server(world, server_name(1));
  Duration from = world.now;
  scenario::run_for(world, seconds(8));
  EXPECT_LT(longest_outage(world, from), seconds(5));
  scenario::thaw_server(world, server_name(1));
  scenario::run_for(world, seconds(5));
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, DrainedServerGetsNoNewWorkAfterTwoSeconds) {
  World world = start_world({});
  Duration from = world.now;
  scenario::Daemon& daemon = world.daemons.at(coordinator_of(world, kGongoni));
  DrainPlan plan{.id = "d1", .server = server_name(1), .write_id = 77};
  StorePut put{next_store_op(daemon.state), drain_key(server_name(1)),
               Version(0), plan};
  scenario::store_put(world, coordinator_of(world, kGongoni), put);
  scenario::run_for(world, seconds(2));
  Duration stop = world.now;
  scenario::run_for(world, seconds(4));
  for (const auto& execution : world.executions) {
    if (execution.server != server_name(1)) continue;
    EXPECT_LT(execution.start, stop);
  }
  EXPECT_LT(longest_outage(world, from), seconds(1));
  const auto& roster =
      std::get<ZoneRoster>(world.store.entries.at(roster_key(kGongoni)).record);
  EXPECT_EQ(roster.statuses.at(server_name(1)), ServerStatus::kDrained);
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, MoveGoesOnAfterTheCoordinatorIsLost) {
  for (int delay_ms : {0, 15, 40, 120, 300, 600}) {
    World world = start_world({.seed = static_cast<std::uint64_t>(delay_ms)});
    SlotId slot = slot_owned_by(world, server_name(1));
    EXPECT_EQ(
        order(world,
              {.service = kService, .slot = slot, .server = server_name(2)}),
        "");
    scenario::run_for(world, milliseconds(delay_ms));
    scenario::kill_daemon(world, coordinator_of(world, kGongoni));
    scenario::run_for(world, seconds(14));
    const SlotRecord& record = stored_map(world, kGongoni).slots.at(slot);
    EXPECT_EQ(record.phase, SlotPhase::kOwned) << delay_ms;
    EXPECT_LT(longest_outage(world, world.now - seconds(3)), milliseconds(200))
        << delay_ms;
    EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
  }
}

TEST(OwnershipTest, FrontIsReplacedWithoutLosingItsServer) {
  World world = start_world({});
  Duration from = world.now;
  scenario::kill_daemon(world, front_of(world, server_name(1)));
  scenario::run_for(world, seconds(10));
  EXPECT_LT(longest_outage(world, from), seconds(5));
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, PausedFrontThatComesBackSendsNothing) {
  World world = start_world({});
  DaemonName front = front_of(world, server_name(1));
  scenario::pause_daemon(world, front);
  scenario::freeze_server(world, server_name(1));
  scenario::run_for(world, seconds(15));
  EXPECT_NE(front_of(world, server_name(1)), front);
  scenario::thaw_server(world, server_name(1));
  scenario::resume_daemon(world, front);
  scenario::run_for(world, seconds(10));
  EXPECT_LT(longest_outage(world, world.now - seconds(2)), milliseconds(200));
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, ServerThatChecksNothingIsMovedOnItsFrontsWord) {
  World world = start_world({.checks_grants = false});
  SlotId slot = slot_owned_by(world, server_name(1));
  Duration from = world.now;
  EXPECT_EQ(
      order(world,
            {.service = kService, .slot = slot, .server = server_name(2)}),
      "");
  scenario::run_for(world, seconds(4));
  EXPECT_EQ(stored_map(world, kGongoni).slots.at(slot).owner, server_name(2));
  EXPECT_LT(longest_outage(world, from), milliseconds(1500));
  scenario::freeze_server(world, server_name(3));
  scenario::run_for(world, seconds(20));
  EXPECT_EQ(owned_by(world, kGongoni, server_name(3)), 4U)
      << "it may run a buffered request when it thaws";
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, SlotGoesToAnotherZone) {
  for (int delay_ms : {0, 10, 30, 60, 120, 10'000}) {
    World world = start_world({.seed = static_cast<std::uint64_t>(delay_ms)});
    SlotId slot = slot_owned_by(world, server_name(2));
    Epoch before = stored_map(world, kGongoni).slots.at(slot).epoch;
    EXPECT_EQ(
        order(world, {.service = kService, .slot = slot, .zone = kMarereni}),
        "");
    scenario::run_for(world, milliseconds(delay_ms));
    scenario::kill_daemon(world, coordinator_of(world, kGongoni));
    scenario::run_for(world, seconds(14));
    if (!stored_map(world, kGongoni).slots.contains(slot)) {
      const SlotRecord& record = stored_map(world, kMarereni).slots.at(slot);
      EXPECT_EQ(record.phase, SlotPhase::kOwned) << delay_ms;
      EXPECT_GT(record.epoch, before) << delay_ms;
    } else {
      EXPECT_LT(delay_ms, 60) << "an order that was not written yet is lost";
    }
    EXPECT_LT(longest_outage(world, world.now - seconds(3)), milliseconds(200))
        << delay_ms;
    EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
  }
}

TEST(OwnershipTest, KeyIsCarvedOutMovedAndMergedBack) {
  World world = start_world({});
  SlotId slot = slot_owned_by(world, server_name(1));
  Key key = keys_by_slot().at(slot.value);
  Duration from = world.now;
  EXPECT_EQ(
      order(world, {.service = kService, .key = key, .server = server_name(2)}),
      "");
  scenario::run_for(world, seconds(3));
  const OwnershipMap& carved = stored_map(world, kGongoni);
  EXPECT_EQ(carved.overrides.at(key).owner, server_name(2));
  EXPECT_EQ(carved.slots.at(slot).owner, server_name(1));
  EXPECT_EQ(
      order(world, {.service = kService, .key = key, .server = server_name(1)}),
      "");
  scenario::run_for(world, seconds(3));
  EXPECT_TRUE(stored_map(world, kGongoni).overrides.empty());
  EXPECT_LT(longest_outage(world, from), milliseconds(400));
  EXPECT_TRUE(world.violations.empty()) << *world.violations.begin();
}

TEST(OwnershipTest, HistoryTellsWhoHeldASlotWhen) {
  World world = start_world({});
  SlotId slot = slot_owned_by(world, server_name(1));
  EXPECT_EQ(
      order(world,
            {.service = kService, .slot = slot, .server = server_name(2)}),
      "");
  scenario::run_for(world, seconds(3));
  scenario::kill_daemon(world, coordinator_of(world, kGongoni));
  scenario::run_for(world, seconds(14));
  const auto& stored = std::get<OwnershipHistory>(
      world.store.entries.at(ownership_history_key(kService, kGongoni)).record);
  std::vector<ServerName> holders;
  for (const OwnershipSpan& span : stored.spans) {
    if (slot < span.first_slot || span.last_slot < slot) continue;
    holders.push_back(span.server);
    EXPECT_EQ(span.until.has_value(), holders.size() == 1);
  }
  EXPECT_EQ(holders, (std::vector{server_name(1), server_name(2)}));
}

TEST(OwnershipTest, OrdersOnUnknownThingsAreRefusedWithTheirPlace) {
  World world = start_world({});
  EXPECT_EQ(order(world, {.service = ServiceName("x"), .slot = SlotId(1)}),
            "no service 'x' is declared");
  EXPECT_EQ(order(world, {.service = kService, .slot = SlotId(16)}),
            "slot 16 is not below 16");
  EXPECT_EQ(order(world, {.service = kService,
                          .slot = SlotId(0),
                          .server = ServerName("y")}),
            "no server 'y' is declared");
  EXPECT_EQ(
      order(world,
            {.service = kService, .slot = SlotId(0), .zone = ZoneName("z")}),
      "no zone 'z' is declared");
}

}  // namespace
}  // namespace eelgrasspin::core::ownership
