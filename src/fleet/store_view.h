#ifndef EELGRASSPIN_FLEET_STORE_VIEW_H_
#define EELGRASSPIN_FLEET_STORE_VIEW_H_

#include "fleet/state.h"

/// Keeping copies of the store current. In each availability zone only the
/// relay watches the store and tells the others, so that calls grow with the
/// zones and not with the daemons. Whoever cannot rely on the relay watches
/// the store itself.
namespace eelgrasspin::fleet {

/// This daemon has to watch the store itself.
bool should_watch(const State& state, TimePoint now);

/// Puts a configuration in force unless it is older than the present one.
void adopt_configuration(State& state, const ConfigurationSeen& seen,
                         TimePoint now, Effects& effects);
void on_view_listed(State& state, const ViewListed& listed, TimePoint now);
void on_store_changed(State& state, const StoreChanged& changed, TimePoint now,
                      Effects& effects);
void on_store_update(State& state, const StoreUpdateReceived& received,
                     TimePoint now, Effects& effects);
/// Starts or stops to watch, and brings an old copy up to date.
void tick_store_view(State& state, TimePoint now, Effects& effects);

/// What the daemons of the zone are told of this one's copies; empty unless it
/// is their relay.
std::optional<Heartbeat::View> own_view(const State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_STORE_VIEW_H_
