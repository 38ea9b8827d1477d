#include "core/ownership/move_orders.h"

#include <utility>

#include "core/membership/membership.h"
#include "core/ownership/maps.h"
#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

enum class OrderResult { kWaiting, kDone };

/// Gives a key a record of its own, with its slot's owner, and starts its move.
void carve_out(MapEdit& edit, const Unit& unit, const SlotRecord& slot,
               const MoveOrder& order) {
  mutable_map(edit).overrides[unit.key] = {
      .owner = slot.owner, .epoch = slot.epoch, .phase = SlotPhase::kOwned};
  start_move(edit, unit, order.target, order.cause);
}

OrderResult execute_key_order(MapEdit& edit, const Unit& unit,
                              const MoveOrder& order) {
  const OwnershipMap& map = latest_map(edit);
  const SlotRecord* slot = unit_record(map, {unit.slot, Key()});
  if (slot == nullptr) return OrderResult::kDone;
  if (slot->phase != SlotPhase::kOwned) return OrderResult::kWaiting;
  if (slot->owner == order.target ||
      map.overrides.size() >= config::kMaxKeyOverrides)
    return OrderResult::kDone;
  carve_out(edit, unit, SlotRecord(*slot), order);
  return OrderResult::kDone;
}

void start_release(MapEdit& edit, const Unit& unit, const MoveOrder& order) {
  SlotRecord& record = *unit_record(mutable_map(edit), unit);
  record.phase = SlotPhase::kReleasing;
  record.target_zone = order.target_zone;
  record.epoch = record.epoch.next();
  queue_event(edit, TimelineKind::kZoneHandover, record.owner, ServerName(),
              order.cause, unit);
}

/// Hands a slot over to another zone, together with the keys carved out of it.
OrderResult release_to_zone(MapEdit& edit, const Unit& unit,
                            const MoveOrder& order) {
  std::vector<Key> keys;
  for (const auto& [key, record] : latest_map(edit).overrides) {
    if (slot_of_key(edit.state.cache, edit.service_zone.service, key) !=
        unit.slot)
      continue;
    if (record.phase != SlotPhase::kOwned) return OrderResult::kWaiting;
    keys.push_back(key);
  }
  for (const Key& key : keys) start_release(edit, {unit.slot, key}, order);
  start_release(edit, unit, order);
  return OrderResult::kDone;
}

OrderResult execute_order(MapEdit& edit, const Unit& unit,
                          const MoveOrder& order) {
  const SlotRecord* record = unit_record(latest_map(edit), unit);
  if (record == nullptr && !unit.key.empty())
    return execute_key_order(edit, unit, order);
  if (record == nullptr) return OrderResult::kDone;
  if (record->phase != SlotPhase::kOwned) return OrderResult::kWaiting;
  if (!order.target_zone.empty()) return release_to_zone(edit, unit, order);
  auto target = edit.servers.find(order.target);
  if (record->owner == order.target || target == edit.servers.end() ||
      !is_usable(target->second))
    return OrderResult::kDone;
  start_move(edit, unit, order.target, order.cause);
  return OrderResult::kDone;
}

const ServiceDeclaration* check_service(const core::State& state,
                                        const MoveCommand& move,
                                        Error& service_error) {
  const ServiceDeclaration* service =
      service_declaration(state.cache, move.service);
  if (service == nullptr) {
    service_error = {ErrorCode::kNotFound,
                     "no service '" + move.service.str() + "' is declared"};
  } else if (move.slot.has_value() && move.slot->value >= service->key_slots) {
    service_error = {ErrorCode::kInvalid,
                     "slot " + std::to_string(move.slot->value) +
                         " is not below " + std::to_string(service->key_slots)};
    service = nullptr;
  }
  return service;
}

std::optional<Error> check_target(const core::State& state,
                                  const MoveCommand& move,
                                  const ServiceZone& service_zone) {
  if (!move.zone.empty()) {
    const Declarations& all_declared = *declarations(state.cache);
    if (!all_declared.zones.contains(move.zone))
      return Error{ErrorCode::kNotFound,
                   "no zone '" + move.zone.str() + "' is declared"};
    if (servers_of(all_declared, move.service, move.zone).empty())
      return Error{ErrorCode::kInvalid, "zone " + move.zone.str() +
                                            " has no servers of " +
                                            move.service.str()};
    return std::nullopt;
  }
  ServerViews servers = view_servers(state, service_zone);
  auto it = servers.find(move.server);
  if (it == servers.end()) {
    const ServerDeclaration* declared =
        server_declaration(state.cache, move.server);
    if (declared == nullptr)
      return Error{ErrorCode::kNotFound,
                   "no server '" + move.server.str() + "' is declared"};
    return Error{ErrorCode::kInvalid, move.server.str() + " does not serve " +
                                          move.service.str() + " in zone " +
                                          service_zone.zone.str() +
                                          "; move the slot to its zone first"};
  }
  if (!is_usable(it->second))
    return Error{ErrorCode::kRefused, move.server.str() + " is not usable now"};
  return std::nullopt;
}

/// The state of a move according to the unit's record; not set if the record
/// shows no move.
std::optional<Result<std::string>> order_progress(const MoveCommand& move,
                                                  const SlotRecord& record) {
  if (record.phase == SlotPhase::kClosed)
    return Error{ErrorCode::kRefused, "the service is closed"};
  if (record.phase == SlotPhase::kOwned && record.owner == move.server)
    return std::string("done");
  if (record.phase == SlotPhase::kMoving && record.target == move.server)
    return std::string("moving");
  bool leaving_zone = record.phase == SlotPhase::kReleasing ||
                      record.phase == SlotPhase::kHandedOver;
  if (leaving_zone && record.target_zone == move.zone)
    return std::string("moving");
  if (record.phase == SlotPhase::kMoving)
    return Error{ErrorCode::kConflict,
                 "already moving to " + record.target.str()};
  if (leaving_zone)
    return Error{ErrorCode::kConflict,
                 "already moving to zone " + record.target_zone.str()};
  return std::nullopt;
}

}  // namespace

void apply_orders(MapEdit& edit) {
  auto& orders = edit.state.ownership.service_zones[edit.service_zone].orders;
  std::erase_if(orders, [&](const auto& entry) {
    return execute_order(edit, entry.first, entry.second) == OrderResult::kDone;
  });
}

Result<std::string> order_move(core::State& state, const MoveCommand& move,
                               Now now, Effects& /*effects*/) {
  Error service_error;
  const ServiceDeclaration* service = check_service(state, move, service_error);
  if (service == nullptr) return service_error;
  SlotId slot = move.slot.has_value() ? *move.slot
                                      : slot_of(move.key, service->key_slots);
  const ZoneName* zone = zone_of(state.cache, move.service, slot);
  if (zone == nullptr)
    return Error{ErrorCode::kUnavailable, "the zone map is not known yet"};
  if (*zone == move.zone) return std::string("done");
  if (!membership::coordinates(state, *zone, now))
    return Error{ErrorCode::kUnavailable,
                 "this daemon does not coordinate zone " + zone->str()};
  ServiceZone service_zone{move.service, *zone};
  FoundUnit found = find_unit(state.cache, service_zone, slot, move.key);
  if (found.record == nullptr)
    return Error{ErrorCode::kUnavailable, "the ownership map is not known yet"};
  if (auto current_progress = order_progress(move, *found.record);
      current_progress.has_value())
    return *current_progress;
  if (auto target_error = check_target(state, move, service_zone);
      target_error.has_value())
    return *target_error;
  Unit unit{slot, move.zone.empty() ? move.key : Key()};
  MoveOrder order{
      .target = move.server, .target_zone = move.zone, .cause = "operator"};
  auto& orders = state.ownership.service_zones[service_zone].orders;
  auto [it, inserted] = orders.emplace(unit, order);
  bool same_order = it->second.target == order.target &&
                    it->second.target_zone == order.target_zone;
  if (!inserted && !same_order)
    return Error{ErrorCode::kConflict, "another move of it waits already"};
  return std::string("waiting");
}

}  // namespace eelgrasspin::core::ownership
