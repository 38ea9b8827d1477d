#ifndef EELGRASSPIN_FLEET_EFFECT_H_
#define EELGRASSPIN_FLEET_EFFECT_H_

#include <string_view>
#include <utility>
#include <variant>

#include "fleet/model.h"

namespace eelgrasspin::fleet {

/// Sends a request to a server; ends in one AttemptEnded.
struct SendAttempt {
  AttemptId id;
  RequestId request;
  ServerName server;
  Endpoint address;
  Duration time_left{0};         ///< Told to the server.
  Duration response_timeout{0};  ///< After it the attempt ends as kTimedOut.
  bool repeatable = false;
};
/// Closes the attempt's connection; no AttemptEnded follows.
struct CancelAttempt {
  AttemptId id;
};
/// Passes a server's answer to the caller.
struct RelayAnswer {
  RequestId request;
  std::shared_ptr<const ServerAnswer> answer;
};
/// Ends a request with an answer of our own.
struct AnswerCaller {
  RequestId request;
  int status = 503;
  Duration retry_after{0};  ///< 0: none is named.
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
/// Watches the store for changes, or stops to. Each change is told in a
/// StoreChanged.
struct WatchStore {
  bool on = true;
  Duration wait{0};  ///< Longest time until the store answers.
  /// The copies are complete up to these revisions.
  Version configuration_as_of;
  Version servers_as_of;
};
/// Asks the store once for the changes of one part.
struct CatchUp {
  StoreView view = StoreView::kServers;
  Version as_of;  ///< The copy is complete up to it.
};
/// Writes the map if the store still has it at `expected` (0: absent).
struct WriteMap {
  OwnerMap map;
  Version expected;
};
/// Reads the map again; answers with MapSeen or MapMissing.
struct ReadMap {
  ServiceName service;
};
/// Grants or renews keys; ends in one OrderEnded.
struct GrantKeys {
  std::uint64_t order = 0;
  ServerName server;
  Endpoint address;
  ShardKey first;
  ShardKey last;
  Epoch epoch;
  Duration hold{0};
  std::string handover;
};
/// Takes keys back; ends in one OrderEnded.
struct ReleaseKeys {
  std::uint64_t order = 0;
  ServerName server;
  Endpoint address;
  ShardKey first;
  ShardKey last;
  Epoch epoch;
};
/// A line for the log: what was decided, from what.
struct Note {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

using Effect = std::variant<SendAttempt, CancelAttempt, RelayAnswer,
                            AnswerCaller, SendHeartbeat, SendHeartbeatBatch,
                            SendMapChange, SendStoreUpdate, WatchStore, CatchUp,
                            WriteMap, ReadMap, GrantKeys, ReleaseKeys, Note>;
using Effects = std::vector<Effect>;

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_EFFECT_H_
