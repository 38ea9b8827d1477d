#ifndef EELGRASSPIN_TESTS_OWNERSHIP_WORLD_H_
#define EELGRASSPIN_TESTS_OWNERSHIP_WORLD_H_

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "core/ownership/ownership.h"
#include "scenario/checks.h"
#include "scenario/world.h"
#include "scenario/world_p.h"

/// A service in two availability zones in virtual time, with a prober that
/// sends a request wherever a front permits it.
namespace eelgrasspin::core::ownership {

using scenario::World;

inline const ServiceName kService("panboard");
inline const ZoneName kGongoni("gongoni");
inline const ZoneName kMarereni("marereni");
inline constexpr std::uint32_t kSlots = 16;

inline ServerName server_name(int number) {
  return ServerName("panboard-" + std::to_string(number));
}

struct WorldOptions {
  int gongoni_servers = 3;
  int marereni_servers = 1;
  bool checks_grants = true;
  Guards guards;
  std::uint64_t seed = 1;
  IsolationPolicy on_isolation = IsolationPolicy::kKeep;
  Duration yield_after = seconds(20);
  Duration execution_limit = seconds(1);
};

/// The prober does not limit the number of running requests.
inline constexpr std::uint32_t kUnlimitedConcurrency = 1'000'000;

inline Declarations declare(const WorldOptions& options) {
  Declarations declarations;
  declarations.deployment = "test";
  for (const ZoneName& zone : {kGongoni, kMarereni})
    declarations.zones[zone] = {zone, RegionName("kilifi")};
  declarations.services[kService] = {.name = kService,
                                     .key_slots = kSlots,
                                     .execution_limit = options.execution_limit,
                                     .on_isolation = options.on_isolation,
                                     .yield_after = options.yield_after};
  declarations.services[kService].operations = {
      {"reading", "PUT", "/pans/{key}", ExecutionClass::kIdempotent}};
  for (int i = 1; i <= options.gongoni_servers + options.marereni_servers;
       ++i) {
    ServerName name = server_name(i);
    declarations.servers[name] = {
        .name = name,
        .service = kService,
        .zone = i <= options.gongoni_servers ? kGongoni : kMarereni,
        .address = Endpoint(name.str()),
        .concurrency = kUnlimitedConcurrency,
        .checks_grants = options.checks_grants};
  }
  return declarations;
}

/// One key for each slot.
inline std::vector<Key> keys_by_slot() {
  std::vector<Key> keys(kSlots);
  std::size_t found = 0;
  for (int i = 0; found < kSlots; ++i) {
    Key key("pan-" + std::to_string(i));
    Key& slot_key = keys[slot_of(key, kSlots).value];
    if (!slot_key.empty()) continue;
    slot_key = key;
    ++found;
  }
  return keys;
}

/// Sends one request for each key through every front that may send it.
struct Prober {
  std::vector<Key> keys = keys_by_slot();
  std::uint64_t next_attempt = 1'000'000;
};

inline void probe_key(World& world, Prober& prober, const DaemonName& name,
                      const ServerName& server, const Key& key) {
  scenario::Daemon& daemon = world.daemons.at(name);
  SlotId slot = slot_of(key, kSlots);
  SendCheck check = check_send(daemon.state, server, slot, key,
                               scenario::now_of(world, daemon));
  if (check.permission != SendPermission::kSend) return;
  scenario::RequestSerial serial = world.next_serial++;
  world.requests[serial] = {.serial = serial,
                            .head = {.service = kService},
                            .entry = name,
                            .sent = world.now,
                            .execution_class = ExecutionClass::kIdempotent};
  SendToServer send{.request = RequestId(serial),
                    .attempt = AttemptId(prober.next_attempt++),
                    .server = server,
                    .slot = slot,
                    .key = key,
                    .epoch = check.epoch,
                    .front_epoch = check.front_epoch,
                    .time_left = seconds(1),
                    .repeatable = true};
  scenario::run_on_server(world, name, send, serial);
}

inline void probe(World& world, const std::shared_ptr<Prober>& prober) {
  for (auto& [name, daemon] : world.daemons) {
    if (!daemon.alive || daemon.paused) continue;
    for (const ServerName& server : fronted_servers(daemon.state)) {
      for (const Key& key : prober->keys)
        probe_key(world, *prober, name, server, key);
    }
  }
  scenario::schedule(world, milliseconds(20),
                     [prober](World& w) { probe(w, prober); });
}

inline World start_world(const WorldOptions& options) {
  World world = scenario::make_world(declare(options), options.seed);
  scenario::put_declarations(world, world.declarations);
  for (const char* name : {"gongoni-1", "gongoni-2", "gongoni-3"})
    scenario::add_daemon(world, DaemonName(name), kGongoni, options.guards);
  scenario::add_daemon(world, DaemonName("marereni-1"), kMarereni,
                       options.guards);
  std::vector<DaemonName> names;
  for (const auto& [name, daemon] : world.daemons) names.push_back(name);
  for (const DaemonName& name : names) scenario::start_daemon(world, name);
  scenario::run_for(world, seconds(12));
  probe(world, std::make_shared<Prober>());
  scenario::run_for(world, seconds(1));
  return world;
}

inline const OwnershipMap& stored_map(const World& world,
                                      const ZoneName& zone) {
  return std::get<OwnershipMap>(
      world.store.entries.at(ownership_map_key(kService, zone)).record);
}

inline std::size_t owned_by(const World& world, const ZoneName& zone,
                            const ServerName& server) {
  std::size_t count = 0;
  for (const auto& [slot, record] : stored_map(world, zone).slots) {
    if (record.owner == server && record.phase == SlotPhase::kOwned) ++count;
  }
  return count;
}

/// Longest time between completed executions of one key, over all keys, from
/// `from` until now.
inline Duration longest_outage(const World& world, Duration from) {
  std::map<Key, Duration> last_end;
  for (const Key& key : keys_by_slot()) last_end[key] = from;
  Duration longest{0};
  for (const scenario::Execution& execution : world.executions) {
    if (!execution.ended || execution.aborted || execution.end < from) continue;
    longest = std::max(longest, execution.end - last_end[execution.key]);
    last_end[execution.key] = execution.end;
  }
  for (const auto& [key, ended] : last_end)
    longest = std::max(longest, world.now - ended);
  return longest;
}

inline DaemonName front_of(const World& world, const ServerName& server) {
  const auto& declared = world.declarations.servers.at(server);
  const auto& roster = std::get<ZoneRoster>(
      world.store.entries.at(roster_key(declared.zone)).record);
  return roster.fronts.at(server).daemon;
}

inline DaemonName coordinator_of(const World& world, const ZoneName& zone) {
  return std::get<CoordinatorLease>(
             world.store.entries.at(coordinator_lease_key(zone)).record)
      .holder;
}

/// Gives a move order to the coordinator of gongoni. Returns the error message;
/// empty if the order was accepted.
inline std::string order(World& world, const MoveCommand& move) {
  scenario::Daemon& daemon = world.daemons.at(coordinator_of(world, kGongoni));
  Effects effects;
  auto result =
      order_move(daemon.state, move, scenario::now_of(world, daemon), effects);
  return ok(result) ? "" : error(result).message;
}

inline SlotId slot_owned_by(const World& world, const ServerName& server) {
  for (const auto& [slot, record] : stored_map(world, kGongoni).slots) {
    if (record.owner == server) return slot;
  }
  return SlotId(kSlots);
}

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_TESTS_OWNERSHIP_WORLD_H_
