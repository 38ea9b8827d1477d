#ifndef EELGRASSPIN_CORE_OPERATOR_REPORT_H_
#define EELGRASSPIN_CORE_OPERATOR_REPORT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core::operators {

/// The sections of one zone's part. Their titles start with "part <zone>: ".
std::vector<Section> part_sections(const ClosurePart& part);

/// XXH3 128-bit hash over titles, columns and rows, in hex.
std::string hash_sections(const std::vector<Section>& sections);

/// The seal: a hash of a closure's identity and of the hashes of its parts.
std::string seal_of(const Closure& closure);

/// The complete report: summary, totals, part hashes, commands and parts.
CommandAnswer build_report(const Closure& closure,
                           const std::vector<ClosurePart>& parts,
                           const std::vector<CommandRecord>& commands);

/// Checks a report and returns what is wrong: a changed or missing part, totals
/// that do not add up, a wrong seal. Empty if the report is valid.
std::vector<Finding> verify_report(const CommandAnswer& report);

std::string_view to_string(ClosureStep step);
/// UTC in ISO 8601 with milliseconds: "2026-12-04T09:46:09.123Z".
std::string format_time(WallTime time);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_REPORT_H_
