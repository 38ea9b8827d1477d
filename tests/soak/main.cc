#include <signal.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>

#include "tests/soak/callers.h"
#include "tests/soak/faults.h"
#include "tests/soak/fleet.h"
#include "tests/soak/misbehavior.h"
#include "tests/soak/restorations.h"

/// Runs the real program on loopback under randomized faults.
namespace eelgrasspin::soak {
namespace {

namespace options = boost::program_options;

/// All daemons serve within this time of the start and of the last fault.
constexpr Duration kRecoveryLimit = seconds(15);
/// If one iteration of the event loop takes longer than this, the machine is
/// too busy for time bounds.
constexpr Duration kMaxLoopLag = milliseconds(250);
constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;

struct Plan {
  std::string program;
  std::string folder;
  std::uint32_t seed = 1;
  std::size_t seeds = 1;
  std::size_t daemons = 4;
  unsigned seconds_of_faults = 20;
  bool restorations = false;
};

void run_for(Fleet& fleet, Duration duration) {
  TimePoint end = io::steady_now() + duration;
  while (io::steady_now() < end) {
    TimePoint before = io::steady_now();
    fleet.io().run_for(std::chrono::milliseconds(10));
    fleet.io().restart();
    if (io::steady_now() - before > kMaxLoopLag) fleet.note_machine_busy();
    for (Daemon& daemon : fleet.daemons()) (void)fleet.running(daemon);
  }
}

/// Runs the event loop until every daemon has answered several requests. False
/// if that takes longer than `limit`.
bool wait_until_all_serve(Fleet& fleet, Callers& callers, Duration limit) {
  std::vector<bool> served(fleet.daemons().size());
  for (TimePoint end = io::steady_now() + limit; io::steady_now() < end;) {
    run_for(fleet, milliseconds(200));
    bool all = true;
    for (std::size_t i = 0; i < served.size(); ++i) {
      served[i] =
          served[i] || callers.take_served_count(fleet.daemons()[i]) > 5;
      all = all && served[i];
    }
    if (all) return true;
  }
  return false;
}

bool run_seed(const Plan& plan, std::uint32_t seed) {
  std::string folder = plan.folder + "/seed-" + std::to_string(seed);
  std::filesystem::create_directories(folder);
  boost::asio::io_context io;
  Fleet fleet(io, plan.daemons, plan.program, folder);
  Callers callers(fleet, seed);
  GuaranteeChecker& guarantees = fleet.guarantees();
  if (!wait_until_all_serve(fleet, callers, kRecoveryLimit)) {
    guarantees.not_recovered("the start");
  }
  FaultInjector faults(fleet, seed);
  ServerMisbehavior misbehavior(fleet, seed);
  std::optional<StoreRestorations> restorations;
  if (plan.restorations) restorations.emplace(fleet, seed);
  run_for(fleet, seconds(plan.seconds_of_faults));
  faults.stop();
  misbehavior.stop();
  if (restorations) restorations->stop();
  // Processes that were ordered to stop exit in this time.
  run_for(fleet, seconds(7));
  while (restorations && restorations->in_progress())
    run_for(fleet, milliseconds(200));
  faults.heal();
  misbehavior.heal();
  for (Daemon& daemon : fleet.daemons())
    (void)callers.take_served_count(daemon);
  if (!wait_until_all_serve(fleet, callers, kRecoveryLimit))
    guarantees.not_recovered("the end");
  if (plan.restorations) {
    // A change after the last restoration is in force in time.
    fleet.publish();
    run_for(fleet, kUndisturbedPeriod + seconds(5));
  }
  callers.stop();
  run_for(fleet, seconds(3));
  guarantees.finish();
  bool kept = guarantees.violations().empty();
  std::cout << "seed " << seed << ": " << (kept ? "kept" : "BROKEN")
            << ", requests=" << guarantees.requests()
            << " served=" << guarantees.served() << " faults="
            << faults.history().size() + misbehavior.history().size()
            << std::endl;
  for (const std::string& violation : guarantees.violations()) {
    std::cout << "  " << violation << "\n";
  }
  if (kept) {
    std::filesystem::remove_all(folder);
  } else {
    std::vector<std::string> none;
    for (const auto* history :
         {&faults.history(), &misbehavior.history(),
          restorations ? &restorations->history() : &none}) {
      for (const std::string& fault : *history)
        std::cout << "    " << fault << "\n";
    }
    std::cout << "  logs: " << folder << std::endl;
  }
  return kept;
}

int run(int argc, char** argv) {
  Plan plan;
  options::options_description all("eelsoak");
  all.add_options()("help", "show this")(
      "program", options::value(&plan.program)->required(),
      "the daemon's program")(
      "logs", options::value(&plan.folder)->default_value("eelsoak-logs"),
      "folder for the logs of seeds that fail")(
      "seed", options::value(&plan.seed)->default_value(1), "the first seed")(
      "seeds", options::value(&plan.seeds)->default_value(1),
      "how many seeds, one after the other")(
      "daemons", options::value(&plan.daemons)->default_value(4),
      "daemons, 2 to 200")(
      "seconds", options::value(&plan.seconds_of_faults)->default_value(20),
      "time with faults, for each seed")(
      "restorations", options::bool_switch(&plan.restorations),
      "restore the store from older copies beside the other faults");
  try {
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, all), given);
    if (given.count("help") > 0) {
      std::cout << all;
      return 0;
    }
    options::notify(given);
  } catch (const options::error& failure) {
    std::cerr << "eelsoak: " << failure.what() << "\n" << all;
    return kExitUsage;
  }
  if (plan.daemons < 2 || plan.daemons > 200) {
    std::cerr << "eelsoak: --daemons takes 2 to 200\n";
    return kExitUsage;
  }
  std::size_t failed = 0;
  for (std::size_t i = 0; i < plan.seeds; ++i) {
    if (!run_seed(plan, plan.seed + static_cast<std::uint32_t>(i))) ++failed;
  }
  std::cout << plan.seeds << " seeds, " << failed << " broken" << std::endl;
  return failed == 0 ? 0 : kExitViolated;
}

}  // namespace
}  // namespace eelgrasspin::soak

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  return eelgrasspin::soak::run(argc, argv);
}
