#ifndef EELGRASSPIN_FLEET_ZONE_RELAY_H_
#define EELGRASSPIN_FLEET_ZONE_RELAY_H_

#include <optional>

#include "fleet/state.h"

/// Heartbeats between availability zones. One daemon of each zone, its relay,
/// passes those of its zone on to the relays of the others, so that messages
/// between zones grow with the zones and not with the daemons.
namespace eelgrasspin::fleet {

/// The daemon that every other one of the zone takes for its relay: of those
/// alive the one with most capacity. Empty if none is alive.
std::optional<DaemonName> zone_relay(const State& state, const ZoneName& zone,
                                     TimePoint now);
/// This daemon is the relay of its zone.
bool is_zone_relay(const State& state, TimePoint now);

/// Addresses of the other daemons of the own zone.
std::vector<Endpoint> zone_members(const State& state);

/// Daemons of other zones, as their relay heard them.
void on_heartbeat_batch(State& state, const HeartbeatBatchReceived& received,
                        TimePoint now, Effects& effects);
/// Passes on the heartbeats of the own zone, if this daemon is its relay.
void send_batches(State& state, TimePoint now, Effects& effects);
/// Reports the heat of each keyed service towards its coordinator: to it from
/// the relays and from its own zone, to the relay from other daemons.
void send_key_loads(State& state, TimePoint now, Effects& effects);

/// Other regions share few servers with this one besides those that own keys.
bool matters_to_other_regions(const State& state, const ServerState& server);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_ZONE_RELAY_H_
