#ifndef EELGRASSPIN_FLEET_LOG_EVENT_H_
#define EELGRASSPIN_FLEET_LOG_EVENT_H_

#include <initializer_list>

#include "fleet/effect.h"

namespace eelgrasspin::fleet {

inline std::string text(Duration duration) {
  return std::to_string(to_ms(duration)) + "ms";
}
inline std::string text(std::uint64_t number) { return std::to_string(number); }

/// Adds a log line to the effects.
inline void log_event(
    Effects& effects, std::string_view name,
    std::initializer_list<std::pair<std::string_view, std::string>> fields) {
  effects.emplace_back(LogEvent{name, fields});
}

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_LOG_EVENT_H_
