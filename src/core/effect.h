#ifndef EELGRASSPIN_CORE_EFFECT_H_
#define EELGRASSPIN_CORE_EFFECT_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/grant.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/timeline.h"
#include "eelgrasspin/units.h"

/// Everything the decision core can ask of the shell.
namespace eelgrasspin::core {

struct StoreGet {
  StoreOpId op;
  StoreKey key;
};

struct StoreList {
  StoreOpId op;
  StoreKey prefix;
};

struct StorePut {
  StoreOpId op;
  StoreKey key;
  Version expected;
  Record record;
};

struct StoreWatch {
  StoreOpId op;
  StoreKey prefix;
  Version since;
  Duration wait{0};
};

struct ListVms {};

struct SendPeer {
  Endpoint to;
  PeerMessage message;
};

struct SendGrant {
  ServerName server;
  Endpoint address;
  GrantOrder order;
};

/// Run the request on a backend server. The shell holds head and body under the
/// request's id.
struct SendToServer {
  RequestId request;
  AttemptId attempt;
  ServerName server;
  Endpoint address;
  SlotId slot;
  Key key;
  Epoch epoch;
  FrontEpoch front_epoch;
  Duration time_left{0};
  bool repeatable = false;
};

/// Hand the request to the daemon that is the front of `server`.
struct SendToFront {
  RequestId request;
  AttemptId attempt;
  Endpoint front;
  ServerName server;
  SlotId slot;
  Key key;
  Epoch epoch;
  Duration time_left{0};
  bool repeatable = false;
};

struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

/// Give the attempt's whole answer to whoever sent the request; the request has
/// ended.
struct RelayAnswer {
  RequestId request;
  AttemptId attempt;
};

/// Tell whoever sent the request that it has ended without an answer of the
/// backend server.
struct RefuseRequest {
  RequestId request;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  Duration retry_after{0};
  Epoch newer_epoch;
  std::uint16_t earlier_status =
      0;  ///< With kRepeatAnswered: HTTP status of the recorded answer.
};

struct ReplyOperator {
  OperatorCallId call;
  CommandAnswer answer;
};

/// An event for the log; it is on the time line already.
struct LogEvent {
  TimelineEvent event;
};

/// The graceful stop is complete.
struct ExitProcess {};

using Effect = std::variant<StoreGet, StoreList, StorePut, StoreWatch, ListVms,
                            SendPeer, SendGrant, SendToServer, SendToFront,
                            CancelAttempt, RelayAnswer, RefuseRequest,
                            ReplyOperator, LogEvent, ExitProcess>;
using Effects = std::vector<Effect>;

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_EFFECT_H_
