#include "core/ownership/ownership.h"

#include <xxhash.h>

#include "core/ownership/coordinator.h"
#include "core/ownership/fronts.h"
#include "core/ownership/history.h"
#include "core/ownership/maps.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

/// Events of single requests have no effect on ownership before the next tick.
bool concerns_ownership(const Event& event) {
  return !std::holds_alternative<RequestArrived>(event) &&
         !std::holds_alternative<RequestCancelled>(event) &&
         !std::holds_alternative<AttemptEnded>(event);
}

void settle_writes(core::State& state, Now now, Effects& effects) {
  for (const auto& [service_zone, zone_state] : state.ownership.service_zones)
    on_write_settled(state, service_zone, now, effects);
}

}  // namespace

void step(core::State& state, const Event& event, Now now, Effects& effects) {
  if (state.resumed_from_pause) {
    for (auto& [server, front] : state.ownership.fronts)
      discount_pause(front, state.pause);
  }
  mark_unconfirmed_fronts(state, now);
  if (!concerns_ownership(event)) return;
  if (const auto* reply = std::get_if<GrantReplied>(&event))
    on_grant_reply(state, *reply, now, effects);
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_history_read(state, *answer, now);
  confirm_fronts(state, event, now, effects);
  sync_fronts(state, now, effects);
  if (!state.writer.settled.empty()) settle_writes(state, now, effects);
  update_fronts(state, now, effects);
  if (std::holds_alternative<Tick>(event)) coordinate(state, now, effects);
}

SlotId slot_of(const Key& key, std::uint32_t key_slots) {
  std::uint64_t hash = XXH64(key.str().data(), key.str().size(), 0);
  return SlotId(static_cast<std::uint32_t>(hash & (key_slots - 1)));
}

std::uint64_t owned_units(const core::State& state, const ServiceName& service,
                          const ZoneName& zone) {
  const OwnershipMap* map = ownership_map(state.cache, {service, zone});
  if (map == nullptr) return 0;
  std::uint64_t units = 0;
  for (const auto& [slot, record] : map->slots)
    units += record.phase == SlotPhase::kClosed ? 0 : 1;
  for (const auto& [key, record] : map->overrides)
    units += record.phase == SlotPhase::kClosed ? 0 : 1;
  return units;
}

}  // namespace eelgrasspin::core::ownership
