#include "core/request/quarantine.h"

#include <algorithm>
#include <utility>

#include "core/membership/membership.h"
#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

constexpr std::size_t kMaxRecentReports = 256;
constexpr std::size_t kMaxReleasedEntries = 64;

std::uint32_t strikes_in_other_zones(const std::map<ZoneName, Strikes>& zones,
                                     const ZoneName& excluded, Now now) {
  std::uint32_t count = 0;
  for (const auto& [zone, strikes] : zones) {
    if (zone != excluded && now.wall < strikes.until) count += strikes.count;
  }
  return count;
}

std::uint32_t strikes_in(const std::map<ZoneName, Strikes>& zones,
                         const ZoneName& zone, Now now) {
  auto it = zones.find(zone);
  if (it == zones.end() || now.wall >= it->second.until) return 0;
  return it->second.count;
}

void report(core::State& state, const OpenRequest& request,
            std::uint32_t strikes, Now now) {
  QuarantineEntry entry{request.fingerprint,
                        request.head.service,
                        request.operation,
                        request.key,
                        strikes,
                        now.wall + config::kQuarantineTime};
  state.request.quarantine.to_report.push_back(
      {{state.self.name, std::move(entry), new_write_id(state),
        state.self.zone},
       {},
       0});
}

void add_strike(core::State& state, const OpenRequest& request, Now now) {
  Quarantine& quarantine = state.request.quarantine;
  TimePoint& last =
      quarantine.last_strike[{request.server, request.fingerprint}];
  bool same_crash =
      last != TimePoint() && now.mono - last < config::kStrikeWindow;
  last = now.mono;
  if (same_crash) return;
  ++state.counters[Counter::kStrikes];
  Strikes& strikes = quarantine.local_strikes[request.fingerprint];
  if (now.wall >= strikes.until) strikes.count = 0;
  ++strikes.count;
  strikes.until = now.wall + config::kQuarantineTime;
  report(state, request, 1, now);
}

void clear_strikes(core::State& state, const OpenRequest& request, Now now) {
  Quarantine& quarantine = state.request.quarantine;
  bool had_strikes = quarantine.local_strikes.erase(request.fingerprint) > 0 ||
                     quarantine.listed.contains(request.fingerprint);
  if (had_strikes) report(state, request, 0, now);
}

void send_report(core::State& state, PendingStrike& pending, Now now,
                 Effects& effects) {
  pending.sent_at = now.mono;
  ++pending.send_count;
  if (membership::coordinates(state, state.self.zone, now)) {
    on_strike_report(state, pending.report);
    pending.send_count = config::kMaxStrikeSends;
    return;
  }
  Endpoint to = membership::coordinator_address(state, state.self.zone);
  if (to.empty()) return;
  ++state.counters[Counter::kPeerMessagesSent];
  effects.push_back(SendPeer{to, pending.report});
}

void send_reports(core::State& state, Now now, Effects& effects) {
  auto& pending = state.request.quarantine.to_report;
  for (PendingStrike& strike : pending) {
    bool due = strike.send_count == 0 ||
               now.mono - strike.sent_at >= config::kStrikeResendInterval;
    if (due) send_report(state, strike, now, effects);
  }
  std::erase_if(pending, [](const PendingStrike& strike) {
    return strike.send_count >= config::kMaxStrikeSends;
  });
}

QuarantineEntry* find_entry(QuarantineList& list, std::uint64_t fingerprint) {
  auto it = std::find_if(list.entries.begin(), list.entries.end(),
                         [&](const QuarantineEntry& entry) {
                           return entry.fingerprint == fingerprint;
                         });
  return it == list.entries.end() ? nullptr : &*it;
}

void erase_entry(QuarantineList& list, std::uint64_t fingerprint) {
  std::erase_if(list.entries, [&](const QuarantineEntry& entry) {
    return entry.fingerprint == fingerprint;
  });
}

void apply_report(core::State& state, QuarantineList& list,
                  const QuarantineEntry& reported, Now now, Effects& effects) {
  if (reported.strikes == 0) {
    erase_entry(list, reported.fingerprint);
    return;
  }
  std::erase(list.released, reported.fingerprint);
  QuarantineEntry* entry = find_entry(list, reported.fingerprint);
  if (entry == nullptr) {
    if (list.entries.size() >= config::kMaxQuarantineEntries)
      list.entries.erase(list.entries.begin());
    list.entries.push_back(reported);
  } else {
    entry->strikes += reported.strikes;
    entry->until = std::max(entry->until, reported.until);
    if (entry->strikes != config::kQuarantineStrikes) return;
    record(state,
           {.zone = list.zone,
            .kind = TimelineKind::kQuarantined,
            .service = entry->service,
            .cause = "strikes",
            .detail = entry->operation + " " + entry->key.str()},
           now, effects);
  }
}

void apply_release(core::State& state, QuarantineList& list,
                   std::uint64_t fingerprint, Now now, Effects& effects) {
  const QuarantineEntry* entry = find_entry(list, fingerprint);
  if (entry != nullptr) {
    record(state,
           {.zone = list.zone,
            .kind = TimelineKind::kQuarantineReleased,
            .service = entry->service,
            .cause = "operator",
            .detail = entry->operation + " " + entry->key.str()},
           now, effects);
  }
  erase_entry(list, fingerprint);
  std::erase(list.released, fingerprint);
  list.released.push_back(fingerprint);
  if (list.released.size() > kMaxReleasedEntries)
    list.released.erase(list.released.begin());
}

/// Removes the reports and releases that a settled write put into the store.
void drop_recorded(core::State& state, const ZoneName& zone) {
  Quarantine& quarantine = state.request.quarantine;
  const SettledWrite* settled = settled_write(state, quarantine_key(zone));
  if (settled == nullptr || !settled->took_effect) return;
  auto& reports = quarantine.to_record[zone];
  std::size_t done =
      std::min(quarantine.reports_in_write[zone], reports.size());
  reports.erase(reports.begin(),
                reports.begin() + static_cast<std::ptrdiff_t>(done));
  const auto* list = find<QuarantineList>(state.cache, quarantine_key(zone));
  if (list == nullptr) return;
  std::erase_if(quarantine.to_release[zone], [&](std::uint64_t fingerprint) {
    return std::find(list->released.begin(), list->released.end(),
                     fingerprint) != list->released.end();
  });
}

void write_list(core::State& state, const ZoneName& zone, Now now,
                Effects& effects) {
  Quarantine& quarantine = state.request.quarantine;
  StoreKey key = quarantine_key(zone);
  drop_recorded(state, zone);
  auto& reports = quarantine.to_record[zone];
  auto& releases = quarantine.to_release[zone];
  bool idle = reports.empty() && releases.empty();
  if (idle || write_pending(state, key)) return;
  const auto* known = find<QuarantineList>(state.cache, key);
  QuarantineList list = known == nullptr ? QuarantineList() : *known;
  list.zone = zone;
  list.write_id = new_write_id(state);
  std::erase_if(list.entries, [&](const QuarantineEntry& entry) {
    return now.wall >= entry.until;
  });
  for (const StrikeReport& strike : reports)
    apply_report(state, list, strike.entry, now, effects);
  for (std::uint64_t fingerprint : releases)
    apply_release(state, list, fingerprint, now, effects);
  quarantine.reports_in_write[zone] = reports.size();
  start_write(state, key, version_of(state.cache, key), std::move(list), now,
              effects);
}

void merge_list(Quarantine& quarantine, const QuarantineList& list) {
  for (const QuarantineEntry& entry : list.entries)
    quarantine.listed[entry.fingerprint][list.zone] = {entry.strikes,
                                                       entry.until};
  for (std::uint64_t fingerprint : list.released) {
    bool is_new = quarantine.released.insert(fingerprint).second;
    if (is_new) quarantine.local_strikes.erase(fingerprint);
  }
}

}  // namespace

bool is_quarantined(const core::State& state, std::uint64_t fingerprint,
                    Now now) {
  const Quarantine& quarantine = state.request.quarantine;
  if (quarantine.listed.empty() && quarantine.local_strikes.empty())
    return false;
  std::uint32_t own_zone = 0;
  auto local = quarantine.local_strikes.find(fingerprint);
  if (local != quarantine.local_strikes.end() && now.wall < local->second.until)
    own_zone = local->second.count;
  std::uint32_t other_zones = 0;
  auto listed = quarantine.listed.find(fingerprint);
  if (listed != quarantine.listed.end()) {
    other_zones = strikes_in_other_zones(listed->second, state.self.zone, now);
    own_zone =
        std::max(own_zone, strikes_in(listed->second, state.self.zone, now));
  }
  return own_zone + other_zones >= config::kQuarantineStrikes;
}

void update_strikes(core::State& state, const OpenRequest& request,
                    const AttemptResult& result, Now now) {
  if (std::holds_alternative<AttemptAnswered>(result)) {
    clear_strikes(state, request, now);
  } else if (const auto* unknown = std::get_if<AttemptUnknown>(&result)) {
    if (unknown->connection_closed) add_strike(state, request, now);
  }
}

void on_strike_report(core::State& state, const StrikeReport& report) {
  Quarantine& quarantine = state.request.quarantine;
  auto& recent = quarantine.recent_reports;
  if (std::find(recent.begin(), recent.end(), report.report_id) != recent.end())
    return;
  recent.push_back(report.report_id);
  if (recent.size() > kMaxRecentReports) recent.pop_front();
  quarantine.to_record[report.zone].push_back(report);
}

void request_release(core::State& state, std::uint64_t fingerprint) {
  for (const auto& [zone, ledger] : state.request.ledgers)
    state.request.quarantine.to_release[zone].insert(fingerprint);
}

void refresh_quarantine(core::State& state) {
  Quarantine& quarantine = state.request.quarantine;
  if (quarantine.cache_generation == state.cache.generation) return;
  quarantine.cache_generation = state.cache.generation;
  std::vector<Version> source_versions;
  static const StoreKey kPrefix = quarantine_key(ZoneName());
  for_each_prefixed(state.cache, kPrefix, [&](const StoreEntry& entry) {
    source_versions.push_back(entry.version);
  });
  if (source_versions == quarantine.source_versions) return;
  quarantine.source_versions = std::move(source_versions);
  quarantine.listed.clear();
  for_each_prefixed(state.cache, kPrefix, [&](const StoreEntry& entry) {
    if (const auto* list = std::get_if<QuarantineList>(&entry.record))
      merge_list(quarantine, *list);
  });
}

void step_quarantine(core::State& state, Now now, Effects& effects) {
  send_reports(state, now, effects);
  for (const ZoneName& zone : membership::coordinated_zones(state, now))
    write_list(state, zone, now, effects);
}

}  // namespace eelgrasspin::core::request
