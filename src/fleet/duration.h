#ifndef EELGRASSPIN_FLEET_DURATION_H_
#define EELGRASSPIN_FLEET_DURATION_H_

#include "eelgrasspin/units.h"

namespace eelgrasspin::fleet {

/// The duration times a factor, truncated to whole microseconds.
inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_DURATION_H_
