#include "core/membership/reports.h"

#include <algorithm>

#include "core/membership/liveness.h"

namespace eelgrasspin::core::membership {
namespace {

bool has_predecessor(const FrontAssignment& front, const DaemonName& daemon,
                     FrontEpoch epoch) {
  return std::any_of(front.predecessors.begin(), front.predecessors.end(),
                     [&](const FrontPredecessor& predecessor) {
                       return predecessor.daemon == daemon &&
                              predecessor.epoch == epoch;
                     });
}

void accept_report(core::State& state, const DaemonName& daemon,
                   const FrontReport& report, Now now) {
  const ServerDeclaration* server =
      server_declaration(state.cache, report.server);
  if (server == nullptr || !coordinates(state, server->zone, now)) return;
  const ZoneRoster* zone_roster = roster(state.cache, server->zone);
  if (zone_roster == nullptr) return;
  auto front = zone_roster->fronts.find(report.server);
  if (front == zone_roster->fronts.end()) return;
  const FrontAssignment& assigned = front->second;
  if (assigned.daemon == daemon && assigned.epoch == report.front_epoch)
    state.membership.front_reports[report.server] = report;
  if (report.stopped && has_predecessor(assigned, daemon, report.front_epoch))
    state.membership.stopped_fronts[report.server].insert(report.front_epoch);
}

void accept_accounts(core::State& state, const Heartbeat& heartbeat, Now now) {
  ReceivedAccounts& latest = state.membership.accounts[heartbeat.daemon];
  if (latest.incarnation != heartbeat.incarnation) latest = ReceivedAccounts{};
  latest.received = now.mono;
  latest.incarnation = heartbeat.incarnation;
  latest.cache_revision = heartbeat.cache_revision;
  if (!heartbeat.accounts.empty()) latest.accounts = heartbeat.accounts;
}

}  // namespace

void accept_reports(core::State& state, const Heartbeat& heartbeat, Now now) {
  for (const FrontReport& report : heartbeat.fronts)
    accept_report(state, heartbeat.daemon, report, now);
  if (coordinates(state, heartbeat.zone, now))
    accept_accounts(state, heartbeat, now);
}

void drop_obsolete_reports(core::State& state, const ZoneRoster& before,
                           const ZoneRoster& roster) {
  for (const RosterMember& member : before.members) {
    bool gone = find_member(roster.members, member.daemon) == nullptr;
    bool self = member.daemon == state.self.name;
    if (gone && !self) state.membership.accounts.erase(member.daemon);
  }
  for (const auto& [server, front] : roster.fronts) {
    auto report = state.membership.front_reports.find(server);
    bool obsolete = report != state.membership.front_reports.end() &&
                    report->second.front_epoch != front.epoch;
    if (obsolete) state.membership.front_reports.erase(report);
    if (front.predecessors.empty())
      state.membership.stopped_fronts.erase(server);
  }
}

bool reported_stopped(const core::State& state, const ServerName& server,
                      FrontEpoch epoch) {
  auto it = state.membership.stopped_fronts.find(server);
  return it != state.membership.stopped_fronts.end() &&
         it->second.contains(epoch);
}

}  // namespace eelgrasspin::core::membership
