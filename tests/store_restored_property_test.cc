#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "tests/fleet_world.h"

/// Random restorations of the store beside other faults, on virtual time: no
/// key has two owners, no epoch is given out twice, and all keys are served
/// again. RESTORATION_SEED and RESTORATION_SEEDS set the first seed and how
/// many are used; with RESTORATION_LOG the daemons' log is printed.
namespace eelgrasspin::fleet {
namespace {

constexpr int kDefaultSeeds = 40;
constexpr Duration kSettlingTime = seconds(4);
/// Longer than the longest wait for lost grants, and a takeover.
constexpr Duration kRecoveryTime = seconds(45);

/// Draws faults for a world. Each ends after a while.
class Disturbances {
 public:
  Disturbances(FleetWorld& world, std::uint32_t seed)
      : world_(world), random_(seed) {}

  void run(Duration duration) {
    for (TimePoint end = world_.now() + duration; world_.now() < end;) {
      disturb();
      world_.run_for(random_duration(100, 1500));
    }
  }
  void heal() {
    world_.faults = {};
    world_.cut_links.clear();
    world_.cut_from_store.clear();
    world_.cut_from_servers.clear();
    for (std::size_t i = 0; i < world_.daemons(); ++i) {
      if (!world_.running(i)) world_.start(i);
      world_.thaw(i);
    }
    world_.restore_store();
  }

 private:
  std::uint32_t below(std::uint32_t limit) {
    return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random_);
  }
  Duration random_duration(int min_ms, int max_ms) {
    return milliseconds(
        std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
  }
  std::size_t any_daemon() {
    return below(static_cast<std::uint32_t>(world_.daemons()));
  }
  std::size_t any_server() {
    return below(static_cast<std::uint32_t>(world_.servers().size()));
  }

  void disturb() {
    switch (below(11)) {
      case 0:
      case 1:
        return restore();
      case 2:
        return restart(any_daemon());
      case 3: {
        auto coordinator = world_.coordinator();
        if (coordinator) restart(*coordinator);
        return;
      }
      case 4:
        if (below(3) > 0) return;
        for (std::size_t i = 0; i < world_.daemons(); ++i) restart(i);
        return;
      case 5: {
        std::size_t daemon = any_daemon();
        if (!world_.running(daemon)) return;
        world_.freeze(daemon);
        return world_.after(random_duration(300, 7000),
                            [this, daemon] { world_.thaw(daemon); });
      }
      case 6: {
        std::size_t daemon = any_daemon();
        world_.cut_from_store.insert(daemon);
        return world_.after(random_duration(300, 9000), [this, daemon] {
          world_.cut_from_store.erase(daemon);
        });
      }
      case 7: {
        std::pair link(any_daemon(), any_daemon());
        world_.cut_links.insert(link);
        return world_.after(random_duration(300, 9000),
                            [this, link] { world_.cut_links.erase(link); });
      }
      case 8:
        return world_.drain_server(any_server());
      case 9: {
        std::size_t server = any_server();
        world_.end_server(server, below(2) == 0);
        return world_.after(random_duration(200, 3000),
                            [this, server] { world_.restart_server(server); });
      }
      default:
        world_.faults.write_late = 0.2 * below(2);
        world_.faults.write_unanswered = 0.2 * below(2);
        world_.faults.grant_unanswered = 0.2 * below(2);
        world_.faults.heartbeat_lost = 0.2 * below(2);
    }
  }

  void restart(std::size_t daemon) {
    world_.kill(daemon);
    world_.after(random_duration(50, 1500), [this, daemon] {
      if (!world_.running(daemon)) world_.start(daemon);
    });
  }

  /// Restores a copy that is some seconds old by the time it is back.
  void restore() {
    if (restoring_) return;
    restoring_ = true;
    world_.take_copy();
    world_.after(random_duration(200, 6000), [this] {
      world_.stop_store();
      world_.after(random_duration(0, 800), [this] {
        world_.restore_copy();
        world_.after(random_duration(0, 800), [this] {
          world_.restore_store();
          restoring_ = false;
        });
      });
    });
  }

  FleetWorld& world_;
  std::mt19937 random_;
  bool restoring_ = false;
};

int number_from(const char* variable, int fallback) {
  const char* set = std::getenv(variable);
  return set == nullptr ? fallback : std::atoi(set);
}

void print_log(FleetWorld& world) {
  world.on_log = [&world](std::size_t daemon, const LogEvent& event) {
    std::cout << to_ms(world.now().time_since_epoch()) << " d" << daemon << " "
              << event.name;
    for (const auto& [name, value] : event.fields)
      std::cout << " " << name << "=" << value;
    std::cout << "\n";
  };
}

void check(std::uint32_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  FleetWorld world(4, 5, seed, seed % 2 + 1, seed % 2 + 1);
  world.store_era = StoreEra(seed % 3);
  world.check_epochs = true;
  if (std::getenv("RESTORATION_LOG") != nullptr) print_log(world);
  Disturbances disturbances(world, seed);
  world.run_for(kSettlingTime);
  disturbances.run(seconds(30));
  disturbances.heal();
  world.run_for(seconds(10));
  for (std::size_t server = 0; server < world.servers().size(); ++server)
    world.restart_server(server);
  world.run_for(kRecoveryTime);
  // Keys may be on their way to another server at the moment.
  bool held = world.all_held();
  for (int tries = 0; tries < 30 && !held; ++tries) {
    world.run_for(milliseconds(100));
    held = world.all_held();
  }
  EXPECT_TRUE(held);
  EXPECT_TRUE(world.violations.empty())
      << world.violations.size() << ", " << world.violations.front();
}

TEST(StoreRestoredProperty, KeysHaveOneOwnerAndAreServedAgain) {
  int first = number_from("RESTORATION_SEED", 1);
  int count = number_from("RESTORATION_SEEDS", kDefaultSeeds);
  for (int i = first; i < first + count; ++i)
    check(static_cast<std::uint32_t>(i));
}

// Seeds that have found a fault.
TEST(StoreRestoredProperty, TracedSeeds) {
  for (std::uint32_t seed : {24u, 385u, 899u, 3087u, 3879u, 4880u, 8305u})
    check(seed);
}

}  // namespace
}  // namespace eelgrasspin::fleet
