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

/// Epoch under which the owner holds a slot. The record of a slot that moves or
/// is being released already has the next epoch.
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
      add_violation(world, "the epoch of a slot regressed");
    if (has_owner(record) && has_owner(earlier->second) &&
        record.owner != earlier->second.owner &&
        held_epoch(record) <= held_epoch(earlier->second)) {
      add_violation(world, "a slot changed owner under the same epoch");
    }
  }
}

void check_zones(World& world, const OwnershipMap& map) {
  for (const auto& [zone, unused] : world.declarations.zones) {
    if (zone == map.zone) continue;
    auto it = world.store.entries.find(ownership_map_key(map.service, zone));
    if (it == world.store.entries.end()) continue;
    const auto* other_map = std::get_if<OwnershipMap>(&it->second.record);
    if (other_map == nullptr) continue;
    for (const auto& [slot, record] : map.slots) {
      auto other_slot = other_map->slots.find(slot);
      if (other_slot != other_map->slots.end() && has_owner(record) &&
          has_owner(other_slot->second)) {
        add_violation(world, "slot " + std::to_string(slot.value) +
                                 " has owners in two zones");
        return;
      }
    }
  }
}

void check_request_ends(World& world) {
  for (const auto& [serial, request] : world.requests) {
    if (request.end_count > 1)
      add_violation(
          world, "request " + std::to_string(serial) + " ended more than once");
    if (request.outcome == Outcome::kAnswered &&
        request.answered_serial != serial) {
      add_violation(world, "request " + std::to_string(serial) +
                               " received the answer of another request");
    }
  }
}

void check_executions(World& world) {
  std::map<RequestSerial, std::uint32_t> runs;
  std::map<std::string, std::uint32_t> executions_by_key;
  for (const Execution& execution : world.executions) {
    ++runs[execution.serial];
    const CallerRequest& request = world.requests.at(execution.serial);
    if (request.execution_class == ExecutionClass::kAtMostOnce)
      ++executions_by_key[request.head.idempotency_key];
  }
  for (const auto& [serial, count] : runs) {
    const CallerRequest& request = world.requests.at(serial);
    if (request.outcome == Outcome::kNotRun) {
      add_violation(
          world, "request " + std::to_string(serial) + " was told not run (" +
                     std::string(to_string(request.reason)) + ") but ran");
    }
  }
  for (const auto& [key, count] : executions_by_key) {
    if (count > 1)
      add_violation(world, "at-most-once operation " + key + " ran " +
                               std::to_string(count) + " times");
  }
}

}  // namespace

void check_ownership_write(World& world, const StoreEntry& entry) {
  const auto* map = std::get_if<OwnershipMap>(&entry.record);
  if (map == nullptr) return;
  OwnershipMap& before = world.last_written_maps[entry.key];
  check_epochs(world, before, *map);
  check_zones(world, *map);
  before = *map;
}

void check_execution_start(World& world, const Execution& execution) {
  const ServiceName& service =
      world.servers.at(execution.server).declaration.service;
  const Duration limit =
      world.declarations.services.at(service).execution_limit;
  auto& last_execution = world.last_executions[{service, execution.key}];
  if (last_execution.epoch > execution.epoch) {
    add_violation(world, "key " + execution.key.str() +
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
      add_violation(world, "key " + execution.key.str() + " runs on " +
                               name.str() + " and " + execution.server.str());
    }
  }
  if (last_execution.epoch == execution.epoch &&
      !last_execution.server.empty() &&
      last_execution.server != execution.server) {
    add_violation(world, "key " + execution.key.str() +
                             " ran on two servers under one epoch");
  }
  last_execution = {execution.epoch, execution.server};
}

void check_caches(World& world, Daemon& daemon) {
  Version version = core::version_of(daemon.state.cache, declarations_key());
  if (version < daemon.last_declarations_version)
    add_violation(world,
                  "declarations regressed on " + daemon.state.self.name.str());
  daemon.last_declarations_version = version;
}

std::vector<std::string> check_run(World& world) {
  check_request_ends(world);
  check_executions(world);
  return {world.violations.begin(), world.violations.end()};
}

Duration longest_gap(const World& world, const ServiceName& service,
                     Duration from) {
  std::map<Key, Duration> last_answered;
  Duration longest{0};
  for (const auto& [serial, request] : world.requests) {
    if (request.head.service != service || request.sent < from) continue;
    Key key(request.head.path);
    auto [it, inserted] = last_answered.emplace(key, request.sent);
    if (request.outcome != Outcome::kAnswered) continue;
    longest = std::max(longest, request.ended - it->second);
    it->second = std::max(it->second, request.ended);
  }
  for (const auto& [key, since] : last_answered)
    longest = std::max(longest, world.now - since);
  return longest;
}

OutcomeTotals count_outcomes(const World& world) {
  OutcomeTotals totals;
  for (const auto& [serial, request] : world.requests) {
    ++totals.sent;
    if (!request.outcome) {
      ++totals.open;
    } else if (*request.outcome == Outcome::kAnswered) {
      ++totals.answered;
    } else if (*request.outcome == Outcome::kNotRun) {
      ++totals.not_run;
    } else {
      ++totals.unknown;
    }
  }
  return totals;
}

}  // namespace eelgrasspin::scenario
