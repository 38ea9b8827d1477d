#include "fleet/store_view.h"

#include <algorithm>

#include "fleet/displaced_servers.h"
#include "fleet/evacuations.h"
#include "fleet/log_event.h"
#include "fleet/peers.h"
#include "fleet/regions.h"
#include "fleet/registry.h"
#include "fleet/requests.h"
#include "fleet/zone_relay.h"

namespace eelgrasspin::fleet {
namespace {

bool coordinates_any(const State& state) {
  return std::any_of(state.maps.begin(), state.maps.end(), [](const auto& map) {
    return map.second.coordinator_role.has_value();
  });
}

/// The relay of the zone, if it is another daemon whose copies are current;
/// else null.
const PeerState* followed_relay(State& state, TimePoint now) {
  const DaemonRecord& self = state.settings.self;
  auto relay = own_relay(state, now);
  if (!relay || *relay == self.name) return nullptr;
  const PeerState& peer = state.fleet.peers.at(*relay);
  const Heartbeat& heartbeat = peer.heartbeat;
  if (!heartbeat.view || heartbeat.store_unreachable_for.count() > 0)
    return nullptr;
  // One of the two has not noticed yet that the store was restored.
  if (heartbeat.store_era && *heartbeat.store_era != current_era(state))
    return nullptr;
  Duration age = heartbeat.view->age + (now - peer.received_at);
  return age <= config::kMaxRelayViewAge ? &peer : nullptr;
}

bool any_view_unread(const State& state) {
  return std::any_of(kStoreViews.begin(), kStoreViews.end(),
                     [&](StoreView view) {
                       auto found = state.views.find(view);
                       return found == state.views.end() ||
                              found->second.as_of.revision.value == 0 ||
                              found->second.as_of.era < current_era(state);
                     });
}

void apply_changes(State& state, const StoreUpdate& update, TimePoint now,
                   Effects& effects) {
  if (update.since_outage) {
    state.outage_ended_at =
        std::max(state.outage_ended_at, now - *update.since_outage);
  }
  if (update.configuration) {
    adopt_configuration(state,
                        {update.configuration, update.configuration_revision},
                        now, effects);
  }
  if (!update.servers.empty())
    on_servers_changed(state, update.servers, now, effects);
}

bool has_no_changes(const StoreUpdate& update) {
  return !update.configuration && update.servers.empty();
}

void catch_up(State& state, const Heartbeat::View& relay, TimePoint now,
              Effects& effects) {
  for (StoreView kind : kStoreViews) {
    ViewState& view = state.views[kind];
    StorePosition changed =
        kind == StoreView::kConfiguration ? relay.configuration : relay.servers;
    if (changed <= view.as_of) {
      view.behind_since.reset();
    } else if (!view.behind_since) {
      view.behind_since = now;
    } else if (now - *view.behind_since >= config::kOutdatedViewReadDelay) {
      view.behind_since = now;
      effects.emplace_back(CatchUp{kind, view.as_of});
      log_event(effects, "store_view_behind",
                {{"view", text(static_cast<std::uint64_t>(kind))},
                 {"as_of", text(view.as_of)},
                 {"relay_changed", text(changed)}});
    }
  }
}

}  // namespace

void adopt_configuration(State& state, const ConfigurationSeen& seen,
                         TimePoint now, Effects& effects) {
  const Configuration& next = *seen.configuration;
  if (state.configuration && next.version <= state.configuration->version) {
    if (next.version < state.configuration->version) {
      log_event(effects, "config_ignored",
                {{"version", text(next.version)},
                 {"current", text(state.configuration->version)},
                 {"revision", text(seen.revision.value)},
                 {"reason", "older"}});
    }
    return;
  }
  state.configuration = seen.configuration;
  index_regions(state);
  mark_taken_addresses(state);
  log_event(effects, "config_adopted",
            {{"version", text(next.version)},
             {"revision", text(seen.revision.value)},
             {"routes", text(next.routes.size())},
             {"services", text(next.services.size())}});
  retry_waiting(state, now, effects);
}

bool should_watch(State& state, TimePoint now) {
  // A daemon whose own calls fail has to notice when the store answers again.
  return store_unreachable_for(state, now).count() > 0 ||
         any_view_unread(state) || coordinates_any(state) ||
         followed_relay(state, now) == nullptr;
}

void on_view_listed(State& state, const ViewListed& listed, TimePoint now) {
  ViewState& view = state.views[listed.view];
  view.as_of = std::max(view.as_of, listed.as_of);
  // The changes since the last copy are unknown, so that daemons which follow
  // this one have to read the list as well.
  view.last_change = view.as_of;
  view.answered_at = now;
}

void on_store_changed(State& state, const StoreChanged& changed, TimePoint now,
                      Effects& effects) {
  StoreUpdate update = changed.update;
  update.states_era = state.store_era.has_value();
  if (update.view == StoreView::kEvacuations)
    return on_evacuations_changed(state, update, now, effects);
  ViewState& view = state.views[update.view];
  update.base = view.last_change;
  if (in_or_after_outage(state, now)) {
    update.since_outage = now - std::min(now, state.outage_ended_at);
  }
  view.answered_at = now;
  // An answer that is older than changes sent by the relay is ignored.
  if (update.as_of < view.as_of) return;
  view.as_of = std::max(view.as_of, update.as_of);
  if (has_no_changes(update)) return;
  view.last_change = std::max(view.last_change, update.as_of);
  if (is_zone_relay(state, now)) {
    const std::vector<Endpoint>& to = zone_members(state);
    if (!to.empty()) {
      effects.emplace_back(SendStoreUpdate{update, to});
    }
  }
  apply_changes(state, update, now, effects);
}

void on_store_update(State& state, const StoreUpdateReceived& received,
                     TimePoint now, Effects& effects) {
  StoreUpdate update = received.update;
  if (!update.states_era)
    update.base.era = update.as_of.era = current_era(state);
  ViewState& view = state.views[update.view];
  // An update with a newer base is ignored; the copy is then found outdated and
  // refreshed from the store.
  if (update.as_of <= view.as_of || update.base > view.as_of) return;
  view.as_of = update.as_of;
  view.last_change = update.as_of;
  view.behind_since.reset();
  apply_changes(state, update, now, effects);
}

void tick_store_view(State& state, TimePoint now, Effects& effects) {
  bool watch = should_watch(state, now);
  bool only_for_self =
      zone_members(state).empty() || !is_zone_relay(state, now);
  Duration wait = only_for_self ? config::kWatchWait : config::kRelayWatchWait;
  if (watch != state.watching || wait != state.watch_wait) {
    if (watch != state.watching) {
      auto relay = own_relay(state, now);
      log_event(
          effects, watch ? "store_watched" : "store_followed",
          {{"relay", relay ? relay->str() : "-"},
           {"servers_as_of", text(state.views[StoreView::kServers].as_of)}});
    }
    state.watching = watch;
    state.watch_wait = wait;
    effects.emplace_back(
        WatchStore{watch, wait, state.views[StoreView::kConfiguration].as_of,
                   state.views[StoreView::kServers].as_of,
                   state.views[StoreView::kEvacuations].as_of});
  }
  if (watch) return;
  if (const PeerState* peer = followed_relay(state, now)) {
    catch_up(state, *peer->heartbeat.view, now, effects);
    follow_evacuations(state, *peer->heartbeat.view, now, effects);
  }
}

std::optional<Heartbeat::View> own_view(State& state, TimePoint now) {
  if (!state.watching || any_view_unread(state) || !is_zone_relay(state, now)) {
    return std::nullopt;
  }
  const ViewState& configuration = state.views.at(StoreView::kConfiguration);
  const ViewState& servers = state.views.at(StoreView::kServers);
  Heartbeat::View view{
      configuration.last_change,
      servers.last_change,
      now - std::min(configuration.answered_at, servers.answered_at),
      StorePosition(),
      {}};
  auto evacuations = state.views.find(StoreView::kEvacuations);
  if (state.settings.evacuation_time && evacuations_known(state) &&
      evacuations->second.as_of.era == current_era(state)) {
    view.evacuations = evacuations->second.last_change;
    view.evacuated_zones = {state.listed_evacuations.begin(),
                            state.listed_evacuations.end()};
  }
  return view;
}

}  // namespace eelgrasspin::fleet
