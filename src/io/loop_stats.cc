#include "io/loop_stats.h"

#include <utility>

namespace eelgrasspin::io {

void record_event(LoopStats& stats, std::string_view kind, Duration time) {
  stats.event_time[kind].record(time);
  stats.busy_by_kind[kind] += time;
  ++stats.events_since_tick;
}

std::optional<LoopInterval> record_tick(LoopStats& stats, Duration delay) {
  stats.delay.record(delay);
  LoopInterval interval;
  interval.events = std::exchange(stats.events_since_tick, 0);
  for (auto& [kind, busy] : stats.busy_by_kind) {
    interval.busy += busy;
    if (busy > interval.main_kind_busy) {
      interval.main_kind = kind;
      interval.main_kind_busy = busy;
    }
    busy = Duration(0);
  }
  if (delay < kReportedLoopDelay) return std::nullopt;
  return interval;
}

}  // namespace eelgrasspin::io
