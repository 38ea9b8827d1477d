#ifndef EELGRASSPIN_REQUEST_H_
#define EELGRASSPIN_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin {

/// A request without its body, which the I/O layer keeps under the request's
/// id.
struct RequestHead {
  ServiceName service;
  std::string method;
  std::string path;  ///< Below the service's prefix, with query.
  CallerName caller;
  std::string idempotency_key;
  std::optional<Duration> time_left;  ///< From the caller's deadline header.
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;
  std::uint32_t hops = 0;  ///< Daemons that have forwarded it.
};

/// The owner of the key according to the forwarding daemon.
struct ForwardedFrom {
  DaemonName daemon;
  ServerName server;
  SlotId slot;
  Epoch epoch;  ///< Of the slot; 0 if the daemon had no ownership map.
};

struct FromCaller {};
using RequestOrigin = std::variant<FromCaller, ForwardedFrom>;

// Results of one attempt to run a request on a backend server.

/// The complete answer was received.
struct AttemptAnswered {
  std::uint16_t status = 200;  ///< HTTP status of the answer, which is kept
                               ///< under the attempt's id.
  std::uint64_t bytes = 0;
};

/// The request has certainly not run.
struct AttemptNotRun {
  Reason reason = Reason::kNone;
  Duration retry_after{0};
  Epoch newer_epoch;  ///< Lower bound of the slot's epoch, as known to the
                      ///< refusing daemon.
  std::uint16_t earlier_status =
      0;  ///< With kRepeatAnswered: HTTP status of the recorded answer.
};

/// The request was sent, but no complete answer was received.
struct AttemptUnknown {
  Reason reason = Reason::kNone;
  bool connection_closed =
      false;  ///< The server closed or reset the connection before it answered.
};

using AttemptResult =
    std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown>;

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_REQUEST_H_
