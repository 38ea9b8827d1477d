#ifndef EELGRASSPIN_CORE_MEMBERSHIP_REPORTS_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_REPORTS_H_

#include "core/state.h"

/// What the fronts and daemons of coordinated zones report with their
/// heartbeats.
namespace eelgrasspin::core::membership {

/// Keeps a heartbeat's reports and accounts as far as they concern a zone that
/// this daemon coordinates.
void take_reports(core::State& state, const Heartbeat& beat, Now now);

/// Drops reports, and accounts of former members, that a new roster has made
/// void.
void drop_void_reports(core::State& state, const ZoneRoster& before,
                       const ZoneRoster& roster);

/// Whether an earlier front has reported that it stopped.
bool reported_stopped(const core::State& state, const ServerName& server,
                      FrontEpoch epoch);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_REPORTS_H_
