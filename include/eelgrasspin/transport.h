#ifndef EELGRASSPIN_TRANSPORT_H_
#define EELGRASSPIN_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/request.h"

namespace eelgrasspin {

/// A body and the header fields that are forwarded with it.
struct Payload {
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Result of an attempt. `payload` is set if `result` is AttemptAnswered.
struct AttemptReply {
  AttemptResult result;
  std::shared_ptr<const Payload> payload;
};

/// A request to be sent to another daemon or to a backend server.
struct OutboundRequest {
  RequestHead head;
  ServerName server;
  SlotId slot;
  Key key;
  Epoch epoch;
  FrontEpoch front_epoch;  ///< Set for backend servers only.
  Duration time_left{0};
  /// If false, it is sent at most once, and only on a connection that is new or
  /// on which data has just been received.
  bool repeatable = false;
  std::shared_ptr<const Payload> payload;
};

/// Sends messages and requests to other daemons.
class Transport {
 public:
  using AttemptCallback = std::function<void(AttemptReply)>;

  virtual ~Transport() = default;
  /// Best effort; a message that cannot be delivered is dropped.
  virtual void send(const Endpoint& to, const PeerMessage& message) = 0;
  /// Calls `done` exactly once, unless cancelled.
  virtual void forward(AttemptId attempt, const Endpoint& to,
                       const OutboundRequest& request,
                       AttemptCallback done) = 0;
  /// Abandons an attempt; its callback is no longer called.
  virtual void cancel(AttemptId attempt) = 0;
};

/// Runs requests on backend servers.
class BackendCalls {
 public:
  using AttemptCallback = std::function<void(AttemptReply)>;

  virtual ~BackendCalls() = default;
  /// Calls `done` exactly once, unless cancelled. Yields AttemptNotRun only if
  /// the request has certainly not run.
  virtual void run(AttemptId attempt, const Endpoint& server,
                   const OutboundRequest& request, AttemptCallback done) = 0;
  /// Abandons an attempt and notifies the server; its callback is no longer
  /// called.
  virtual void cancel(AttemptId attempt) = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TRANSPORT_H_
