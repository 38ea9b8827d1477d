#ifndef EELGRASSPIN_IO_TRANSPORT_H2_H_
#define EELGRASSPIN_IO_TRANSPORT_H2_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/request.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/transport.h"
#include "io/h2_session.h"

namespace eelgrasspin::io {

/// A request received from another daemon. It ends with exactly one answer() or
/// refuse(), or is abandoned by the other daemon.
class InboundRequest {
 public:
  virtual ~InboundRequest() = default;
  virtual const RequestHead& head() const = 0;
  virtual const ForwardedFrom& from() const = 0;
  virtual std::shared_ptr<const Payload> payload() const = 0;
  virtual void answer(std::uint16_t status, const Payload& payload) = 0;
  virtual void refuse(Outcome outcome, Reason reason, Duration retry_after,
                      Epoch newer_epoch) = 0;
  /// Sets a callback for the case that the other daemon cancels the request
  /// before it ends.
  virtual void on_abandoned(std::function<void()> callback) = 0;
};

/// Messages and requests between daemons over HTTP/2.
class TransportH2 : public Transport {
 public:
  struct Handlers {
    std::function<void(PeerMessage)> on_message;
    std::function<void(std::shared_ptr<InboundRequest>)> on_request;
  };

  TransportH2(boost::asio::io_context& io, DaemonName self, Handlers handlers);
  ~TransportH2() override;

  /// Binds the port for other daemons; an error says why that failed.
  std::optional<Error> listen(const Endpoint& endpoint);
  Endpoint bound_endpoint() const;

  void send(const Endpoint& to, const PeerMessage& message) override;
  void forward(AttemptId attempt, const Endpoint& to,
               const OutboundRequest& request, AttemptCallback done) override;
  void cancel(AttemptId attempt) override;

  /// Refuses new streams from other daemons; open ones may still end.
  void shut_down();
  /// Whether every request of other daemons has been answered and sent.
  bool flushed() const;
  void close();
  /// Open connections stop reading and writing without being closed. For tests.
  void stall_connections();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_TRANSPORT_H2_H_
