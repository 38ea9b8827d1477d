#include "fleet/capacity_reports.h"

#include <algorithm>

#include "fleet/log_event.h"

namespace eelgrasspin::fleet {
namespace {

/// Maximum number of servers in a coordinator's report, which goes to every
/// daemon.
constexpr std::size_t kMaxLimitedServers = 256;

bool is_coordinator(const MapState& map, const DaemonName& daemon) {
  return map.map && map.map->coordinator == daemon;
}

/// Without an entry, a server that the coordinator knows is not limited.
void adopt_limits(State& state, const Heartbeat::KeyLoadReport& report,
                  TimePoint now) {
  auto listed = state.by_service.find(report.service);
  if (listed == state.by_service.end()) return;
  for (const ServerName& name : listed->second)
    adopt_shared(state.servers.at(name).capacity, 0, now);
  for (const auto& measured : report.service_times) {
    auto found = state.servers.find(measured.server);
    if (measured.concurrency > 0 && found != state.servers.end() &&
        found->second.server.incarnation == measured.incarnation) {
      adopt_shared(found->second.capacity, measured.concurrency, now);
    }
  }
}

/// The first service that has a coordinator; end() if there is none.
std::map<ServiceName, MapState>::const_iterator first_coordinated(
    const State& state) {
  return std::find_if(
      state.maps.begin(), state.maps.end(),
      [](const auto& entry) { return entry.second.map.has_value(); });
}

/// The map of the service, or of the one whose coordinator collects for it.
const MapState* collecting_map(const State& state, const ServiceName& service) {
  auto map = state.maps.find(service);
  if (map == state.maps.end()) map = first_coordinated(state);
  return map == state.maps.end() ? nullptr : &map->second;
}

}  // namespace

std::vector<ServiceName> collected_with(const State& state,
                                        const ServiceName& service) {
  std::vector<ServiceName> services = {service};
  auto first = first_coordinated(state);
  if (first == state.maps.end() || first->first != service) return services;
  for (const auto& [name, servers] : state.by_service) {
    if (state.maps.count(name) == 0) services.push_back(name);
  }
  return services;
}

void add_unsent_answers(State& state, Heartbeat::KeyLoadReport& report) {
  auto listed = state.by_service.find(report.service);
  if (listed == state.by_service.end()) return;
  for (const ServerName& name : listed->second) {
    ServerState& server = state.servers.at(name);
    LoadCurve latencies = take_unsent(server.capacity.latencies);
    LoadCurve work_times = take_unsent(server.capacity.work_times);
    if (!has_answers(latencies) && !has_answers(work_times)) continue;
    auto& entries = report.service_times;
    auto entry = std::find_if(
        entries.begin(), entries.end(),
        [&name](const auto& measured) { return measured.server == name; });
    if (entry == entries.end())
      entry = entries.insert(entry, {name, 0, server.service_time});
    entry->incarnation = server.server.incarnation;
    entry->latencies = latencies;
    entry->work_times = work_times;
  }
}

Heartbeat::KeyLoadReport limited_servers_report(const State& state,
                                                const ServiceName& service,
                                                TimePoint now) {
  Heartbeat::KeyLoadReport report{service, {}, {}};
  auto listed = state.by_service.find(service);
  if (listed == state.by_service.end()) return report;
  for (const ServerName& name : listed->second) {
    if (report.service_times.size() == kMaxLimitedServers) break;
    const ServerState& server = state.servers.at(name);
    std::uint32_t limit =
        own_concurrency(server.capacity, server.server.slots, now);
    if (limit >= server.server.slots) continue;
    report.service_times.push_back(
        {name, 0, server.service_time, server.server.incarnation, limit});
  }
  return report;
}

void on_capacity_reports(State& state, const DaemonName& from,
                         const std::vector<Heartbeat::KeyLoadReport>& reports,
                         TimePoint now, Effects& effects) {
  for (const auto& report : reports) {
    const MapState* map = collecting_map(state, report.service);
    if (map == nullptr) continue;
    if (is_coordinator(*map, from)) {
      adopt_limits(state, report, now);
      continue;
    }
    bool forward = !map->coordinator_role.has_value();
    for (const auto& measured : report.service_times) {
      auto found = state.servers.find(measured.server);
      if (found == state.servers.end() ||
          found->second.server.incarnation != measured.incarnation) {
        continue;
      }
      add_curves(found->second.capacity, measured.latencies,
                 measured.work_times, forward, found->second.server.slots, now);
      log_concurrency(found->second, now, effects);
    }
  }
}

void log_concurrency(ServerState& server, TimePoint now, Effects& effects) {
  ServerCapacity& capacity = server.capacity;
  std::uint32_t slots = server.server.slots;
  bool follows_coordinator =
      capacity.shared_at &&
      now - *capacity.shared_at < config::kMaxSharedCapacityAge;
  std::uint32_t present = own_concurrency(capacity, slots, now);
  std::uint32_t logged = capacity.logged == 0 ? slots : capacity.logged;
  if (follows_coordinator || present == logged ||
      now - capacity.logged_at < config::kCapacityLogInterval) {
    return;
  }
  capacity.logged = present;
  capacity.logged_at = now;
  bool learned = capacity.learned > 0 && capacity.learned <= present;
  log_event(effects, "server_capacity",
            {{"server", server.server.name.str()},
             {"service", server.server.service.str()},
             {"concurrency", std::to_string(present)},
             {"slots", std::to_string(slots)},
             {"reason", present > logged ? "recovery"
                        : learned        ? "latency"
                                         : "rejections"}});
}

}  // namespace eelgrasspin::fleet
