#ifndef EELGRASSPIN_SCENARIO_MATRIX_H_
#define EELGRASSPIN_SCENARIO_MATRIX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scenario/checks.h"
#include "scenario/world.h"

/// Every fault at several moments of every operation, on virtual time.
namespace eelgrasspin::scenario {

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
  kKillOther,
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

struct Cell {
  Operation operation = Operation::kNone;
  Fault fault = Fault::kNone;
  Duration offset{0};  ///< From the start of the operation to the fault.
  std::uint64_t seed = 1;
};

struct CellResult {
  std::vector<std::string> violations;
  OutcomeTotals totals;
  Duration longest_gap{0};    ///< Without an answer, of one key, from a caller.
  std::string command_error;  ///< Why the operation's order was refused.
  bool recovered = false;     ///< Every key was answered at the end.
};

/// Two daemons a zone, named <zone>-1 and <zone>-2, all slots owned.
World start_deployment(const Declarations& declarations, std::uint64_t seed);

/// Sends requests for a few keys of each operation from now on.
void probe_always(World& world);

CellResult run_cell(const Declarations& declarations, const Cell& cell);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_MATRIX_H_
