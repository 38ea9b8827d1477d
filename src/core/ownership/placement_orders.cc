#include "core/ownership/placement_orders.h"

#include <algorithm>

#include "core/ownership/maps.h"
#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

/// Added to the measured rate of each slot, as a fraction of the mean rate of a
/// unit, so that slots without traffic are spread over the servers, too.
constexpr double kBaseRateFraction = 0.1;
constexpr double kMinBaseRequestsPerSecond = 0.001;
/// Fraction of its capacity that a server has at the start of its cold-start
/// ramp.
constexpr double kMinRampFraction = 0.1;
/// Seconds for which unused move budget accumulates.
constexpr double kMoveBudgetSeconds = 15;

double seconds_of(Duration d) {
  return std::chrono::duration<double>(d).count();
}

double ramp_fraction(PlacementState& placement, const ServerName& server,
                     Now now) {
  auto [it, inserted] = placement.usable_since.emplace(server, now.mono);
  double elapsed =
      seconds_of(now.mono - it->second) / seconds_of(config::kColdStartRamp);
  return std::clamp(elapsed, kMinRampFraction, 1.0);
}

bool is_cooling_down(const PlacementState& placement, const Unit& unit,
                     Now now) {
  auto it = placement.last_moved.find(unit);
  return it != placement.last_moved.end() &&
         now.mono - it->second < config::kMoveCooldown;
}

/// Rates of a server's units: reported rates as they are, the remaining rate
/// spread evenly over the other units.
std::vector<UnitLoad> unit_loads(const MapEdit& edit, const ServerName& server,
                                 const FrontReport& report,
                                 const std::vector<SlotGrant>& owned) {
  std::map<Unit, double> reported_slots;
  double reported_rate = 0;
  for (const auto& [slot, rate] : report.slot_rates) {
    reported_slots[{slot, Key()}] += rate;
    reported_rate += rate;
  }
  std::vector<UnitLoad> loads;
  for (const HotKey& hot : report.hot_keys) {
    Unit unit{slot_of_key(edit.state.cache, edit.service_zone.service, hot.key),
              hot.key};
    auto slot = reported_slots.find({unit.slot, Key()});
    bool carved_out = latest_map(edit).overrides.contains(hot.key);
    if (!carved_out && slot != reported_slots.end())
      slot->second = std::max(0.0, slot->second - hot.rate);
    if (carved_out) continue;
    loads.push_back({unit, hot.rate});
  }
  std::map<Key, double> hot_rates;
  for (const HotKey& hot : report.hot_keys) hot_rates[hot.key] = hot.rate;
  auto unreported_units = static_cast<double>(owned.size()) -
                          static_cast<double>(reported_slots.size());
  double remaining_rate =
      std::max(0.0, report.requests_per_second - reported_rate) /
      std::max(1.0, unreported_units);
  for (const SlotGrant& grant : owned) {
    Unit unit{grant.slot, grant.key};
    auto hot = hot_rates.find(grant.key);
    auto slot = reported_slots.find(unit);
    double rate = remaining_rate;
    if (!grant.key.empty()) {
      rate = hot == hot_rates.end() ? 0 : hot->second;
    } else if (slot != reported_slots.end()) {
      rate = slot->second;
    }
    loads.push_back({unit, rate});
  }
  (void)server;
  return loads;
}

LoadSummary summarize_load(MapEdit& edit, PlacementState& placement) {
  LoadSummary summary;
  double rate = 0;
  double units = 0;
  for (const auto& [server, view] : edit.servers) {
    if (!is_usable(view) || view.report == nullptr ||
        !view.report->holds_grant) {
      placement.usable_since.erase(server);
      continue;
    }
    ServerLoad load{.server = server,
                    .capacity = view.declared->concurrency *
                                ramp_fraction(placement, server, edit.now)};
    auto owned = edit.index.owned.find(server);
    if (owned != edit.index.owned.end()) {
      load.movable = unit_loads(edit, server, *view.report, owned->second);
      rate += view.report->requests_per_second;
      units += static_cast<double>(load.movable.size());
    }
    summary.servers.push_back(std::move(load));
  }
  double base_rate = std::max(kMinBaseRequestsPerSecond,
                              kBaseRateFraction * rate / std::max(1.0, units));
  for (ServerLoad& server : summary.servers) {
    for (UnitLoad& load : server.movable) {
      load.rate += load.unit.key.empty() ? base_rate : 0;
      server.rate += load.rate;
    }
    std::erase_if(server.movable, [&](const UnitLoad& load) {
      return is_cooling_down(placement, load.unit, edit.now);
    });
  }
  return summary;
}

void refill_budget(PlacementState& placement, std::uint32_t moves_per_minute,
                   Now now) {
  double per_second = moves_per_minute / 60.0;
  double elapsed = placement.last_run.has_value()
                       ? seconds_of(now.mono - *placement.last_run)
                       : 0;
  placement.budget = std::min(placement.budget + per_second * elapsed,
                              per_second * kMoveBudgetSeconds);
  placement.last_run = now.mono;
}

/// Orders the merge of keys that are no longer busy into their slots.
void merge_cold_keys(MapEdit& edit, PlacementState& placement,
                     std::map<Unit, MoveOrder>& orders) {
  for (const auto& [server, view] : edit.servers) {
    if (view.report == nullptr) continue;
    for (const HotKey& hot : view.report->hot_keys)
      placement.last_hot[hot.key] = edit.now.mono;
  }
  for (const auto& [key, record] : latest_map(edit).overrides) {
    if (record.phase != SlotPhase::kOwned) continue;
    auto [it, inserted] = placement.last_hot.emplace(key, edit.now.mono);
    if (edit.now.mono - it->second < config::kColdKeyAfter) continue;
    SlotId slot = slot_of_key(edit.state.cache, edit.service_zone.service, key);
    const SlotRecord* slot_record =
        unit_record(latest_map(edit), {slot, Key()});
    if (slot_record == nullptr || slot_record->phase != SlotPhase::kOwned)
      continue;
    orders.emplace(Unit{slot, key}, MoveOrder{.target = slot_record->owner,
                                              .cause = "key is cold"});
  }
  std::erase_if(placement.last_hot, [&](const auto& entry) {
    return !latest_map(edit).overrides.contains(entry.first) &&
           edit.now.mono - entry.second > config::kColdKeyAfter;
  });
}

}  // namespace

void order_placement(MapEdit& edit) {
  ServiceZoneState& zone_state =
      edit.state.ownership.service_zones[edit.service_zone];
  PlacementState& placement = zone_state.placement;
  if (placement.last_run.has_value() &&
      edit.now.mono - *placement.last_run < config::kPlacementInterval)
    return;
  const ServiceDeclaration* service =
      service_declaration(edit.state.cache, edit.service_zone.service);
  if (service == nullptr) return;
  refill_budget(placement, service->weights.moves_per_minute, edit.now);
  std::erase_if(placement.last_moved, [&](const auto& entry) {
    return edit.now.mono - entry.second > config::kMoveCooldown;
  });
  merge_cold_keys(edit, placement, zone_state.orders);
  if (!edit.index.unsettled.empty() || edit.next.has_value()) return;
  LoadSummary summary = summarize_load(edit, placement);
  std::vector<PlannedMove> moves = plan(
      summary, service->weights, static_cast<std::size_t>(placement.budget));
  for (const PlannedMove& move : moves) {
    zone_state.orders.emplace(
        move.unit, MoveOrder{.target = move.to, .cause = "placement"});
    placement.last_moved[move.unit] = edit.now.mono;
    placement.budget -= 1;
  }
}

}  // namespace eelgrasspin::core::ownership
