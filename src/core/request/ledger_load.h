#ifndef EELGRASSPIN_CORE_REQUEST_LEDGER_LOAD_H_
#define EELGRASSPIN_CORE_REQUEST_LEDGER_LOAD_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Start of a ledger writer: it reads the segments of all zones, then seals
/// those of its own zone, so that no earlier writer can record anything more.
namespace eelgrasspin::core::request {

/// Restarts the load; intents of the pending write wait again.
void restart_load(ZoneLedger& ledger);

/// Advances a load that is not complete.
void step_load(core::State& state, const ZoneName& zone, ZoneLedger& ledger,
               const Event& event, Now now, Effects& effects);

/// Versions of all zone maps. If they change, a slot may have come from another
/// zone, whose intents this ledger has to load.
std::vector<Version> zone_map_versions(const core::State& state);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_LEDGER_LOAD_H_
