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

/// Effects: everything that the decision core can request from the I/O shell.
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

/// Send the request to a backend server. The shell keeps head and body by
/// request id.
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
  bool repeatable = false;  ///< It may run more than once.
};

/// Forward the request to the daemon that is the front of `server`.
struct SendToFront {
  RequestId request;
  AttemptId attempt;
  Endpoint front;
  ServerName server;
  SlotId slot;
  Key key;
  Epoch epoch;
  Duration time_left{0};
  bool repeatable = false;  ///< It may run more than once.
};

struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

/// Pass the attempt's complete answer on to the sender of the request (the
/// caller or the forwarding daemon); the request has ended.
struct RelayAnswer {
  RequestId request;
  AttemptId attempt;
};

/// Notify the sender that the request has ended without an answer from the
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

/// Write an event to the log; it is on the timeline already.
struct LogEvent {
  TimelineEvent event;
};

/// End the process; the graceful stop is complete.
struct ExitProcess {};

using Effect = std::variant<StoreGet, StoreList, StorePut, StoreWatch, ListVms,
                            SendPeer, SendGrant, SendToServer, SendToFront,
                            CancelAttempt, RelayAnswer, RefuseRequest,
                            ReplyOperator, LogEvent, ExitProcess>;
using Effects = std::vector<Effect>;

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_EFFECT_H_
