#include "fleet/cold_servers.h"

#include <xxhash.h>

#include <algorithm>

#include "fleet/duration.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

const Service* service_of(const State& state, const ServerState& server) {
  if (!state.configuration) return nullptr;
  auto found = state.configuration->services.find(server.server.service);
  return found == state.configuration->services.end() ? nullptr
                                                      : &found->second;
}

/// The rate at which a cold server of the service takes requests; 0 if the
/// service has none.
double cold_rate(const State& state, const ServerState& server) {
  const Service* service = service_of(state, server);
  return service == nullptr ? 0 : service->cold_rate.per_second;
}

/// Daemons that take turns: those of the server's zone, as they are nearest. A
/// key is requested at any daemon, and a zone may have none.
std::vector<const DaemonName*> turn_takers(const State& state,
                                           const ServerState& server) {
  const Service* service = service_of(state, server);
  bool any_zone = service != nullptr && service->keyed;
  std::vector<const DaemonName*> takers;
  for (const auto& [name, daemon] : state.fleet.daemon_records) {
    if (any_zone || daemon.zone == server.server.zone) takers.push_back(&name);
  }
  if (!takers.empty()) return takers;
  for (const auto& [name, daemon] : state.fleet.daemon_records)
    takers.push_back(&name);
  return takers;
}

std::uint64_t turn_at(const State& state, const ServerState& server,
                      TimePoint now) {
  double seconds_cold =
      static_cast<double>((now - server.cold.since).count()) / 1e6;
  return static_cast<std::uint64_t>(std::max(0.0, seconds_cold) *
                                    cold_rate(state, server));
}

/// Whether the turn belongs to this daemon. The order starts elsewhere for each
/// server, so that servers that start together are not all left to the same
/// few daemons.
bool is_own_turn(const State& state, const ServerState& server,
                 std::uint64_t turn) {
  std::vector<const DaemonName*> takers = turn_takers(state, server);
  const std::string& name = server.server.name.str();
  std::uint64_t first = XXH64(name.data(), name.size(), 0);
  return *takers[(first + turn) % takers.size()] == state.settings.self.name;
}

/// Whether a server that has started again accepts requests although nobody
/// knows of its start. One of a keyed service holds no keys then and refuses
/// them.
bool serves_after_restart(const State& state, const ServerState& server) {
  const Service* service = service_of(state, server);
  return service != nullptr && !service->keyed &&
         service->cold_rate.per_second > 0;
}

void start_turns_if_warm(const State& state, ServerState& server,
                         TimePoint now) {
  if (is_cold(state, server, now)) return;
  server.cold.since = now;
  server.cold.last_turn.reset();
}

void set_cold(const State& state, ServerState& server, TimePoint until,
              TimePoint now) {
  start_turns_if_warm(state, server, now);
  server.cold.until = std::max(server.cold.until, until);
}

void suspect_restart(State& state, const ServerIncarnation& server,
                     TimePoint now) {
  auto found = state.servers.find(server.name);
  if (found == state.servers.end() ||
      found->second.server.incarnation != server.incarnation ||
      !serves_after_restart(state, found->second)) {
    return;
  }
  ServerState& entry = found->second;
  start_turns_if_warm(state, entry, now);
  entry.cold.restart_suspected_until = now + config::kRestartSuspicionTime;
}

}  // namespace

bool is_cold(const State& state, const ServerState& server, TimePoint now) {
  bool may_be_cold =
      now < server.cold.until || now < server.cold.restart_suspected_until;
  return may_be_cold && cold_rate(state, server) > 0;
}

bool may_send_if_cold(const State& state, const ServerState& server,
                      TimePoint now) {
  if (!is_cold(state, server, now)) return true;
  std::uint64_t turn = turn_at(state, server, now);
  return server.cold.last_turn != turn && is_own_turn(state, server, turn);
}

void record_send_to_cold(const State& state, ServerState& server,
                         TimePoint now) {
  if (is_cold(state, server, now))
    server.cold.last_turn = turn_at(state, server, now);
}

void record_warm_up(const State& state, ServerState& server, bool restarted,
                    TimePoint now) {
  if (server.server.warm_up_left.count() > 0) {
    set_cold(state, server, now + server.server.warm_up_left, now);
  } else if (restarted) {
    presume_cold(state, server, now);
  }
}

void presume_cold(const State& state, ServerState& server, TimePoint now) {
  const Service* service = service_of(state, server);
  if (service == nullptr || service->cold_rate.per_second <= 0) return;
  set_cold(state, server, now + service->cold_time, now);
}

void on_connection_refused(State& state, const ServerIncarnation& server,
                           TimePoint now) {
  auto found = state.servers.find(server.name);
  if (found == state.servers.end() ||
      !serves_after_restart(state, found->second)) {
    return;
  }
  suspect_restart(state, server, now);
  state.fleet.unreachable_reports.emplace_back(now, server);
}

void on_unreachable_reports(State& state,
                            const std::vector<ServerIncarnation>& servers,
                            TimePoint now) {
  for (const ServerIncarnation& server : servers)
    suspect_restart(state, server, now);
}

std::vector<ServerIncarnation> recent_unreachable_reports(const State& state,
                                                          TimePoint now) {
  std::set<ServerIncarnation> recent;
  const auto& reports = state.fleet.unreachable_reports;
  for (auto it = reports.rbegin();
       it != reports.rend() && recent.size() < config::kMaxRestartReports;
       ++it) {
    if (now - it->first < config::kRestartReportTime) recent.insert(it->second);
  }
  return {recent.begin(), recent.end()};
}

void expire_unreachable_reports(State& state, TimePoint now) {
  auto& reports = state.fleet.unreachable_reports;
  while (!reports.empty() &&
         now - reports.front().first >= config::kRestartReportTime) {
    reports.pop_front();
  }
}

}  // namespace eelgrasspin::fleet
