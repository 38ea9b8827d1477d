#include "fleet/store_restoration.h"

#include <algorithm>

#include "fleet/log_event.h"
#include "fleet/ownership.h"

namespace eelgrasspin::fleet {
Duration outdated_entries_time(const Settings& settings) {
  return config::kEntryExpiryCheckIns * settings.registry_check_in +
         config::kRegistryRecoveryTime;
}

StoreEra current_era(const State& state) {
  return state.store_era.value_or(StoreEra());
}

void on_store_era(State& state, const StoreEraSeen& seen, TimePoint now,
                  Effects& effects) {
  if (state.store_era && seen.era <= *state.store_era) return;
  bool first = !state.store_era && !state.store_has_answered;
  StoreEra before = current_era(state);
  state.store_era = seen.era;
  if (first) return;
  state.restored_at = now;
  // Entries that are missing from the copy may return, as after an outage.
  state.outage_ended_at = now;
  // Records of strikes may be among what the store has lost.
  state.quarantine_record.outdated = !state.strikes.empty();
  log_event(effects, "store_restored",
            {{"era", text(seen.era.value)},
             {"before", text(before.value)},
             {"configuration_as_of",
              text(state.views[StoreView::kConfiguration].as_of)},
             {"servers_as_of", text(state.views[StoreView::kServers].as_of)},
             {"maps", text(state.maps.size())}});
  on_maps_lost(state, before, now, effects);
  effects.emplace_back(ReadStoreAgain{});
}

void on_earlier_era(const State& state, const EarlierEraAnswered& answered,
                    Effects& effects) {
  log_event(effects, "store_answer_of_earlier_era",
            {{"era", text(answered.era.value)},
             {"current", text(current_era(state).value)}});
}

bool lists_outdated_entries(const State& state, TimePoint now) {
  return state.restored_at &&
         now - *state.restored_at < outdated_entries_time(state.settings);
}

bool is_settled(const State& state, StoreView view, TimePoint now) {
  if (lists_outdated_entries(state, now)) return false;
  if (!state.restored_at) return true;
  auto found = state.views.find(view);
  if (found == state.views.end()) return false;
  if (!state.watching) return !found->second.behind_since;
  return found->second.answered_at - *state.restored_at >=
         outdated_entries_time(state.settings);
}

bool remembers_lost_grants(const State& state) {
  return state.restored_at &&
         *state.restored_at - state.started >= longest_hold(state.settings);
}

}  // namespace eelgrasspin::fleet
