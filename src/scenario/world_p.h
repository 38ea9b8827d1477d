#ifndef EELGRASSPIN_SCENARIO_WORLD_P_H_
#define EELGRASSPIN_SCENARIO_WORLD_P_H_

#include "scenario/world.h"

/// Shared by the parts of the virtual-time world.
namespace eelgrasspin::scenario {

/// One-way latency between two availability zones.
Duration latency(const World& world, const ZoneName& from, const ZoneName& to);
bool reachable(const World& world, const ZoneName& from, const ZoneName& to);
bool store_reachable(const World& world, const ZoneName& zone);
void violate(World& world, const std::string& what);

// Store effects; `done` runs in the daemon's world after the answer has
// travelled.
void store_get(World& world, const DaemonName& daemon,
               const core::StoreGet& effect);
void store_list(World& world, const DaemonName& daemon,
                const core::StoreList& effect);
void store_put(World& world, const DaemonName& daemon,
               const core::StorePut& effect);
void store_watch(World& world, const DaemonName& daemon,
                 const core::StoreWatch& effect);

// Server effects.
void server_order(World& world, const DaemonName& daemon,
                  const core::SendGrant& effect);
void run_on_server(World& world, const DaemonName& daemon,
                   const core::SendToServer& effect, RequestSerial serial);
void server_cancel(World& world, const ServerName& server,
                   const DaemonName& daemon, AttemptId attempt);
void cancel_forward(World& world, const Daemon::Forward& forward,
                    const ZoneName& from);

/// Ends an attempt at its daemon after the answer has travelled.
void end_attempt(World& world, const DaemonName& daemon,
                 std::uint64_t generation, RequestId request, AttemptId attempt,
                 const AttemptResult& result, Duration delay);

void execute(World& world, const DaemonName& daemon,
             const core::Effect& effect);

// Checks made as things happen.
void check_ownership_write(World& world, const StoreEntry& entry);
void check_execution_start(World& world, const Execution& execution);
void check_caches(World& world, Daemon& daemon);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_WORLD_P_H_
