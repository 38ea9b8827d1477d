#include "fleet/evacuations.h"

#include "fleet/cold_servers.h"
#include "fleet/log_event.h"
#include "fleet/requests.h"
#include "fleet/store_restoration.h"

namespace eelgrasspin::fleet {
namespace {

void mark_servers(State& state, const ZoneName& zone, bool evacuated,
                  TimePoint now) {
  for (auto& [name, server] : state.servers) {
    if (server.server.zone != zone || server.evacuated == evacuated) continue;
    server.evacuated = evacuated;
    // Its servers may have started again while nothing was sent to them.
    if (!evacuated) presume_cold(state, server, now);
  }
}

/// Applies one order or its end. True if it changes anything.
bool set_evacuated(State& state, const ZoneName& zone, bool evacuated,
                   TimePoint now, Effects& effects) {
  bool changed = evacuated ? state.evacuated_zones.insert(zone).second
                           : state.evacuated_zones.erase(zone) > 0;
  if (!changed) return false;
  mark_servers(state, zone, evacuated, now);
  // The daemons that follow this one learn of it from the next heartbeat.
  state.fleet.load_changed = true;
  log_event(effects, "zone_evacuation",
            {{"zone", zone.str()}, {"state", evacuated ? "ordered" : "ended"}});
  return true;
}

void adopt_zones(State& state, const std::set<ZoneName>& zones, TimePoint now,
                 Effects& effects) {
  bool changed = false;
  std::set<ZoneName> before = state.evacuated_zones;
  for (const ZoneName& zone : before) {
    if (zones.count(zone) == 0)
      changed = set_evacuated(state, zone, false, now, effects) || changed;
  }
  for (const ZoneName& zone : zones)
    changed = set_evacuated(state, zone, true, now, effects) || changed;
  if (changed) retry_waiting(state, now, effects);
}

/// Adopts what the store lists. An evacuation that a restored store does not
/// list may be one that it has lost and that will be ordered again.
void adopt_listed(State& state, std::set<ZoneName> listed, TimePoint now,
                  Effects& effects) {
  state.listed_evacuations = listed;
  if (lists_outdated_entries(state, now)) {
    listed.insert(state.evacuated_zones.begin(), state.evacuated_zones.end());
  }
  adopt_zones(state, listed, now, effects);
}

}  // namespace

void on_evacuations_listed(State& state, const EvacuationsListed& listed,
                           TimePoint now, Effects& effects) {
  ViewState& view = state.views[StoreView::kEvacuations];
  // A list that is older than changes already applied is ignored.
  if (listed.as_of < view.as_of) return;
  view.as_of = listed.as_of;
  view.last_change = listed.as_of;
  view.answered_at = now;
  adopt_listed(state, {listed.zones.begin(), listed.zones.end()}, now, effects);
}

void on_evacuations_changed(State& state, const StoreUpdate& update,
                            TimePoint now, Effects& effects) {
  ViewState& view = state.views[StoreView::kEvacuations];
  view.answered_at = now;
  if (update.as_of < view.as_of) return;
  view.as_of = update.as_of;
  if (update.evacuations.empty()) return;
  view.last_change = update.as_of;
  std::set<ZoneName> zones = state.evacuated_zones;
  for (const EvacuationChange& change : update.evacuations) {
    if (change.ordered) {
      zones.insert(change.zone);
      state.listed_evacuations.insert(change.zone);
    } else {
      zones.erase(change.zone);
      state.listed_evacuations.erase(change.zone);
    }
  }
  adopt_zones(state, zones, now, effects);
}

void follow_evacuations(State& state, const Heartbeat::View& relay,
                        TimePoint now, Effects& effects) {
  ViewState& view = state.views[StoreView::kEvacuations];
  if (relay.evacuations <= view.as_of) return;
  view.as_of = relay.evacuations;
  view.last_change = relay.evacuations;
  adopt_listed(state,
               {relay.evacuated_zones.begin(), relay.evacuated_zones.end()},
               now, effects);
}

void tick_evacuations(State& state, TimePoint now, Effects& effects) {
  if (!state.restored_at || state.evacuated_zones == state.listed_evacuations ||
      !is_settled(state, StoreView::kEvacuations, now)) {
    return;
  }
  adopt_zones(state, state.listed_evacuations, now, effects);
}

bool evacuations_known(const State& state) {
  if (!state.settings.evacuation_time) return true;
  auto view = state.views.find(StoreView::kEvacuations);
  return view != state.views.end() && view->second.as_of.revision.value > 0;
}

}  // namespace eelgrasspin::fleet
