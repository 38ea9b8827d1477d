#ifndef EELGRASSPIN_FLEET_REGISTRY_H_
#define EELGRASSPIN_FLEET_REGISTRY_H_

#include "fleet/state.h"

/// The backend servers, as the registry lists them.
namespace eelgrasspin::fleet {

void on_servers_listed(State& state, const ServersListed& listed, TimePoint now,
                       Effects& effects);
void on_servers_changed(State& state, const std::vector<ServerChange>& changes,
                        TimePoint now, Effects& effects);
/// Marks entries that have not returned after an outage of the store as
/// removed, and drops servers that were removed long ago.
void expire_servers(State& state, TimePoint now, Effects& effects);

/// Builds State::by_service and State::by_distance from State::servers. Has to
/// be called when a server is added, removed or changes its service or zone.
void index_servers(State& state);
/// Whether the store is unreachable, or was until kRegistryRecoveryTime ago:
/// entries that expired in that time may return.
bool in_or_after_outage(const State& state, TimePoint now);
/// When every server that is up has had time to register again since the store
/// last came back; empty during an outage. A daemon that has just started does
/// not know when a store that may have been restored came back.
std::optional<TimePoint> entries_return_by(const State& state);
/// Whether new requests may be sent to the server.
bool accepts_work(const ServerState& server);
/// Whether this incarnation is listed and not leaving.
bool is_current(const State& state, const ServerIncarnation& server);
ServerIncarnation incarnation_of(const Server& server);
/// Number of requests at the server, of this daemon and of all others that are
/// alive.
std::uint32_t load_at(const State& state, const ServerState& server);

enum class Distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };
Distance distance_to(const State& state, const ZoneName& zone);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REGISTRY_H_
