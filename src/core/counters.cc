#include "core/counters.h"

namespace eelgrasspin::core {

CounterText counter_text(Counter counter) {
  static constexpr CounterText kTexts[] = {
#define EELGRASSPIN_COUNTER_TEXT(constant, name, help) {name, help},
      EELGRASSPIN_COUNTERS(EELGRASSPIN_COUNTER_TEXT)
#undef EELGRASSPIN_COUNTER_TEXT
  };
  return kTexts[static_cast<std::size_t>(counter)];
}

}  // namespace eelgrasspin::core
