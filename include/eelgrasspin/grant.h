#ifndef EELGRASSPIN_GRANT_H_
#define EELGRASSPIN_GRANT_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/units.h"

/// The grant protocol between a front and a backend server that checks grants.
namespace eelgrasspin {

/// Front to server. A renewal extends nothing by arriving: the server counts
/// `term` from the moment it sent the answer numbered `echo`, and the front
/// from the moment it received that answer.
struct GrantOrder {
  DaemonName front;
  FrontEpoch front_epoch;
  std::uint64_t sequence =
      0;  ///< Up by one with each order of this front epoch; the first is 1.
  std::uint64_t echo = 0;  ///< Sequence of the newest answer received; 0: none,
                           ///< grants nothing yet.
  Duration term{0};
  std::uint64_t set_version =
      0;  ///< Of `slots`; goes up with each change of the set.
  bool carries_set = false;  ///< False: the set is the one last sent.
  std::vector<SlotGrant> slots;
  bool want_inventory =
      false;  ///< The answer is to list what the server holds.
};

/// Server's answer to an order that it obeys.
struct GrantAnswer {
  Incarnation incarnation;
  FrontEpoch front_epoch;
  std::uint64_t sequence = 0;     ///< Of the order answered.
  std::uint64_t set_version = 0;  ///< Newest set received.
  /// Newest set in force: each slot dropped by it has nothing running any more.
  std::uint64_t applied_set_version = 0;
  std::vector<SlotGrant> inventory;  ///< When asked for.
  std::uint32_t running = 0;         ///< Requests running; a hint.
};

/// The server obeys a front of a higher epoch.
struct GrantStale {
  FrontEpoch highest_epoch;
};

/// No answer was received: refused, timed out or broken.
struct GrantUnreachable {
  bool connection_refused = false;
};

using GrantReply = std::variant<GrantAnswer, GrantStale, GrantUnreachable>;

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_GRANT_H_
