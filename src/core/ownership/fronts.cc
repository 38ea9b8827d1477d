#include "core/ownership/fronts.h"

#include <algorithm>
#include <utility>

#include "core/membership/membership.h"
#include "core/ownership/maps.h"
#include "core/ownership/ownership.h"
#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

Duration execution_limit(const core::State& state, const ServerName& server) {
  const ServerDeclaration* declared = server_declaration(state.cache, server);
  if (declared == nullptr) return config::kDefaultExecutionLimit;
  const ServiceDeclaration* service =
      service_declaration(state.cache, declared->service);
  return service == nullptr ? config::kDefaultExecutionLimit
                            : service->execution_limit;
}

std::map<ServerName, FrontAssignment> own_assignments(
    const core::State& state) {
  std::map<ServerName, FrontAssignment> assignments;
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* roster = std::get_if<ZoneRoster>(&entry.record);
        if (roster == nullptr) return;
        for (const auto& [server, front] : roster->fronts) {
          if (front.daemon == state.self.name &&
              front.incarnation == state.self.incarnation)
            assignments[server] = front;
        }
      });
  return assignments;
}

void end_front(core::State& state, const ServerName& server, Now now,
               Effects& effects) {
  auto node = state.ownership.fronts.extract(server);
  Front& front = node.mapped();
  record(state,
         {.kind = TimelineKind::kFrontStopped,
          .server = server,
          .epoch = front.epoch.value},
         now, effects);
  state.ownership.former_fronts[{server, front.epoch}] = now.mono;
}

void start_front(core::State& state, const ServerName& server,
                 const FrontAssignment& assignment, Now now, Effects& effects) {
  Front front{.server = server, .epoch = assignment.epoch, .since = now.mono};
  if (assignment.predecessors.empty()) front.predecessor_stopped = now.mono;
  state.ownership.fronts[server] = std::move(front);
  ++state.counters[Counter::kFrontTerms];
  record(state,
         {.kind = TimelineKind::kFrontGained,
          .server = server,
          .epoch = assignment.epoch.value},
         now, effects);
}

/// Whether the request path has no request of a unit running on the server.
bool is_idle(const core::State& state, const ServerName& server,
             const Unit& unit) {
  return request::running(state, server, unit.slot, unit.key) == 0;
}

bool being_revoked(const MapIndex& index, const Unit& unit,
                   const ServerName& server) {
  auto it = index.unsettled.find(unit);
  return it != index.unsettled.end() && it->second.record.owner == server;
}

bool drop_unwanted(const core::State& state, Front& front,
                   const MapIndex& index, const std::vector<SlotGrant>& wanted,
                   Now now) {
  bool changed = false;
  std::vector<Unit> dropped;
  for (auto& [unit, granted] : front.units) {
    auto it =
        std::lower_bound(wanted.begin(), wanted.end(), unit,
                         [](const SlotGrant& grant, const Unit& searched) {
                           return Unit{grant.slot, grant.key} < searched;
                         });
    if (it != wanted.end() && it->slot == unit.slot && it->key == unit.key)
      continue;
    granted.closing = true;
    if (!being_revoked(index, unit, front.server) ||
        is_idle(state, front.server, unit))
      dropped.push_back(unit);
  }
  for (const Unit& unit : dropped) {
    drop_unit(front, unit, now.mono);
    changed = true;
  }
  return changed;
}

bool add_wanted(Front& front, const std::vector<SlotGrant>& wanted) {
  bool changed = false;
  for (const SlotGrant& grant : wanted) {
    Unit unit{grant.slot, grant.key};
    auto it = front.units.find(unit);
    if (it == front.units.end() || it->second.epoch != grant.epoch)
      changed = true;
    grant_unit(front, unit, grant.epoch);
  }
  return changed;
}

void forget_settled_drops(Front& front, const MapIndex& index) {
  std::erase_if(front.dropped, [&](const auto& entry) {
    return !being_revoked(index, entry.first, front.server);
  });
}

bool has_closing(const Front& front) {
  return std::any_of(front.units.begin(), front.units.end(),
                     [](const auto& entry) { return entry.second.closing; });
}

/// Updates the grant set from the ownership map. False while the map is not
/// known.
bool update_grant_set(core::State& state, Front& front, Now now) {
  static const std::vector<SlotGrant> kNoGrants;
  const ServerDeclaration* declared =
      server_declaration(state.cache, front.server);
  if (declared == nullptr) return front.set_version != 0;
  front.checks_grants = declared->checks_grants;
  const MapIndex* index = map_index(state, {declared->service, declared->zone});
  if (index == nullptr) return front.set_version != 0;
  bool same_maps = index->map_version == front.map_version &&
                   index->zone_map_version == front.zone_map_version;
  if (same_maps && !has_closing(front)) return true;
  auto owned = index->owned.find(front.server);
  const auto& wanted = owned == index->owned.end() ? kNoGrants : owned->second;
  bool changed = drop_unwanted(state, front, *index, wanted, now);
  if (!same_maps) {
    changed = add_wanted(front, wanted) || changed;
    forget_settled_drops(front, *index);
    front.map_version = index->map_version;
    front.zone_map_version = index->zone_map_version;
  }
  if (changed || front.set_version == 0) ++front.set_version;
  return true;
}

void send_order(core::State& state, Front& front, Now now, Effects& effects) {
  const ServerDeclaration* declared =
      server_declaration(state.cache, front.server);
  if (declared == nullptr) return;
  std::optional<GrantOrder> order =
      next_order(front, state.self.name, now.mono);
  if (!order.has_value()) return;
  ++state.counters[Counter::kGrantOrders];
  effects.push_back(
      SendGrant{front.server, declared->address, std::move(*order)});
}

void record_lapse(core::State& state, Front& front, Now now, Effects& effects) {
  bool lapsed = is_lapsed(state, front, now);
  if (lapsed == front.lapse_recorded) return;
  front.lapse_recorded = lapsed;
  if (lapsed) ++state.counters[Counter::kServerLapses];
  record(state,
         {.kind = lapsed ? TimelineKind::kServerLapsed
                         : TimelineKind::kServerReturned,
          .server = front.server,
          .epoch = front.epoch.value},
         now, effects);
}

bool has_yielded(const core::State& state, const ServerName& server, Now now) {
  const ServerDeclaration* declared = server_declaration(state.cache, server);
  if (declared == nullptr) return false;
  const ServiceDeclaration* service =
      service_declaration(state.cache, declared->service);
  if (service == nullptr || service->on_isolation != IsolationPolicy::kYield)
    return false;
  const auto& last_answer = state.ownership.last_store_answer;
  return !last_answer.has_value() ||
         now.mono - *last_answer > service->yield_after;
}

bool is_unit_released(const core::State& state, const Front& front,
                      const Unit& unit, Now now) {
  Duration limit = execution_limit(state, front.server);
  if (!unit.key.empty() && !is_idle(state, front.server, unit)) return false;
  if (front.checks_grants) return is_released(front, unit, limit, now.mono);
  if (front.units.contains(unit) || !front.predecessor_stopped.has_value() ||
      front.unconfirmed)
    return false;
  auto it = front.dropped.find(unit);
  TimePoint idle_since = it == front.dropped.end() ? *front.predecessor_stopped
                                                   : it->second.dropped_at;
  return is_idle(state, front.server, unit) && now.mono > idle_since + limit;
}

const MapIndex* find_index(const core::State& state, const ServerName& server) {
  const ServerDeclaration* declared = server_declaration(state.cache, server);
  if (declared == nullptr) return nullptr;
  auto it = state.ownership.indexes.find({declared->service, declared->zone});
  return it == state.ownership.indexes.end() ? nullptr : &it->second;
}

std::vector<SlotGrant> released_units(const core::State& state,
                                      const Front& front, Now now) {
  std::vector<SlotGrant> units;
  const MapIndex* index = find_index(state, front.server);
  if (index == nullptr) return units;
  for (const auto& [unit, unsettled] : index->unsettled) {
    if (unsettled.record.owner != front.server) continue;
    if (is_unit_released(state, front, unit, now)) {
      units.push_back(
          {unit.slot, unit.key, Epoch(unsettled.record.epoch.value - 1)});
    }
  }
  return units;
}

bool holds_grant(const core::State& state, const Front& front, Now now) {
  return front.checks_grants ? grant_in_force(front, now.mono)
                             : may_act(state, front, now) &&
                                   front.predecessor_stopped.has_value();
}

bool has_grant_expired(const core::State& state, const Front& front, Now now) {
  if (!front.checks_grants || front.stale) return false;
  if (!state.guards.lease_wait) return front.unreachable;
  std::optional<TimePoint> expiry = latest_grant_expiry(front);
  return expiry.has_value() && now.mono > *expiry &&
         (front.unreachable || front.newest_answer_sequence == 0);
}

FrontReport make_report(const core::State& state, const Front& front, Now now) {
  request::ServerLoad load = request::server_load(state, front.server, now);
  return {.server = front.server,
          .front_epoch = front.epoch,
          .holds_grant = holds_grant(state, front, now),
          .lapsed = is_lapsed(state, front, now),
          .stopped = front.stale,
          .released = released_units(state, front, now),
          .requests_per_second = load.requests_per_second,
          .queued = request::queued(state, front.server),
          .running = request::running(state, front.server),
          .slot_rates = std::move(load.slot_rates),
          .hot_keys = std::move(load.hot_keys),
          .grant_expired = has_grant_expired(state, front, now),
          .map_version = front.map_version};
}

/// Sends the next heartbeat early if something that the coordinator waits for
/// has changed.
void expedite_changed_report(core::State& state, Front& front, Now now) {
  Front::ReportedState reported_state{
      .released_count = released_units(state, front, now).size(),
      .grant_expired = has_grant_expired(state, front, now),
      .lapsed = is_lapsed(state, front, now),
      .holds_grant = holds_grant(state, front, now)};
  if (reported_state == front.reported_state) return;
  front.reported_state = reported_state;
  membership::expedite_heartbeat(state, now);
}

/// How long the end of a front role is reported.
constexpr Duration kFormerFrontReportTime = seconds(30);

}  // namespace

void sync_fronts(core::State& state, Now now, Effects& effects) {
  if (state.ownership.synced_generation == state.cache.generation) return;
  state.ownership.synced_generation = state.cache.generation;
  auto assignments = own_assignments(state);
  std::vector<ServerName> ended;
  for (const auto& [server, front] : state.ownership.fronts) {
    auto it = assignments.find(server);
    if (it == assignments.end() || it->second.epoch != front.epoch)
      ended.push_back(server);
  }
  for (const ServerName& server : ended) end_front(state, server, now, effects);
  for (const auto& [server, assignment] : assignments) {
    auto it = state.ownership.fronts.find(server);
    if (it == state.ownership.fronts.end()) {
      start_front(state, server, assignment, now, effects);
    } else if (assignment.predecessors.empty() &&
               !it->second.predecessor_stopped.has_value()) {
      it->second.predecessor_stopped = now.mono;
    }
  }
}

void mark_unconfirmed_fronts(core::State& state, Now now) {
  bool paused =
      now.mono - state.ownership.last_step > config::kIsolatedFrontTimeout;
  bool isolated = !membership::may_renew_grants(state, now);
  state.ownership.last_step = now.mono;
  if (membership::is_store_reachable(state, now))
    state.ownership.last_store_answer = now.mono;
  if (!paused && !isolated) return;
  for (auto& [server, front] : state.ownership.fronts) {
    front.unconfirmed = true;
    if (paused) front.pending_confirm_read.reset();
  }
}

void confirm_fronts(core::State& state, const Event& event, Now now,
                    Effects& effects) {
  const auto* answer = std::get_if<StoreAnswered>(&event);
  for (auto& [server, front] : state.ownership.fronts) {
    if (!front.unconfirmed) continue;
    if (answer != nullptr && front.pending_confirm_read == answer->op) {
      front.pending_confirm_read.reset();
      front.next_confirm_read = now.mono + config::kStoreRetryInterval;
      const auto* read = std::get_if<StoreRead>(&answer->result);
      if (read == nullptr) continue;
      for (const StoreEntry& entry : read->entries) apply(state.cache, entry);
      front.unconfirmed = false;
    } else if (!front.pending_confirm_read.has_value() &&
               now.mono >= front.next_confirm_read) {
      const ServerDeclaration* declared =
          server_declaration(state.cache, server);
      if (declared == nullptr) continue;
      front.pending_confirm_read = next_store_op(state);
      ++state.counters[Counter::kStoreReads];
      effects.push_back(
          StoreGet{*front.pending_confirm_read, roster_key(declared->zone)});
    }
  }
}

void on_grant_reply(core::State& state, const GrantReplied& reply, Now now,
                    Effects& effects) {
  auto it = state.ownership.fronts.find(reply.server);
  if (it == state.ownership.fronts.end() ||
      it->second.epoch != reply.front_epoch)
    return;
  Front& front = it->second;
  bool was_stale = front.stale;
  bool was_unreachable = front.unreachable;
  apply_reply(front, reply.sequence, reply.reply, now.mono);
  if (!state.guards.fence) front.stale = false;
  if (front.unreachable) ++state.counters[Counter::kGrantUnreachable];
  if (front.unreachable && !was_unreachable) {
    record(state,
           {.kind = TimelineKind::kServerUnreachable,
            .server = front.server,
            .epoch = front.epoch.value},
           now, effects);
  }
  if (front.stale && !was_stale) {
    ++state.counters[Counter::kGrantStale];
    record(state,
           {.kind = TimelineKind::kGrantStale,
            .server = front.server,
            .epoch = front.epoch.value},
           now, effects);
  }
  if (!front.confirm_recorded && grant_in_force(front, now.mono)) {
    front.confirm_recorded = true;
    record(state,
           {.kind = TimelineKind::kGrantConfirmed,
            .server = front.server,
            .epoch = front.epoch.value},
           now, effects);
  }
}

void update_fronts(core::State& state, Now now, Effects& effects) {
  std::erase_if(state.ownership.former_fronts, [&](const auto& entry) {
    return now.mono - entry.second > kFormerFrontReportTime;
  });
  for (auto& [server, front] : state.ownership.fronts) {
    bool map_known = update_grant_set(state, front, now);
    if (front.checks_grants && map_known && may_act(state, front, now))
      send_order(state, front, now, effects);
    record_lapse(state, front, now, effects);
    expedite_changed_report(state, front, now);
  }
}

bool may_act(const core::State& state, const Front& front, Now now) {
  return !front.stale && !front.unconfirmed &&
         membership::may_renew_grants(state, now) &&
         !has_yielded(state, front.server, now);
}

bool is_lapsed(const core::State& state, const Front& front, Now now) {
  if (!front.checks_grants || front.stale) return false;
  if (!state.guards.lease_wait) return front.unreachable;
  std::optional<TimePoint> expiry = latest_grant_expiry(front);
  return expiry.has_value() &&
         now.mono > *expiry + execution_limit(state, front.server);
}

std::vector<ServerName> fronted_servers(const core::State& state) {
  std::vector<ServerName> servers;
  for (const auto& [server, front] : state.ownership.fronts) {
    if (!front.stale) servers.push_back(server);
  }
  return servers;
}

std::vector<FrontReport> front_reports(const core::State& state, Now now) {
  std::vector<FrontReport> reports;
  for (const auto& [server, front] : state.ownership.fronts)
    reports.push_back(make_report(state, front, now));
  for (const auto& [front, ended] : state.ownership.former_fronts) {
    reports.push_back(
        {.server = front.first, .front_epoch = front.second, .stopped = true});
  }
  return reports;
}

SendCheck check_send(const core::State& state, const ServerName& server,
                     SlotId slot, const Key& key, Now now) {
  auto it = state.ownership.fronts.find(server);
  const ServerDeclaration* declared = server_declaration(state.cache, server);
  if (it == state.ownership.fronts.end() || it->second.stale ||
      declared == nullptr)
    return {};
  const Front& front = it->second;
  FoundUnit found =
      find_unit(state.cache, {declared->service, declared->zone}, slot, key);
  if (found.record == nullptr || found.record->owner != server) return {};
  SendCheck check{SendPermission::kHold, found.record->epoch, front.epoch};
  if (found.record->phase != SlotPhase::kOwned || !may_act(state, front, now))
    return check;
  bool allowed = front.checks_grants ? may_send(front, found.unit,
                                                found.record->epoch, now.mono)
                                     : front.predecessor_stopped.has_value();
  if (allowed) check.permission = SendPermission::kSend;
  return check;
}

}  // namespace eelgrasspin::core::ownership
