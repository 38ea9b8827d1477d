#ifndef EELGRASSPIN_CORE_REQUEST_LOAD_H_
#define EELGRASSPIN_CORE_REQUEST_LOAD_H_

#include <map>

#include "core/ownership/sketch.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

/// Load of one backend server as its front sees it: request counts that decay
/// exponentially over time.
namespace eelgrasspin::core::request {

struct LoadCounts {
  std::map<SlotId, double> slots;  ///< Decayed number of requests.
  ownership::Sketch keys;
  TimePoint decayed_at;
};

void count_load(LoadCounts& load, SlotId slot, const Key& key, Now now);

/// Decays the counts once for each full second since the last decay.
void decay_load(LoadCounts& load, Now now);

/// Requests per second that correspond to a decayed count.
double rate_of(double count);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LOAD_H_
