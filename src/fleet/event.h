#ifndef EELGRASSPIN_FLEET_EVENT_H_
#define EELGRASSPIN_FLEET_EVENT_H_

#include <variant>

#include "fleet/model.h"

namespace eelgrasspin::fleet {

// From the store.
struct ConfigurationSeen {
  std::shared_ptr<const Configuration> configuration;
  Version revision;
};
/// Every readable entry of the registry.
struct ServersListed {
  std::vector<Server> servers;
  Version as_of;  ///< Revision of the store; 0 if it is not known.
};
struct ServerSeen {
  Server server;
};
struct ServerRemoved {
  ServerName name;
};
/// A part of the store was listed; what it held was told before.
struct ViewListed {
  StoreView view = StoreView::kServers;
  Version as_of;
};
/// The store's answer to a watch; without changes if its wait was over.
struct StoreChanged {
  StoreUpdate update;
};
struct MapSeen {
  OwnerMap map;
  Version revision;
};
struct MapMissing {
  ServiceName service;
};
struct DaemonSeen {
  DaemonRecord daemon;
};
enum class WriteOutcome : std::uint8_t {
  kWritten,
  kConflict,      ///< Not written; the map as it is follows as MapSeen.
  kWriteRefused,  ///< The store refused; nothing was written.
  kUnknown,       ///< No answer: it may be written now, later or never.
};
struct MapWriteEnded {
  ServiceName service;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  Version revision;  ///< After kWritten.
};
struct StoreAnswered {};
struct StoreFailed {
  std::string why;
};

// From other daemons.
struct HeartbeatReceived {
  Heartbeat heartbeat;
};

struct HeartbeatBatchReceived {
  HeartbeatBatch batch;
};

/// Changes of the store that the zone's relay has seen.
struct StoreUpdateReceived {
  StoreUpdate update;
};

struct MapChangeReceived {
  MapChange change;
};

// From callers.
struct RequestReceived {
  RequestId id;
  std::string caller_request_id;  ///< The caller's name for the request.
  std::string host;
  std::string path;  ///< Without the query.
  std::optional<ShardKey> key;
  std::optional<Duration> deadline;
  Fingerprint fingerprint;
};
struct CallerLeft {
  RequestId id;
};

// From backend servers.
enum class AttemptResult : std::uint8_t {
  kAnswered,    ///< A whole answer that belongs to the request.
  kNotRun,      ///< The server states that it did not run the request.
  kWrongOwner,  ///< Not run: another server, or the key is not held.
  kNotSent,     ///< No connection; not a byte was sent.
  kAnswerLost,  ///< Sent; the connection ended or the answer is unusable.
  kTimedOut,    ///< Sent; no answer in time.
};
struct AttemptEnded {
  AttemptId id;
  AttemptResult result = AttemptResult::kAnswerLost;
  int status = 0;
  bool no_listener = false;  ///< With kNotSent: the connection was refused.
  std::shared_ptr<const ServerAnswer> answer;
  std::string why;
};
enum class OrderResult : std::uint8_t {
  kDone,
  kOtherServer,  ///< Another server has the address and knows no such order.
  kFenced,       ///< The server has seen a higher epoch on one of the keys.
  kInvalid,      ///< The server does not accept the order as it stands.
  kNotSent,      ///< No connection in time; nothing was sent.
  kNoListener,   ///< The connection was refused; nothing was sent.
  kUnanswered,   ///< It may have been carried out, or may be later.
};
struct OrderEnded {
  std::uint64_t order = 0;
  OrderResult result = OrderResult::kUnanswered;
  std::string handover;  ///< Of an answered release.
  std::string why;
};

// From the process.
struct Tick {};
struct StopOrdered {};
/// The process stood still for this long.
struct Resumed {
  Duration gap{0};
};

using Event =
    std::variant<ConfigurationSeen, ServersListed, ServerSeen, ServerRemoved,
                 ViewListed, StoreChanged, StoreUpdateReceived, MapSeen,
                 MapMissing, DaemonSeen, MapWriteEnded, StoreAnswered,
                 StoreFailed, HeartbeatReceived, HeartbeatBatchReceived,
                 MapChangeReceived, RequestReceived, CallerLeft, AttemptEnded,
                 OrderEnded, Tick, StopOrdered, Resumed>;

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_EVENT_H_
