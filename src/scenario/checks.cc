#include "scenario/checks.h"

#include <algorithm>
#include <map>
#include <set>

#include "scenario/world_p.h"

namespace eelgrasspin::scenario {
namespace {

bool has_owner(const SlotRecord& slot) {
  return slot.phase == SlotPhase::kOwned || slot.phase == SlotPhase::kMoving ||
         slot.phase == SlotPhase::kReleasing;
}

/// Epoch under which the owner of a slot holds it; that of a slot on the move
/// is its target's.
Epoch held_epoch(const SlotRecord& slot) {
  bool leaving =
      slot.phase == SlotPhase::kMoving || slot.phase == SlotPhase::kReleasing;
  return leaving ? Epoch(slot.epoch.value - 1) : slot.epoch;
}

void check_epochs(World& world, const OwnershipMap& before,
                  const OwnershipMap& after) {
  for (const auto& [slot, record] : after.slots) {
    auto earlier = before.slots.find(slot);
    if (earlier == before.slots.end()) continue;
    if (record.epoch < earlier->second.epoch)
      violate(world, "the epoch of a slot went down");
    if (has_owner(record) && has_owner(earlier->second) &&
        record.owner != earlier->second.owner &&
        held_epoch(record) <= held_epoch(earlier->second)) {
      violate(world, "a slot changed owner under the same epoch");
    }
  }
}

void check_zones(World& world, const OwnershipMap& map) {
  for (const auto& [zone, unused] : world.declarations.zones) {
    if (zone == map.zone) continue;
    auto it = world.store.entries.find(ownership_map_key(map.service, zone));
    if (it == world.store.entries.end()) continue;
    const auto* other = std::get_if<OwnershipMap>(&it->second.record);
    if (other == nullptr) continue;
    for (const auto& [slot, record] : map.slots) {
      auto there = other->slots.find(slot);
      if (there != other->slots.end() && has_owner(record) &&
          has_owner(there->second)) {
        violate(world, "slot " + std::to_string(slot.value) +
                           " has owners in two zones");
        return;
      }
    }
  }
}

void check_ends(World& world) {
  for (const auto& [serial, request] : world.requests) {
    if (request.ends > 1)
      violate(world,
              "request " + std::to_string(serial) + " ended more than once");
    if (request.outcome == Outcome::kAnswered && request.answer_of != serial) {
      violate(world, "request " + std::to_string(serial) +
                         " was given another's answer");
    }
  }
}

void check_executions(World& world) {
  std::map<RequestSerial, std::uint32_t> runs;
  std::map<std::string, std::uint32_t> by_idempotency_key;
  for (const Execution& execution : world.executions) {
    ++runs[execution.serial];
    const CallerRequest& request = world.requests.at(execution.serial);
    if (request.execution_class == ExecutionClass::kAtMostOnce)
      ++by_idempotency_key[request.head.idempotency_key];
  }
  for (const auto& [serial, count] : runs) {
    const CallerRequest& request = world.requests.at(serial);
    if (request.outcome == Outcome::kNotRun) {
      violate(world, "request " + std::to_string(serial) +
                         " was told not run (" +
                         std::string(to_string(request.reason)) + ") but ran");
    }
  }
  for (const auto& [key, count] : by_idempotency_key) {
    if (count > 1)
      violate(world, "at-most-once operation " + key + " ran " +
                         std::to_string(count) + " times");
  }
}

}  // namespace

void check_ownership_write(World& world, const StoreEntry& entry) {
  const auto* map = std::get_if<OwnershipMap>(&entry.record);
  if (map == nullptr) return;
  OwnershipMap& before = world.last_maps[entry.key];
  check_epochs(world, before, *map);
  check_zones(world, *map);
  before = *map;
}

void check_execution_start(World& world, const Execution& execution) {
  const ServiceName& service =
      world.servers.at(execution.server).declaration.service;
  const Duration limit =
      world.declarations.services.at(service).execution_limit;
  auto& last = world.last_execution[{service, execution.key}];
  if (last.epoch > execution.epoch) {
    violate(world, "key " + execution.key.str() +
                       " ran under an older epoch on " +
                       execution.server.str());
  }
  for (const auto& [name, server] : world.servers) {
    if (name == execution.server || server.declaration.service != service)
      continue;
    for (const auto& [id, running] : server.running) {
      const Execution& other = world.executions[running.execution];
      if (other.key != execution.key || world.now > other.start + limit)
        continue;
      violate(world, "key " + execution.key.str() + " runs on " + name.str() +
                         " and " + execution.server.str());
    }
  }
  if (last.epoch == execution.epoch && !last.server.empty() &&
      last.server != execution.server) {
    violate(world, "key " + execution.key.str() +
                       " ran on two servers under one epoch");
  }
  last = {execution.epoch, execution.server};
}

void check_caches(World& world, Daemon& daemon) {
  Version version = core::version_of(daemon.state.cache, declarations_key());
  if (version < daemon.declarations_seen)
    violate(world, "declarations went back on " + daemon.state.self.name.str());
  daemon.declarations_seen = version;
}

std::vector<std::string> check_run(World& world) {
  check_ends(world);
  check_executions(world);
  return {world.violations.begin(), world.violations.end()};
}

Duration longest_gap(const World& world, const ServiceName& service,
                     Duration from) {
  std::map<Key, Duration> last;
  Duration longest{0};
  for (const auto& [serial, request] : world.requests) {
    if (request.head.service != service || request.sent < from) continue;
    Key key(request.head.path);
    auto [it, fresh] = last.emplace(key, request.sent);
    if (request.outcome != Outcome::kAnswered) continue;
    longest = std::max(longest, request.ended - it->second);
    it->second = std::max(it->second, request.ended);
  }
  for (const auto& [key, since] : last)
    longest = std::max(longest, world.now - since);
  return longest;
}

OutcomeTotals totals(const World& world) {
  OutcomeTotals sums;
  for (const auto& [serial, request] : world.requests) {
    ++sums.sent;
    if (!request.outcome) {
      ++sums.open;
    } else if (*request.outcome == Outcome::kAnswered) {
      ++sums.answered;
    } else if (*request.outcome == Outcome::kNotRun) {
      ++sums.not_run;
    } else {
      ++sums.unknown;
    }
  }
  return sums;
}

}  // namespace eelgrasspin::scenario
