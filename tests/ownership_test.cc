#include "core/ownership/ownership.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "core/membership/membership.h"
#include "core/ownership/maps.h"
#include "scenario/checks.h"
#include "scenario/world.h"
#include "scenario/world_p.h"

namespace eelgrasspin::core::ownership {
namespace {

using scenario::World;

const ServiceName kService("panboard");
const ZoneName kGongoni("gongoni");
const ZoneName kMarereni("marereni");
const OperatorName kOperator("clerk");
constexpr std::uint32_t kSlots = 16;

ServerName server_name(int number) {
  return ServerName("panboard-" + std::to_string(number));
}

struct Shape {
  int gongoni_servers = 3;
  int marereni_servers = 1;
  bool checks_grants = true;
  Guards guards;
  std::uint64_t seed = 1;
};

Declarations declare(const Shape& shape) {
  Declarations d;
  d.deployment = "test";
  for (const ZoneName& zone : {kGongoni, kMarereni})
    d.zones[zone] = {zone, RegionName("kilifi")};
  d.services[kService] = {.name = kService, .key_slots = kSlots};
  d.services[kService].operations = {
      {"reading", "PUT", "/pans/{key}", ExecutionClass::kIdempotent}};
  for (int i = 1; i <= shape.gongoni_servers + shape.marereni_servers; ++i) {
    ServerName name = server_name(i);
    d.servers[name] = {
        .name = name,
        .service = kService,
        .zone = i <= shape.gongoni_servers ? kGongoni : kMarereni,
        .address = Endpoint(name.str()),
        .concurrency = 64,
        .checks_grants = shape.checks_grants};
  }
  return d;
}

/// One key for each slot.
std::vector<Key> keys_by_slot() {
  std::vector<Key> keys(kSlots);
  std::size_t found = 0;
  for (int i = 0; found < kSlots; ++i) {
    Key key("pan-" + std::to_string(i));
    Key& place = keys[slot_of(key, kSlots).value];
    if (!place.empty()) continue;
    place = key;
    ++found;
  }
  return keys;
}

/// Sends one request for each key through every front that is allowed to.
struct Prober {
  std::vector<Key> keys = keys_by_slot();
  std::uint64_t next_attempt = 1'000'000;
};

void probe_key(World& world, Prober& prober, const DaemonName& name,
               const ServerName& server, const Key& key) {
  scenario::Daemon& daemon = world.daemons.at(name);
  SlotId slot = slot_of(key, kSlots);
  SendCheck check = check_send(daemon.state, server, slot, key,
                               scenario::now_of(world, daemon));
  if (check.permission != SendPermission::kSend) return;
  scenario::Serial serial = world.next_serial++;
  world.requests[serial] = {.serial = serial,
                            .head = {.service = kService},
                            .entry = name,
                            .sent = world.now,
                            .execution_class = ExecutionClass::kIdempotent};
  SendToServer send{.request = RequestId(serial),
                    .attempt = AttemptId(prober.next_attempt++),
                    .server = server,
                    .slot = slot,
                    .key = key,
                    .epoch = check.epoch,
                    .front_epoch = check.front_epoch,
                    .time_left = seconds(1),
                    .repeatable = true};
  scenario::server_run(world, name, send, serial);
}

void probe(World& world, const std::shared_ptr<Prober>& prober) {
  for (auto& [name, daemon] : world.daemons) {
    if (!daemon.alive || daemon.paused) continue;
    for (const ServerName& server : fronted_servers(daemon.state)) {
      for (const Key& key : prober->keys)
        probe_key(world, *prober, name, server, key);
    }
  }
  scenario::schedule(world, milliseconds(20),
                     [prober](World& w) { probe(w, prober); });
}

World start_world(const Shape& shape) {
  World world = scenario::make_world(declare(shape), shape.seed);
  scenario::put_declarations(world, world.declarations);
  for (const char* name : {"gongoni-1", "gongoni-2", "gongoni-3"})
    scenario::add_daemon(world, DaemonName(name), kGongoni, shape.guards);
  scenario::add_daemon(world, DaemonName("marereni-1"), kMarereni,
                       shape.guards);
  std::vector<DaemonName> names;
  for (const auto& [name, daemon] : world.daemons) names.push_back(name);
  for (const DaemonName& name : names) scenario::start_daemon(world, name);
  scenario::run_for(world, seconds(12));
  probe(world, std::make_shared<Prober>());
  scenario::run_for(world, seconds(1));
  return world;
}

const OwnershipMap& stored_map(const World& world, const ZoneName& zone) {
  return std::get<OwnershipMap>(
      world.store.entries.at(ownership_map_key(kService, zone)).record);
}

std::size_t owned_by(const World& world, const ZoneName& zone,
                     const ServerName& server) {
  std::size_t count = 0;
  for (const auto& [slot, record] : stored_map(world, zone).slots) {
    if (record.owner == server && record.phase == SlotPhase::kOwned) ++count;
  }
  return count;
}

/// Longest time without a whole execution of any key, from `from` until now.
Duration longest_outage(const World& world, Duration from) {
  std::map<Key, Duration> last;
  for (const Key& key : keys_by_slot()) last[key] = from;
  Duration longest{0};
  for (const scenario::Execution& execution : world.executions) {
    if (!execution.ended || execution.aborted || execution.end < from) continue;
    longest = std::max(longest, execution.end - last[execution.key]);
    last[execution.key] = execution.end;
  }
  for (const auto& [key, at] : last)
    longest = std::max(longest, world.now - at);
  return longest;
}

DaemonName front_of(const World& world, const ServerName& server) {
  const auto& declared = world.declarations.servers.at(server);
  const auto& roster = std::get<ZoneRoster>(
      world.store.entries.at(roster_key(declared.zone)).record);
  return roster.fronts.at(server).daemon;
}

DaemonName coordinator_of(const World& world, const ZoneName& zone) {
  return std::get<CoordinatorLease>(
             world.store.entries.at(coordinator_lease_key(zone)).record)
      .holder;
}

void order_move_by(World& world, const MoveCommand& move) {
  scenario::Daemon& daemon = world.daemons.at(coordinator_of(world, kGongoni));
  Effects effects;
  auto result =
      order_move(daemon.state, move, scenario::now_of(world, daemon), effects);
  ASSERT_TRUE(ok(result)) << error(result).message;
}

SlotId slot_owned_by(const World& world, const ServerName& server) {
  for (const auto& [slot, record] : stored_map(world, kGongoni).slots) {
    if (record.owner == server) return slot;
  }
  return SlotId(kSlots);
}

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
  order_move_by(world,
                {.service = kService, .slot = slot, .server = server_name(2)});
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
    order_move_by(
        world, {.service = kService, .slot = slot, .server = server_name(2)});
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

}  // namespace
}  // namespace eelgrasspin::core::ownership
