#include "fleet/registry.h"

#include <algorithm>

#include "fleet/cold_servers.h"
#include "fleet/displaced_servers.h"
#include "fleet/log_event.h"
#include "fleet/peers.h"
#include "fleet/quarantine.h"
#include "fleet/requests.h"
#include "fleet/store_restoration.h"

namespace eelgrasspin::fleet {
namespace {

/// Removed servers are kept for this long, so that their last answers are
/// counted.
constexpr Duration kRemovedServerRetention = seconds(60);

void start_leaving(ServerState& server, TimePoint now) {
  if (server.leaving) return;
  server.leaving = true;
  server.leaving_since = now;
}

/// Whether the entry is of an incarnation before the known one, written late.
bool is_of_earlier_life(const ServerState& known, const Server& listed) {
  return listed.incarnation < known.server.incarnation;
}

/// Whether the entry shows the server as it was before something that is known
/// of it, as a restored store does until the server writes again.
bool is_outdated(const ServerState& known, const Server& listed) {
  if (listed.incarnation != known.server.incarnation)
    return is_of_earlier_life(known, listed);
  return known.leaving && !listed.draining;
}

void doubt_entry(State& state, ServerState& known, const Server& listed,
                 TimePoint now, Effects& effects) {
  if (!known.doubtful_entry) known.doubted_since = now;
  known.doubtful_entry = listed;
  state.servers_due = now;
  log_event(effects, "server",
            {{"server", listed.name.str()},
             {"service", listed.service.str()},
             {"state", "doubtful"},
             {"incarnation", text(listed.incarnation.value)}});
}

/// Applies an entry. True if index_servers() has to be called.
bool update_server(State& state, const Server& server, TimePoint now,
                   Effects& effects) {
  auto [found, added] = state.servers.try_emplace(server.name);
  ServerState& entry = found->second;
  bool restarted = !added && entry.server.incarnation != server.incarnation;
  bool was_leaving = entry.leaving;
  bool readdressed = entry.server.address != server.address;
  bool must_index = added || restarted || readdressed || entry.removed ||
                    entry.server.service != server.service ||
                    entry.server.zone != server.zone;
  if (restarted) {
    if (!entry.leaving) {
      on_server_crash(state, incarnation_of(entry.server), now, effects);
    }
    // Measurements belong to the incarnation that has ended.
    std::uint32_t in_flight = entry.in_flight;
    std::size_t body_bytes = entry.body_bytes;
    entry = ServerState();
    entry.in_flight = in_flight;
    entry.body_bytes = body_bytes;
  }
  if (added || restarted) entry.joined_at = now;
  if (readdressed) entry.displaced = false;
  entry.server = server;
  entry.doubtful_entry.reset();
  entry.read_at = now;
  entry.removed = false;
  entry.evacuated = state.evacuated_zones.count(server.zone) > 0;
  record_warm_up(state, entry, restarted, now);
  entry.may_return_until.reset();
  if (server.draining) {
    start_leaving(entry, now);
  } else {
    entry.leaving = false;
  }
  if (added || restarted || was_leaving != entry.leaving) {
    log_event(
        effects, "server",
        {{"server", server.name.str()},
         {"service", server.service.str()},
         {"zone", server.zone.str()},
         {"state", server.draining ? "draining" : "ready"},
         {"incarnation", text(server.incarnation.value)},
         {"change", added ? "added" : (restarted ? "restarted" : "state")}});
  }
  return must_index;
}

void remove_server(State& state, ServerState& entry, TimePoint now,
                   Effects& effects) {
  entry.doubtful_entry.reset();
  if (entry.removed || entry.may_return_until) return;
  if (in_or_after_outage(state, now) && !entry.leaving) {
    // Counted from the end of the outage, however late the list was read.
    bool in_outage = state.store_failed_at > state.store_answered_at;
    entry.may_return_until = (in_outage ? now : state.outage_ended_at) +
                             config::kRegistryRecoveryTime;
    state.servers_due = now;
    return;
  }
  if (!entry.leaving) {
    on_server_crash(state, incarnation_of(entry.server), now, effects);
  }
  entry.removed = true;
  state.servers_due = now;
  start_leaving(entry, now);
  log_event(effects, "server",
            {{"server", entry.server.name.str()},
             {"service", entry.server.service.str()},
             {"state", "gone"},
             {"entry_age", text(now - entry.read_at)}});
}

const ServerName& changed_server(const ServerChange& change) {
  const auto* server = std::get_if<Server>(&change);
  return server == nullptr ? std::get<ServerName>(change) : server->name;
}

}  // namespace

void index_servers(State& state) {
  state.by_service.clear();
  state.by_distance.clear();
  mark_taken_addresses(state);
  for (const auto& [name, server] : state.servers) {
    if (server.removed) continue;
    state.by_service[server.server.service].push_back(name);
    auto distance =
        static_cast<std::size_t>(distance_to(state, server.server.zone));
    state.by_distance[server.server.service].at(distance).push_back(&server);
  }
}

bool in_or_after_outage(const State& state, TimePoint now) {
  bool in_outage = state.store_failed_at > state.store_answered_at;
  return in_outage ||
         (state.outage_ended_at > TimePoint() &&
          now - state.outage_ended_at < config::kRegistryRecoveryTime);
}

std::optional<TimePoint> entries_return_by(const State& state) {
  if (!state.store_has_answered ||
      state.store_failed_at > state.store_answered_at) {
    return std::nullopt;
  }
  TimePoint back = state.outage_ended_at;
  // A daemon that has just started may have missed a restoration, unless there
  // has been none.
  if (current_era(state) > StoreEra())
    back = std::max(back, state.store_reached_at);
  return back > TimePoint() ? back + config::kEntryReturnTime : back;
}

void on_servers_listed(State& state, const ServersListed& listed, TimePoint now,
                       Effects& effects) {
  // A list that is older than changes already applied is ignored.
  auto view = state.views.find(StoreView::kServers);
  if (listed.as_of.revision.value > 0 && view != state.views.end() &&
      listed.as_of < view->second.as_of) {
    return;
  }
  std::set<ServerName> present;
  for (const Server& server : listed.servers) {
    present.insert(server.name);
    auto known = state.servers.find(server.name);
    if (known != state.servers.end() &&
        (is_of_earlier_life(known->second, server) ||
         (lists_outdated_entries(state, now) &&
          is_outdated(known->second, server)))) {
      doubt_entry(state, known->second, server, now, effects);
      continue;
    }
    update_server(state, server, now, effects);
  }
  for (auto& [name, entry] : state.servers) {
    if (present.count(name) == 0) remove_server(state, entry, now, effects);
  }
  index_servers(state);
  retry_waiting(state, now, effects);
}

void on_servers_changed(State& state, const std::vector<ServerChange>& changes,
                        TimePoint now, Effects& effects) {
  // Only the last change of each server counts. This daemon may know the ones
  // before, which would bring a server back that has left.
  std::map<ServerName, const ServerChange*> last_changes;
  for (const ServerChange& change : changes)
    last_changes[changed_server(change)] = &change;
  bool must_index = false;
  for (const ServerChange& change : changes) {
    if (last_changes.at(changed_server(change)) != &change) continue;
    if (const auto* server = std::get_if<Server>(&change)) {
      auto known = state.servers.find(server->name);
      if (known != state.servers.end() &&
          is_of_earlier_life(known->second, *server)) {
        doubt_entry(state, known->second, *server, now, effects);
        continue;
      }
      must_index = update_server(state, *server, now, effects) || must_index;
      continue;
    }
    auto found = state.servers.find(std::get<ServerName>(change));
    if (found == state.servers.end()) continue;
    remove_server(state, found->second, now, effects);
    must_index = true;
  }
  if (must_index) index_servers(state);
  retry_waiting(state, now, effects);
}

void expire_servers(State& state, TimePoint now, Effects& effects) {
  if (!state.servers_due || now < *state.servers_due) return;
  state.servers_due.reset();
  auto look_again = [&](TimePoint at) {
    state.servers_due = std::min(state.servers_due.value_or(at), at);
  };
  bool changed = false;
  bool in_outage = state.store_failed_at > state.store_answered_at;
  for (auto it = state.servers.begin(); it != state.servers.end();) {
    ServerState& entry = it->second;
    if (entry.may_return_until && in_outage) {
      entry.may_return_until = now + config::kRegistryRecoveryTime;
    } else if (entry.may_return_until && now >= *entry.may_return_until) {
      on_server_crash(state, incarnation_of(entry.server), now, effects);
      entry.may_return_until.reset();
      entry.removed = true;
      start_leaving(entry, now);
      changed = true;
      log_event(effects, "server",
                {{"server", entry.server.name.str()},
                 {"service", entry.server.service.str()},
                 {"state", "gone"},
                 {"reason", "not_back_after_outage"}});
    }
    if (entry.doubtful_entry && is_settled(state, StoreView::kServers, now) &&
        now - entry.doubted_since >= outdated_entries_time(state.settings)) {
      Server listed = *entry.doubtful_entry;
      update_server(state, listed, now, effects);
      changed = true;
    }
    if (entry.removed && !entry.doubtful_entry && entry.in_flight == 0 &&
        now - entry.leaving_since > kRemovedServerRetention) {
      it = state.servers.erase(it);
      changed = true;
      continue;
    }
    // While the outage lasts, the time until which an entry may return moves.
    if (entry.may_return_until || entry.doubtful_entry) look_again(now);
    if (entry.removed) {
      look_again(std::max(now + seconds(1),
                          entry.leaving_since + kRemovedServerRetention));
    }
    ++it;
  }
  if (changed) index_servers(state);
}

bool accepts_work(const ServerState& server) {
  return !server.leaving && !server.removed && !server.announced_leaving &&
         !server.displaced && !server.address_taken && !server.evacuated;
}

ServerIncarnation incarnation_of(const Server& server) {
  return {server.name, server.incarnation};
}

bool is_current(const State& state, const ServerIncarnation& server) {
  auto found = state.servers.find(server.name);
  return found != state.servers.end() && accepts_work(found->second) &&
         found->second.server.incarnation == server.incarnation;
}

std::uint32_t load_at(const State& state, const ServerState& server) {
  std::uint32_t load = server.in_flight;
  auto found = state.fleet.loads.find(server.server.name);
  return found == state.fleet.loads.end() ? load : load + found->second;
}

Distance distance_to(const State& state, const ZoneName& zone) {
  const DaemonRecord& self = state.settings.self;
  if (zone == self.zone) return Distance::kSameZone;
  auto region = state.settings.regions.find(zone);
  if (region != state.settings.regions.end() && region->second == self.region) {
    return Distance::kSameRegion;
  }
  return Distance::kOtherRegion;
}

}  // namespace eelgrasspin::fleet
