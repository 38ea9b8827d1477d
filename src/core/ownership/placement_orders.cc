#include "core/ownership/placement_orders.h"

#include <algorithm>

#include "core/ownership/maps.h"
#include "core/ownership/ownership.h"
#include "core/state.h"

namespace eelgrasspin::core::ownership {
namespace {

/// Share of the mean rate of a unit that each unit counts for besides what was
/// measured, so that servers without traffic still share the units.
constexpr double kBaseShare = 0.1;
constexpr double kLeastBaseRate = 0.001;
/// Part of its capacity that a server has at the start of its ramp.
constexpr double kLeastRamp = 0.1;
/// Seconds' worth of moves that can be saved up.
constexpr double kBudgetSeconds = 15;

double seconds_of(Duration d) {
  return std::chrono::duration<double>(d).count();
}

double ramp(PlacementMemory& memory, const ServerName& server, Now now) {
  auto [it, fresh] = memory.usable_since.emplace(server, now.mono);
  double passed =
      seconds_of(now.mono - it->second) / seconds_of(config::kColdStartRamp);
  return std::clamp(passed, kLeastRamp, 1.0);
}

bool is_resting(const PlacementMemory& memory, const Unit& unit, Now now) {
  auto it = memory.moved.find(unit);
  return it != memory.moved.end() &&
         now.mono - it->second < config::kMoveCooldown;
}

/// Rates of a server's units: reported ones as they are, the rest of its rate
/// spread evenly.
std::vector<UnitLoad> unit_loads(const MapEdit& edit, const ServerName& server,
                                 const FrontReport& report,
                                 const std::vector<SlotGrant>& owned) {
  std::map<Unit, double> reported;
  double listed = 0;
  for (const auto& [slot, rate] : report.slot_rates) {
    reported[{slot, Key()}] += rate;
    listed += rate;
  }
  std::vector<UnitLoad> loads;
  for (const HotKey& hot : report.hot_keys) {
    Unit unit{slot_of_key(edit.state.cache, edit.part.service, hot.key),
              hot.key};
    auto slot = reported.find({unit.slot, Key()});
    bool carved = latest(edit).overrides.contains(hot.key);
    if (!carved && slot != reported.end())
      slot->second = std::max(0.0, slot->second - hot.rate);
    if (carved) continue;
    loads.push_back({unit, hot.rate});
  }
  std::map<Key, double> hot_rates;
  for (const HotKey& hot : report.hot_keys) hot_rates[hot.key] = hot.rate;
  auto unlisted =
      static_cast<double>(owned.size()) - static_cast<double>(reported.size());
  double rest = std::max(0.0, report.requests_per_second - listed) /
                std::max(1.0, unlisted);
  for (const SlotGrant& grant : owned) {
    Unit unit{grant.slot, grant.key};
    auto hot = hot_rates.find(grant.key);
    auto slot = reported.find(unit);
    double rate = rest;
    if (!grant.key.empty()) {
      rate = hot == hot_rates.end() ? 0 : hot->second;
    } else if (slot != reported.end()) {
      rate = slot->second;
    }
    loads.push_back({unit, rate});
  }
  (void)server;
  return loads;
}

LoadSummary summarize(MapEdit& edit, PlacementMemory& memory) {
  LoadSummary summary;
  double rate = 0;
  double units = 0;
  for (const auto& [server, view] : edit.servers) {
    if (!is_usable(view) || view.report == nullptr ||
        !view.report->holds_grant) {
      memory.usable_since.erase(server);
      continue;
    }
    ServerLoad load{.server = server,
                    .capacity = view.declared->concurrency *
                                ramp(memory, server, edit.now)};
    auto owned = edit.index.owned.find(server);
    if (owned != edit.index.owned.end()) {
      load.movable = unit_loads(edit, server, *view.report, owned->second);
      rate += view.report->requests_per_second;
      units += static_cast<double>(load.movable.size());
    }
    summary.servers.push_back(std::move(load));
  }
  double base =
      std::max(kLeastBaseRate, kBaseShare * rate / std::max(1.0, units));
  for (ServerLoad& server : summary.servers) {
    for (UnitLoad& load : server.movable) {
      load.rate += load.unit.key.empty() ? base : 0;
      server.rate += load.rate;
    }
    std::erase_if(server.movable, [&](const UnitLoad& load) {
      return is_resting(memory, load.unit, edit.now);
    });
  }
  return summary;
}

void refill(PlacementMemory& memory, std::uint32_t moves_per_minute, Now now) {
  double per_second = moves_per_minute / 60.0;
  double passed =
      memory.last_run.has_value() ? seconds_of(now.mono - *memory.last_run) : 0;
  memory.budget = std::min(memory.budget + per_second * passed,
                           per_second * kBudgetSeconds);
  memory.last_run = now.mono;
}

/// Sends keys that are no longer busy back to their slots.
void merge_cold_keys(MapEdit& edit, PlacementMemory& memory,
                     std::map<Unit, MoveOrder>& orders) {
  for (const auto& [server, view] : edit.servers) {
    if (view.report == nullptr) continue;
    for (const HotKey& hot : view.report->hot_keys)
      memory.last_hot[hot.key] = edit.now.mono;
  }
  for (const auto& [key, record] : latest(edit).overrides) {
    if (record.phase != SlotPhase::kOwned) continue;
    auto [it, fresh] = memory.last_hot.emplace(key, edit.now.mono);
    if (edit.now.mono - it->second < config::kColdKeyAfter) continue;
    SlotId slot = slot_of_key(edit.state.cache, edit.part.service, key);
    const SlotRecord* home = unit_record(latest(edit), {slot, Key()});
    if (home == nullptr || home->phase != SlotPhase::kOwned) continue;
    orders.emplace(Unit{slot, key},
                   MoveOrder{.target = home->owner, .cause = "key is cold"});
  }
  std::erase_if(memory.last_hot, [&](const auto& entry) {
    return !latest(edit).overrides.contains(entry.first) &&
           edit.now.mono - entry.second > config::kColdKeyAfter;
  });
}

}  // namespace

void order_placement(MapEdit& edit) {
  PartState& part = edit.state.ownership.parts[edit.part];
  PlacementMemory& memory = part.placement;
  if (memory.last_run.has_value() &&
      edit.now.mono - *memory.last_run < config::kPlacementInterval)
    return;
  const ServiceDeclaration* service =
      service_declaration(edit.state.cache, edit.part.service);
  if (service == nullptr) return;
  refill(memory, service->weights.moves_per_minute, edit.now);
  std::erase_if(memory.moved, [&](const auto& entry) {
    return edit.now.mono - entry.second > config::kMoveCooldown;
  });
  merge_cold_keys(edit, memory, part.orders);
  if (!edit.index.unsettled.empty() || edit.next.has_value()) return;
  LoadSummary summary = summarize(edit, memory);
  std::vector<PlannedMove> moves =
      plan(summary, service->weights, static_cast<std::size_t>(memory.budget));
  for (const PlannedMove& move : moves) {
    part.orders.emplace(move.unit,
                        MoveOrder{.target = move.to, .cause = "placement"});
    memory.moved[move.unit] = edit.now.mono;
    memory.budget -= 1;
  }
}

}  // namespace eelgrasspin::core::ownership
