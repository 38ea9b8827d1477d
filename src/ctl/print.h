#ifndef EELGRASSPIN_CTL_PRINT_H_
#define EELGRASSPIN_CTL_PRINT_H_

#include <string>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/result.h"

namespace eelgrasspin::ctl {

/// An answer as text: the error or message, then each section as a table.
std::string to_text(const CommandAnswer& answer);

/// A table with aligned columns; control characters are shown as dots.
std::string to_text(const Table& table);

/// For each finding, the command and below it the finding's message, with a
/// caret under its column.
std::string findings_text(const std::string& command,
                          const std::vector<Finding>& findings);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_PRINT_H_
