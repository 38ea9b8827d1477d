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
  /// Restores the copy that was taken last, and kills some or all daemons
  /// meanwhile. Some servers register again only after the store is back.
  void restore_first_copy() {
    world_.after(random_duration(500, 6000), [this] {
      world_.stop_store();
      bool all = below(2) == 0;
      for (std::size_t i = 0; i < world_.daemons(); ++i) {
        if (all || below(3) == 0) restart(i);
      }
      world_.after(random_duration(0, 800), [this] {
        world_.restore_copy();
        for (FakeServer& server : world_.servers()) {
          if (below(4) == 0) server.listed = false;
        }
        world_.after(random_duration(0, 800), [this] { return_store(); });
      });
    });
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
    world_.write_configuration_again();
    for (FakeServer& server : world_.servers()) server.listed = true;
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

  void return_store() {
    world_.restore_store();
    world_.after(random_duration(0, 2000),
                 [this] { world_.write_configuration_again(); });
    for (std::size_t i = 0; i < world_.servers().size(); ++i) {
      if (world_.servers()[i].listed) continue;
      world_.after(random_duration(50, 1700), [this, i] {
        world_.servers()[i].listed = true;
        if (world_.servers()[i].up) world_.list_server(i);
      });
    }
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

void prepare(FleetWorld& world, std::uint32_t seed) {
  world.store_era = StoreEra(seed % 3);
  world.check_epochs = true;
  if (std::getenv("RESTORATION_LOG") != nullptr) print_log(world);
}

void heal_and_check(FleetWorld& world, Disturbances& disturbances) {
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

void check(std::uint32_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  FleetWorld world(4, 5, seed, seed % 2 + 1, seed % 2 + 1);
  prepare(world, seed);
  Disturbances disturbances(world, seed);
  world.run_for(kSettlingTime);
  disturbances.run(seconds(30));
  heal_and_check(world, disturbances);
}

/// The store's copy is older than the first owner map; in every other world
/// also older than the service.
void check_with_early_copy(std::uint32_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  FleetWorld world(4, 5, seed, seed % 2 + 1, seed % 2 + 1);
  prepare(world, seed);
  bool service_is_older = seed / 2 % 2 == 0;
  if (!service_is_older) world.declare_board(false);
  world.run_for(milliseconds(seed % 7 * 100));
  world.take_copy();
  if (!service_is_older) {
    world.run_for(milliseconds(500));
    world.declare_board(true);
  }
  Disturbances disturbances(world, seed);
  disturbances.restore_first_copy();
  disturbances.run(seconds(20));
  heal_and_check(world, disturbances);
}

void check_seeds(void (*check_seed)(std::uint32_t)) {
  int first = number_from("RESTORATION_SEED", 1);
  int count = number_from("RESTORATION_SEEDS", kDefaultSeeds);
  for (int i = first; i < first + count; ++i)
    check_seed(static_cast<std::uint32_t>(i));
}

TEST(StoreRestoredProperty, KeysHaveOneOwnerAndAreServedAgain) {
  check_seeds(check);
}

// Guards against records that are missing from the copy and taken for records
// that never were.
TEST(StoreRestoredProperty, CopiesAreOlderThanTheFirstMap) {
  check_seeds(check_with_early_copy);
}

// Guards against a recall by a coordinator whose list of servers is out of
// date, because it cannot reach the store any more.
TEST(StoreRestoredProperty, TracedSeedsOfEarlyCopies) {
  check_with_early_copy(353);
}

// Guards against epochs of a first map that an earlier era has given out.
TEST(StoreRestoredProperty, TracedSeedsOfSeveralEras) {
  check_with_early_copy(20515);
}

// Seeds that have found a fault.
TEST(StoreRestoredProperty, TracedSeeds) {
  for (std::uint32_t seed : {24u, 385u, 899u, 3087u, 3879u, 4880u, 8305u})
    check(seed);
}

}  // namespace
}  // namespace eelgrasspin::fleet
