#ifndef EELGRASSPIN_FLEET_OWNERSHIP_H_
#define EELGRASSPIN_FLEET_OWNERSHIP_H_

#include "fleet/state.h"

/// Exclusive ownership of keys. One daemon coordinates a service: it changes
/// the map in the store by conditional update, and only then sends orders to
/// the servers. Every change of owner has a higher epoch. Before the new owner
/// is granted the keys, the former owner has to release them at that epoch; if
/// it does not answer, the coordinator waits until every grant to it has
/// expired.
namespace eelgrasspin::fleet {

void on_map(State& state, const MapSeen& seen, TimePoint now, Effects& effects);
void on_map_change(State& state, const MapChangeReceived& received,
                   TimePoint now, Effects& effects);
void on_map_missing(State& state, const MapMissing& missing, TimePoint now);
void on_map_written(State& state, const MapWriteEnded& ended, TimePoint now,
                    Effects& effects);
void on_order_ended(State& state, const OrderEnded& ended, TimePoint now,
                    Effects& effects);
/// The store has lost its latest records of the era `before`. A coordinator
/// keeps its role and writes its map again; owners keep their keys.
void on_maps_lost(State& state, StoreEra before, TimePoint now,
                  Effects& effects);
/// Whether the store may lack the latest version of the map.
bool is_lost(const State& state, const MapState& map);
/// Whether a later term was heard of than that of the map, after a restoration:
/// a late write of an earlier era may have replaced the map of that term.
bool lacks_known_term(const State& state, const MapState& map);
/// Applies the terms that another daemon has named. A coordinator that has been
/// replaced ends its term.
void on_terms(State& state, const Heartbeat& heartbeat, TimePoint now,
              Effects& effects);
/// After a pause of the process, no order is sent until the store has confirmed
/// the map again.
void on_resumed(State& state, const Resumed& resumed, TimePoint now,
                Effects& effects);
void tick_ownership(State& state, TimePoint now, Effects& effects);

/// Longest time for which a server can hold keys by a grant that any
/// coordinator sends now.
Duration longest_hold(const Settings& settings);
/// The same, counted from when a coordinator stops: its last order may still
/// wait for a connection.
Duration longest_hold_of_ended_role(const Settings& settings);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_OWNERSHIP_H_
