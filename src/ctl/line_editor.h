#ifndef EELGRASSPIN_CTL_LINE_EDITOR_H_
#define EELGRASSPIN_CTL_LINE_EDITOR_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasspin::ctl {

/// Returns the words that can complete the last word of a text.
using Completer = std::function<std::vector<std::string>(const std::string&)>;

/// Reads a line, with history and completion if the build has readline. Empty
/// at the end of the input.
std::optional<std::string> read_line(const std::string& prompt,
                                     const Completer& completer);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_LINE_EDITOR_H_
