#include "core/membership/fences.h"

#include <algorithm>
#include <utility>

#include "core/membership/liveness.h"

namespace eelgrasspin::core::membership {
namespace {

bool is_open(const CommandRecord& record) {
  return record.state == CommandState::kPending ||
         record.state == CommandState::kRunning;
}

/// Runs of daemons that a roster names in any role.
std::set<DaemonRun> runs_of(const ZoneRoster& known) {
  std::set<DaemonRun> runs;
  for (const RosterMember& member : known.members)
    runs.insert({member.daemon, member.incarnation});
  for (const RosterMember& member : known.lost)
    runs.insert({member.daemon, member.incarnation});
  for (const auto& [server, front] : known.fronts) {
    if (!front.daemon.empty()) runs.insert({front.daemon, front.incarnation});
    for (const FrontPredecessor& earlier : front.predecessors)
      runs.insert({earlier.daemon, earlier.incarnation});
  }
  return runs;
}

template <class Visit>
void for_each_roster(const core::State& state, Visit visit) {
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* known = std::get_if<ZoneRoster>(&entry.record);
        if (known != nullptr) visit(*known);
      });
}

std::set<DaemonRun> runs_named(const core::State& state,
                               const FenceCommand& command) {
  std::set<DaemonRun> named;
  for_each_roster(state, [&](const ZoneRoster& known) {
    bool whole_zone = known.zone == command.zone;
    for (const DaemonRun& run : runs_of(known)) {
      if (whole_zone || run.daemon == command.daemon) named.insert(run);
    }
  });
  std::erase_if(named, [&](const DaemonRun& run) {
    return run.daemon == state.self.name;
  });
  return named;
}

void note_command(core::State& state, const CommandRecord& record, Now now) {
  const auto* command = std::get_if<FenceCommand>(&record.command);
  if (command == nullptr) return;
  auto& fences = state.membership.fences;
  if (!is_open(record))
    fences.erase(record.id);
  else if (!fences.contains(record.id))
    fences[record.id] = {*command, now.mono, runs_named(state, *command)};
}

void drop_heard_runs(const core::State& state, Fence& fence) {
  std::erase_if(fence.runs, [&](const DaemonRun& run) {
    const Peer* known = peer(state, run.daemon);
    return known != nullptr && known->incarnation == run.incarnation &&
           known->heard > fence.noted + config::kHeartbeatInterval;
  });
}

}  // namespace

void step_fences(core::State& state, Now now) {
  State& own = state.membership;
  if (own.fences_generation != state.cache.generation) {
    own.fences_generation = state.cache.generation;
    for_each_prefixed(
        state.cache, StoreKey("live/command/"), [&](const StoreEntry& entry) {
          const auto* record = std::get_if<CommandRecord>(&entry.record);
          if (record != nullptr) note_command(state, *record, now);
        });
  }
  for (auto& [id, fence] : own.fences) drop_heard_runs(state, fence);
}

bool is_fenced(const core::State& state, const DaemonName& daemon,
               Incarnation incarnation) {
  const auto& fences = state.membership.fences;
  return std::any_of(fences.begin(), fences.end(), [&](const auto& entry) {
    return entry.second.runs.contains({daemon, incarnation});
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
  const ZoneRoster* zone = roster(state.cache, command.zone);
  if (!command.zone.empty() && zone != nullptr && !zone->fenced) return false;
  bool named = false;
  for_each_roster(state, [&](const ZoneRoster& known) {
    for (const DaemonRun& run : runs_of(known))
      named = named || fence->second.runs.contains(run);
  });
  return !named;
}

}  // namespace eelgrasspin::core::membership
