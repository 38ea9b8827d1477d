#include "core/ownership/servers.h"

#include <algorithm>

#include "core/membership/membership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

ServerView view_server(const core::State& state, const ZoneRoster* roster,
                       const ServerDeclaration& declared) {
  ServerView view{.declared = &declared};
  const auto& reports = membership::front_reports(state);
  auto report = reports.find(declared.name);
  if (report != reports.end()) view.report = &report->second;
  if (roster != nullptr) {
    auto status = roster->statuses.find(declared.name);
    if (status != roster->statuses.end()) view.status = status->second;
  }
  const auto* plan = find<DrainPlan>(state.cache, drain_key(declared.name));
  if (plan != nullptr) {
    view.drain_ordered = !plan->cancelled;
    view.drain_cancelled = plan->cancelled;
  }
  return view;
}

bool holds_grant(const ServerView& view) {
  return view.report != nullptr && view.report->holds_grant;
}

double unit_count(const MapIndex& index, const ServerName& server) {
  double count = 0;
  auto owned = index.owned.find(server);
  if (owned != index.owned.end())
    count += static_cast<double>(owned->second.size());
  for (const auto& [unit, unsettled] : index.unsettled) {
    if (unsettled.record.target == server) ++count;
  }
  return count;
}

bool owns_nothing(const MapIndex& index, const ServerName& server) {
  if (index.owned.contains(server)) return false;
  return std::none_of(index.unsettled.begin(), index.unsettled.end(),
                      [&](const auto& entry) {
                        return entry.second.record.owner == server ||
                               entry.second.record.target == server;
                      });
}

ServerStatus wanted_status(const ServerView& view, const MapIndex& index,
                           const ServerName& server) {
  bool draining =
      view.drain_ordered ||
      (!view.drain_cancelled && (view.status == ServerStatus::kDraining ||
                                 view.status == ServerStatus::kDrained));
  if (draining) {
    return owns_nothing(index, server) ? ServerStatus::kDrained
                                       : ServerStatus::kDraining;
  }
  bool lost = is_unresponsive(view) && view.report->lapsed;
  if (lost) return ServerStatus::kLost;
  if (view.status == ServerStatus::kLost && !holds_grant(view))
    return ServerStatus::kLost;
  return ServerStatus::kActive;
}

}  // namespace

ServerViews view_servers(const core::State& state,
                         const ServiceZone& service_zone) {
  ServerViews views;
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared == nullptr) return views;
  const ZoneRoster* zone_roster = roster(state.cache, service_zone.zone);
  for (const ServerDeclaration* declared :
       servers_of(*all_declared, service_zone.service, service_zone.zone))
    views[declared->name] = view_server(state, zone_roster, *declared);
  return views;
}

bool is_usable(const ServerView& view) {
  return view.status == ServerStatus::kActive && !view.drain_ordered &&
         !is_unresponsive(view);
}

bool is_unresponsive(const ServerView& view) {
  return view.report != nullptr && view.report->grant_expired;
}

bool is_leaving(const ServerView& view) {
  return view.drain_ordered || view.status == ServerStatus::kDraining ||
         view.status == ServerStatus::kDrained;
}

bool is_gone(const ServerView& view) {
  return !view.declared->checks_grants && view.status == ServerStatus::kLost;
}

std::vector<PlacementCandidate> usable_candidates(const ServerViews& views,
                                                  const MapIndex* index) {
  bool any_holds_grant =
      std::any_of(views.begin(), views.end(), [](const auto& entry) {
        return is_usable(entry.second) && holds_grant(entry.second);
      });
  std::vector<PlacementCandidate> candidates;
  for (const auto& [server, view] : views) {
    if (!is_usable(view) || (any_holds_grant && !holds_grant(view))) continue;
    double load = index == nullptr ? 0 : unit_count(*index, server);
    candidates.push_back(
        {server, std::max(1.0, 1.0 * view.declared->concurrency), load});
  }
  return candidates;
}

void update_statuses(core::State& state, const ServerViews& views,
                     const MapIndex& index) {
  for (const auto& [server, view] : views) {
    ServerStatus wanted = wanted_status(view, index, server);
    if (wanted != view.status)
      membership::set_server_status(state, server, wanted);
  }
}

}  // namespace eelgrasspin::core::ownership
