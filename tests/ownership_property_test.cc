#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "tests/ownership_world.h"

namespace eelgrasspin::core::ownership {
namespace {

enum class Fault {
  kNone,
  kCrashServer,
  kRestartServer,
  kFreezeServer,
  kThawServer,
  kKillDaemon,
  kStartDaemon,
  kPauseDaemon,
  kResumeDaemon,
  kStoreDown,
  kStoreUp,
  kLoseAnswers,
  kIsolate,
  kHeal,
  kLossyMessages,
  kMoveSlot,
  kMoveKey,
  kMoveZone,
  kCount,
};

struct Step {
  Fault fault = Fault::kNone;
  int target = 0;
  int wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << static_cast<int>(step.fault) << "/" << step.target << "/"
             << step.wait_ms;
}

rc::Gen<Step> step_generator() {
  return rc::gen::map(
      rc::gen::tuple(
          rc::gen::inRange(0, static_cast<int>(Fault::kCount)),
          rc::gen::inRange(0, 48),
          rc::gen::weightedOneOf<int>({{2, rc::gen::inRange(1, 100)},
                                       {2, rc::gen::inRange(100, 1500)},
                                       {1, rc::gen::inRange(1500, 6000)}})),
      [](const std::tuple<int, int, int>& drawn) {
        return Step{static_cast<Fault>(std::get<0>(drawn)), std::get<1>(drawn),
                    std::get<2>(drawn)};
      });
}

void order_move(World& world, const MoveCommand& move) {
  DaemonName coordinator = coordinator_of(world, kGongoni);
  if (world.daemons.at(coordinator).alive &&
      !world.daemons.at(coordinator).paused)
    order(world, move);
}

void inject(World& world, const Step& step) {
  ServerName server = server_name(1 + step.target % 4);
  auto daemon_at = std::next(world.daemons.begin(), step.target % 4);
  const DaemonName daemon = daemon_at->first;
  const bool alive = daemon_at->second.alive;
  SlotId slot(static_cast<std::uint32_t>(step.target) % kSlots);
  switch (step.fault) {
    case Fault::kCrashServer:
      return scenario::crash_server(world, server);
    case Fault::kRestartServer:
      return scenario::restart_server(world, server);
    case Fault::kFreezeServer:
      if (world.servers.at(server).alive)
        scenario::freeze_server(world, server);
      return;
    case Fault::kThawServer:
      return scenario::thaw_server(world, server);
    case Fault::kKillDaemon:
      return scenario::kill_daemon(world, daemon);
    case Fault::kStartDaemon:
      if (!alive) scenario::start_daemon(world, daemon);
      return;
    case Fault::kPauseDaemon:
      return scenario::pause_daemon(world, daemon);
    case Fault::kResumeDaemon:
      return scenario::resume_daemon(world, daemon);
    case Fault::kStoreDown:
      return scenario::store_down(world);
    case Fault::kStoreUp:
      return scenario::store_up(world);
    case Fault::kLoseAnswers:
      world.store.answers_to_lose = 2;
      return;
    case Fault::kIsolate:
      return scenario::isolate_zone(
          world, step.target % 2 == 0 ? kGongoni : kMarereni);
    case Fault::kHeal:
      return scenario::heal_network(world);
    case Fault::kLossyMessages:
      world.message_faults = {.loss = 0.1 * (step.target % 4),
                              .duplicate = 0.1,
                              .extra_delay = milliseconds(step.target)};
      return;
    case Fault::kMoveSlot:
      return order_move(world,
                        {.service = kService, .slot = slot, .server = server});
    case Fault::kMoveKey:
      return order_move(world, {.service = kService,
                                .key = keys_by_slot().at(slot.value),
                                .server = server});
    case Fault::kMoveZone:
      return order_move(world,
                        {.service = kService, .slot = slot, .zone = kMarereni});
    case Fault::kNone:
    case Fault::kCount:
      return;
  }
}

void repair(World& world) {
  scenario::store_up(world);
  scenario::heal_network(world);
  world.message_faults = {};
  for (auto& [name, daemon] : world.daemons) {
    scenario::resume_daemon(world, name);
    if (!daemon.alive) scenario::start_daemon(world, name);
  }
  for (auto& [name, server] : world.servers) {
    scenario::thaw_server(world, name);
    if (!server.alive) scenario::restart_server(world, name);
  }
}

World run_steps(const WorldOptions& options, const std::vector<Step>& steps) {
  World world = start_world(options);
  for (const Step& step : steps) {
    inject(world, step);
    scenario::run_for(world, milliseconds(step.wait_ms));
  }
  return world;
}

RC_GTEST_PROP(OwnershipProperty, SoleOwnerUnderDrawnFaults, ()) {
  auto steps = *rc::gen::container<std::vector<Step>>(step_generator());
  World world = run_steps({}, steps);
  repair(world);
  scenario::run_for(world, seconds(25));
  for (const std::string& violation : world.violations) RC_LOG() << violation;
  RC_ASSERT(world.violations.empty());
  RC_ASSERT(longest_outage(world, world.now - seconds(2)) < milliseconds(300));
}

/// Steps that repeatedly provoke the failures that the guards prevent.
std::vector<Step> hostile_steps(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Step> steps;
  for (int i = 0; i < 12; ++i) {
    int slot = static_cast<int>(random() % 48);
    steps.push_back({Fault::kMoveSlot, slot, 10});
    steps.push_back({Fault::kFreezeServer, static_cast<int>(random() % 3), 0});
    steps.push_back(
        {Fault::kPauseDaemon, static_cast<int>(random() % 3), 4000});
    steps.push_back({Fault::kThawServer, 0, 1});
    steps.push_back({Fault::kThawServer, 1, 1});
    steps.push_back({Fault::kThawServer, 2, 1});
    for (int daemon = 0; daemon < 3; ++daemon)
      steps.push_back({Fault::kResumeDaemon, daemon, 700});
  }
  return steps;
}

std::size_t violations_with(const Guards& guards, bool servers_fence) {
  std::size_t found = 0;
  for (std::uint64_t seed = 1; seed <= 40 && found == 0; ++seed) {
    World world = start_world({.guards = guards, .seed = seed});
    world.servers_fence = servers_fence;
    for (const Step& step : hostile_steps(seed)) {
      inject(world, step);
      scenario::run_for(world, milliseconds(step.wait_ms));
    }
    found = world.violations.size();
  }
  return found;
}

TEST(OwnershipGuards, HostileStepsAloneBreakNothing) {
  EXPECT_EQ(violations_with({}, true), 0U);
}

TEST(OwnershipGuards, WithoutTheRevocationWaitTwoServersRunAKey) {
  EXPECT_GT(violations_with({.revocation_wait = false}, true), 0U);
}

TEST(OwnershipGuards, WithoutTheLeaseWaitTwoServersRunAKey) {
  EXPECT_GT(violations_with({.lease_wait = false}, true), 0U);
}

/// A front that is not notified of its replacement sends a request for a key
/// that has moved.
std::size_t violations_of_replaced_front(bool fence) {
  World world = start_world(
      {.guards = {.fence = fence}, .execution_limit = milliseconds(100)});
  world.servers_fence = fence;
  DaemonName coordinator = coordinator_of(world, kGongoni);
  int number = 1;
  while (front_of(world, server_name(number)) == coordinator) ++number;
  DaemonName replaced = front_of(world, server_name(number));
  SlotId slot = slot_owned_by(world, server_name(number));
  world.message_faults.loss = 1;
  scenario::pause_daemon(world, replaced);
  scenario::run_for(world, milliseconds(2000));
  order(world, {.service = kService,
                .key = keys_by_slot().at(slot.value),
                .server = server_name(1 + number % 3)});
  scenario::run_for(world, milliseconds(400));
  scenario::resume_daemon(world, replaced);
  scenario::run_for(world, seconds(1));
  return world.violations.size();
}

TEST(OwnershipGuards, FencedServerRefusesADeposedFront) {
  EXPECT_EQ(violations_of_replaced_front(true), 0U);
}

TEST(OwnershipGuards, WithoutFencesTwoServersRunAKey) {
  EXPECT_GT(violations_of_replaced_front(false), 0U);
}

}  // namespace
}  // namespace eelgrasspin::core::ownership
