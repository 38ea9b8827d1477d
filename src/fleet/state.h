#ifndef EELGRASSPIN_FLEET_STATE_H_
#define EELGRASSPIN_FLEET_STATE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "fleet/effect.h"
#include "fleet/event.h"
#include "fleet/model.h"
#include "fleet/server_capacity.h"
#include "fleet/settings.h"

namespace eelgrasspin::fleet {

/// The request rate that a server accepts from all daemons together.
struct ServerLimit {
  RequestRate rate;
  TimePoint stated_at;       ///< When it was last stated, to any daemon.
  TimePoint stated_here_at;  ///< When it was last stated to this daemon.
  /// This daemon's requests within kDemandWindow that selected the server.
  std::deque<TimePoint> demand;
  std::deque<TimePoint> sent;   ///< This daemon's, within kLimitCountWindow.
  double admitted_share = 1.0;  ///< Of the requests in `demand`.
  double credit = 0;  ///< Grows by `admitted_share` with each request.
};

/// Whether a server has just started, or may have, so that it takes few
/// requests.
struct ColdState {
  TimePoint since;  ///< When it was found cold; its turns count from then.
  TimePoint until;
  /// Its process may have started again without the registry showing it yet.
  TimePoint restart_suspected_until;
  /// The last turn in which this daemon has sent it a request.
  std::optional<std::uint64_t> last_turn;
};

/// A backend server, as the registry lists it, and what this daemon has
/// measured of it.
struct ServerState {
  Server server;
  TimePoint read_at;     ///< When the entry was last read.
  TimePoint joined_at;   ///< When this incarnation was first read.
  bool leaving = false;  ///< Draining, or removed.
  TimePoint leaving_since;
  bool removed = false;  ///< No longer in the registry.
  /// The entry expired around an outage of the store and may return until then.
  std::optional<TimePoint> may_return_until;
  /// An entry of an earlier incarnation, or one in a restored store that
  /// contradicts what was known before. It counts if the store still lists it
  /// outdated_entries_time() later.
  std::optional<Server> doubtful_entry;
  TimePoint doubted_since;
  std::uint32_t in_flight = 0;  ///< Requests of this daemon at the server.
  /// Bodies of this daemon's uploads at the server.
  std::size_t body_bytes = 0;
  Duration service_time{0};   ///< Moving average; 0 until an answer.
  double success_rate = 1.0;  ///< Moving average of successes.
  TimePoint success_rate_at;
  /// The server is not chosen until then, because a connection failed.
  TimePoint blocked_until;
  /// This incarnation has announced in an answer that it is leaving.
  bool announced_leaving = false;
  /// When the last request was sent that this incarnation has answered.
  TimePoint alive_at;
  /// An answer has shown that another server has the address of this
  /// incarnation, which has therefore ended.
  bool displaced = false;
  /// The registry lists a server that has started later at the same address.
  bool address_taken = false;
  bool evacuated = false;  ///< An evacuation of its zone is ordered.
  ColdState cold;
  /// The server is sent no request until then, because of its Retry-After.
  TimePoint backoff_until;
  double answer_count = 0;  ///< Decayed number of answers measured.
  TimePoint answer_count_at;
  ServerCapacity capacity;  ///< How many requests at once it takes well.
  std::optional<ServerLimit> limit;
  TimePoint limit_withdrawn_at;  ///< Older statements do not count.
  TimePoint limit_dropped_at;    ///< When this daemon dropped the last limit.
};

/// The last heartbeat of another daemon.
struct PeerState {
  Heartbeat heartbeat;
  TimePoint received_at;       ///< Here, or at the relay that forwarded it.
  bool loads_counted = false;  ///< In FleetState::loads.
  TimePoint key_loads_received_at;  ///< Of `heartbeat.key_load_reports`.
  TimePoint limits_received_at;     ///< Of `heartbeat.limits`.
};

/// Requests of all daemons of a zone.
struct ZoneLoads {
  std::vector<Heartbeat::Load> loads;
  TimePoint received_at;
  std::vector<LimitReport> limits;
  TimePoint limits_received_at;
};

/// The other daemons, and the heartbeats that this daemon has sent.
struct FleetState {
  /// All daemons, this one included, known from the store or from heartbeats.
  std::map<DaemonName, DaemonRecord> daemon_records;
  /// Addresses of the other daemons of the own zone; empty if `daemon_records`
  /// has changed since they were collected.
  std::optional<std::vector<Endpoint>> zone_members;
  /// Daemons from which a heartbeat has been received.
  std::map<DaemonName, PeerState> peers;
  /// Requests of the daemons of other zones, by zone, as their relays have
  /// summed them up.
  std::map<ZoneName, ZoneLoads> zone_loads;
  /// Requests of all other daemons at each server: the sum of `zone_loads` and
  /// of the heartbeats with `loads_counted`.
  std::unordered_map<ServerName, std::uint32_t> loads;
  std::uint64_t sequence = 0;  ///< Of the last heartbeat sent.
  TimePoint own_region_heartbeat_at;
  TimePoint regular_heartbeat_at;
  TimePoint other_region_heartbeat_at;
  TimePoint key_loads_sent_at;
  /// When the last reports of overloaded services were sent.
  TimePoint hot_key_loads_sent_at;
  TimePoint limits_sent_at;
  TimePoint own_region_batch_at;
  TimePoint other_region_batch_at;
  /// When the last batch that lists all daemons went to the own region.
  TimePoint own_region_members_at;
  TimePoint loads_expired_at;  ///< Last run of expire_loads().
  /// The relay of the own zone, and when it was determined.
  std::optional<DaemonName> own_relay;
  std::optional<TimePoint> own_relay_at;
  std::uint64_t batches_sent = 0;
  bool load_changed = false;  ///< Since the last heartbeat to the own region.
  /// Servers that announced that they are leaving, and when this daemon learned
  /// of it; oldest first.
  std::deque<std::pair<TimePoint, ServerIncarnation>> leaving_reports;
  /// Servers whose address another server has, and when this daemon learned of
  /// it; oldest first.
  std::deque<std::pair<TimePoint, ServerIncarnation>> displaced_reports;
  /// Servers that have refused a connection of this daemon; oldest first.
  std::deque<std::pair<TimePoint, ServerIncarnation>> unreachable_reports;
};

/// How the coordinator knows that a previous owner has given up its keys.
enum class ReleaseProof : std::uint8_t {
  kAnswered,       ///< It has answered a release.
  kAddressReused,  ///< Another server has its address.
};

/// State of the grant for one key range, as its coordinator knows it.
struct Lease {
  ServerIncarnation owner;
  Epoch epoch;
  bool confirmed = false;  ///< The owner has confirmed a grant at this epoch.
  bool fenced = false;     ///< The owner has seen a higher epoch.
  bool from_earlier_term = false;   ///< Was in the map when this term began.
  TimePoint renewed_at;             ///< When the last confirmed grant was sent.
  std::uint64_t pending_order = 0;  ///< Order without an answer yet; 0: none.
  bool releasing = false;           ///< The pending order is a release.
  bool low_traffic = false;         ///< The keys have little traffic.
  TimePoint next_order_at;          ///< No order is sent before.
  /// Its entry in CoordinatorRole::due; empty while it waits for an event.
  std::optional<TimePoint> due_at;
  std::string handover;  ///< From a previous owner, for the next grant.
  /// Previous owners that have released the keys.
  std::map<ServerIncarnation, ReleaseProof> released;
};

/// Keys that a server may hold by a grant sent so far.
struct PossibleGrant {
  ShardKey first;
  ShardKey last;
  ServerIncarnation owner;
  /// When every grant that may have been carried out has expired.
  TimePoint until;
  /// The same if `owner` has ended, and its next process has taken orders of an
  /// earlier coordinator, which `owner` refused.
  TimePoint until_if_restarted;
};

/// Failed connections of the coordinator to one server.
struct OrderHealth {
  TimePoint failing_since;  ///< First failure since the last answer.
  TimePoint last_failure;
  std::uint32_t failures = 0;  ///< Since its last answer.
};

/// What the last orders to one server show.
struct OrderTarget {
  TimePoint answered_at;  ///< Its last answer to an order.
  /// Orders sent since then that have ended without an answer.
  std::uint32_t unanswered = 0;
  TimePoint next_probe_at;  ///< No order is sent before, while it is silent.
  /// Ranges, by first key, whose orders wait until another one has ended.
  std::set<ShardKey> waiting;
};

/// An order to a server that has not been answered yet.
struct Order {
  ServiceName service;
  bool release = false;  ///< Otherwise a grant.
  ServerIncarnation server;
  ShardKey first;
  ShardKey last;
  Epoch epoch;
  TimePoint sent_at;
  Duration hold{0};    ///< Duration of a grant.
  bool probe = false;  ///< The server had not answered the orders before.
};

/// The orders to servers that have not been answered yet.
struct PendingOrders {
  struct AtServer {
    std::set<std::uint64_t> grants;
    std::set<std::uint64_t> releases;
  };
  std::map<std::uint64_t, Order> by_number;
  std::map<ServerName, AtServer> by_server;  ///< Only servers with orders.
  std::size_t grants = 0;
  std::size_t releases = 0;
  std::size_t probes = 0;  ///< Of both kinds.
};

/// The releases by which a coordinator makes sure that no server holds keys.
struct KeyRecall {
  struct Target {
    Incarnation incarnation;          ///< Of the server that is asked.
    std::uint64_t pending_order = 0;  ///< Release without an answer; 0: none.
    TimePoint next_order_at;          ///< No release is sent before.
    bool released = false;
  };
  Epoch epoch;  ///< Of the releases: above all grants that may be lost.
  TimePoint started_at;
  TimePoint next_read;  ///< The registry is not read before.
  std::map<ServerName, Target> targets;
};

/// What the coordinator of a service keeps while its term lasts.
struct CoordinatorRole {
  std::map<ShardKey, Lease> leases;  ///< By first key of the range.
  /// When to look at a range again, and its first key.
  std::set<std::pair<TimePoint, ShardKey>> due;
  std::map<ServerName, OrderTarget> targets;
  std::map<ServerName, std::vector<PossibleGrant>> possible_grants;
  /// When the last order that was answered within kPromptOrderAnswer was sent,
  /// by the region of its server.
  std::map<RegionName, TimePoint> prompt_answers;
  std::uint64_t order_limit = 0;  ///< No order of this number is sent yet.
  bool isolated = false;          ///< May not send orders because of that.
  TimePoint pruned_at;            ///< When outdated entries were last dropped.
  std::map<ServerIncarnation, OrderHealth> health;
  /// Coordinators of earlier terms that are not known to have stopped sending
  /// orders.
  std::vector<DaemonIncarnation> predecessors;
  /// Until when servers may hold keys by grants that this coordinator does not
  /// know, because the store has lost them; empty if there are none.
  std::optional<TimePoint> lost_grants_until;
  /// Set while servers are asked to release the keys of such grants.
  std::optional<KeyRecall> recall;
  /// Daemons that may have made such grants, and may still renew them.
  std::vector<DaemonIncarnation> lost_coordinators;
  /// The store may have lost the records of others.
  bool unknown_coordinators = false;
  /// Whether one of them may have, although none renews them any more.
  bool grants_may_be_lost = false;
  /// The term before the loss, as far as this daemon knows.
  TermEpoch term_before_loss;
  /// Epochs up to this one are older than the loss. Their grants may be
  /// renewed, as a server that has seen a later one refuses them.
  Epoch last_epoch_before_loss;
  TimePoint started_at;      ///< When this daemon took the role.
  TimePoint last_placement;  ///< Time of the last placement round.
  bool hot_rounds = false;   ///< Has had a round with an overloaded server.
  /// The last report to all daemons listed servers with limited concurrency.
  bool limited_servers_reported = false;
  /// When keys last moved, by first key of the range.
  std::map<ShardKey, TimePoint> last_moves;
};

/// The owner map of one service, and this daemon's reads and writes of it.
struct MapState {
  std::optional<OwnerMap> map;  ///< As last read or written.
  /// At which this version of the map was written. Versions are compared by it.
  StorePosition position;
  TimePoint adopted_at;  ///< When this version became known.
  /// What the store holds: the revision of its record, 0 if it has none, and
  /// the era in which that was read. Only used as the condition of a write: a
  /// store that has been restored may hold an older version than `map`.
  StorePosition stored;
  /// Since when the store is known to have no map.
  std::optional<TimePoint> absent_since;
  std::optional<OwnerMap> pending_write;  ///< A write without outcome yet.
  std::uint64_t write_number = 0;         ///< Of the last write.
  TimePoint write_sent_at;                ///< When it was last sent.
  /// This version of the map was known when the store was restored, so that it
  /// does not come from the copy.
  bool known_before_restoration = false;
  TimePoint next_write;            ///< No write is sent before.
  bool resend_write = false;       ///< The pending write has to be sent again.
  bool write_may_be_done = false;  ///< It went unanswered once.
  /// No order is sent until the store has confirmed the map in its answer to a
  /// read sent at `doubted_at` or later.
  bool must_verify = false;
  TimePoint doubted_at;
  TimePoint next_read;     ///< No read is sent before.
  TermEpoch highest_term;  ///< Highest term that any daemon has named.
  TermEpoch coordinated;   ///< The last term of this daemon as coordinator.
  /// Last heartbeat of the coordinator, or start of its term.
  TimePoint coordinator_heartbeat_at;
  /// Since when another daemon has had a newer map.
  std::optional<TimePoint> behind_since;
  /// When the last call was sent whose answer has confirmed the map.
  TimePoint confirmed_at;
  /// Set while this daemon coordinates the service.
  std::optional<CoordinatorRole> coordinator_role;
};

/// Decayed numbers of this daemon's requests to one service, by key.
struct KeyLoadState {
  struct RecentCount {
    double count = 0;  ///< Decayed with kRecentKeyLoadHalfLife until `at`.
    TimePoint at;
  };
  std::unordered_map<std::uint32_t, double> request_counts;
  std::unordered_map<std::uint32_t, RecentCount> recent_counts;
  TimePoint decayed_at;  ///< When the counts were last decayed.
};

/// Whether a request waits for a server, or for the answer of one.
enum class RequestPhase : std::uint8_t { kWaiting, kSent };

/// What the deadline of a request shows of its caller's earlier attempts.
struct CallerHistory {
  bool retried = false;  ///< The caller was refused before.
  Duration elapsed{0};   ///< Since its first attempt.
};

/// How urgent a request is among all that may be sent to its service.
struct Urgency {
  std::uint32_t level = 0;  ///< Number of more urgent priorities.
  /// Of the routes with such a priority.
  Duration shortest_objective{0};
};

/// Decayed number of refusals for lack of capacity.
struct RefusalCount {
  double count = 0;
  TimePoint at;  ///< Of the last one.
};

/// A request of a caller that has not been answered yet.
struct RequestState {
  RequestId id;
  std::string caller_request_id;
  std::shared_ptr<const Configuration> configuration;
  const Route* route = nullptr;  ///< Inside `configuration`.
  ServiceName service;
  std::optional<ShardKey> key;
  Fingerprint fingerprint;
  std::size_t body_bytes = 0;  ///< Of an upload; else 0.
  TimePoint arrived_at;
  TimePoint deadline;  ///< The caller's or the route's, the earlier.
  RequestPhase phase = RequestPhase::kWaiting;
  AttemptId attempt;  ///< The last one.
  ServerName server;  ///< Of the last attempt.
  Incarnation server_incarnation;
  TimePoint sent_at;
  Duration expected_time{0};  ///< From send to answer.
  CallerHistory caller;
  Urgency urgency;
  std::uint32_t in_flight_at_send = 0;  ///< Requests at the server then.
  std::uint32_t sends = 0;              ///< Attempts that reached a server.
  std::uint32_t connect_failures = 0;
  bool may_have_run = false;  ///< At a server, in an earlier attempt.
  std::vector<ServerName> tried_servers;
  std::vector<Endpoint> tried_addresses;  ///< All that it was sent to.
  std::vector<ServerName> denied_by;  ///< Servers whose limit leaves no room.
  TimePoint not_before;               ///< No attempt is made before.
  /// A server's answer that reports a failure; sent if no other attempt
  /// succeeds.
  std::shared_ptr<const ServerAnswer> failure_answer;
};

/// A request whose attempt at a server ended without an answer; suspected of
/// having crashed it if the server turns out to have ended.
struct InterruptedRequest {
  Fingerprint request;
  ServerIncarnation server;
  TimePoint at;
};

/// What a daemon knows of one strike.
struct StrikeState {
  TimePoint noticed_at;  ///< When the first daemon noticed the crash.
  TimePoint learned_at;  ///< When this daemon learned of it.
  bool noticed_here = false;
};

/// The store's record of the requests in quarantine, and this daemon's calls to
/// it.
struct QuarantineRecordState {
  /// May lack a strike that this daemon noticed.
  bool outdated = false;
  bool call_open = false;  ///< A read or a write without outcome yet.
  TimePoint next_call;     ///< No call is made before.
};

/// Times of the requests and retries of one service within the window of the
/// retry budget.
struct BudgetState {
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
  /// Retries that may have arrived at a server of another service, or have, and
  /// when that became known.
  std::map<AttemptId, TimePoint> unconfirmed;
};

/// Measurements over all servers of a service.
struct ServiceStats {
  Duration service_time{0};  ///< Moving average; 0 until the first answer.
};

/// State of the smooth weighted round robin among a route's destinations.
struct SplitState {
  std::vector<double> credits;  ///< By destination; the highest is next.
};

/// How current this daemon's copy of one part of the store is.
struct ViewState {
  StorePosition as_of;        ///< Complete up to this position.
  StorePosition last_change;  ///< Of the last change.
  TimePoint answered_at;      ///< When the store last answered a read of it.
  /// Since when the zone's relay has had a newer copy.
  std::optional<TimePoint> behind_since;
};

/// Servers of one service, by Distance to this daemon.
using ServersByDistance = std::array<std::vector<const ServerState*>, 3>;

/// Everything that a daemon's reducer knows. It is not copied, because
/// `by_distance` points into it.
struct State {
  State() = default;
  State(State&&) = default;
  State& operator=(State&&) = default;

  Settings settings;
  TimePoint started;
  std::shared_ptr<const Configuration> configuration;
  std::map<ServerName, ServerState> servers;
  /// When expire_servers() has to go through `servers` next; empty if no entry
  /// is about to expire.
  std::optional<TimePoint> servers_due;
  /// Servers that the registry lists, by service and in order of names.
  std::map<ServiceName, std::vector<ServerName>> by_service;
  /// The same servers, by service and Distance. The pointers lead into
  /// `servers`; see index_servers().
  std::map<ServiceName, ServersByDistance> by_distance;
  /// Zones whose servers are not to own keys, by keyed service; see
  /// index_regions().
  std::map<ServiceName, std::set<ZoneName>> unsuited_zones;
  /// Zones whose evacuation is ordered, or was when the store was restored a
  /// moment ago.
  std::set<ZoneName> evacuated_zones;
  /// Zones whose evacuation the store lists.
  std::set<ZoneName> listed_evacuations;
  FleetState fleet;
  std::map<ServiceName, MapState> maps;
  PendingOrders orders;
  std::uint64_t next_order = 1;
  /// Key ranges that were looked at for orders that are due, in total.
  std::uint64_t ranges_visited = 0;
  /// Servers with a `limit`, and those whose limit has just been dropped.
  std::set<ServerName> limited_servers;
  TimePoint limits_updated_at;
  std::map<ServiceName, KeyLoadState> key_loads;
  /// When each keyed service last had an overloaded server; see hot_keys.h.
  std::map<ServiceName, TimePoint> overloaded_at;
  TimePoint overload_checked_at;
  std::map<RequestId, RequestState> requests;
  std::map<AttemptId, RequestId> attempts;
  std::uint64_t next_attempt = 1;
  std::size_t upload_bytes = 0;  ///< Bodies of uploads that are at servers.
  /// Mean body of a request, by service, uploads and others together.
  std::map<ServiceName, double> mean_body_bytes;
  std::map<ServiceName, BudgetState> budgets;
  std::map<ServiceName, ServiceStats> stats;
  /// Refusals by full servers, by service and, for keyed requests, owner.
  std::map<std::pair<ServiceName, ServerName>, RefusalCount> refusal_counts;
  std::uint64_t refusals = 0;  ///< Refusals by full servers; see next_spread().
  std::map<std::string, SplitState> splits;  ///< By route name.
  /// The longest deadline that callers have set, by route name.
  std::map<std::string, Duration> deadlines;
  std::deque<InterruptedRequest> interrupted_requests;  ///< Oldest first.
  /// Servers that have ended without draining, and when that was noticed.
  std::map<ServerIncarnation, TimePoint> crashed_servers;
  /// Crashed servers by the request that ran at them.
  std::map<Fingerprint, std::map<ServerIncarnation, StrikeState>> strikes;
  QuarantineRecordState quarantine_record;
  std::map<StoreView, ViewState> views;
  /// This daemon watches the store itself; otherwise the zone's relay sends it
  /// the changes.
  bool watching = true;
  Duration watch_wait{0};
  /// As the store last stated it; empty if it has stated none.
  std::optional<StoreEra> store_era;
  TimePoint resumed_at;  ///< End of the last long pause of the process.
  /// When the last restoration of the store was noticed.
  std::optional<TimePoint> restored_at;
  bool store_has_answered = false;  ///< Since the start.
  TimePoint store_reached_at;       ///< First answer of the store.
  TimePoint store_answered_at;  ///< Last answer; the start before the first.
  TimePoint store_failed_at;    ///< Last call without an answer.
  TimePoint outage_ended_at;    ///< When the store last became reachable.
  bool stopping = false;
  TimePoint stop_ordered_at;
  bool ready = false;             ///< Has been logged as ready.
  std::uint64_t tie_breaker = 0;  ///< Changes with each choice; see choose().
};

/// The era of the store, 0 if it has stated none.
StoreEra current_era(const State& state);
/// Whether this daemon should be sent new connections.
bool is_ready(const State& state);
/// Requests received and not yet answered.
std::size_t open_requests(const State& state);
/// Orders to servers that have not been answered yet.
std::size_t orders_in_flight(const State& state);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_STATE_H_
