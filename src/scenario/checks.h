#ifndef EELGRASSPIN_SCENARIO_CHECKS_H_
#define EELGRASSPIN_SCENARIO_CHECKS_H_

#include <string>
#include <vector>

#include "scenario/world.h"

namespace eelgrasspin::scenario {

/// Checks that need the whole run: compares the outcomes that callers received
/// with what the servers executed. Adds to world.violations and returns all.
std::vector<std::string> check_run(World& world);

/// Longest time during which no request for a key of `service` was answered,
/// among the requests sent since `from`.
Duration longest_gap(const World& world, const ServiceName& service,
                     Duration from);

struct OutcomeTotals {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t open = 0;  ///< The caller received no end.
};
OutcomeTotals count_outcomes(const World& world);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_CHECKS_H_
