#ifndef EELGRASSPIN_FLEET_ZONE_RELAY_H_
#define EELGRASSPIN_FLEET_ZONE_RELAY_H_

#include <optional>

#include "fleet/state.h"

/// Heartbeats between availability zones. One daemon of each zone, its relay,
/// forwards the heartbeats of its zone to the relays of other zones, so that
/// the number of messages between zones grows with the zones and not with the
/// daemons.
namespace eelgrasspin::fleet {

/// The relay of the zone: the daemon with most capacity among those alive.
/// Empty if none is alive.
std::optional<DaemonName> zone_relay(const State& state, const ZoneName& zone,
                                     TimePoint now);
/// The relay of the own zone, determined anew at most each kRelayCheckInterval.
const std::optional<DaemonName>& own_relay(State& state, TimePoint now);
/// Whether this daemon is the relay of its zone.
bool is_zone_relay(State& state, TimePoint now);

/// Addresses of the other daemons of the own zone.
const std::vector<Endpoint>& zone_members(State& state);

/// Applies the heartbeats of another zone, and forwards them within the own
/// zone if the batch asks for it.
void on_heartbeat_batch(State& state, const HeartbeatBatchReceived& received,
                        TimePoint now, Effects& effects);
/// Sends the heartbeats of the own zone to other zones, if this daemon is its
/// relay.
void send_batches(State& state, TimePoint now, Effects& effects);
/// Sends a change of a map to all daemons, to those of other zones by their
/// relays.
void send_map_change(State& state, MapChange change, TimePoint now,
                     Effects& effects);
/// Forwards a change within the own zone, if this daemon is its relay.
void forward_map_change(State& state, const MapChange& change, TimePoint now,
                        Effects& effects);
/// Sends the key loads of each keyed service to its coordinator if this daemon
/// is in the coordinator's zone or is its own zone's relay, else to the relay.
void send_key_loads(State& state, TimePoint now, Effects& effects);

/// Whether heartbeats to other regions contain the server's load. Apart
/// from servers that own keys, few receive requests from several regions.
bool matters_to_other_regions(const State& state, const ServerState& server);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_ZONE_RELAY_H_
