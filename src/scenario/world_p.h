#ifndef EELGRASSPIN_SCENARIO_WORLD_P_H_
#define EELGRASSPIN_SCENARIO_WORLD_P_H_

#include "scenario/world.h"

/// Shared by the source files of the simulated deployment.
namespace eelgrasspin::scenario {

/// One-way latency between two availability zones.
Duration latency(const World& world, const ZoneName& from, const ZoneName& to);
bool reachable(const World& world, const ZoneName& from, const ZoneName& to);
bool store_reachable(const World& world, const ZoneName& zone);
/// Records a breach of a guarantee, with the current time.
void add_violation(World& world, const std::string& message);

// Store effects. The daemon receives the result after the latency both ways.
void store_get(World& world, const DaemonName& daemon,
               const core::StoreGet& effect);
void store_list(World& world, const DaemonName& daemon,
                const core::StoreList& effect);
void store_put(World& world, const DaemonName& daemon,
               const core::StorePut& effect);
void store_watch(World& world, const DaemonName& daemon,
                 const core::StoreWatch& effect);

// Effects on backend servers and other daemons.
void send_grant_order(World& world, const DaemonName& daemon,
                      const core::SendGrant& effect);
void run_on_server(World& world, const DaemonName& daemon,
                   const core::SendToServer& effect, RequestSerial serial);
void cancel_on_server(World& world, const ServerName& server,
                      const DaemonName& daemon, AttemptId attempt);
void cancel_forward(World& world, const Daemon::Forward& forward,
                    const ZoneName& from);

/// Delivers the result of an attempt to the daemon that made it, after `delay`.
void end_attempt(World& world, const DaemonName& daemon,
                 std::uint64_t generation, RequestId request, AttemptId attempt,
                 const AttemptResult& result, Duration delay);

/// Executes one effect of a daemon's reducer.
void execute_effect(World& world, const DaemonName& daemon,
                    const core::Effect& effect);

// Checks made during the run; check_run makes those at the end.
void check_ownership_write(World& world, const StoreEntry& entry);
void check_execution_start(World& world, const Execution& execution);
/// Checks that the declarations that a daemon uses never regress.
void check_caches(World& world, Daemon& daemon);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_WORLD_P_H_
