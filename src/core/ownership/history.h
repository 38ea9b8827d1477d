#ifndef EELGRASSPIN_CORE_OWNERSHIP_HISTORY_H_
#define EELGRASSPIN_CORE_OWNERSHIP_HISTORY_H_

#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// Who owned which slots when, for the closing reports.
namespace eelgrasspin::core::ownership {

/// Updates open spans from a map: a unit whose owner or epoch changed closes
/// its span at `wall` and opens another one. Neighbouring slots with the same
/// owner, epoch and times share a span.
void observe(OwnershipHistory& history, const OwnershipMap& map,
             std::uint32_t key_slots, WallTime wall);

/// Reads the stored history once for each coordinator term, follows the map
/// and writes at most once each second.
void maintain_history(core::State& state, const Part& part, Now now,
                      Effects& effects);

/// Takes the answer to a read of a stored history.
void take_history_answer(core::State& state, const StoreAnswered& answer,
                         Now now);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_HISTORY_H_
