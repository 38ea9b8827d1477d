#ifndef EELGRASSPIN_IO_HELD_REQUESTS_H_
#define EELGRASSPIN_IO_HELD_REQUESTS_H_

#include <map>
#include <memory>
#include <optional>

#include "eelgrasspin/reply_sender.h"
#include "eelgrasspin/request.h"
#include "eelgrasspin/transport.h"
#include "eelgrasspin/units.h"
#include "io/http_server.h"
#include "io/transport_h2.h"

namespace eelgrasspin::io {

/// The complete answer to one attempt, kept until the core decides which
/// attempt's answer is relayed.
struct HeldAnswer {
  std::uint16_t status = 0;
  std::shared_ptr<const Payload> payload;
};

/// A request that has not ended: the parts that the core does not need, and the
/// connection to the caller or daemon that waits for the outcome.
struct HeldRequest {
  RequestHead head;
  std::shared_ptr<const Payload> payload;
  std::shared_ptr<HttpExchange> caller;       ///< Null for a forwarded request.
  std::shared_ptr<InboundRequest> forwarded;  ///< Null for a caller's request.
  TimePoint arrived;
  std::map<AttemptId, HeldAnswer> answers;
};

/// Requests of this daemon that have not ended.
class HeldRequests : public ReplySender {
 public:
  RequestId add(HeldRequest request);
  HeldRequest* find(RequestId request);
  /// Removes a request that its sender has abandoned.
  void drop(RequestId request);

  void answer(RequestId request, std::uint16_t status,
              std::shared_ptr<const Payload> payload) override;
  void refuse(RequestId request, Outcome outcome, Reason reason,
              Duration retry_after, Epoch newer_epoch) override;

  std::size_t size() const { return requests_.size(); }
  /// Total size of the bodies of all held requests.
  std::size_t body_bytes() const { return body_bytes_; }

 private:
  std::optional<HeldRequest> take(RequestId request);

  std::map<RequestId, HeldRequest> requests_;
  std::size_t body_bytes_ = 0;
  std::uint64_t next_id_ = 1;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HELD_REQUESTS_H_
