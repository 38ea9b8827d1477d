#ifndef EELGRASSPIN_CTL_PRINT_H_
#define EELGRASSPIN_CTL_PRINT_H_

#include <string>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/result.h"

namespace eelgrasspin::ctl {

/// An answer as text: message, then each section as a table.
std::string to_text(const CommandAnswer& answer);

/// Columns padded to the same width; control characters are shown as dots.
std::string to_text(const Table& table);

/// The command with a caret under each finding's column.
std::string point_at(const std::string& command,
                     const std::vector<Finding>& findings);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_PRINT_H_
