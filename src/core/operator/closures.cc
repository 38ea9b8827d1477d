#include "core/operator/closures.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "core/membership/membership.h"
#include "core/operator/accounts.h"
#include "core/operator/report.h"
#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::operators {
namespace {

ClosureStep next(ClosureStep step) {
  return static_cast<ClosureStep>(static_cast<int>(step) + 1);
}

ClosureStep step_of_zone(const Closure& closure, const ZoneName& zone) {
  auto it = closure.zones.find(zone);
  return it == closure.zones.end() ? ClosureStep::kAnnounced : it->second;
}

bool is_under_way(const Closure& closure) {
  return closure.step != ClosureStep::kSealed &&
         closure.step != ClosureStep::kCancelled;
}

/// Requests of the service in flight, by the last accounts received from the
/// zone's daemons.
std::uint64_t in_flight(const core::State& state, const ServiceName& service) {
  std::uint64_t sum = 0;
  for (const auto& [daemon, received] : membership::received_accounts(state)) {
    auto it = received.accounts.find(service);
    if (it != received.accounts.end()) sum += it->second.counts.in_flight;
  }
  return sum;
}

bool all_reported_recently(const core::State& state, Now now) {
  const auto& received = membership::received_accounts(state);
  return std::all_of(received.begin(), received.end(), [&](const auto& entry) {
    return now.mono - entry.second.received < config::kDaemonLostAfter;
  });
}

bool all_have_read(const core::State& state, Version announced) {
  const auto& received = membership::received_accounts(state);
  return std::all_of(received.begin(), received.end(), [&](const auto& entry) {
    return entry.second.cache_revision >= announced;
  });
}

ClosurePart make_part(core::State& state, const Closure& closure,
                      const ZoneName& zone, Now now) {
  const ZoneClosureProgress& progress =
      state.operators.zone_closures[{closure.id, zone}];
  ClosurePart part{
      .service = closure.service, .zone = zone, .closure = closure.id};
  part.step = ClosureStep::kRevoked;
  part.reached = now.wall;
  part.in_flight_at = progress.in_flight_at;
  part.slots_owned = ownership::owned_units(state, closure.service, zone);
  part.accounts = accounts_of(state, closure.service, zone);
  const auto& received = membership::received_accounts(state);
  for (const DaemonAccount& account : part.accounts) {
    auto it = received.find(account.daemon);
    if (it == received.end() || it->second.incarnation != account.incarnation)
      part.not_reported.push_back(account.daemon);
  }
  part.ownership = ownership::history(state, closure.service, zone);
  part.write_id = new_write_id(state);
  return part;
}

/// Writes the zone's part; true once it is in the store.
bool store_part(core::State& state, const Closure& closure,
                const ZoneName& zone, Now now, Effects& effects) {
  ZoneClosureProgress& progress =
      state.operators.zone_closures[{closure.id, zone}];
  StoreKey key = closure_part_key(closure.service, zone);
  if (progress.stored && progress.stored->closure == closure.id) return true;
  if (!accounts_loaded(state, closure.service, zone) ||
      write_pending(state, key))
    return false;
  if (!progress.part_version) {
    if (progress.part_read) return false;
    progress.part_read = next_store_op(state);
    ++state.counters[Counter::kStoreReads];
    effects.push_back(StoreGet{*progress.part_read, key});
    return false;
  }
  start_write(state, key, *progress.part_version,
              make_part(state, closure, zone, now), now, effects);
  return false;
}

bool has_reached(core::State& state, const Closure& closure,
                 const ZoneName& zone, ClosureStep goal, Now now,
                 Effects& effects) {
  const ZoneClosureProgress& progress =
      state.operators.zone_closures[{closure.id, zone}];
  switch (goal) {
    case ClosureStep::kAdmissionStopped:
      return all_have_read(state, progress.announced);
    case ClosureStep::kDrained:
      if (now.wall >= closure.deadline) return true;
      return all_reported_recently(state, now) &&
             in_flight(state, closure.service) == 0;
    case ClosureStep::kRevoked:
      return ownership::owned_units(state, closure.service, zone) == 0;
    case ClosureStep::kSealed:
      return store_part(state, closure, zone, now, effects);
    default:
      return false;
  }
}

/// Whether a zone's coordinator lease has not changed for
/// config::kClosureZoneTimeout.
bool coordinator_timed_out(const core::State& state, const ZoneName& zone,
                           Now now) {
  auto it = state.operators.leases.find(zone);
  return it == state.operators.leases.end() ||
         now.mono - it->second.first_seen > config::kClosureZoneTimeout;
}

void advance(core::State& state, Closure& closure, Now now) {
  ClosureStep goal = next(closure.step);
  const Declarations* all_declared = declarations(state.cache);
  bool overdue = now.wall >= closure.deadline + config::kClosureZoneTimeout;
  std::vector<ZoneName> skipped;
  for (const auto& [zone, unused] : all_declared->zones) {
    if (step_of_zone(closure, zone) >= goal) continue;
    if (!overdue || !coordinator_timed_out(state, zone, now)) return;
    skipped.push_back(zone);
  }
  closure.step = goal;
  for (const ZoneName& zone : skipped) {
    auto& known = closure.not_reported;
    if (std::find(known.begin(), known.end(), zone) == known.end())
      known.push_back(zone);
  }
  if (goal != ClosureStep::kSealed) return;
  closure.sealed_at = now.wall;
  closure.seal = seal_of(closure);
}

void record_step(core::State& state, const Closure& closure,
                 const ZoneName& zone, ClosureStep goal, Now now,
                 Effects& effects) {
  record(state,
         {.zone = zone,
          .kind = TimelineKind::kClosureStep,
          .service = closure.service,
          .cause = closure.id,
          .detail = std::string(to_string(goal))},
         now, effects);
}

void step_closure(core::State& state, const Closure& known,
                  const ZoneName& zone, Now now, Effects& effects) {
  StoreKey key = closure_key(known.service);
  if (write_pending(state, key)) return;
  Closure closure = known;
  ZoneClosureProgress& progress =
      state.operators.zone_closures[{closure.id, zone}];
  if (progress.announced.value == 0)
    progress.announced = version_of(state.cache, key);
  ClosureStep goal = next(step_of_zone(closure, zone));
  if (goal <= next(closure.step) &&
      has_reached(state, closure, zone, goal, now, effects)) {
    progress.in_flight_at[goal] = in_flight(state, closure.service);
    closure.zones[zone] = goal;
    if (goal == ClosureStep::kSealed)
      closure.part_hashes[zone.str()] =
          hash_sections(part_sections(*progress.stored));
    record_step(state, closure, zone, goal, now, effects);
  }
  advance(state, closure, now);
  if (closure == known) return;
  closure.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), closure, now, effects);
}

void on_answer(core::State& state, const StoreAnswered& answer) {
  for (auto& [id, progress] : state.operators.zone_closures) {
    if (progress.part_read != answer.op) continue;
    progress.part_read.reset();
    const auto* read = std::get_if<StoreRead>(&answer.result);
    if (read == nullptr || read->entries.empty()) return;
    progress.part_version = read->entries.front().version;
    if (const auto* part =
            std::get_if<ClosurePart>(&read->entries.front().record))
      progress.stored = *part;
    return;
  }
}

void on_settled(core::State& state) {
  for (auto& [id, progress] : state.operators.zone_closures) {
    for (const SettledWrite& write : state.writer.settled) {
      const auto* part = find<ClosurePart>(state.cache, write.key);
      if (part == nullptr || part->zone != id.second) continue;
      progress.part_version = version_of(state.cache, write.key);
      if (part->closure == id.first) progress.stored = *part;
    }
  }
}

void observe_leases(core::State& state, Now now) {
  const Declarations* all_declared = declarations(state.cache);
  for (const auto& [zone, unused] : all_declared->zones) {
    Version version = version_of(state.cache, coordinator_lease_key(zone));
    LeaseObservation& observation = state.operators.leases[zone];
    if (observation.version == version &&
        observation.first_seen.time_since_epoch().count() != 0)
      continue;
    observation = {version, now.mono};
  }
}

}  // namespace

void step_closures(core::State& state, const Event& event, Now now,
                   Effects& effects) {
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_answer(state, *answer);
  if (!state.writer.settled.empty()) on_settled(state);
  if (!std::holds_alternative<Tick>(event) ||
      declarations(state.cache) == nullptr)
    return;
  observe_leases(state, now);
  std::vector<Closure> under_way;
  for_each_prefixed(state.cache, StoreKey("live/closure/"),
                    [&](const StoreEntry& entry) {
                      const auto* closure = std::get_if<Closure>(&entry.record);
                      if (closure != nullptr && is_under_way(*closure))
                        under_way.push_back(*closure);
                    });
  for (const Closure& closure : under_way) {
    for (const ZoneName& zone : membership::coordinated_zones(state, now)) {
      step_closure(state, closure, zone, now, effects);
    }
  }
}

}  // namespace eelgrasspin::core::operators
