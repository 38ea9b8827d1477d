#include "core/ownership/coordinator.h"

#include <algorithm>
#include <utility>

#include "core/membership/membership.h"
#include "core/ownership/history.h"
#include "core/ownership/maps.h"
#include "core/ownership/move_orders.h"
#include "core/ownership/placement_orders.h"
#include "core/ownership/zone_maps.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

enum class ClosurePhase { kNone, kAnnounced, kRevoking, kSealed };

ClosurePhase closure_phase(const core::State& state,
                           const ServiceName& service) {
  const auto* closure = find<Closure>(state.cache, closure_key(service));
  if (closure == nullptr) return ClosurePhase::kNone;
  switch (closure->step) {
    case ClosureStep::kAnnounced:
    case ClosureStep::kAdmissionStopped:
      return ClosurePhase::kAnnounced;
    case ClosureStep::kDrained:
    case ClosureStep::kRevoked:
      return ClosurePhase::kRevoking;
    case ClosureStep::kSealed:
      return ClosurePhase::kSealed;
    case ClosureStep::kCancelled:
      return ClosurePhase::kNone;
  }
  return ClosurePhase::kNone;
}

/// Marks the closed units of a cancelled closure as unassigned, so that they
/// get an owner again.
void reopen_closed(MapEdit& edit) {
  if (edit.index.closed_units == 0) return;
  for (auto& [slot, record] : mutable_map(edit).slots) {
    if (record.phase != SlotPhase::kClosed) continue;
    record = {.epoch = record.epoch.next(), .phase = SlotPhase::kUnassigned};
  }
  std::erase_if(mutable_map(edit).overrides, [](const auto& entry) {
    return entry.second.phase == SlotPhase::kClosed;
  });
}

/// Assigns slots without a record to the usable servers, in contiguous ranges.
void assign_missing_slots(MapEdit& edit) {
  const ZoneMap* zones = zone_map(edit.state.cache, edit.service_zone.service);
  const std::vector<SlotId>& missing_slots = edit.index.missing_slots;
  if (zones == nullptr || missing_slots.empty()) return;
  std::vector<double> capacities;
  for (const PlacementCandidate& candidate : edit.candidates)
    capacities.push_back(candidate.capacity);
  std::vector<std::size_t> counts =
      split_by_capacity(missing_slots.size(), capacities);
  OwnershipMap& map = mutable_map(edit);
  std::size_t candidate_index = 0;
  std::size_t assigned = 0;
  for (SlotId slot : missing_slots) {
    while (candidate_index < counts.size() &&
           assigned == counts[candidate_index]) {
      ++candidate_index;
      assigned = 0;
    }
    SlotRecord record{.epoch = first_epoch(zones->epochs[slot.value])};
    if (candidate_index < counts.size()) {
      record.owner = edit.candidates[candidate_index].server;
      record.phase = SlotPhase::kOwned;
      ++assigned;
    }
    map.slots[slot] = record;
  }
}

void drop_other_zone_slots(MapEdit& edit) {
  if (edit.index.other_zone_slots.empty()) return;
  OwnershipMap& map = mutable_map(edit);
  for (SlotId slot : edit.index.other_zone_slots) {
    queue_event(edit, TimelineKind::kZoneHandover, map.slots[slot].owner,
                ServerName(), "given to another zone", {slot, Key()});
    map.slots.erase(slot);
  }
  std::erase_if(map.overrides, [&](const auto& entry) {
    SlotId slot =
        slot_of_key(edit.state.cache, edit.service_zone.service, entry.first);
    return !map.slots.contains(slot);
  });
}

bool is_usable(const MapEdit& edit, const ServerName& server) {
  auto it = edit.servers.find(server);
  return it != edit.servers.end() && is_usable(it->second);
}

ServerName pick_target(MapEdit& edit, const ServerName& excluded) {
  std::vector<PlacementCandidate> others;
  for (const PlacementCandidate& candidate : edit.candidates) {
    if (candidate.server != excluded) others.push_back(candidate);
  }
  ServerName target = place_on_least_loaded(others, 1);
  for (PlacementCandidate& candidate : edit.candidates) {
    if (candidate.server == target) ++candidate.load;
  }
  return target;
}

void merge_override(MapEdit& edit, const Unit& unit) {
  OwnershipMap& map = mutable_map(edit);
  SlotRecord& slot = map.slots[unit.slot];
  slot.epoch = std::max(slot.epoch, unit_record(map, unit)->epoch).next();
  queue_event(edit, TimelineKind::kMoveFinished, unit_record(map, unit)->owner,
              slot.owner, "key merged into its slot", unit);
  map.overrides.erase(unit.key);
  ++edit.moves_finished;
}

bool owns_slot(const MapEdit& edit, SlotId slot, const ServerName& server) {
  const SlotRecord* record = unit_record(latest_map(edit), {slot, Key()});
  return record != nullptr && record->phase == SlotPhase::kOwned &&
         record->owner == server;
}

void close_unit(MapEdit& edit, const Unit& unit) {
  SlotRecord& record = *unit_record(mutable_map(edit), unit);
  queue_event(edit, TimelineKind::kClosureStep, record.owner, ServerName(),
              "closed", unit);
  record = {.epoch = record.epoch, .phase = SlotPhase::kClosed};
}

void advance_move(MapEdit& edit, const Unit& unit,
                  const UnsettledUnit& unsettled, bool closing) {
  const SlotRecord& record = unsettled.record;
  bool revoked = is_revoked(edit, unit, unsettled);
  if (closing) {
    if (revoked) close_unit(edit, unit);
    return;
  }
  ServerName target = record.target;
  if (!is_usable(edit, target)) {
    target = pick_target(edit, record.owner);
    if (target.empty() && is_usable(edit, record.owner)) target = record.owner;
  }
  if (revoked && target.empty()) {
    SlotRecord& unassigned = *unit_record(mutable_map(edit), unit);
    unassigned = {.epoch = unassigned.epoch, .phase = SlotPhase::kUnassigned};
  } else if (revoked && !unit.key.empty() &&
             owns_slot(edit, unit.slot, target)) {
    merge_override(edit, unit);
  } else if (revoked) {
    assign_owner(edit, unit, target);
  } else if (target != record.target && target == record.owner) {
    SlotRecord& kept_record = *unit_record(mutable_map(edit), unit);
    kept_record.epoch = kept_record.epoch.next();
    assign_owner(edit, unit, target);
  } else if (target != record.target) {
    unit_record(mutable_map(edit), unit)->target = target;
  }
}

bool has_overrides(const MapEdit& edit, SlotId slot) {
  for (const auto& [key, record] : latest_map(edit).overrides) {
    if (slot_of_key(edit.state.cache, edit.service_zone.service, key) == slot)
      return true;
  }
  return false;
}

void advance_release(MapEdit& edit, const Unit& unit,
                     const UnsettledUnit& unsettled) {
  if (!is_revoked(edit, unit, unsettled)) return;
  if (!unit.key.empty()) {
    mutable_map(edit).overrides.erase(unit.key);
    return;
  }
  if (has_overrides(edit, unit.slot)) return;
  SlotRecord& record = *unit_record(mutable_map(edit), unit);
  queue_event(edit, TimelineKind::kZoneHandover, record.owner, ServerName(),
              "to " + record.target_zone.str(), unit);
  record = {.epoch = record.epoch,
            .phase = SlotPhase::kHandedOver,
            .target_zone = record.target_zone};
}

/// Whether a slot was handed over to another zone and returned before its
/// record was dropped.
bool was_returned(const MapEdit& edit, const Unit& unit,
                  const SlotRecord& record) {
  const ZoneMap* zones = zone_map(edit.state.cache, edit.service_zone.service);
  return zones != nullptr && unit.slot.value < zones->epochs.size() &&
         first_epoch(zones->epochs[unit.slot.value]) > record.epoch;
}

void assign_unowned(MapEdit& edit, const Unit& unit, Epoch epoch) {
  ServerName target = pick_target(edit, ServerName());
  if (target.empty()) return;
  unit_record(mutable_map(edit), unit)->epoch = epoch;
  assign_owner(edit, unit, target);
}

void advance_unsettled(MapEdit& edit, bool closing) {
  for (const auto& [unit, unsettled] : edit.index.unsettled) {
    switch (unsettled.record.phase) {
      case SlotPhase::kMoving:
        advance_move(edit, unit, unsettled, closing);
        break;
      case SlotPhase::kReleasing:
        advance_release(edit, unit, unsettled);
        break;
      case SlotPhase::kUnassigned:
        if (closing) {
          close_unit(edit, unit);
        } else {
          assign_unowned(edit, unit, unsettled.record.epoch.next());
        }
        break;
      case SlotPhase::kHandedOver:
        if (was_returned(edit, unit, unsettled.record)) {
          const ZoneMap* zones =
              zone_map(edit.state.cache, edit.service_zone.service);
          assign_unowned(edit, unit,
                         first_epoch(zones->epochs[unit.slot.value]));
        }
        break;
      case SlotPhase::kOwned:
      case SlotPhase::kClosed:
        break;
    }
  }
}

/// Moves all units away from servers that are lost, leaving or no longer
/// declared.
void evacuate(MapEdit& edit) {
  if (edit.candidates.empty()) return;
  for (const auto& [server, owned] : edit.index.owned) {
    auto it = edit.servers.find(server);
    bool lost = it != edit.servers.end() &&
                (is_unresponsive(it->second) || is_gone(it->second));
    bool leaving = it == edit.servers.end() || is_leaving(it->second);
    if (!lost && !leaving) continue;
    std::string cause = lost ? "server lost" : "server leaving";
    for (const SlotGrant& grant : owned) {
      ServerName target = pick_target(edit, server);
      if (target.empty()) break;
      start_move(edit, {grant.slot, grant.key}, target, cause);
      if (lost) ++edit.units_recovered;
    }
  }
}

void revoke_all(MapEdit& edit) {
  for (const auto& [server, owned] : edit.index.owned) {
    for (const SlotGrant& grant : owned)
      start_move(edit, {grant.slot, grant.key}, ServerName(),
                 "service closing");
  }
}

void create_map(core::State& state, const ServiceZone& service_zone, Now now,
                Effects& effects) {
  StoreKey key = ownership_map_key(service_zone.service, service_zone.zone);
  if (version_of(state.cache, key) != Version(0) || write_pending(state, key))
    return;
  const ZoneMap* zones = zone_map(state.cache, service_zone.service);
  if (zones == nullptr) return;
  OwnershipMap empty{.service = service_zone.service,
                     .zone = service_zone.zone};
  MapIndex index;
  for (std::uint32_t i = 0; i < zones->slots.size(); ++i) {
    const ZoneName* zone =
        zone_of(state.cache, service_zone.service, SlotId(i));
    if (zone != nullptr && *zone == service_zone.zone)
      index.missing_slots.push_back(SlotId(i));
  }
  if (index.missing_slots.empty()) return;
  MapEdit edit = begin_edit(state, service_zone, index, empty, now);
  assign_missing_slots(edit);
  finish_edit(edit, effects);
}

void coordinate_service_zone(core::State& state,
                             const ServiceZone& service_zone, Now now,
                             Effects& effects) {
  const MapIndex* index = map_index(state, service_zone);
  if (index == nullptr) {
    create_map(state, service_zone, now, effects);
    return;
  }
  if (write_pending(state,
                    ownership_map_key(service_zone.service, service_zone.zone)))
    return;
  MapEdit edit = begin_edit(state, service_zone, *index,
                            *ownership_map(state.cache, service_zone), now);
  ClosurePhase closure = closure_phase(state, service_zone.service);
  bool closing = closure >= ClosurePhase::kRevoking;
  drop_other_zone_slots(edit);
  advance_unsettled(edit, closing);
  if (closing) {
    revoke_all(edit);
  } else {
    if (closure == ClosurePhase::kNone) reopen_closed(edit);
    assign_missing_slots(edit);
    evacuate(edit);
    apply_orders(edit);
    if (closure == ClosurePhase::kNone) order_placement(edit);
  }
  finish_edit(edit, effects);
  update_statuses(state, edit.servers, *index);
}

}  // namespace

bool is_revoked(const MapEdit& edit, const Unit& unit,
                const UnsettledUnit& unsettled) {
  if (!edit.state.guards.revocation_wait) return true;
  const SlotRecord& record = unsettled.record;
  if (record.owner.empty()) return true;
  auto it = edit.servers.find(record.owner);
  if (it == edit.servers.end()) return false;
  const ServerView& view = it->second;
  if (is_gone(view)) return true;
  if (view.report == nullptr) return false;
  if (view.report->lapsed &&
      view.report->map_version >= unsettled.unsettled_since)
    return true;
  auto released = edit.released.find(record.owner);
  SlotGrant held{unit.slot, unit.key, Epoch(record.epoch.value - 1)};
  return released != edit.released.end() && released->second.contains(held);
}

void coordinate(core::State& state, Now now, Effects& effects) {
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared == nullptr) return;
  for (const ZoneName& zone : membership::coordinated_zones(state, now)) {
    for (const auto& [service, declared] : all_declared->services) {
      maintain_zone_map(state, {service, zone}, now, effects);
      coordinate_service_zone(state, {service, zone}, now, effects);
      maintain_history(state, {service, zone}, now, effects);
    }
  }
}

}  // namespace eelgrasspin::core::ownership
