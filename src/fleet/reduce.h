#ifndef EELGRASSPIN_FLEET_REDUCE_H_
#define EELGRASSPIN_FLEET_REDUCE_H_

#include "fleet/state.h"

namespace eelgrasspin::fleet {

/// The state of a daemon that starts now.
State make_state(const Settings& settings, TimePoint now);

/// Applies an event to the state and returns the effects to carry out. The only
/// entry point of this part.
Effects reduce(State& state, const Event& event, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REDUCE_H_
