#ifndef EELGRASSPIN_FLEET_MODEL_H_
#define EELGRASSPIN_FLEET_MODEL_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

/// Routing and key ownership for a fleet of equal daemons that share one object
/// store. Decisions only: no I/O, no clock.
namespace eelgrasspin::fleet {

/// Position of a request in its service's key space.
using ShardKey = Number<struct ShardKeyTag, std::uint32_t>;
inline constexpr std::uint32_t kMaxShardKey = 65'535;

/// One of the services that a route may choose, with its share.
struct Destination {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  bool repeatable = false;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  Duration objective{0};       ///< An answer within it is on time.
  Duration timeout{0};         ///< Longest time until the final answer.
  std::uint32_t attempts = 1;  ///< Servers that one request may be sent to.
  std::vector<Destination> destinations;
};

struct Service {
  ServiceName name;
  bool keyed = false;  ///< Each server serves only the keys granted to it.
};

struct CallerLimits {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  Duration header_timeout{0};
  Duration idle_timeout{0};
};

/// One version of the operator's configuration. Never changed once adopted.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  CallerLimits limits;
};

/// A backend server as the registry lists it.
struct Server {
  ServerName name;
  Endpoint address;
  ServiceName service;
  ZoneName zone;
  std::uint32_t slots = 1;
  Incarnation incarnation;  ///< Differs between two starts under one name.
  bool draining = false;
  Duration warm_up_left{0};  ///< Slow for this much longer, when last written.
};

/// One life of a backend server.
struct ServerIncarnation {
  ServerName name;
  Incarnation incarnation;
  auto operator<=>(const ServerIncarnation&) const = default;
};

/// Keys `first` to `last`, both inclusive, and who owns them.
struct KeyRange {
  ShardKey first;
  ShardKey last;
  ServerIncarnation owner;
  Epoch epoch;
  /// Not empty while the keys are on the way to `owner`: the lives that may
  /// still hold them.
  std::vector<ServerIncarnation> previous_owners;
  bool operator==(const KeyRange&) const = default;
};

/// Who owns which keys of one service, as the store records it.
struct OwnerMap {
  ServiceName service;
  DaemonName coordinator;
  Incarnation coordinator_incarnation;
  TermEpoch term;                ///< Rises with each change of the coordinator.
  Epoch next_epoch{1};           ///< Above every epoch used so far.
  std::vector<KeyRange> ranges;  ///< Sorted, without gaps.
  bool operator==(const OwnerMap&) const = default;
};

/// The range that holds the key; null if the map has none.
const KeyRange* find_range(const OwnerMap& map, ShardKey key);

/// A daemon of the fleet, as it announces itself.
struct DaemonRecord {
  DaemonName name;
  Incarnation incarnation;
  ZoneName zone;
  RegionName region;
  Endpoint peer;  ///< Where it receives datagrams.
  /// Thousandths of a processor core; duties go to daemons that have most.
  std::uint32_t capacity = 0;
  bool operator==(const DaemonRecord&) const = default;
};

/// Requests of one daemon for one key, decayed over time.
struct KeyLoad {
  ShardKey key;
  double weight = 0;
};

/// Tells requests apart by caller, target and body; equal for a repeat.
using Fingerprint = Number<struct FingerprintTag>;

/// A request was at a server when it crashed.
struct Strike {
  Fingerprint request;
  ServerIncarnation server;
};

/// What a daemon tells the others, several times a second.
struct Heartbeat {
  DaemonRecord daemon;
  /// Zone, region and address are left out of most heartbeats.
  bool full = true;
  std::uint64_t sequence = 0;
  bool stopping = false;
  /// For how long the store has failed to answer; 0 while it answers.
  Duration store_unreachable_for{0};
  struct Term {
    ServiceName service;
    TermEpoch term;  ///< The highest that it knows of.
    Duration coordinator_heartbeat_age{
        0};            ///< Since it last heard that coordinator.
    Version revision;  ///< Of its map.
  };
  std::vector<Term> terms;
  struct Load {
    ServerName server;
    std::uint32_t in_flight = 0;
  };
  std::vector<Load> loads;  ///< Only servers it has requests at.
  struct MeasuredServiceTime {
    ServerName server;
    double answer_count = 0;   ///< Decayed count.
    Duration service_time{0};  ///< Their mean.
  };
  /// Only in heartbeats to the coordinator of the service.
  struct KeyLoadReport {
    ServiceName service;
    std::vector<KeyLoad> keys;
    std::vector<MeasuredServiceTime> service_times;
  };
  std::vector<KeyLoadReport> key_load_reports;
  std::vector<Strike> strikes;  ///< Of the last seconds.
  /// How current the copy of a daemon is that others follow.
  struct View {
    Version configuration;  ///< Revision of the last change.
    Version servers;
    Duration age{0};  ///< Since the store last answered.
  };
  std::optional<View> view;  ///< Only of a zone's relay.
  /// Only in a bundle: time since the daemon that passes it on received it.
  Duration age{0};
};

/// The parts of the store that every daemon keeps a copy of.
enum class StoreView : std::uint8_t { kConfiguration, kServers };
inline constexpr std::array<StoreView, 2> kStoreViews = {
    StoreView::kConfiguration, StoreView::kServers};

/// Changes of one part of the store.
struct StoreUpdate {
  StoreView view = StoreView::kServers;
  /// A copy that is at least as new is complete after the changes.
  Version base;
  Version as_of;  ///< Revision of the store that they lead to.
  /// The newest one; null if there is none.
  std::shared_ptr<const Configuration> configuration;
  Version configuration_revision;
  /// Entries written, and names of entries removed, in the order of changes.
  std::vector<std::variant<Server, ServerName>> servers;
  /// Since the store was back in reach of the sender, if that is a moment ago:
  /// entries may have lapsed in the outage.
  std::optional<Duration> since_outage;
};

/// Heartbeats of one availability zone's daemons, passed on to another zone.
struct HeartbeatBatch {
  std::vector<Heartbeat> heartbeats;
  /// The receiver passes it on to the daemons of its zone.
  bool relay = false;
};

/// What a coordinator changed in its map, told to all daemons at once.
struct MapChange {
  ServiceName service;
  Version base;      ///< Revision of the map that was changed.
  Version revision;  ///< Of the map after it.
  DaemonName coordinator;
  Incarnation coordinator_incarnation;
  TermEpoch term;
  Epoch next_epoch{1};
  std::vector<KeyRange> ranges;  ///< Those that differ; they replace others.
};

/// The ranges of `after` that `before` does not have.
MapChange change_between(const OwnerMap& before, Version base,
                         const OwnerMap& after, Version revision);
/// The map after a change; empty if the change does not fit the map.
std::optional<OwnerMap> apply_change(const OwnerMap& map,
                                     const MapChange& change);

/// Answer of a server as the shell received it; the core never looks inside.
struct ServerAnswer;

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_MODEL_H_
