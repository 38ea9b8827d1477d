#ifndef EELGRASSPIN_FLEET_EFFECT_H_
#define EELGRASSPIN_FLEET_EFFECT_H_

#include <string_view>
#include <utility>
#include <variant>

#include "fleet/model.h"

namespace eelgrasspin::fleet {

/// Sends a request to a server. Exactly one AttemptEnded follows.
struct SendAttempt {
  AttemptId id;
  RequestId request;
  ServerName server;
  Endpoint address;
  Duration time_left{0};         ///< Until the deadline; sent to the server.
  Duration response_timeout{0};  ///< The attempt ends as kTimedOut after it.
  bool repeatable = false;
  /// The request has been sent to this address before. On the same connection a
  /// late copy of its answer could be taken for the next one.
  bool on_new_connection = false;
};
/// Closes the connection of an attempt. No AttemptEnded follows.
struct CancelAttempt {
  AttemptId id;
};
/// Forwards a server's answer to the caller.
struct RelayAnswer {
  RequestId request;
  std::shared_ptr<const ServerAnswer> answer;
};
/// Ends a request with an answer of this daemon.
struct AnswerCaller {
  RequestId request;
  int status = 503;
  Duration retry_after{0};  ///< 0: no Retry-After header.
  std::string_view reason;
};
struct SendHeartbeat {
  Heartbeat heartbeat;
  std::vector<Endpoint> to;
};
struct SendHeartbeatBatch {
  HeartbeatBatch batch;
  std::vector<Endpoint> to;
};
struct SendMapChange {
  MapChange change;
  std::vector<Endpoint> to;
};
struct SendStoreUpdate {
  StoreUpdate update;
  std::vector<Endpoint> to;
};
/// Starts or stops watching the store for changes. A StoreChanged follows for
/// each answer of the watch.
struct WatchStore {
  bool on = true;
  Duration wait{0};  ///< The store answers at the latest after this time.
  /// The copies are complete up to these positions.
  StorePosition configuration_as_of;
  StorePosition servers_as_of;
  StorePosition evacuations_as_of;
};
/// Reads the changes of one part of the store, once.
struct CatchUp {
  StoreView view = StoreView::kServers;
  StorePosition as_of;  ///< The copy is complete up to this position.
};
/// Reads everything in the store again, and writes this daemon's own record
/// again: the store has been restored from an older copy.
struct ReadStoreAgain {};
/// Writes the map if the store still has revision `expected` of it (0: no map).
/// Exactly one MapWriteEnded follows.
struct WriteMap {
  OwnerMap map;
  Version expected;
  std::uint64_t number = 0;  ///< Tells the writes of one service apart.
};
/// Reads the map from the store. MapSeen or MapMissing follows if it answers.
struct ReadMap {
  ServiceName service;
  TimePoint sent_at;  ///< The answer shows the map as it was then or later.
};
/// Reads the record of requests in quarantine. Exactly one QuarantineRecordRead
/// follows.
struct ReadQuarantineRecord {};
/// Writes that record if the store still has revision `expected` of it (0: no
/// record). Exactly one QuarantineRecordWritten follows.
struct WriteQuarantineRecord {
  std::vector<Strike> strikes;
  Version expected;
};
/// Grants keys to a server or renews the grant. Exactly one OrderEnded follows.
struct GrantKeys {
  std::uint64_t order = 0;
  ServerName server;
  Endpoint address;
  ShardKey first;
  ShardKey last;
  Epoch epoch;
  Duration hold{0};      ///< Duration of the grant.
  std::string handover;  ///< From the release of the previous owner, or empty.
};
/// Takes keys back from a server. Exactly one OrderEnded follows.
struct ReleaseKeys {
  std::uint64_t order = 0;
  ServerName server;
  Endpoint address;
  ShardKey first;
  ShardKey last;
  Epoch epoch;
};
/// Logs a decision with the values on which it is based.
struct LogEvent {
  std::string_view name;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

using Effect =
    std::variant<SendAttempt, CancelAttempt, RelayAnswer, AnswerCaller,
                 SendHeartbeat, SendHeartbeatBatch, SendMapChange,
                 SendStoreUpdate, WatchStore, CatchUp, ReadStoreAgain, WriteMap,
                 ReadMap, ReadQuarantineRecord, WriteQuarantineRecord,
                 GrantKeys, ReleaseKeys, LogEvent>;
using Effects = std::vector<Effect>;

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_EFFECT_H_
