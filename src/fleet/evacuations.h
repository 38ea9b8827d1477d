#ifndef EELGRASSPIN_FLEET_EVACUATIONS_H_
#define EELGRASSPIN_FLEET_EVACUATIONS_H_

#include "fleet/state.h"

/// Operators' orders to send nothing to the servers of an availability zone.
/// Its servers then count as leaving: their keys move away, and requests
/// without a key go elsewhere at once. Daemons that watch the store read the
/// orders there; the others adopt the list in the heartbeats of their relay.
namespace eelgrasspin::fleet {

void on_evacuations_listed(State& state, const EvacuationsListed& listed,
                           TimePoint now, Effects& effects);
/// Applies changes that a watch of the store has returned.
void on_evacuations_changed(State& state, const StoreUpdate& update,
                            TimePoint now, Effects& effects);
/// Adopts the relay's list if it is newer than this daemon's.
void follow_evacuations(State& state, const Heartbeat::View& relay,
                        TimePoint now, Effects& effects);

/// Ends evacuations that only stayed in force because the store was restored.
void tick_evacuations(State& state, TimePoint now, Effects& effects);

/// Whether the orders are known, or none are given in this deployment.
bool evacuations_known(const State& state);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_EVACUATIONS_H_
