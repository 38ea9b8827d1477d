#ifndef EELGRASSPIN_CORE_EVENT_H_
#define EELGRASSPIN_CORE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/grant.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/object_store.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/request.h"
#include "eelgrasspin/vm_list.h"

/// Events: everything that the decision core reacts to.
namespace eelgrasspin::core {

/// The first event of an incarnation.
struct Started {
  Incarnation incarnation;
};

/// Occurs every config::kTickInterval.
struct Tick {};

/// SIGTERM, or an operator's stop.
struct StopOrdered {};

/// Answer to a StoreGet, StoreList, StorePut or StoreWatch effect.
struct StoreAnswered {
  StoreOpId op;
  StoreResult result;
};

struct VmsListed {
  Result<std::vector<VmEntry>> result;
};

struct PeerReceived {
  PeerMessage message;
};

/// Answer to a SendGrant effect.
struct GrantReplied {
  ServerName server;
  FrontEpoch front_epoch;
  std::uint64_t sequence = 0;
  GrantReply reply;
};

struct RequestArrived {
  RequestId id;
  RequestHead head;
  RequestOrigin origin;
};

/// The sender of the request has disconnected; it gets no answer.
struct RequestCancelled {
  RequestId id;
};

struct AttemptEnded {
  RequestId id;
  AttemptId attempt;
  AttemptResult result;
};

/// An operator's command, checked and parsed.
struct CommandReceived {
  OperatorCallId call;
  OperatorName operator_name;
  CommandId id;  ///< Chosen by the operator's tool; repeats run once.
  std::string text;
  Command command;
  Version base;
};

/// A complete set of declarations from an operator, checked as a whole.
struct DeclarationsReceived {
  OperatorCallId call;
  OperatorName operator_name;
  Declarations declarations;
  Version base;  ///< Version on which the operator based the change.
};

using Event =
    std::variant<Started, Tick, StopOrdered, StoreAnswered, VmsListed,
                 PeerReceived, GrantReplied, RequestArrived, RequestCancelled,
                 AttemptEnded, CommandReceived, DeclarationsReceived>;

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_EVENT_H_
