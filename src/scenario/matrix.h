#ifndef EELGRASSPIN_SCENARIO_MATRIX_H_
#define EELGRASSPIN_SCENARIO_MATRIX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scenario/checks.h"
#include "scenario/world.h"

/// The fault matrix: each fault at several moments of each operation, on
/// virtual time.
namespace eelgrasspin::scenario {

/// What the deployment does when the fault occurs; not an operation of a
/// service.
enum class Operation : std::uint8_t {
  kNone,
  kMove,
  kDrain,
  kClose,
  kServerLoss,
  kDaemonStop,
  kCount,
};

enum class Fault : std::uint8_t {
  kNone,
  kKillCoordinator,
  kPauseCoordinator,
  kKillDaemon,
  kStoreDown,
  kLostAnswers,
  kZoneCut,
  kServerCrash,
  kServerFreeze,
  kMessageLoss,
  kMessageDuplicates,
  kClockJump,
  kCount,
};

std::string_view to_string(Operation operation);
std::string_view to_string(Fault fault);

/// One run of the matrix.
struct Cell {
  Operation operation = Operation::kNone;
  Fault fault = Fault::kNone;
  Duration offset{0};  ///< From the start of the operation to the fault.
  std::uint64_t seed = 1;
};

struct CellResult {
  std::vector<std::string> violations;
  OutcomeTotals totals;
  /// Longest time during which no request for a key of the first service was
  /// answered, before the repair.
  Duration longest_gap{0};
  std::string command_error;  ///< Why the operator's command was refused.
  bool recovered = false;     ///< Requests for every key succeed at the end.
};

/// Starts two daemons per zone, named <zone>-1 and <zone>-2, and waits until
/// the slots have owners.
World start_deployment(const Declarations& declarations, std::uint64_t seed);

/// Sends requests of each declared operation at a fixed interval from now on.
void start_probing(World& world);

CellResult run_cell(const Declarations& declarations, const Cell& cell);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_MATRIX_H_
