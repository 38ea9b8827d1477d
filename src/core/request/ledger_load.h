#ifndef EELGRASSPIN_CORE_REQUEST_LEDGER_LOAD_H_
#define EELGRASSPIN_CORE_REQUEST_LEDGER_LOAD_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// How a ledger writer starts: it reads what every zone recorded, then makes
/// sure that no earlier writer of its zone can record anything more.
namespace eelgrasspin::core::request {

/// Starts to load again; intents that were being written wait.
void restart_load(ZoneLedger& ledger);

/// Takes the next step of a load.
void step_load(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
               const Event& event, Now now, Effects& effects);

/// Versions of all zone maps; a slot may have come from another zone when they
/// change.
std::vector<Version> zone_map_versions(const core::State& state);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LEDGER_LOAD_H_
