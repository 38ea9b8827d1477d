#include <utility>

#include "core/membership/membership.h"
#include "core/ownership/maps.h"
#include "core/ownership/move_orders.h"
#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

enum class OrderState { kWaits, kDone };

/// Puts a key under a record of its own, still owned by its slot's owner and
/// about to move.
void carve_out(MapEdit& edit, const Unit& unit, const SlotRecord& slot,
               const MoveOrder& order) {
  editable(edit).overrides[unit.key] = {
      .owner = slot.owner, .epoch = slot.epoch, .phase = SlotPhase::kOwned};
  start_move(edit, unit, order.target, order.cause);
}

OrderState carry_out_new_key(MapEdit& edit, const Unit& unit,
                             const MoveOrder& order) {
  const OwnershipMap& map = latest(edit);
  const SlotRecord* slot = unit_record(map, {unit.slot, Key()});
  if (slot == nullptr) return OrderState::kDone;
  if (slot->phase != SlotPhase::kOwned) return OrderState::kWaits;
  if (slot->owner == order.target ||
      map.overrides.size() >= config::kMaxKeyOverrides)
    return OrderState::kDone;
  carve_out(edit, unit, SlotRecord(*slot), order);
  return OrderState::kDone;
}

void start_release(MapEdit& edit, const Unit& unit, const MoveOrder& order) {
  SlotRecord& record = *unit_record(editable(edit), unit);
  record.phase = SlotPhase::kReleasing;
  record.target_zone = order.target_zone;
  record.epoch = record.epoch.next();
  announce(edit, TimelineKind::kZoneHandover, record.owner, ServerName(),
           order.cause, unit);
}

/// A slot goes to another zone with the keys carved out of it.
OrderState release_to_zone(MapEdit& edit, const Unit& unit,
                           const MoveOrder& order) {
  std::vector<Key> keys;
  for (const auto& [key, record] : latest(edit).overrides) {
    if (slot_of_key(edit.state.cache, edit.part.service, key) != unit.slot)
      continue;
    if (record.phase != SlotPhase::kOwned) return OrderState::kWaits;
    keys.push_back(key);
  }
  for (const Key& key : keys) start_release(edit, {unit.slot, key}, order);
  start_release(edit, unit, order);
  return OrderState::kDone;
}

OrderState carry_out(MapEdit& edit, const Unit& unit, const MoveOrder& order) {
  const SlotRecord* record = unit_record(latest(edit), unit);
  if (record == nullptr && !unit.key.empty())
    return carry_out_new_key(edit, unit, order);
  if (record == nullptr) return OrderState::kDone;
  if (record->phase != SlotPhase::kOwned) return OrderState::kWaits;
  if (!order.target_zone.empty()) return release_to_zone(edit, unit, order);
  auto target = edit.servers.find(order.target);
  if (record->owner == order.target || target == edit.servers.end() ||
      !is_usable(target->second))
    return OrderState::kDone;
  start_move(edit, unit, order.target, order.cause);
  return OrderState::kDone;
}

const ServiceDeclaration* check_service(const core::State& state,
                                        const MoveCommand& move,
                                        Error& problem) {
  const ServiceDeclaration* service =
      service_declaration(state.cache, move.service);
  if (service == nullptr) {
    problem = {ErrorCode::kNotFound,
               "no service '" + move.service.str() + "' is declared"};
  } else if (move.slot.has_value() && move.slot->value >= service->key_slots) {
    problem = {ErrorCode::kInvalid, "slot " + std::to_string(move.slot->value) +
                                        " is not below " +
                                        std::to_string(service->key_slots)};
    service = nullptr;
  }
  return service;
}

std::optional<Error> check_target(const core::State& state,
                                  const MoveCommand& move, const Part& part) {
  if (!move.zone.empty()) {
    const Declarations& all = *declarations(state.cache);
    if (!all.zones.contains(move.zone))
      return Error{ErrorCode::kNotFound,
                   "no zone '" + move.zone.str() + "' is declared"};
    if (servers_of(all, move.service, move.zone).empty())
      return Error{ErrorCode::kInvalid, "zone " + move.zone.str() +
                                            " has no servers of " +
                                            move.service.str()};
    return std::nullopt;
  }
  ServerViews servers = view_servers(state, part);
  auto it = servers.find(move.server);
  if (it == servers.end()) {
    const ServerDeclaration* declared =
        server_declaration(state.cache, move.server);
    if (declared == nullptr)
      return Error{ErrorCode::kNotFound,
                   "no server '" + move.server.str() + "' is declared"};
    return Error{ErrorCode::kInvalid, move.server.str() + " does not serve " +
                                          move.service.str() + " in zone " +
                                          part.zone.str() +
                                          "; move the slot to its zone first"};
  }
  if (!is_usable(it->second))
    return Error{ErrorCode::kRefused, move.server.str() + " is not usable now"};
  return std::nullopt;
}

/// What has become of a move that the map shows, if it does.
std::optional<Result<std::string>> progress(const MoveCommand& move,
                                            const SlotRecord& record) {
  if (record.phase == SlotPhase::kClosed)
    return Error{ErrorCode::kRefused, "the service is closed"};
  if (record.phase == SlotPhase::kOwned && record.owner == move.server)
    return std::string("done");
  if (record.phase == SlotPhase::kMoving && record.target == move.server)
    return std::string("moving");
  bool leaves = record.phase == SlotPhase::kReleasing ||
                record.phase == SlotPhase::kHandedOver;
  if (leaves && record.target_zone == move.zone) return std::string("moving");
  if (record.phase == SlotPhase::kMoving)
    return Error{ErrorCode::kConflict,
                 "already moving to " + record.target.str()};
  if (leaves)
    return Error{ErrorCode::kConflict,
                 "already moving to zone " + record.target_zone.str()};
  return std::nullopt;
}

}  // namespace

void apply_orders(MapEdit& edit) {
  auto& orders = edit.state.ownership.parts[edit.part].orders;
  std::erase_if(orders, [&](const auto& entry) {
    return carry_out(edit, entry.first, entry.second) == OrderState::kDone;
  });
}

Result<std::string> order_move(core::State& state, const MoveCommand& move,
                               Now now, Effects& /*effects*/) {
  Error problem;
  const ServiceDeclaration* service = check_service(state, move, problem);
  if (service == nullptr) return problem;
  SlotId slot = move.slot.has_value() ? *move.slot
                                      : slot_of(move.key, service->key_slots);
  const ZoneName* zone = zone_of(state.cache, move.service, slot);
  if (zone == nullptr)
    return Error{ErrorCode::kUnavailable, "the zone map is not known yet"};
  if (*zone == move.zone) return std::string("done");
  if (!membership::coordinates(state, *zone, now))
    return Error{ErrorCode::kUnavailable,
                 "this daemon does not coordinate zone " + zone->str()};
  Part part{move.service, *zone};
  FoundUnit found = find_unit(state.cache, part, slot, move.key);
  if (found.record == nullptr)
    return Error{ErrorCode::kUnavailable, "the ownership map is not known yet"};
  if (auto known = progress(move, *found.record); known.has_value())
    return *known;
  if (auto wrong = check_target(state, move, part); wrong.has_value())
    return *wrong;
  Unit unit{slot, move.zone.empty() ? move.key : Key()};
  MoveOrder order{
      .target = move.server, .target_zone = move.zone, .cause = "operator"};
  auto& orders = state.ownership.parts[part].orders;
  auto [it, added] = orders.emplace(unit, order);
  bool same = it->second.target == order.target &&
              it->second.target_zone == order.target_zone;
  if (!added && !same)
    return Error{ErrorCode::kConflict, "another move of it waits already"};
  return std::string("waiting");
}

}  // namespace eelgrasspin::core::ownership
