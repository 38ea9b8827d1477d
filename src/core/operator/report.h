#ifndef EELGRASSPIN_CORE_OPERATOR_REPORT_H_
#define EELGRASSPIN_CORE_OPERATOR_REPORT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core::operators {

/// The tables of one zone's part. Their titles start with "part <zone>: ".
std::vector<Section> part_sections(const ClosurePart& part);

/// XXH3 128-bit hash, hex, over titles, columns and rows.
std::string hash_sections(const std::vector<Section>& sections);

/// Seal over a closure's identity and the hashes of its parts.
std::string seal_of(const Closure& closure);

/// The whole report: summary, steps, totals, parts and their hashes.
CommandAnswer build_report(const Closure& closure,
                           const std::vector<ClosurePart>& parts,
                           const std::vector<CommandRecord>& commands);

/// What is wrong with a report: a part changed or missing, totals that do not
/// add up, a wrong seal. Empty when sound.
std::vector<Finding> verify_report(const CommandAnswer& report);

std::string_view to_string(ClosureStep step);
/// "2026-12-04T09:46:09.123Z".
std::string format_time(WallTime time);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_REPORT_H_
