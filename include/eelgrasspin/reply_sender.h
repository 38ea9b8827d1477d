#ifndef EELGRASSPIN_REPLY_SENDER_H_
#define EELGRASSPIN_REPLY_SENDER_H_

#include <memory>

#include "eelgrasspin/request.h"
#include "eelgrasspin/transport.h"

namespace eelgrasspin {

/// Sends the final result of a request to its sender, which is a caller or the
/// daemon that forwarded it.
class ReplySender {
 public:
  virtual ~ReplySender() = default;
  virtual void answer(RequestId request, std::uint16_t status,
                      std::shared_ptr<const Payload> payload) = 0;
  virtual void refuse(RequestId request, Outcome outcome, Reason reason,
                      Duration retry_after, Epoch newer_epoch) = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_REPLY_SENDER_H_
