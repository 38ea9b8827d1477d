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

/// A body and the header fields that travel with it.
struct Payload {
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// What came back for an attempt. `payload` is set when the result is
/// AttemptAnswered.
struct AttemptReply {
  AttemptResult result;
  std::shared_ptr<const Payload> payload;
};

/// A request on its way to another daemon or to a backend server.
struct OutboundRequest {
  RequestHead head;
  ServerName server;
  SlotId slot;
  Key key;
  Epoch epoch;
  FrontEpoch front_epoch;  ///< Set towards backend servers.
  Duration time_left{0};
  bool repeatable = false;  ///< False: only on a connection just shown to be
                            ///< alive, and sent at most once.
  std::shared_ptr<const Payload> payload;
};

/// Carries messages and requests between daemons.
class Transport {
 public:
  using AttemptCallback = std::function<void(AttemptReply)>;

  virtual ~Transport() = default;
  /// Best effort; a message that cannot be delivered is dropped.
  virtual void send(const Endpoint& to, const PeerMessage& message) = 0;
  /// Answers exactly once, unless cancelled.
  virtual void forward(AttemptId attempt, const Endpoint& to,
                       const OutboundRequest& request,
                       AttemptCallback done) = 0;
  /// Gives up on an attempt; its callback is not called any more.
  virtual void cancel(AttemptId attempt) = 0;
};

/// Runs requests on backend servers.
class BackendCalls {
 public:
  using AttemptCallback = std::function<void(AttemptReply)>;

  virtual ~BackendCalls() = default;
  /// Answers exactly once, unless cancelled. Attention: AttemptNotRun only with
  /// proof.
  virtual void run(AttemptId attempt, const Endpoint& server,
                   const OutboundRequest& request, AttemptCallback done) = 0;
  /// Gives up on an attempt and tells the server; its callback is not called
  /// any more.
  virtual void cancel(AttemptId attempt) = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TRANSPORT_H_
