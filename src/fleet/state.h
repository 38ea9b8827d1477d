#ifndef EELGRASSPIN_FLEET_STATE_H_
#define EELGRASSPIN_FLEET_STATE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "fleet/effect.h"
#include "fleet/event.h"
#include "fleet/model.h"
#include "fleet/settings.h"

namespace eelgrasspin::fleet {

/// A backend server and what this daemon has learnt of it.
struct ServerState {
  Server server;
  TimePoint read_at;     ///< When the entry was last read.
  TimePoint joined_at;   ///< When this life was first read.
  bool leaving = false;  ///< Draining, or gone from the registry.
  TimePoint leaving_since;
  bool removed = false;  ///< Gone from the registry.
  /// The entry lapsed around an outage of the store and may return until then.
  std::optional<TimePoint> may_return_until;
  std::uint32_t in_flight = 0;  ///< Requests of this daemon.
  Duration service_time{0};     ///< Running mean; 0 until the first answer.
  double success_rate = 1.0;    ///< Running rate of useful outcomes.
  TimePoint success_rate_at;
  TimePoint blocked_until;  ///< No connection could be made.
  double answer_count = 0;  ///< Decayed count behind `service_time`.
  TimePoint answer_count_at;
};

struct PeerState {
  Heartbeat heartbeat;
  TimePoint received_at;
  TimePoint key_loads_received_at;  ///< When `heartbeat.key_load_reports` came.
};

/// A daemon that announced itself in the store or by a heartbeat.
struct FleetState {
  std::map<DaemonName, DaemonRecord> daemon_records;
  std::map<DaemonName, PeerState> peers;
  /// Requests at each server, by daemon, from their last heartbeats.
  std::map<ServerName, std::map<DaemonName, std::uint32_t>> loads;
  std::uint64_t sequence = 0;
  TimePoint own_region_heartbeat_at;
  TimePoint regular_heartbeat_at;
  TimePoint other_region_heartbeat_at;
  TimePoint key_loads_sent_at;
  TimePoint own_region_batch_at;
  TimePoint other_region_batch_at;
  std::uint64_t batches_sent = 0;
  bool load_changed = false;
};

/// What one daemon knows of the order it gave last for a range.
struct Lease {
  ServerIncarnation owner;
  Epoch epoch;
  bool confirmed = false;  ///< The owner has answered a grant at this epoch.
  bool fenced = false;     ///< The owner has seen a higher epoch.
  bool from_earlier_term = false;   ///< Stood in the map when this duty began.
  TimePoint renewed_at;             ///< When the last answered grant was sent.
  std::uint64_t pending_order = 0;  ///< Under way; 0 if none.
  bool releasing = false;           ///< The order under way is a release.
  bool low_traffic = false;         ///< Its keys have little traffic.
  TimePoint next_order_at;
  std::string handover;
  /// Lives of `previous` that no longer hold the keys.
  std::set<ServerIncarnation> released;
};

/// What a server may hold by orders given so far.
struct PossibleGrant {
  ShardKey first;
  ShardKey last;
  ServerIncarnation owner;
  /// When every grant that may have been carried out has lapsed.
  TimePoint until;
};

/// Whether a server answers the coordinator's orders.
struct OrderHealth {
  TimePoint failing_since;
  TimePoint last_failure;
  std::uint32_t failures = 0;  ///< Since its last answer.
};

struct Order {
  ServiceName service;
  bool release = false;
  ServerIncarnation server;
  ShardKey first;
  ShardKey last;
  Epoch epoch;
  TimePoint sent_at;
  Duration hold{0};  ///< Of a grant.
};

/// Duties of the coordinator of one service's keys.
struct CoordinatorRole {
  std::map<ShardKey, Lease> leases;  ///< By first key of the range.
  std::vector<PossibleGrant> possible_grants;
  std::map<ServerIncarnation, OrderHealth> health;
  /// Who coordinated before, until it is known to have stopped.
  std::optional<std::pair<DaemonName, Incarnation>> predecessor;
  TimePoint last_placement;
  std::map<ShardKey, TimePoint> last_moves;  ///< By first key of the range.
};

struct MapState {
  std::optional<OwnerMap> map;  ///< As the store last confirmed it.
  Version revision;
  bool absent = false;  ///< The store has none.
  std::optional<OwnerMap> pending_write;
  TimePoint next_write;
  bool resend_write = false;       ///< The write is to be sent again.
  bool write_may_be_done = false;  ///< A send of it went unanswered.
  /// No order is given until the store has confirmed the map again.
  bool must_verify = false;
  TimePoint next_read;
  TermEpoch highest_term;
  TimePoint coordinator_heartbeat_at;
  /// Another daemon has had a newer map since then.
  std::optional<TimePoint> behind_since;
  TimePoint confirmed_at;  ///< When the store last confirmed the map.
  std::optional<CoordinatorRole>
      coordinator_role;  ///< While this daemon coordinates.
};

/// Decayed count of this daemon's requests by key.
struct KeyLoadState {
  std::unordered_map<std::uint32_t, double> request_counts;
  TimePoint decayed_at;
};

enum class RequestPhase : std::uint8_t { kWaiting, kSent };

struct RequestState {
  RequestId id;
  std::string caller_request_id;
  std::shared_ptr<const Configuration> configuration;
  const Route* route = nullptr;  ///< Inside `configuration`.
  ServiceName service;
  std::optional<ShardKey> key;
  Fingerprint fingerprint;
  TimePoint arrived_at;
  TimePoint deadline;  ///< The caller's or the route's, whichever is earlier.
  RequestPhase phase = RequestPhase::kWaiting;
  AttemptId attempt;
  ServerName server;
  TimePoint sent_at;
  Duration expected_time{0};
  bool retried_by_caller = false;  ///< The caller has been refused before.
  std::uint32_t in_flight_at_send = 0;
  std::uint32_t sends = 0;
  std::uint32_t connect_failures = 0;
  bool may_have_run = false;
  std::vector<ServerName> tried_servers;
  TimePoint not_before;
  std::shared_ptr<const ServerAnswer>
      failure_answer;  ///< A server's own failure.
};

/// A request whose connection to a server broke.
struct InterruptedRequest {
  Fingerprint request;
  ServerIncarnation server;
  TimePoint at;
};

/// Requests and repeated sends of one service within the budget's window.
struct BudgetState {
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
};

/// Running mean of a service's answers.
struct ServiceStats {
  Duration service_time{0};
};

/// Smooth weighted choice among a route's destinations.
struct SplitState {
  std::vector<double> credits;
};

/// How current this daemon's copy of one part of the store is.
struct ViewState {
  Version as_of;          ///< Complete up to this revision.
  Version last_change;    ///< Revision of the last change.
  TimePoint answered_at;  ///< When the store last answered for it.
  /// The zone's relay has had a newer one since then.
  std::optional<TimePoint> behind_since;
};

struct State {
  Settings settings;
  TimePoint started;
  std::shared_ptr<const Configuration> configuration;
  std::map<ServerName, ServerState> servers;
  std::map<ServiceName, std::vector<ServerName>> by_service;
  FleetState fleet;
  std::map<ServiceName, MapState> maps;
  std::map<std::uint64_t, Order> orders;
  std::uint64_t next_order = 1;
  std::map<ServiceName, KeyLoadState> key_loads;
  std::map<RequestId, RequestState> requests;
  std::map<AttemptId, RequestId> attempts;
  std::uint64_t next_attempt = 1;
  std::map<ServiceName, BudgetState> budgets;
  std::map<ServiceName, ServiceStats> stats;
  std::map<std::string, SplitState> splits;  ///< By route name.
  /// The longest deadline that callers have named, by route name.
  std::map<std::string, Duration> deadlines;
  std::deque<InterruptedRequest> interrupted_requests;  ///< Oldest first.
  std::map<Fingerprint, std::map<ServerIncarnation, TimePoint>> strikes;
  std::map<StoreView, ViewState> views;
  /// Watches the store itself; otherwise the zone's relay tells changes.
  bool watching = true;
  Duration watch_wait{0};
  bool store_has_answered = false;
  TimePoint store_answered_at;
  TimePoint store_failed_at;  ///< Last time the store did not answer.
  TimePoint outage_ended_at;
  bool stopping = false;
  TimePoint stop_ordered_at;
  bool ready = false;
  std::uint64_t draws = 0;  ///< Advances the tie-breaking sequence.
};

/// Whether new connections should come here.
bool is_ready(const State& state);
/// Requests received and not yet answered.
std::size_t open_requests(const State& state);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_STATE_H_
