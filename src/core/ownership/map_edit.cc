#include "core/ownership/map_edit.h"

#include <utility>

#include "core/membership/membership.h"
#include "core/ownership/maps.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

constexpr std::size_t kMaxRecentWriteIds = 8;
constexpr std::size_t kMaxDetailChars = 160;

void append_slot_range(std::string& text, SlotId first, SlotId last) {
  if (!text.empty()) text += ',';
  text += std::to_string(first.value);
  if (last != first) text += '-' + std::to_string(last.value);
}

/// "12 units: slots 0-9,12; keys a".
std::string describe_units(const std::vector<Unit>& units) {
  std::string slots;
  std::string keys;
  for (std::size_t i = 0; i < units.size(); ++i) {
    if (!units[i].key.empty()) {
      keys += ' ' + units[i].key.str();
      continue;
    }
    std::size_t last = i;
    while (last + 1 < units.size() && units[last + 1].key.empty() &&
           units[last + 1].slot.value == units[last].slot.value + 1)
      ++last;
    append_slot_range(slots, units[i].slot, units[last].slot);
    i = last;
  }
  std::string text = std::to_string(units.size()) + " units:";
  if (!slots.empty()) text += " slots " + slots;
  if (!keys.empty()) text += " keys" + keys;
  if (text.size() > kMaxDetailChars) {
    text.resize(kMaxDetailChars);
    text += "...";
  }
  return text;
}

TimelineEvent make_event(const ServiceZone& service_zone,
                         const MapEdit::EventKey& event_key,
                         const std::vector<Unit>& units) {
  const auto& [kind, from, to, cause] = event_key;
  TimelineEvent event{.zone = service_zone.zone,
                      .kind = kind,
                      .service = service_zone.service,
                      .server = to.empty() ? from : to,
                      .cause = cause};
  if (units.size() == 1) event.slot = units.front().slot;
  event.detail = describe_units(units);
  if (!from.empty()) event.detail += " from " + from.str();
  if (!to.empty()) event.detail += " to " + to.str();
  return event;
}

void set_write_ids(core::State& state, OwnershipMap& map) {
  map.coordinator_epoch = membership::coordinator_epoch(state, map.zone);
  map.write_id = new_write_id(state);
  map.recent_write_ids.push_back(map.write_id);
  if (map.recent_write_ids.size() > kMaxRecentWriteIds)
    map.recent_write_ids.erase(map.recent_write_ids.begin());
}

}  // namespace

MapEdit begin_edit(core::State& state, const ServiceZone& service_zone,
                   const MapIndex& index, const OwnershipMap& current,
                   Now now) {
  MapEdit edit{.state = state,
               .service_zone = service_zone,
               .now = now,
               .index = index,
               .current = current,
               .servers = view_servers(state, service_zone)};
  edit.candidates = usable_candidates(edit.servers, &index);
  for (const auto& [server, view] : edit.servers) {
    if (view.report == nullptr || view.report->released.empty()) continue;
    edit.released[server].insert(view.report->released.begin(),
                                 view.report->released.end());
  }
  return edit;
}

OwnershipMap& mutable_map(MapEdit& edit) {
  if (!edit.next.has_value()) edit.next = edit.current;
  return *edit.next;
}

const OwnershipMap& latest_map(const MapEdit& edit) {
  return edit.next.has_value() ? *edit.next : edit.current;
}

void start_move(MapEdit& edit, const Unit& unit, const ServerName& target,
                const std::string& cause) {
  SlotRecord& record = *unit_record(mutable_map(edit), unit);
  record.phase = SlotPhase::kMoving;
  record.target = target;
  record.epoch = record.epoch.next();
  ++edit.moves_started;
  queue_event(edit, TimelineKind::kMoveStarted, record.owner, target, cause,
              unit);
}

void assign_owner(MapEdit& edit, const Unit& unit, const ServerName& target) {
  SlotRecord& record = *unit_record(mutable_map(edit), unit);
  bool moved = record.phase == SlotPhase::kMoving && record.owner != target;
  if (moved) {
    ++edit.moves_finished;
    queue_event(edit, TimelineKind::kMoveFinished, record.owner, target, "",
                unit);
  }
  record = {.owner = target, .epoch = record.epoch, .phase = SlotPhase::kOwned};
}

void queue_event(MapEdit& edit, TimelineKind kind, const ServerName& from,
                 const ServerName& to, const std::string& cause,
                 const Unit& unit) {
  edit.pending_events[{kind, from, to, cause}].push_back(unit);
}

void finish_edit(MapEdit& edit, Effects& effects) {
  if (!edit.next.has_value()) return;
  set_write_ids(edit.state, *edit.next);
  ServiceZoneState& zone_state =
      edit.state.ownership.service_zones[edit.service_zone];
  zone_state.pending_events.clear();
  for (const auto& [event_key, units] : edit.pending_events)
    zone_state.pending_events.push_back(
        make_event(edit.service_zone, event_key, units));
  zone_state.moves_started = edit.moves_started;
  zone_state.moves_finished = edit.moves_finished;
  zone_state.units_recovered = edit.units_recovered;
  StoreKey key =
      ownership_map_key(edit.service_zone.service, edit.service_zone.zone);
  start_write(edit.state, key, version_of(edit.state.cache, key),
              std::move(*edit.next), edit.now, effects);
}

void on_write_settled(core::State& state, const ServiceZone& service_zone,
                      Now now, Effects& effects) {
  const SettledWrite* write = settled_write(
      state, ownership_map_key(service_zone.service, service_zone.zone));
  if (write == nullptr) return;
  ServiceZoneState& zone_state = state.ownership.service_zones[service_zone];
  std::vector<TimelineEvent> events =
      std::exchange(zone_state.pending_events, {});
  if (!write->took_effect) return;
  state.counters[Counter::kMovesStarted] +=
      std::exchange(zone_state.moves_started, 0);
  state.counters[Counter::kMovesFinished] +=
      std::exchange(zone_state.moves_finished, 0);
  state.counters[Counter::kSlotsRecovered] +=
      std::exchange(zone_state.units_recovered, 0);
  for (TimelineEvent& event : events)
    record(state, std::move(event), now, effects);
}

}  // namespace eelgrasspin::core::ownership
