#ifndef EELGRASSPIN_FLEET_EVENT_H_
#define EELGRASSPIN_FLEET_EVENT_H_

#include <string_view>
#include <variant>

#include "fleet/model.h"

namespace eelgrasspin::fleet {

// From the store.
/// An answer states an era that is later than all before. Comes before the
/// other events of the answer.
struct StoreEraSeen {
  StoreEra era;
};
/// An answer was dropped because it states an earlier era.
struct EarlierEraAnswered {
  StoreEra era;
};
struct ConfigurationSeen {
  std::shared_ptr<const Configuration> configuration;
  Version revision;
};
/// Every readable entry of the registry.
struct ServersListed {
  std::vector<Server> servers;
  StorePosition as_of;  ///< Position of the store; 0 if unknown.
};
struct ServerSeen {
  Server server;
};
/// Every zone whose evacuation is ordered.
struct EvacuationsListed {
  std::vector<ZoneName> zones;
  StorePosition as_of;  ///< Position of the store.
};
struct ServerRemoved {
  ServerName name;
};
/// A part of the store has been listed completely; its entries came in events
/// before this one.
struct ViewListed {
  StoreView view = StoreView::kServers;
  StorePosition as_of;
};
/// The store's answer to a watch; without changes if its wait expired.
struct StoreChanged {
  StoreUpdate update;
};
struct MapSeen {
  OwnerMap map;
  Version revision;   ///< Of its record.
  StoreEra read_in;   ///< Era of the store that was read.
  TimePoint sent_at;  ///< As in ReadMap; 0 if it was not asked for.
};
struct MapMissing {
  ServiceName service;
  StoreEra read_in;
};
struct DaemonSeen {
  DaemonRecord daemon;
};
enum class WriteOutcome : std::uint8_t {
  kWritten,
  kConflict,      ///< Not written; the store has another revision.
  kWriteRefused,  ///< The store refused the write; nothing was written.
  kUnknown,       ///< No answer: it may be written now, later or never.
};
struct MapWriteEnded {
  ServiceName service;
  std::uint64_t number = 0;  ///< As in WriteMap.
  WriteOutcome outcome = WriteOutcome::kUnknown;
  StorePosition position;  ///< After kWritten.
};
/// Outcome of a read of the record of requests in quarantine.
struct QuarantineRecordRead {
  bool answered = false;  ///< The store has answered.
  Version revision;       ///< 0: there is no record.
  std::vector<Strike> strikes;
  StoreEra read_in;
};
struct QuarantineRecordWritten {
  WriteOutcome outcome = WriteOutcome::kUnknown;
};
/// A call to the store was answered.
struct StoreAnswered {};
/// A call to the store was not answered.
struct StoreFailed {
  std::string why;
  /// How late an answer would have been when the call ended.
  Duration overdue{0};
};

// From other daemons.
struct HeartbeatReceived {
  Heartbeat heartbeat;
};

struct HeartbeatBatchReceived {
  HeartbeatBatch batch;
};

/// Changes of the store that the zone's relay has sent.
struct StoreUpdateReceived {
  StoreUpdate update;
};

struct MapChangeReceived {
  MapChange change;
};

// From callers.
struct RequestReceived {
  RequestId id;
  std::string caller_request_id;  ///< As the caller named it.
  std::string host;
  std::string path;  ///< Without the query.
  std::optional<ShardKey> key;
  /// Time from its arrival that the caller allows.
  std::optional<Duration> deadline;
  Fingerprint fingerprint;
  std::size_t body_bytes = 0;
  /// Time that it waited in the system before it was read, as far as known.
  Duration age{0};
};
/// The caller has closed the connection of its request.
struct CallerLeft {
  RequestId id;
};

// From backend servers.
/// Load of a server as it states it in an answer.
struct ServerLoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes now, as a ratio to the usual time.
  double work_time_ratio = 1.0;
};
/// What a server's answer says about the server itself.
struct ServerNotice {
  bool leaving = false;  ///< The server is about to end.
  /// Retry-After of a 503: time in which this daemon sends the server no
  /// request. 0: none stated.
  Duration retry_after{0};
  /// The rate of requests that the server accepts from all daemons together.
  std::optional<RequestRate> request_limit;
  std::optional<ServerLoadReport> load;
};
enum class AttemptResult : std::uint8_t {
  kAnswered,    ///< A complete answer that belongs to the request.
  kNotRun,      ///< The server states that it has not run the request.
  kWrongOwner,  ///< Not run: not the server meant, or not its key.
  kNotSent,     ///< No connection; nothing was sent.
  kAnswerLost,  ///< Sent; the connection ended or the answer is unusable.
  kTimedOut,    ///< Sent; no answer within the response timeout.
};
struct AttemptEnded {
  AttemptId id;
  AttemptResult result = AttemptResult::kAnswerLost;
  int status = 0;
  bool no_listener = false;  ///< With kNotSent: the connection was refused.
  /// With kNotSent: this daemon may open no more connections, which says
  /// nothing of the server.
  bool connections_exhausted = false;
  std::shared_ptr<const ServerAnswer> answer;
  /// The server that has answered, if a refusal names it.
  ServerName answered_by;
  std::string why;
  ServerNotice notice;
  bool reused_connection = false;  ///< It was not made for this attempt.
  /// Responses to other requests that came before the end of the attempt.
  std::uint32_t skipped_responses = 0;
};
enum class OrderResult : std::uint8_t {
  kDone,
  kOtherServer,  ///< Another server at the address has answered.
  kFenced,       ///< The server has seen a higher epoch for one of the keys.
  kInvalid,      ///< The server rejects the order as invalid.
  kNotSent,      ///< No connection in time; nothing was sent.
  kUnanswered,   ///< The order may have been carried out, or may be later.
};
struct OrderEnded {
  std::uint64_t order = 0;
  OrderResult result = OrderResult::kUnanswered;
  std::string handover;  ///< From the answer to a release.
  std::string why;
  ServerNotice notice;
};

// From the process.
struct Tick {};
/// The daemon has been ordered to stop.
struct StopOrdered {};
/// The process was paused for this long.
struct Resumed {
  Duration gap{0};
};

using Event =
    std::variant<StoreEraSeen, EarlierEraAnswered, ConfigurationSeen,
                 ServersListed, ServerSeen, ServerRemoved, EvacuationsListed,
                 ViewListed, StoreChanged, StoreUpdateReceived, MapSeen,
                 MapMissing, DaemonSeen, MapWriteEnded, QuarantineRecordRead,
                 QuarantineRecordWritten, StoreAnswered, StoreFailed,
                 HeartbeatReceived, HeartbeatBatchReceived, MapChangeReceived,
                 RequestReceived, CallerLeft, AttemptEnded, OrderEnded, Tick,
                 StopOrdered, Resumed>;

/// Names for logs and metrics.
std::string_view event_name(const Event& event);
std::string_view order_result_name(OrderResult result);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_EVENT_H_
