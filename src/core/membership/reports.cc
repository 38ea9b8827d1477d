#include "core/membership/reports.h"

#include <algorithm>

#include "core/membership/liveness.h"

namespace eelgrasspin::core::membership {
namespace {

bool names_predecessor(const FrontAssignment& front, const DaemonName& daemon,
                       FrontEpoch epoch) {
  return std::any_of(front.predecessors.begin(), front.predecessors.end(),
                     [&](const FrontPredecessor& earlier) {
                       return earlier.daemon == daemon &&
                              earlier.epoch == epoch;
                     });
}

void take_report(core::State& state, const DaemonName& daemon,
                 const FrontReport& report, Now now) {
  const ServerDeclaration* server =
      server_declaration(state.cache, report.server);
  if (server == nullptr || !coordinates(state, server->zone, now)) return;
  const ZoneRoster* known = roster(state.cache, server->zone);
  if (known == nullptr) return;
  auto front = known->fronts.find(report.server);
  if (front == known->fronts.end()) return;
  const FrontAssignment& assigned = front->second;
  if (assigned.daemon == daemon && assigned.epoch == report.front_epoch)
    state.membership.front_reports[report.server] = report;
  if (report.stopped && names_predecessor(assigned, daemon, report.front_epoch))
    state.membership.stopped_fronts[report.server].insert(report.front_epoch);
}

void take_accounts(core::State& state, const Heartbeat& beat, Now now) {
  ReceivedAccounts& known = state.membership.accounts[beat.daemon];
  if (known.incarnation != beat.incarnation) known = ReceivedAccounts{};
  known.received = now.mono;
  known.incarnation = beat.incarnation;
  known.cache_revision = beat.cache_revision;
  if (!beat.accounts.empty()) known.accounts = beat.accounts;
}

}  // namespace

void take_reports(core::State& state, const Heartbeat& beat, Now now) {
  for (const FrontReport& report : beat.fronts)
    take_report(state, beat.daemon, report, now);
  if (coordinates(state, beat.zone, now)) take_accounts(state, beat, now);
}

void drop_void_reports(core::State& state, const ZoneRoster& before,
                       const ZoneRoster& roster) {
  for (const RosterMember& member : before.members) {
    bool gone = find_member(roster.members, member.daemon) == nullptr;
    bool self = member.daemon == state.self.name;
    if (gone && !self) state.membership.accounts.erase(member.daemon);
  }
  for (const auto& [server, front] : roster.fronts) {
    auto report = state.membership.front_reports.find(server);
    bool is_void = report != state.membership.front_reports.end() &&
                   report->second.front_epoch != front.epoch;
    if (is_void) state.membership.front_reports.erase(report);
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
