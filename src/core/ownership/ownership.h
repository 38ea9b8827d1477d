#ifndef EELGRASSPIN_CORE_OWNERSHIP_OWNERSHIP_H_
#define EELGRASSPIN_CORE_OWNERSHIP_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

namespace eelgrasspin::core::ownership {

void step(core::State& state, const Event& event, Now now, Effects& effects);

/// Slot of a key: the low bits of its XXH64 hash.
SlotId slot_of(const Key& key, std::uint32_t key_slots);

enum class SendPermission : std::uint8_t {
  kSend,      ///< The server holds the key's slot under a grant in force.
  kHold,      ///< Not now; it may be allowed soon (no grant confirmed yet, or a
              ///< move in progress).
  kNotFront,  ///< This daemon is not the front of the key's owner.
};

struct SendCheck {
  SendPermission permission = SendPermission::kNotFront;
  Epoch epoch;  ///< To be sent with the request if it is allowed.
  FrontEpoch front_epoch;
};

/// Whether a request may be sent to `server`. Called by the request path of the
/// server's front just before sending.
SendCheck check_send(const core::State& state, const ServerName& server,
                     SlotId slot, const Key& key, Now now);

/// Servers of which this daemon is currently the front.
std::vector<ServerName> fronted_servers(const core::State& state);

/// Reports of this daemon's fronts for the next heartbeat.
std::vector<FrontReport> front_reports(const core::State& state, Now now);

/// Orders a move from this daemon as the zone's coordinator; idempotent. The
/// result is "waiting" until the move is in the store, "moving" from then on,
/// and "done" once the target owns the unit. Errors: kNotFound and kInvalid for
/// an invalid order, kConflict if another move of the unit was ordered first,
/// kRefused if the target is not usable, kUnavailable if this daemon cannot
/// decide at present.
Result<std::string> order_move(core::State& state, const MoveCommand& move,
                               Now now, Effects& effects);

/// Number of a service's slots and carved-out keys in a zone that are not
/// closed.
std::uint64_t owned_units(const core::State& state, const ServiceName& service,
                          const ZoneName& zone);

/// Ownership history of a service in a zone: the coordinator's copy if this
/// daemon has it, else the stored one as cached.
std::vector<OwnershipSpan> history(const core::State& state,
                                   const ServiceName& service,
                                   const ZoneName& zone);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_OWNERSHIP_H_
