#ifndef EELGRASSPIN_CORE_REQUEST_LOAD_H_
#define EELGRASSPIN_CORE_REQUEST_LOAD_H_

#include <map>

#include "core/ownership/sketch.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

/// Load of one backend server as its front sees it, with old requests weighing
/// less.
namespace eelgrasspin::core::request {

struct LoadCounts {
  std::map<SlotId, double> slots;
  ownership::Sketch keys;
  TimePoint decayed_at;
};

void count_load(LoadCounts& load, SlotId slot, const Key& key, Now now);

/// Ages the counts, at most once a second.
void age_load(LoadCounts& load, Now now);

/// Requests per second that a count stands for.
double rate_of(double count);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LOAD_H_
