#ifndef EELGRASSPIN_CORE_OWNERSHIP_HISTORY_H_
#define EELGRASSPIN_CORE_OWNERSHIP_HISTORY_H_

#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// Ownership history of slots, for the closing reports.
namespace eelgrasspin::core::ownership {

/// Updates the spans from an ownership map: if a unit's owner or epoch has
/// changed, its span ends at `wall` and another one starts. Adjacent slots with
/// the same owner, epoch and times share a span.
void update_spans(OwnershipHistory& history, const OwnershipMap& map,
                  std::uint32_t key_slots, WallTime wall);

/// Reads the stored history once in each coordinator term, updates it when the
/// map changes and writes it at most once a second.
void maintain_history(core::State& state, const ServiceZone& service_zone,
                      Now now, Effects& effects);

/// Handles the answer to a read of a stored history.
void on_history_read(core::State& state, const StoreAnswered& answer, Now now);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_HISTORY_H_
