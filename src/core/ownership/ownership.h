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
  kSend,  ///< The server holds the key's slot under a grant in force.
  kHold,  ///< Not now; it may be allowed soon (grant under way, or a move not
          ///< finished).
  kNotFront,  ///< This daemon is not the front of the key's owner.
};

struct SendCheck {
  SendPermission permission = SendPermission::kNotFront;
  Epoch epoch;  ///< To be sent with the request, when allowed.
  FrontEpoch front_epoch;
};

/// Asked by the request path of the front of `server` just before a request is
/// sent.
SendCheck check_send(const core::State& state, const ServerName& server,
                     SlotId slot, const Key& key, Now now);

/// Servers of which this daemon is the front now.
std::vector<ServerName> fronted_servers(const core::State& state);

/// Reports of this daemon's fronts for the next heartbeat.
std::vector<FrontReport> front_reports(const core::State& state, Now now);

/// Orders a move from this zone's coordinator; repeats are harmless. The result
/// is "waiting" until the move is in the store, "moving" from then on, and
/// "done" once the target owns it. Errors: kNotFound and kInvalid for a wrong
/// order, kConflict if another move of the unit came first, kRefused if the
/// target is not usable, kUnavailable if this daemon cannot decide now.
Result<std::string> order_move(core::State& state, const MoveCommand& move,
                               Now now, Effects& effects);

/// Slots and carved-out keys of a service in a zone that still have an owner or
/// are on their way.
std::uint64_t owned_units(const core::State& state, const ServiceName& service,
                          const ZoneName& zone);

/// Who owned what, when, as this zone's coordinator knows it.
std::vector<OwnershipSpan> history(const core::State& state,
                                   const ServiceName& service,
                                   const ZoneName& zone);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_OWNERSHIP_H_
