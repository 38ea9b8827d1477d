#include "fleet/displaced_servers.h"

#include <algorithm>
#include <unordered_map>

#include "fleet/log_event.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

void mark_displaced(State& state, const ServerIncarnation& server,
                    std::string_view source, TimePoint now, Effects& effects) {
  auto found = state.servers.find(server.name);
  if (found == state.servers.end()) return;
  ServerState& entry = found->second;
  if (entry.server.incarnation != server.incarnation || entry.displaced) return;
  entry.displaced = true;
  mark_taken_addresses(state);
  state.fleet.displaced_reports.emplace_back(now, server);
  log_event(effects, "server",
            {{"server", server.name.str()},
             {"service", entry.server.service.str()},
             {"state", "displaced"},
             {"incarnation", text(server.incarnation.value)},
             {"reason", std::string(source)}});
}

/// Whether the entry shows that the server has its address. One that has turned
/// out to be wrong, or that names no service of the configuration, does not.
bool claims_address(const State& state, const ServerState& server) {
  return !server.removed && !server.displaced && state.configuration &&
         state.configuration->services.count(server.server.service) > 0;
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

bool may_be_displaced(const State& state, const ServerState& server,
                      TimePoint now) {
  const Settings& settings = state.settings;
  return in_or_after_outage(state, now) &&
         now + settings.max_delivery_delay >=
             server.alive_at + settings.address_reuse_delay;
}

void mark_taken_addresses(State& state) {
  std::unordered_map<Endpoint, Incarnation> last_started;
  for (const auto& [name, server] : state.servers) {
    if (!claims_address(state, server)) continue;
    Incarnation& last = last_started[server.server.address];
    last = std::max(last, server.server.incarnation);
  }
  for (auto& [name, server] : state.servers) {
    auto last = last_started.find(server.server.address);
    server.address_taken =
        last != last_started.end() && server.server.incarnation < last->second;
  }
}

}  // namespace eelgrasspin::fleet
