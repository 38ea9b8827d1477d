#ifndef EELGRASSPIN_GRANT_H_
#define EELGRASSPIN_GRANT_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/units.h"

/// Grant protocol between a front and a backend server that checks grants.
namespace eelgrasspin {

/// Sent by a front to its server. The arrival of an order does not itself
/// extend the grant: the server counts `term` from when it sent the answer
/// numbered `echo`, the front from when it received that answer.
struct GrantOrder {
  DaemonName front;
  FrontEpoch front_epoch;
  std::uint64_t sequence =
      0;  ///< Starts at 1 and increases by one per order of this front epoch.
  std::uint64_t echo = 0;  ///< Sequence of the newest answer received; 0 if
                           ///< none, then the order grants nothing yet.
  Duration term{0};
  std::uint64_t set_version =
      0;  ///< Version of the granted set; increases with each change.
  bool carries_set = false;  ///< If false, `slots` is empty and the set last
                             ///< sent still applies.
  std::vector<SlotGrant> slots;
  bool want_inventory =
      false;  ///< Asks for the server's grants in GrantAnswer::inventory.
};

/// The server's answer to an order that it accepts.
struct GrantAnswer {
  Incarnation incarnation;
  FrontEpoch front_epoch;
  std::uint64_t sequence = 0;     ///< Of the order answered.
  std::uint64_t set_version = 0;  ///< Newest set received.
  /// Newest set that is fully applied: no request is running on any slot that
  /// it dropped.
  std::uint64_t applied_set_version = 0;
  std::vector<SlotGrant> inventory;  ///< Only if the order asked for it.
  std::uint32_t running = 0;         ///< Requests running; approximate.
};

/// The server has accepted orders of a higher front epoch.
struct GrantStale {
  FrontEpoch highest_epoch;
};

/// No answer was received: the connection was refused, timed out or broke.
struct GrantUnreachable {
  bool connection_refused = false;
};

using GrantReply = std::variant<GrantAnswer, GrantStale, GrantUnreachable>;

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_GRANT_H_
