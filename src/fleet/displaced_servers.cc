#include "fleet/displaced_servers.h"

#include <algorithm>
#include <unordered_map>

#include "fleet/log_event.h"

namespace eelgrasspin::fleet {
namespace {

void mark_displaced(State& state, const ServerIncarnation& server,
                    std::string_view source, TimePoint now, Effects& effects) {
  auto found = state.servers.find(server.name);
  if (found == state.servers.end()) return;
  ServerState& entry = found->second;
  if (entry.server.incarnation != server.incarnation || entry.displaced) return;
  entry.displaced = true;
  state.fleet.displaced_reports.emplace_back(now, server);
  log_event(effects, "server",
            {{"server", server.name.str()},
             {"service", entry.server.service.str()},
             {"state", "displaced"},
             {"incarnation", text(server.incarnation.value)},
             {"reason", std::string(source)}});
}

}  // namespace

void on_displaced(State& state, const ServerIncarnation& server, TimePoint now,
                  Effects& effects) {
  mark_displaced(state, server, "answer", now, effects);
}

void on_displaced_reports(State& state,
                          const std::vector<ServerIncarnation>& servers,
                          TimePoint now, Effects& effects) {
  for (const ServerIncarnation& server : servers)
    mark_displaced(state, server, "other_daemon", now, effects);
}

std::vector<ServerIncarnation> recent_displaced_reports(const State& state,
                                                        TimePoint now) {
  std::vector<ServerIncarnation> recent;
  const auto& reports = state.fleet.displaced_reports;
  for (auto it = reports.rbegin();
       it != reports.rend() && recent.size() < config::kMaxDisplacedReports;
       ++it) {
    if (now - it->first < config::kDisplacedReportTime)
      recent.push_back(it->second);
  }
  return recent;
}

void expire_displaced_reports(State& state, TimePoint now) {
  auto& reports = state.fleet.displaced_reports;
  while (!reports.empty() &&
         now - reports.front().first >= config::kDisplacedReportTime) {
    reports.pop_front();
  }
}

void mark_shared_addresses(State& state) {
  std::unordered_map<Endpoint, Incarnation> last_started;
  for (const auto& [name, server] : state.servers) {
    if (server.removed) continue;
    Incarnation& last = last_started[server.server.address];
    last = std::max(last, server.server.incarnation);
  }
  for (auto& [name, server] : state.servers) {
    server.shares_address =
        !server.removed &&
        server.server.incarnation < last_started.at(server.server.address);
  }
}

}  // namespace eelgrasspin::fleet
