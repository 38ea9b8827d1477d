#ifndef EELGRASSPIN_SCENARIO_CHECKS_H_
#define EELGRASSPIN_SCENARIO_CHECKS_H_

#include <string>
#include <vector>

#include "scenario/world.h"

namespace eelgrasspin::scenario {

/// Checks that need the whole run: what was told to callers against what the
/// servers did. Adds to world.violations and returns all of them.
std::vector<std::string> check_run(World& world);

/// Longest time that a key of `service` was without an answered request, over
/// the probes sent from `from` on.
Duration longest_gap(const World& world, const ServiceName& service,
                     Duration from);

struct OutcomeTotals {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t open = 0;  ///< No end was seen.
};
OutcomeTotals totals(const World& world);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_CHECKS_H_
