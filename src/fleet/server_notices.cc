#include "fleet/server_notices.h"

#include <algorithm>

#include "fleet/log_event.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

ServerState* find_incarnation(State& state, const ServerIncarnation& server) {
  auto found = state.servers.find(server.name);
  if (found == state.servers.end() ||
      found->second.server.incarnation != server.incarnation) {
    return nullptr;
  }
  return &found->second;
}

void mark_leaving(State& state, const ServerIncarnation& server,
                  std::string_view source, TimePoint now, Effects& effects) {
  ServerState* entry = find_incarnation(state, server);
  if (entry == nullptr || entry->announced_leaving) return;
  entry->announced_leaving = true;
  state.fleet.leaving_reports.emplace_back(now, server);
  log_event(effects, "server",
            {{"server", server.name.str()},
             {"service", entry->server.service.str()},
             {"state", "leaving"},
             {"incarnation", text(server.incarnation.value)},
             {"reason", std::string(source)}});
}

}  // namespace

void on_server_notice(State& state, const ServerIncarnation& server,
                      const ServerNotice& notice, TimePoint now,
                      Effects& effects) {
  if (notice.leaving) mark_leaving(state, server, "answer", now, effects);
  ServerState* entry = find_incarnation(state, server);
  if (entry == nullptr || notice.retry_after.count() <= 0) return;
  Duration backoff = std::min(notice.retry_after, config::kMaxServerBackoff);
  bool in_backoff = now < entry->backoff_until;
  entry->backoff_until = std::max(entry->backoff_until, now + backoff);
  if (in_backoff) return;
  log_event(effects, "server_backoff",
            {{"server", server.name.str()},
             {"service", entry->server.service.str()},
             {"for", text(backoff)},
             {"asked", text(notice.retry_after)}});
}

void on_leaving_reports(State& state,
                        const std::vector<ServerIncarnation>& servers,
                        TimePoint now, Effects& effects) {
  for (const ServerIncarnation& server : servers)
    mark_leaving(state, server, "other_daemon", now, effects);
}

std::vector<ServerIncarnation> recent_leaving_reports(const State& state,
                                                      TimePoint now) {
  std::vector<ServerIncarnation> recent;
  for (const auto& [at, server] : state.fleet.leaving_reports) {
    if (now - at < config::kLeavingReportTime) recent.push_back(server);
  }
  return recent;
}

void expire_leaving_reports(State& state, TimePoint now) {
  auto& reports = state.fleet.leaving_reports;
  while (!reports.empty() &&
         now - reports.front().first >= config::kLeavingReportTime) {
    reports.pop_front();
  }
}

bool accepts_requests(const ServerState& server, TimePoint now) {
  return now >= server.blocked_until && now >= server.backoff_until;
}

}  // namespace eelgrasspin::fleet
