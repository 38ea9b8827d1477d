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

ClosureStep reached_by(const Closure& closure, const ZoneName& zone) {
  auto it = closure.zones.find(zone);
  return it == closure.zones.end() ? ClosureStep::kAnnounced : it->second;
}

bool is_under_way(const Closure& closure) {
  return closure.step != ClosureStep::kSealed &&
         closure.step != ClosureStep::kCancelled;
}

/// Requests of the service that were in flight when the zone's daemons were
/// last heard.
std::uint64_t in_flight(const core::State& state, const ServiceName& service) {
  std::uint64_t sum = 0;
  for (const auto& [daemon, received] : membership::received_accounts(state)) {
    auto it = received.accounts.find(service);
    if (it != received.accounts.end()) sum += it->second.counts.in_flight;
  }
  return sum;
}

bool all_heard_lately(const core::State& state, Now now) {
  const auto& received = membership::received_accounts(state);
  return std::all_of(received.begin(), received.end(), [&](const auto& entry) {
    return now.mono - entry.second.received < config::kDaemonLostAfter;
  });
}

bool all_know(const core::State& state, Version announced) {
  const auto& received = membership::received_accounts(state);
  return std::all_of(received.begin(), received.end(), [&](const auto& entry) {
    return entry.second.cache_revision >= announced;
  });
}

ClosurePart make_part(core::State& state, const Closure& closure,
                      const ZoneName& zone, Now now) {
  const ZoneClosing& closing = state.operators.closings[{closure.id, zone}];
  ClosurePart part{
      .service = closure.service, .zone = zone, .closure = closure.id};
  part.step = ClosureStep::kRevoked;
  part.reached = now.wall;
  part.in_flight_at = closing.in_flight_at;
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
bool part_stored(core::State& state, const Closure& closure,
                 const ZoneName& zone, Now now, Effects& effects) {
  ZoneClosing& closing = state.operators.closings[{closure.id, zone}];
  StoreKey key = closure_part_key(closure.service, zone);
  if (closing.stored && closing.stored->closure == closure.id) return true;
  if (!accounts_loaded(state, closure.service, zone) ||
      write_pending(state, key))
    return false;
  if (!closing.part_version) {
    if (closing.part_read) return false;
    closing.part_read = next_store_op(state);
    ++state.counters[Counter::kStoreReads];
    effects.push_back(StoreGet{*closing.part_read, key});
    return false;
  }
  start_write(state, key, *closing.part_version,
              make_part(state, closure, zone, now), now, effects);
  return false;
}

bool step_reached(core::State& state, const Closure& closure,
                  const ZoneName& zone, ClosureStep goal, Now now,
                  Effects& effects) {
  const ZoneClosing& closing = state.operators.closings[{closure.id, zone}];
  switch (goal) {
    case ClosureStep::kAdmissionStopped:
      return all_know(state, closing.announced);
    case ClosureStep::kDrained:
      if (now.wall >= closure.deadline) return true;
      return all_heard_lately(state, now) &&
             in_flight(state, closure.service) == 0;
    case ClosureStep::kRevoked:
      return ownership::owned_units(state, closure.service, zone) == 0;
    case ClosureStep::kSealed:
      return part_stored(state, closure, zone, now, effects);
    default:
      return false;
  }
}

/// Whether a zone's coordinator has shown no sign of life for long.
bool is_silent(const core::State& state, const ZoneName& zone, Now now) {
  auto it = state.operators.leases.find(zone);
  return it == state.operators.leases.end() ||
         now.mono - it->second.changed > config::kClosureZoneTimeout;
}

void advance(core::State& state, Closure& closure, Now now) {
  ClosureStep goal = next(closure.step);
  const Declarations* all = declarations(state.cache);
  bool overdue = now.wall >= closure.deadline + config::kClosureZoneTimeout;
  std::vector<ZoneName> passed_over;
  for (const auto& [zone, unused] : all->zones) {
    if (reached_by(closure, zone) >= goal) continue;
    if (!overdue || !is_silent(state, zone, now)) return;
    passed_over.push_back(zone);
  }
  closure.step = goal;
  for (const ZoneName& zone : passed_over) {
    auto& known = closure.not_reported;
    if (std::find(known.begin(), known.end(), zone) == known.end())
      known.push_back(zone);
  }
  if (goal != ClosureStep::kSealed) return;
  closure.sealed_at = now.wall;
  closure.seal = seal_of(closure);
}

void note_step(core::State& state, const Closure& closure, const ZoneName& zone,
               ClosureStep goal, Now now, Effects& effects) {
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
  ZoneClosing& closing = state.operators.closings[{closure.id, zone}];
  if (closing.announced.value == 0)
    closing.announced = version_of(state.cache, key);
  ClosureStep goal = next(reached_by(closure, zone));
  if (goal <= next(closure.step) &&
      step_reached(state, closure, zone, goal, now, effects)) {
    closing.in_flight_at[goal] = in_flight(state, closure.service);
    closure.zones[zone] = goal;
    if (goal == ClosureStep::kSealed)
      closure.part_hashes[zone.str()] =
          hash_sections(part_sections(*closing.stored));
    note_step(state, closure, zone, goal, now, effects);
  }
  advance(state, closure, now);
  if (closure == known) return;
  closure.write_id = new_write_id(state);
  start_write(state, key, version_of(state.cache, key), closure, now, effects);
}

void on_answer(core::State& state, const StoreAnswered& answer) {
  for (auto& [id, closing] : state.operators.closings) {
    if (closing.part_read != answer.op) continue;
    closing.part_read.reset();
    const auto* read = std::get_if<StoreRead>(&answer.result);
    if (read == nullptr || read->entries.empty()) return;
    closing.part_version = read->entries.front().version;
    if (const auto* part =
            std::get_if<ClosurePart>(&read->entries.front().record))
      closing.stored = *part;
    return;
  }
}

void on_settled(core::State& state) {
  for (auto& [id, closing] : state.operators.closings) {
    for (const SettledWrite& write : state.writer.settled) {
      const auto* part = find<ClosurePart>(state.cache, write.key);
      if (part == nullptr || part->zone != id.second) continue;
      closing.part_version = version_of(state.cache, write.key);
      if (part->closure == id.first) closing.stored = *part;
    }
  }
}

void note_leases(core::State& state, Now now) {
  const Declarations* all = declarations(state.cache);
  for (const auto& [zone, unused] : all->zones) {
    Version version = version_of(state.cache, coordinator_lease_key(zone));
    LeaseSight& sight = state.operators.leases[zone];
    if (sight.version == version &&
        sight.changed.time_since_epoch().count() != 0)
      continue;
    sight = {version, now.mono};
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
  note_leases(state, now);
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
