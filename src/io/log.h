#ifndef EELGRASSPIN_IO_LOG_H_
#define EELGRASSPIN_IO_LOG_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "eelgrasspin/timeline.h"

/// Log with one line of key=value pairs per event.
namespace eelgrasspin::io {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Logs to standard error. Drops lines below `level`: "debug", "info",
/// "warning" or "error"; any other text means "info".
void open_log(std::string_view level);
/// Like open_log(), but to standard output and without ever waiting for its
/// reader: a bounded number of bytes is buffered, further lines are dropped.
void open_nonblocking_log(std::string_view level);
/// Lines dropped since the start because the reader was too slow.
std::uint64_t log_lines_dropped();
void log_line(LogLevel level, const LogFields& fields);
void log_event(const TimelineEvent& event);

/// The fields as 'key=value key="quoted value"', without line breaks.
std::string format_fields(const LogFields& fields);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_LOG_H_
