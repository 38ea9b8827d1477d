#include "core/membership/fences.h"

#include <algorithm>
#include <utility>

#include "core/membership/liveness.h"

namespace eelgrasspin::core::membership {
namespace {

bool is_in_progress(const CommandRecord& record) {
  return record.state == CommandState::kPending ||
         record.state == CommandState::kRunning;
}

/// Daemon instances that a roster names in any role.
std::set<DaemonInstance> instances_in(const ZoneRoster& zone_roster) {
  std::set<DaemonInstance> instances;
  for (const RosterMember& member : zone_roster.members)
    instances.insert({member.daemon, member.incarnation});
  for (const RosterMember& member : zone_roster.lost)
    instances.insert({member.daemon, member.incarnation});
  for (const auto& [server, front] : zone_roster.fronts) {
    if (!front.daemon.empty())
      instances.insert({front.daemon, front.incarnation});
    for (const FrontPredecessor& predecessor : front.predecessors)
      instances.insert({predecessor.daemon, predecessor.incarnation});
  }
  return instances;
}

template <class Visit>
void for_each_roster(const core::State& state, Visit visit) {
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* zone_roster = std::get_if<ZoneRoster>(&entry.record);
        if (zone_roster != nullptr) visit(*zone_roster);
      });
}

std::set<DaemonInstance> instances_to_fence(const core::State& state,
                                            const FenceCommand& command) {
  std::set<DaemonInstance> named;
  for_each_roster(state, [&](const ZoneRoster& zone_roster) {
    bool whole_zone = zone_roster.zone == command.zone;
    for (const DaemonInstance& instance : instances_in(zone_roster)) {
      if (whole_zone || instance.daemon == command.daemon)
        named.insert(instance);
    }
  });
  std::erase_if(named, [&](const DaemonInstance& instance) {
    return instance.daemon == state.self.name;
  });
  return named;
}

void track_command(core::State& state, const CommandRecord& record, Now now) {
  const auto* command = std::get_if<FenceCommand>(&record.command);
  if (command == nullptr) return;
  auto& fences = state.membership.fences;
  if (!is_in_progress(record))
    fences.erase(record.id);
  else if (!fences.contains(record.id))
    fences[record.id] = {*command, now.mono,
                         instances_to_fence(state, *command)};
}

void drop_live_instances(const core::State& state, Fence& fence) {
  std::erase_if(fence.instances, [&](const DaemonInstance& instance) {
    const Peer* peer = find_peer(state, instance.daemon);
    return peer != nullptr && peer->incarnation == instance.incarnation &&
           peer->last_received > fence.known_since + config::kHeartbeatInterval;
  });
}

}  // namespace

void step_fences(core::State& state, Now now) {
  State& membership = state.membership;
  if (membership.fences_generation != state.cache.generation) {
    membership.fences_generation = state.cache.generation;
    for_each_prefixed(
        state.cache, StoreKey("live/command/"), [&](const StoreEntry& entry) {
          const auto* record = std::get_if<CommandRecord>(&entry.record);
          if (record != nullptr) track_command(state, *record, now);
        });
  }
  for (auto& [id, fence] : membership.fences) drop_live_instances(state, fence);
}

bool is_fenced(const core::State& state, const DaemonName& daemon,
               Incarnation incarnation) {
  const auto& fences = state.membership.fences;
  return std::any_of(fences.begin(), fences.end(), [&](const auto& entry) {
    return entry.second.instances.contains({daemon, incarnation});
  });
}

bool zone_is_fenced(const core::State& state, const ZoneName& zone) {
  const auto& fences = state.membership.fences;
  return std::any_of(fences.begin(), fences.end(), [&](const auto& entry) {
    return entry.second.command.zone == zone;
  });
}

bool fence_applied(const core::State& state, const FenceCommand& command) {
  const auto& fences = state.membership.fences;
  auto fence = std::find_if(
      fences.begin(), fences.end(),
      [&](const auto& entry) { return entry.second.command == command; });
  if (fence == fences.end()) return false;
  const ZoneRoster* fenced_roster = roster(state.cache, command.zone);
  if (!command.zone.empty() && fenced_roster != nullptr &&
      !fenced_roster->fenced)
    return false;
  bool still_named = false;
  for_each_roster(state, [&](const ZoneRoster& zone_roster) {
    for (const DaemonInstance& instance : instances_in(zone_roster))
      still_named = still_named || fence->second.instances.contains(instance);
  });
  return !still_named;
}

}  // namespace eelgrasspin::core::membership
