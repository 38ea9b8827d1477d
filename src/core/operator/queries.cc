#include "core/operator/queries.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "core/membership/membership.h"
#include "core/operator/report.h"
#include "core/ownership/ownership.h"
#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::operators {
namespace {

std::string text(std::uint64_t value) { return std::to_string(value); }

std::string_view phase_text(SlotPhase phase) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "owned", "moving", "unassigned", "releasing", "handed over", "closed"};
  return kNames[static_cast<std::size_t>(phase)];
}

std::string_view status_text(ServerStatus status) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "active", "draining", "drained", "lost"};
  return kNames[static_cast<std::size_t>(status)];
}

std::string_view command_state_text(CommandState state) {
  static constexpr std::array<std::string_view, 5> kNames = {
      "pending", "running", "done", "refused", "lost to conflict"};
  return kNames[static_cast<std::size_t>(state)];
}

template <class R, class Visit>
void for_each_record(const core::State& state, std::string_view prefix,
                     Visit visit) {
  for_each_prefixed(state.cache, StoreKey(prefix),
                    [&](const StoreEntry& entry) {
                      if (const auto* found = std::get_if<R>(&entry.record))
                        visit(*found);
                    });
}

Table services(const core::State& state) {
  Table table{{"service", "key_slots", "servers", "operations", "closure"}, {}};
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared == nullptr) return table;
  for (const auto& [name, service] : all_declared->services) {
    auto servers = std::count_if(all_declared->servers.begin(),
                                 all_declared->servers.end(),
                                 [&service = name](const auto& entry) {
                                   return entry.second.service == service;
                                 });
    const auto* closure = find<Closure>(state.cache, closure_key(name));
    table.rows.push_back(
        {name.str(), text(service.key_slots),
         text(static_cast<std::uint64_t>(servers)),
         text(service.operations.size()),
         closure == nullptr ? "" : std::string(to_string(closure->step))});
  }
  return table;
}

std::vector<std::string> unit_row(const OwnershipMap& map,
                                  const std::string& unit,
                                  const SlotRecord& slot) {
  std::string target =
      slot.target.empty() ? slot.target_zone.str() : slot.target.str();
  return {map.service.str(),
          unit,
          map.zone.str(),
          slot.owner.str(),
          text(slot.epoch.value),
          std::string(phase_text(slot.phase)),
          target};
}

Table slots(const core::State& state) {
  Table table{{"service", "slot", "zone", "server", "epoch", "phase", "target"},
              {}};
  for_each_record<OwnershipMap>(
      state, "live/own/", [&](const OwnershipMap& map) {
        for (const auto& [slot, record] : map.slots)
          table.rows.push_back(unit_row(map, text(slot.value), record));
      });
  return table;
}

Table keys(const core::State& state) {
  Table table{{"service", "key", "zone", "server", "epoch", "phase", "target"},
              {}};
  for_each_record<OwnershipMap>(
      state, "live/own/", [&](const OwnershipMap& map) {
        for (const auto& [key, record] : map.overrides)
          table.rows.push_back(unit_row(map, key.str(), record));
      });
  return table;
}

std::map<ServerName, std::uint64_t> units_by_server(const core::State& state) {
  std::map<ServerName, std::uint64_t> counts;
  for_each_record<OwnershipMap>(
      state, "live/own/", [&](const OwnershipMap& map) {
        for (const auto& [slot, record] : map.slots) ++counts[record.owner];
        for (const auto& [key, record] : map.overrides) ++counts[record.owner];
      });
  return counts;
}

Table servers(const core::State& state) {
  Table table{{"server", "service", "zone", "status", "units", "front",
               "front_epoch", "address"},
              {}};
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared == nullptr) return table;
  std::map<ServerName, std::uint64_t> units = units_by_server(state);
  for (const auto& [name, server] : all_declared->servers) {
    ServerStatus status = ServerStatus::kActive;
    FrontAssignment front;
    if (const ZoneRoster* zone_roster = roster(state.cache, server.zone)) {
      if (auto it = zone_roster->statuses.find(name);
          it != zone_roster->statuses.end())
        status = it->second;
      if (auto it = zone_roster->fronts.find(name);
          it != zone_roster->fronts.end())
        front = it->second;
    }
    table.rows.push_back({name.str(), server.service.str(), server.zone.str(),
                          std::string(status_text(status)), text(units[name]),
                          front.daemon.str(), text(front.epoch.value),
                          server.address.str()});
  }
  return table;
}

Table zones(const core::State& state) {
  Table table{{"zone", "region", "coordinator", "epoch", "members", "fenced"},
              {}};
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared == nullptr) return table;
  for (const auto& [name, zone] : all_declared->zones) {
    const CoordinatorLease* lease = coordinator_lease(state.cache, name);
    const ZoneRoster* zone_roster = roster(state.cache, name);
    table.rows.push_back(
        {name.str(), zone.region.str(),
         lease == nullptr ? "" : lease->holder.str(),
         lease == nullptr ? "" : text(lease->epoch.value),
         text(zone_roster == nullptr ? 0 : zone_roster->members.size()),
         zone_roster != nullptr && zone_roster->fenced ? "yes" : "no"});
  }
  return table;
}

Table daemons(const core::State& state) {
  Table table{{"daemon", "zone", "address", "incarnation", "fronts"}, {}};
  for_each_record<ZoneRoster>(
      state, "live/zone/", [&](const ZoneRoster& zone_roster) {
        for (const RosterMember& member : zone_roster.members) {
          auto fronts =
              std::count_if(zone_roster.fronts.begin(),
                            zone_roster.fronts.end(), [&](const auto& entry) {
                              return entry.second.daemon == member.daemon;
                            });
          table.rows.push_back({member.daemon.str(), zone_roster.zone.str(),
                                member.address.str(),
                                text(member.incarnation.value),
                                text(static_cast<std::uint64_t>(fronts))});
        }
      });
  return table;
}

Table refusals(const core::State& state, Now now) {
  Table table{{"daemon", "service", "outcome", "reason", "count"}, {}};
  for (const auto& [service, account] : request::accounts(state, now)) {
    for (Outcome outcome : {Outcome::kNotRun, Outcome::kUnknown}) {
      for (const auto& [reason, count] :
           account.counts.by_reason[static_cast<std::size_t>(outcome)]) {
        table.rows.push_back({state.self.name.str(), service.str(),
                              std::string(to_string(outcome)),
                              std::string(to_string(reason)), text(count)});
      }
    }
  }
  return table;
}

Table quarantine(const core::State& state) {
  Table table{{"fingerprint", "service", "operation", "key", "strikes", "until",
               "zone"},
              {}};
  for_each_record<QuarantineList>(
      state, "live/quarantine/", [&](const QuarantineList& list) {
        for (const QuarantineEntry& entry : list.entries) {
          std::array<char, 17> hex{};
          auto end = std::to_chars(hex.data(), hex.data() + hex.size(),
                                   entry.fingerprint, 16);
          table.rows.push_back({std::string(hex.data(), end.ptr),
                                entry.service.str(), entry.operation,
                                entry.key.str(), text(entry.strikes),
                                format_time(entry.until), list.zone.str()});
        }
      });
  return table;
}

Table closures(const core::State& state) {
  Table table{{"service", "closure", "step", "ordered_by", "ordered",
               "deadline", "reason"},
              {}};
  for_each_record<Closure>(state, "live/closure/", [&](const Closure& closure) {
    table.rows.push_back({closure.service.str(), closure.id,
                          std::string(to_string(closure.step)),
                          closure.ordered_by.str(),
                          format_time(closure.ordered),
                          format_time(closure.deadline), closure.reason});
  });
  return table;
}

Table drains(const core::State& state) {
  Table table{{"server", "command", "ordered_by", "ordered", "state", "units"},
              {}};
  std::map<ServerName, std::uint64_t> units = units_by_server(state);
  for_each_record<DrainPlan>(state, "live/drain/", [&](const DrainPlan& plan) {
    std::string drain_state = plan.cancelled            ? "cancelled"
                              : units[plan.server] == 0 ? "drained"
                                                        : "draining";
    table.rows.push_back({plan.server.str(), plan.id, plan.ordered_by.str(),
                          format_time(plan.ordered), drain_state,
                          text(units[plan.server])});
  });
  return table;
}

Table commands(const core::State& state) {
  Table table{{"id", "operator", "ordered", "command", "state", "result"}, {}};
  for_each_record<CommandRecord>(
      state, "live/command/", [&](const CommandRecord& record) {
        table.rows.push_back({record.id.str(), record.ordered_by.str(),
                              format_time(record.ordered), record.text,
                              std::string(command_state_text(record.state)),
                              record.result});
      });
  return table;
}

Table timeline(const core::State& state) {
  Table table{{"when", "daemon", "zone", "kind", "service", "server", "slot",
               "epoch", "cause", "detail", "revision", "sequence"},
              {}};
  for (const TimelineEvent& event : state.timeline.events) {
    table.rows.push_back(
        {format_time(event.when), event.daemon.str(), event.zone.str(),
         std::string(to_string(event.kind)), event.service.str(),
         event.server.str(), event.slot ? text(event.slot->value) : "",
         event.epoch == 0 ? "" : text(event.epoch), event.cause, event.detail,
         text(event.revision.value), text(event.sequence)});
  }
  return table;
}

Table configuration(const core::State& state) {
  Table table{
      {"version", "deployment", "applied_by", "applied", "services", "servers"},
      {}};
  const auto* applied =
      find<DeclarationsRecord>(state.cache, declarations_key());
  if (applied == nullptr) return table;
  table.rows.push_back({text(version_of(state.cache, declarations_key()).value),
                        applied->declarations.deployment,
                        applied->applied_by.str(),
                        format_time(applied->applied),
                        text(applied->declarations.services.size()),
                        text(applied->declarations.servers.size())});
  return table;
}

Table store_calls(const core::State& state) {
  Table table{{"daemon", "reads", "writes", "watches", "conflicts",
               "unavailable", "revision"},
              {}};
  const Counters& counters = state.counters;
  table.rows.push_back({state.self.name.str(),
                        text(counters[Counter::kStoreReads]),
                        text(counters[Counter::kStoreWrites]),
                        text(counters[Counter::kStoreWatches]),
                        text(counters[Counter::kStoreConflicts]),
                        text(counters[Counter::kStoreUnavailable]),
                        text(state.membership.revision.value)});
  return table;
}

/// Numbers compare as numbers, everything else as text.
int compare(const std::string& left, const std::string& right) {
  double a = 0;
  double b = 0;
  auto end_a = std::from_chars(left.data(), left.data() + left.size(), a);
  auto end_b = std::from_chars(right.data(), right.data() + right.size(), b);
  bool numbers = end_a.ec == std::errc() && end_b.ec == std::errc() &&
                 end_a.ptr == left.data() + left.size() &&
                 end_b.ptr == right.data() + right.size();
  if (numbers) return a < b ? -1 : (a > b ? 1 : 0);
  return left.compare(right);
}

bool matches(const std::string& cell, const Condition& condition) {
  int order = compare(cell, condition.value);
  switch (condition.comparison) {
    case Comparison::kEqual:
      return order == 0;
    case Comparison::kNotEqual:
      return order != 0;
    case Comparison::kLess:
      return order < 0;
    case Comparison::kLessOrEqual:
      return order <= 0;
    case Comparison::kGreater:
      return order > 0;
    case Comparison::kGreaterOrEqual:
      return order >= 0;
  }
  return false;
}

std::string joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words)
    text += (text.empty() ? "" : ", ") + word;
  return text;
}

}  // namespace

std::string_view to_string(Subject subject) {
  static constexpr std::array<std::string_view, 15> kNames = {
      "services", "slots",    "keys",     "servers",       "zones",
      "daemons",  "requests", "refusals", "quarantine",    "closures",
      "drains",   "commands", "timeline", "configuration", "store"};
  return kNames[static_cast<std::size_t>(subject)];
}

bool needs_all_daemons(Subject subject) {
  return subject == Subject::kRequests || subject == Subject::kRefusals ||
         subject == Subject::kTimeline || subject == Subject::kStore;
}

Table table_of(const core::State& state, Subject subject, Now now) {
  switch (subject) {
    case Subject::kServices:
      return services(state);
    case Subject::kSlots:
      return slots(state);
    case Subject::kKeys:
      return keys(state);
    case Subject::kServers:
      return servers(state);
    case Subject::kZones:
      return zones(state);
    case Subject::kDaemons:
      return daemons(state);
    case Subject::kRefusals:
      return refusals(state, now);
    case Subject::kQuarantine:
      return quarantine(state);
    case Subject::kClosures:
      return closures(state);
    case Subject::kDrains:
      return drains(state);
    case Subject::kCommands:
      return commands(state);
    case Subject::kTimeline:
      return timeline(state);
    case Subject::kConfiguration:
      return configuration(state);
    case Subject::kStore:
      return store_calls(state);
    case Subject::kRequests:
      break;
  }
  return {{"daemon", "service", "key", "operation", "caller", "state", "age_ms",
           "server"},
          {}};
}

CommandAnswer finish_show(const ShowCommand& show, Table table, Now now) {
  CommandAnswer answer;
  for (const Condition& condition : show.conditions) {
    auto column =
        std::find(table.columns.begin(), table.columns.end(), condition.column);
    if (column == table.columns.end()) {
      answer.error = Error{ErrorCode::kInvalid,
                           "no column " + condition.column + " in " +
                               std::string(to_string(show.subject)) +
                               "; columns are " + joined(table.columns)};
      return answer;
    }
    auto index = static_cast<std::size_t>(column - table.columns.begin());
    std::erase_if(table.rows, [&](const auto& row) {
      return !matches(row[index], condition);
    });
  }
  if (show.subject == Subject::kTimeline) {
    if (show.since) {
      std::string oldest = format_time(now.wall - *show.since);
      std::erase_if(table.rows,
                    [&](const auto& row) { return row[0] < oldest; });
    }
    std::sort(
        table.rows.begin(), table.rows.end(), [](const auto& a, const auto& b) {
          if (a[0] != b[0]) return a[0] < b[0];
          return std::pair(a[1], std::strtoull(a[11].c_str(), nullptr, 10)) <
                 std::pair(b[1], std::strtoull(b[11].c_str(), nullptr, 10));
        });
  }
  if (show.limit && table.rows.size() > *show.limit) {
    answer.message = "first " + std::to_string(*show.limit) + " of " +
                     std::to_string(table.rows.size());
    table.rows.resize(*show.limit);
  }
  answer.sections.push_back(
      {std::string(to_string(show.subject)), std::move(table)});
  return answer;
}

CommandAnswer answer_owner(const core::State& state,
                           const OwnerCommand& owner) {
  CommandAnswer answer;
  const ServiceDeclaration* service =
      service_declaration(state.cache, owner.service);
  if (service == nullptr) {
    answer.error = Error{ErrorCode::kNotFound,
                         "no service " + owner.service.str() + " is declared"};
    return answer;
  }
  SlotId slot = ownership::slot_of(owner.key, service->key_slots);
  Table table{{"service", "unit", "zone", "server", "epoch", "phase", "target"},
              {}};
  for_each_record<OwnershipMap>(
      state, "live/own/" + owner.service.str() + "/",
      [&](const OwnershipMap& map) {
        auto key_entry = map.overrides.find(owner.key);
        auto slot_entry = map.slots.find(slot);
        const SlotRecord* record = nullptr;
        if (slot_entry != map.slots.end()) record = &slot_entry->second;
        if (key_entry != map.overrides.end()) record = &key_entry->second;
        if (record == nullptr || record->phase == SlotPhase::kHandedOver)
          return;
        std::string unit = key_entry != map.overrides.end()
                               ? "key " + owner.key.str()
                               : "slot " + text(slot.value);
        table.rows.push_back(unit_row(map, unit, *record));
        answer.version = Version(record->epoch.value);
      });
  answer.message = table.rows.empty() || table.rows[0][3].empty()
                       ? "no owner"
                       : table.rows[0][3];
  answer.sections.push_back({"owner", std::move(table)});
  return answer;
}

CommandAnswer answer_closure(const core::State& state,
                             const ShowClosureCommand& show) {
  CommandAnswer answer;
  const auto* closure = find<Closure>(state.cache, closure_key(show.service));
  if (closure == nullptr) {
    answer.error =
        Error{ErrorCode::kNotFound, "no closure of " + show.service.str()};
    return answer;
  }
  answer.version = version_of(state.cache, closure_key(show.service));
  answer.message = std::string(to_string(closure->step));
  Table table{{"zone", "step", "units_owned"}, {}};
  const Declarations* all_declared = declarations(state.cache);
  for (const auto& [zone, unused] : all_declared->zones) {
    auto it = closure->zones.find(zone);
    ClosureStep step =
        it == closure->zones.end() ? ClosureStep::kAnnounced : it->second;
    table.rows.push_back(
        {zone.str(), std::string(to_string(step)),
         text(ownership::owned_units(state, show.service, zone))});
  }
  answer.sections.push_back({"closure", std::move(table)});
  return answer;
}

}  // namespace eelgrasspin::core::operators
