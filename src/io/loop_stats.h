#ifndef EELGRASSPIN_IO_LOOP_STATS_H_
#define EELGRASSPIN_IO_LOOP_STATS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "io/histogram.h"

/// How late the event loop runs its handlers, and what takes its time.
namespace eelgrasspin::io {

/// What the loop has done since the last tick.
struct LoopInterval {
  std::uint64_t events = 0;
  Duration busy{0};  ///< In the handling of events.
  /// The kind of event that took most of `busy`, and how long it took.
  std::string_view main_kind;
  Duration main_kind_busy{0};
};

struct LoopStats {
  Histogram delay;  ///< From the time at which a tick was due to its start.
  /// Time of each event, by kind. The names are string literals.
  std::map<std::string_view, Histogram> event_time;
  /// Time by kind since the last tick.
  std::map<std::string_view, Duration> busy_by_kind;
  std::uint64_t events_since_tick = 0;
};

/// Records the handling of one event.
void record_event(LoopStats& stats, std::string_view kind, Duration time);
/// Records that a tick starts `delay` after it was due. Returns what the loop
/// has done since the tick before if the delay is worth a log line, which is
/// from kReportedLoopDelay on.
std::optional<LoopInterval> record_tick(LoopStats& stats, Duration delay);

/// Below it, callers do not notice the delay.
inline constexpr Duration kReportedLoopDelay = milliseconds(100);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_LOOP_STATS_H_
