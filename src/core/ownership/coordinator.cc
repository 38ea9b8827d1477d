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

/// Gives the slots of a cancelled closure an owner again.
void reopen_closed(MapEdit& edit) {
  if (edit.index.closed_units == 0) return;
  for (auto& [slot, record] : editable(edit).slots) {
    if (record.phase != SlotPhase::kClosed) continue;
    record = {.epoch = record.epoch.next(), .phase = SlotPhase::kUnassigned};
  }
  std::erase_if(editable(edit).overrides, [](const auto& entry) {
    return entry.second.phase == SlotPhase::kClosed;
  });
}

/// Gives slots without a record to the usable servers, in runs.
void adopt_missing(MapEdit& edit) {
  const ZoneMap* zones = zone_map(edit.state.cache, edit.part.service);
  const std::vector<SlotId>& missing = edit.index.missing;
  if (zones == nullptr || missing.empty()) return;
  std::vector<double> capacities;
  for (const PlacementCandidate& share : edit.shares)
    capacities.push_back(share.capacity);
  std::vector<std::size_t> counts = split_evenly(missing.size(), capacities);
  OwnershipMap& map = editable(edit);
  std::size_t share = 0;
  std::size_t given = 0;
  for (SlotId slot : missing) {
    while (share < counts.size() && given == counts[share]) {
      ++share;
      given = 0;
    }
    SlotRecord record{.epoch = first_epoch(zones->epochs[slot.value])};
    if (share < counts.size()) {
      record.owner = edit.shares[share].server;
      record.phase = SlotPhase::kOwned;
      ++given;
    }
    map.slots[slot] = record;
  }
}

void drop_foreign(MapEdit& edit) {
  if (edit.index.foreign.empty()) return;
  OwnershipMap& map = editable(edit);
  for (SlotId slot : edit.index.foreign) {
    announce(edit, TimelineKind::kZoneHandover, map.slots[slot].owner,
             ServerName(), "given to another zone", {slot, Key()});
    map.slots.erase(slot);
  }
  std::erase_if(map.overrides, [&](const auto& entry) {
    SlotId slot = slot_of_key(edit.state.cache, edit.part.service, entry.first);
    return !map.slots.contains(slot);
  });
}

bool is_usable(const MapEdit& edit, const ServerName& server) {
  auto it = edit.servers.find(server);
  return it != edit.servers.end() && is_usable(it->second);
}

ServerName pick_target(MapEdit& edit, const ServerName& avoid) {
  std::vector<PlacementCandidate> others;
  for (const PlacementCandidate& share : edit.shares) {
    if (share.server != avoid) others.push_back(share);
  }
  ServerName target = place_on_least_loaded(others, 1);
  for (PlacementCandidate& share : edit.shares) {
    if (share.server == target) ++share.load;
  }
  return target;
}

void merge_override(MapEdit& edit, const Unit& unit) {
  OwnershipMap& map = editable(edit);
  SlotRecord& slot = map.slots[unit.slot];
  slot.epoch = std::max(slot.epoch, unit_record(map, unit)->epoch).next();
  announce(edit, TimelineKind::kMoveFinished, unit_record(map, unit)->owner,
           slot.owner, "key merged into its slot", unit);
  map.overrides.erase(unit.key);
  ++edit.moves_finished;
}

bool owns_slot(const MapEdit& edit, SlotId slot, const ServerName& server) {
  const SlotRecord* record = unit_record(latest(edit), {slot, Key()});
  return record != nullptr && record->phase == SlotPhase::kOwned &&
         record->owner == server;
}

void close_unit(MapEdit& edit, const Unit& unit) {
  SlotRecord& record = *unit_record(editable(edit), unit);
  announce(edit, TimelineKind::kClosureStep, record.owner, ServerName(),
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
    SlotRecord& free = *unit_record(editable(edit), unit);
    free = {.epoch = free.epoch, .phase = SlotPhase::kUnassigned};
  } else if (revoked && !unit.key.empty() &&
             owns_slot(edit, unit.slot, target)) {
    merge_override(edit, unit);
  } else if (revoked) {
    settle_on(edit, unit, target);
  } else if (target != record.target && target == record.owner) {
    SlotRecord& kept = *unit_record(editable(edit), unit);
    kept.epoch = kept.epoch.next();
    settle_on(edit, unit, target);
  } else if (target != record.target) {
    unit_record(editable(edit), unit)->target = target;
  }
}

bool has_overrides(const MapEdit& edit, SlotId slot) {
  for (const auto& [key, record] : latest(edit).overrides) {
    if (slot_of_key(edit.state.cache, edit.part.service, key) == slot)
      return true;
  }
  return false;
}

void advance_release(MapEdit& edit, const Unit& unit,
                     const UnsettledUnit& unsettled) {
  if (!is_revoked(edit, unit, unsettled)) return;
  if (!unit.key.empty()) {
    editable(edit).overrides.erase(unit.key);
    return;
  }
  if (has_overrides(edit, unit.slot)) return;
  SlotRecord& record = *unit_record(editable(edit), unit);
  announce(edit, TimelineKind::kZoneHandover, record.owner, ServerName(),
           "to " + record.target_zone.str(), unit);
  record = {.epoch = record.epoch,
            .phase = SlotPhase::kHandedOver,
            .target_zone = record.target_zone};
}

/// A slot that went to another zone and was given back before its record was
/// dropped.
bool came_back(const MapEdit& edit, const Unit& unit,
               const SlotRecord& record) {
  const ZoneMap* zones = zone_map(edit.state.cache, edit.part.service);
  return zones != nullptr && unit.slot.value < zones->epochs.size() &&
         first_epoch(zones->epochs[unit.slot.value]) > record.epoch;
}

void assign(MapEdit& edit, const Unit& unit, Epoch epoch) {
  ServerName target = pick_target(edit, ServerName());
  if (target.empty()) return;
  unit_record(editable(edit), unit)->epoch = epoch;
  settle_on(edit, unit, target);
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
          assign(edit, unit, unsettled.record.epoch.next());
        }
        break;
      case SlotPhase::kHandedOver:
        if (came_back(edit, unit, unsettled.record)) {
          const ZoneMap* zones = zone_map(edit.state.cache, edit.part.service);
          assign(edit, unit, first_epoch(zones->epochs[unit.slot.value]));
        }
        break;
      case SlotPhase::kOwned:
      case SlotPhase::kClosed:
        break;
    }
  }
}

/// Moves everything away from servers that are lost, leaving or not declared
/// any more.
void evacuate(MapEdit& edit) {
  if (edit.shares.empty()) return;
  for (const auto& [server, owned] : edit.index.owned) {
    auto it = edit.servers.find(server);
    bool lost = it != edit.servers.end() &&
                (is_grant_expired(it->second) || is_gone(it->second));
    bool leaving = it == edit.servers.end() || is_leaving(it->second);
    if (!lost && !leaving) continue;
    std::string cause = lost ? "server lost" : "server leaving";
    for (const SlotGrant& grant : owned) {
      ServerName target = pick_target(edit, server);
      if (target.empty()) break;
      start_move(edit, {grant.slot, grant.key}, target, cause);
      if (lost) ++edit.recovered;
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

void create_map(core::State& state, const Part& part, Now now,
                Effects& effects) {
  StoreKey key = ownership_map_key(part.service, part.zone);
  if (version_of(state.cache, key) != Version(0) || write_pending(state, key))
    return;
  const ZoneMap* zones = zone_map(state.cache, part.service);
  if (zones == nullptr) return;
  OwnershipMap empty{.service = part.service, .zone = part.zone};
  MapIndex index;
  for (std::uint32_t i = 0; i < zones->slots.size(); ++i) {
    const ZoneName* zone = zone_of(state.cache, part.service, SlotId(i));
    if (zone != nullptr && *zone == part.zone)
      index.missing.push_back(SlotId(i));
  }
  if (index.missing.empty()) return;
  MapEdit edit = begin_edit(state, part, index, empty, now);
  adopt_missing(edit);
  finish_edit(edit, effects);
}

void coordinate_part(core::State& state, const Part& part, Now now,
                     Effects& effects) {
  const MapIndex* index = map_index(state, part);
  if (index == nullptr) {
    create_map(state, part, now, effects);
    return;
  }
  if (write_pending(state, ownership_map_key(part.service, part.zone))) return;
  MapEdit edit =
      begin_edit(state, part, *index, *ownership_map(state.cache, part), now);
  ClosurePhase closure = closure_phase(state, part.service);
  bool closing = closure >= ClosurePhase::kRevoking;
  drop_foreign(edit);
  advance_unsettled(edit, closing);
  if (closing) {
    revoke_all(edit);
  } else {
    if (closure == ClosurePhase::kNone) reopen_closed(edit);
    adopt_missing(edit);
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
  if (view.report->lapsed && view.report->map_version >= unsettled.since)
    return true;
  auto released = edit.released.find(record.owner);
  SlotGrant held{unit.slot, unit.key, Epoch(record.epoch.value - 1)};
  return released != edit.released.end() && released->second.contains(held);
}

void coordinate(core::State& state, Now now, Effects& effects) {
  const Declarations* all = declarations(state.cache);
  if (all == nullptr) return;
  for (const ZoneName& zone : membership::coordinated_zones(state, now)) {
    for (const auto& [service, declared] : all->services) {
      maintain_zone_map(state, {service, zone}, now, effects);
      coordinate_part(state, {service, zone}, now, effects);
      maintain_history(state, {service, zone}, now, effects);
    }
  }
}

}  // namespace eelgrasspin::core::ownership
