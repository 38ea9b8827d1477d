#ifndef EELGRASSPIN_CTL_EXPLAIN_H_
#define EELGRASSPIN_CTL_EXPLAIN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasspin::ctl {

/// One line of a log file.
struct LogLine {
  std::int64_t time_ms = 0;  ///< Unix milliseconds; 0 if the line has no time.
  std::string file;
  std::string text;
};

/// Lines about one request, sorted by time: those with its id, and, from the
/// same files and from `kContextBeforeMs` before the first of these to the
/// last, those about the servers it was sent to and about the store and the
/// daemon; also, from all files, the strikes of the same fingerprint.
std::vector<LogLine> related_lines(const std::string& id,
                                   const std::vector<LogLine>& lines);

inline constexpr std::int64_t kContextBeforeMs = 3000;

/// The value of a key=value field; empty if the line has none.
std::string field_value(const std::string& line, const std::string& key);

/// Prints the lines about a request from log files. Returns the exit status.
int explain(const std::string& id, const std::vector<std::string>& files);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_EXPLAIN_H_
