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

/// A request without its body. The body stays with the caller side, under the
/// request's id.
struct RequestHead {
  ServiceName service;
  std::string method;
  std::string path;  ///< Below the service's prefix, with query.
  CallerName caller;
  std::string idempotency_key;
  std::optional<Duration> time_left;  ///< From the caller's deadline header.
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;
  std::uint32_t hops = 0;  ///< Daemons it has passed.
};

/// Where a forwarding daemon believed the key's owner to be.
struct ForwardedFrom {
  DaemonName daemon;
  ServerName server;
  SlotId slot;
  Epoch epoch;  ///< Of the slot; 0 if the map was not known.
};

struct FromCaller {};
using RequestOrigin = std::variant<FromCaller, ForwardedFrom>;

/// How one attempt to have a request run ended.
struct AttemptAnswered {
  std::uint16_t status =
      200;  ///< HTTP status of the whole answer, held under the attempt's id.
  std::uint64_t bytes = 0;
};

/// Provably not run.
struct AttemptNotRun {
  Reason reason = Reason::kNone;
  Duration retry_after{0};
  Epoch newer_epoch;  ///< The refusing daemon knows an epoch at least this high
                      ///< for the slot.
  std::uint16_t earlier_status =
      0;  ///< With kRepeatAnswered: HTTP status of the recorded answer.
};

/// Sent, and no whole answer was seen.
struct AttemptUnknown {
  Reason reason = Reason::kNone;
  bool connection_closed =
      false;  ///< The server closed or reset the connection while it worked.
};

using AttemptResult =
    std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown>;

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_REQUEST_H_
