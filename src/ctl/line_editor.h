#ifndef EELGRASSPIN_CTL_LINE_EDITOR_H_
#define EELGRASSPIN_CTL_LINE_EDITOR_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasspin::ctl {

/// Words that may follow a text.
using Completer = std::function<std::vector<std::string>(const std::string&)>;

/// Reads a line with history and completion where the build has readline, else
/// a plain one. Empty at the end of the input.
std::optional<std::string> read_line(const std::string& prompt,
                                     const Completer& completer);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_LINE_EDITOR_H_
