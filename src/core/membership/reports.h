#ifndef EELGRASSPIN_CORE_MEMBERSHIP_REPORTS_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_REPORTS_H_

#include "core/state.h"

/// Reports and accounts that the daemons of coordinated zones send with their
/// heartbeats.
namespace eelgrasspin::core::membership {

/// Keeps those reports and accounts of a heartbeat that concern a zone
/// coordinated by this daemon.
void accept_reports(core::State& state, const Heartbeat& heartbeat, Now now);

/// Drops reports of replaced fronts and accounts of removed members after a
/// change of the roster.
void drop_obsolete_reports(core::State& state, const ZoneRoster& before,
                           const ZoneRoster& roster);

/// Whether a previous front, named by its epoch, has reported that it stopped.
bool reported_stopped(const core::State& state, const ServerName& server,
                      FrontEpoch epoch);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_REPORTS_H_
