#include "scenario/matrix.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "config/settings.h"

namespace eelgrasspin::scenario {
namespace {

Declarations read_demo_declarations() {
  std::string path = std::string(std::getenv("EELGRASSPIN_SOURCE")) +
                     "/examples/magarini/demo.ini";
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return std::get<Declarations>(config::read_declarations(text.str(), path));
}

/// A front whose clock jumps while its server is frozen must not treat the
/// server's grant as expired: the server may resume within the grant's term,
/// beside a second owner.
TEST(MatrixTest, ClockJumpBesideAFrozenServerGivesNoSecondOwner) {
  Declarations declarations = read_demo_declarations();
  for (const auto& [frozen, server] : declarations.servers) {
    World world = start_deployment(declarations, 1);
    start_probing(world);
    run_for(world, seconds(1));
    const StoreEntry& entry = world.store.entries.at(roster_key(server.zone));
    DaemonName front =
        std::get<ZoneRoster>(entry.record).fronts.at(frozen).daemon;
    freeze_server(world, frozen);
    world.daemons.at(front).clock_offset += seconds(10);
    run_for(world, milliseconds(1100));
    thaw_server(world, frozen);
    run_for(world, seconds(10));
    EXPECT_THAT(check_run(world), ::testing::IsEmpty()) << frozen.str();
  }
}

TEST(MatrixTest, RequestCancelledAtAPausedDaemonEndsOnce) {
  CellResult result =
      run_cell(read_demo_declarations(), {.operation = Operation::kDrain,
                                          .fault = Fault::kPauseCoordinator,
                                          .offset = milliseconds(60)});
  EXPECT_THAT(result.violations, ::testing::IsEmpty());
  EXPECT_TRUE(result.recovered);
}

}  // namespace
}  // namespace eelgrasspin::scenario
