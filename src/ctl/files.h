#ifndef EELGRASSPIN_CTL_FILES_H_
#define EELGRASSPIN_CTL_FILES_H_

#include <optional>
#include <string>

namespace eelgrasspin::ctl {

/// Contents of a file; empty if it cannot be read. "-" is the standard input.
std::optional<std::string> read_file(const std::string& path);
/// Replaces the contents of a file. Returns whether all of it was written.
bool write_file(const std::string& path, const std::string& text);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_FILES_H_
