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
#include "fleet/store_position.h"

/// Routing and key ownership for a fleet of equal daemons that share one object
/// store. This part only makes decisions: it does no I/O and reads no clock.
namespace eelgrasspin::fleet {

/// Position of a request in its service's key space.
using ShardKey = Number<struct ShardKeyTag, std::uint32_t>;
inline constexpr std::uint32_t kMaxShardKey = 65'535;

/// One of the services that a route may choose. Its share of the requests is
/// its weight over the sum of the weights.
struct Destination {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;          ///< Begins and ends with a slash.
  bool repeatable = false;     ///< A request may be run more than once.
  bool upload = false;         ///< Its requests have large bodies.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  Duration objective{0};       ///< Response time that the route aims at.
  Duration timeout{0};         ///< Longest time until the final answer.
  std::uint32_t attempts = 1;  ///< Maximum number of sends of one request.
  std::vector<Destination> destinations;
  /// Regions whose servers may be sent its requests; empty: those of any.
  std::vector<RegionName> allowed_regions;
};

struct RequestRate {
  double per_second = 0;
  auto operator<=>(const RequestRate&) const = default;
};

struct Service {
  ServiceName name;
  bool keyed = false;  ///< Each server serves only the keys granted to it.
  /// Requests that a server takes for some time after its start, from all
  /// daemons together; 0: as many as later.
  RequestRate cold_rate;
  Duration cold_time{0};  ///< That time.
};

struct CallerLimits {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  Duration header_timeout{0};
  Duration idle_timeout{0};
};

/// One version of the operator's configuration. Immutable once adopted.
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
  Incarnation incarnation;  ///< Changes with each start under the same name.
  bool draining = false;
  Duration warm_up_left{0};  ///< Remaining warm-up time when last written.
};

/// A backend server between one start and its end.
struct ServerIncarnation {
  ServerName name;
  Incarnation incarnation;
  auto operator<=>(const ServerIncarnation&) const = default;
};

/// A daemon between one start and its end.
struct DaemonIncarnation {
  DaemonName name;
  Incarnation incarnation;
  auto operator<=>(const DaemonIncarnation&) const = default;
};

/// Keys `first` to `last`, both inclusive, and who owns them.
struct KeyRange {
  ShardKey first;
  ShardKey last;
  ServerIncarnation owner;
  Epoch epoch;
  /// Former owners that may still hold the keys; empty once `owner` has been
  /// granted them.
  std::vector<ServerIncarnation> previous_owners;
  bool operator==(const KeyRange&) const = default;
};

/// Who owns which keys of one service, as the store records it.
struct OwnerMap {
  ServiceName service;
  DaemonName coordinator;
  Incarnation coordinator_incarnation;
  TermEpoch term;       ///< Increases with each change of the coordinator.
  Epoch last_epoch{1};  ///< The highest epoch used so far.
  std::vector<KeyRange> ranges;  ///< Sorted, without gaps; cover all keys.
  /// Coordinators of earlier terms that may still renew grants.
  std::vector<DaemonIncarnation> replaced_coordinators;
  /// Era of the store for which this version of the map was written. A map of
  /// an earlier era may lack changes that the store has lost.
  StoreEra era;
  /// Servers may hold keys by grants of which the store has lost the map.
  bool grants_lost = false;
  bool operator==(const OwnerMap&) const = default;
};

/// The range that contains the key; null if the map has none.
const KeyRange* find_range(const OwnerMap& map, ShardKey key);

/// A daemon of the fleet, as it announces itself to the others.
struct DaemonRecord {
  DaemonName name;
  Incarnation incarnation;
  ZoneName zone;
  RegionName region;
  Endpoint peer;  ///< Address at which it receives datagrams.
  /// Thousandths of a processor core. Daemons with more capacity are preferred
  /// as coordinators and relays.
  std::uint32_t capacity = 0;
  bool operator==(const DaemonRecord&) const = default;
};

/// Requests of one daemon, or of all daemons of a zone, for one key.
struct KeyLoad {
  ShardKey key;
  double request_count = 0;  ///< Decayed exponentially.
};

/// Identifies a request by caller, target and body; equal if the caller sends
/// the same request again.
using Fingerprint = Number<struct FingerprintTag>;

/// States that a request was running at a server when the server crashed.
struct Strike {
  Fingerprint request;
  ServerIncarnation server;
  Duration age{0};  ///< Time since a daemon noticed the crash.
};

/// The request rate that a server accepts, as stated in an answer, and the rate
/// at which one daemon, or all daemons of a zone, select it for requests.
struct LimitReport {
  ServerIncarnation server;
  std::optional<RequestRate> limit;  ///< Empty: withdrawn.
  Duration age{0};  ///< Since the limit was last stated, or withdrawn.
  RequestRate demand;
  std::uint32_t sent = 0;  ///< Requests sent within kLimitCountWindow.
};

/// Latencies of a server, or the work times that it has stated, by the number
/// of requests that it had, as decayed counts and means.
struct LoadCurve {
  /// Servers with more slots have several numbers of requests in one level.
  static constexpr std::size_t kLevels = 8;
  struct Level {
    double answer_count = 0;  ///< Decayed.
    double mean_log = 0;      ///< Mean of the logarithms of times in ms.
    bool operator==(const Level&) const = default;
  };
  std::array<Level, kLevels> levels{};
  bool operator==(const LoadCurve&) const = default;
};

/// State of a daemon that it sends to the others several times per second.
struct Heartbeat {
  DaemonRecord daemon;
  /// Whether `daemon` has zone, region, address and capacity. Most heartbeats
  /// contain only its name and incarnation.
  bool has_full_record = true;
  std::uint64_t sequence = 0;
  bool stopping = false;
  /// Time since the last answer of the store if the last call to it failed,
  /// else 0.
  Duration store_unreachable_for{0};
  /// Era of the store as the daemon knows it; empty if none was stated. The
  /// positions below are then of the receiver's era.
  std::optional<StoreEra> store_era;
  struct Term {
    ServiceName service;
    TermEpoch term;  ///< The highest that the daemon knows of.
    /// Since it last received a heartbeat of the coordinator.
    Duration coordinator_heartbeat_age{0};
    StorePosition position;  ///< Of the map that the daemon has.
    /// The last term in which the daemon has coordinated the service, 0 if it
    /// never has. Only stated by a daemon that was running long before the
    /// store was last restored.
    std::optional<TermEpoch> coordinated;
  };
  std::vector<Term> terms;
  struct Load {
    ServerName server;
    std::uint32_t in_flight = 0;
  };
  std::vector<Load> loads;  ///< Only servers that it has requests at.
  struct MeasuredServiceTime {
    ServerName server;
    double answer_count = 0;   ///< Decayed number of answers.
    Duration service_time{0};  ///< Mean over these answers.
    /// The server's start that the next fields belong to.
    Incarnation incarnation{};
    /// What the coordinator has learned from all daemons; 0: not stated.
    std::uint32_t concurrency = 0;
    /// Answers since the last report, of this daemon or of its zone.
    LoadCurve latencies{};
    LoadCurve work_times{};
  };
  /// To the coordinator of the service or to the zone's relay. A coordinator
  /// sends all daemons one that only lists the servers whose concurrency is
  /// below their slots.
  struct KeyLoadReport {
    ServiceName service;
    std::vector<KeyLoad> keys;
    std::vector<MeasuredServiceTime> service_times;
  };
  std::vector<KeyLoadReport> key_load_reports;
  /// New ones, and at times those of all requests in quarantine.
  std::vector<Strike> strikes;
  /// Servers that have announced that they are leaving, within the last
  /// kLeavingReportTime.
  std::vector<ServerIncarnation> leaving_servers;
  /// Servers whose address has been found to belong to another server within
  /// the last kDisplacedReportTime.
  std::vector<ServerIncarnation> displaced_servers;
  /// Servers that refused or did not accept a connection of this daemon within
  /// the last kRestartReportTime, and may therefore have started again.
  std::vector<ServerIncarnation> unreachable_servers;
  /// Only in some heartbeats; the last ones are kept for kMaxLimitReportAge.
  std::vector<LimitReport> limits;
  /// How current a zone relay's copies of the store are.
  struct View {
    StorePosition configuration;  ///< Of its last change.
    StorePosition servers;        ///< Of their last change.
    Duration age{0};              ///< Since the store last answered.
    StorePosition evacuations;    ///< Of their last change; 0: not known.
    std::vector<ZoneName> evacuated_zones;
  };
  std::optional<View> view;  ///< Set only by a zone's relay.
  /// Only in a batch: time since the forwarding daemon received the heartbeat.
  Duration age{0};
};

/// The parts of the store of which every daemon keeps a copy.
enum class StoreView : std::uint8_t {
  kConfiguration,
  kServers,
  kEvacuations  ///< Only where Settings::evacuation_time is set.
};
/// The parts whose changes a zone's relay forwards as they come. The few zones
/// under evacuation are listed in its heartbeats instead.
inline constexpr std::array<StoreView, 2> kStoreViews = {
    StoreView::kConfiguration, StoreView::kServers};

/// The operator's order to send nothing to the servers of a zone, or the end of
/// that order.
struct EvacuationChange {
  ZoneName zone;
  bool ordered = true;
  bool operator==(const EvacuationChange&) const = default;
};

/// An entry of the registry that was written, or the name of one that was
/// removed.
using ServerChange = std::variant<Server, ServerName>;

/// Changes of one part of the store.
struct StoreUpdate {
  StoreView view = StoreView::kServers;
  /// Whether the era of the positions is known; otherwise they are of the
  /// receiver's era.
  bool states_era = false;
  /// A copy at this position or a later one is complete after the changes.
  StorePosition base;
  StorePosition as_of;  ///< Position of the store after the changes.
  /// The newest configuration; null if it has not changed.
  std::shared_ptr<const Configuration> configuration;
  Version configuration_revision;
  std::vector<ServerChange> servers;          ///< In the order of the changes.
  std::vector<EvacuationChange> evacuations;  ///< Likewise.
  /// Time since the sender reached the store again, if that was a moment ago:
  /// entries may have expired during the outage.
  std::optional<Duration> since_outage;
};

/// What the relay of one availability zone tells other zones about its daemons.
struct HeartbeatBatch {
  ZoneName zone;
  /// The first one is that of the relay. Their loads are summed up in `loads`.
  std::vector<Heartbeat> heartbeats;
  /// Requests of all daemons of the zone.
  std::vector<Heartbeat::Load> loads;
  /// Only in some batches; the last ones are kept for kMaxLimitReportAge.
  std::vector<LimitReport> limits;
  /// Set if the receiver has to forward the batch to the daemons of its zone.
  bool forward_within_zone = false;
};

/// Change that a coordinator made to its map; sent at once to the daemons of
/// its zone and to the relays of the other zones.
struct MapChange {
  ServiceName service;
  /// Whether the era of the positions is known; otherwise they are of the
  /// receiver's era.
  bool states_era = false;
  StorePosition base;      ///< Of the map that was changed.
  StorePosition position;  ///< Of the map after it.
  DaemonName coordinator;
  Incarnation coordinator_incarnation;
  TermEpoch term;
  Epoch last_epoch{1};
  /// Changed ranges; they replace the ranges that they overlap.
  std::vector<KeyRange> ranges;
  std::vector<DaemonIncarnation> replaced_coordinators;  ///< As in the map.
  bool grants_lost = false;                              ///< As in the map.
  /// Set if a relay that receives it has to forward it to its zone.
  bool forward_within_zone = false;
};

/// The change that turns `before` at position `base` into `after`.
MapChange change_between(const OwnerMap& before, StorePosition base,
                         const OwnerMap& after, StorePosition position);
/// The map after a change; empty if the ranges would not cover all keys.
std::optional<OwnerMap> apply_change(const OwnerMap& map,
                                     const MapChange& change);

/// Answer of a server as the shell received it; opaque to this part.
struct ServerAnswer;

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_MODEL_H_
