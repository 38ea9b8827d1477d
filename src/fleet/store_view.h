#ifndef EELGRASSPIN_FLEET_STORE_VIEW_H_
#define EELGRASSPIN_FLEET_STORE_VIEW_H_

#include "fleet/state.h"

/// Copies of the store. In each availability zone only the relay watches the
/// store and sends its changes to the other daemons, so that the number of
/// calls grows with the zones and not with the daemons. A daemon that cannot
/// rely on its relay watches the store itself.
namespace eelgrasspin::fleet {

/// Whether this daemon has to watch the store itself.
bool should_watch(State& state, TimePoint now);

/// Adopts a configuration if it is newer than the current one.
void adopt_configuration(State& state, const ConfigurationSeen& seen,
                         TimePoint now, Effects& effects);
void on_view_listed(State& state, const ViewListed& listed, TimePoint now);
void on_store_changed(State& state, const StoreChanged& changed, TimePoint now,
                      Effects& effects);
void on_store_update(State& state, const StoreUpdateReceived& received,
                     TimePoint now, Effects& effects);
/// Starts or stops watching the store, and refreshes an outdated copy.
void tick_store_view(State& state, TimePoint now, Effects& effects);

/// How current this daemon's copies are, for its heartbeats; empty unless it is
/// the relay of its zone.
std::optional<Heartbeat::View> own_view(State& state, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_STORE_VIEW_H_
