#include "fleet/server_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "fleet/duration.h"
#include "fleet/log_event.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

double per_second(Duration window) {
  return 1e6 / static_cast<double>(window.count());
}

/// A number from 0 to 1 that differs between daemons, so that their credits do
/// not reach 1 at the same time.
double initial_credit(const State& state, const ServerName& server) {
  std::string text = state.settings.self.name.str() + ' ' + server.str();
  return static_cast<double>(XXH64(text.data(), text.size(), 0) % 1024) / 1024;
}

std::uint32_t count_since(const std::deque<TimePoint>& times, TimePoint start) {
  auto first = std::lower_bound(times.begin(), times.end(), start);
  return static_cast<std::uint32_t>(times.end() - first);
}

void drop_before(std::deque<TimePoint>& times, TimePoint start) {
  while (!times.empty() && times.front() < start) times.pop_front();
}

/// Requests of some of the daemons for a limited server, and what of them was
/// sent there.
struct Use {
  double demand = 0;  ///< Per second.
  std::uint32_t sent = 0;
};

Use own_use(const ServerLimit& limit, TimePoint now) {
  return {count_since(limit.demand, now - config::kDemandWindow) *
              per_second(config::kDemandWindow),
          count_since(limit.sent, now - config::kLimitCountWindow)};
}

void log_limit(const ServerState& server, std::string_view source,
               Effects& effects) {
  log_event(
      effects, "server_limit",
      {{"server", server.server.name.str()},
       {"service", server.server.service.str()},
       {"per_second",
        server.limit ? std::to_string(server.limit->rate.per_second) : "-"},
       {"reason", std::string(source)}});
}

void adopt_statement(State& state, ServerState& server, RequestRate rate,
                     TimePoint stated_at, std::string_view source,
                     Effects& effects) {
  if (stated_at <= server.limit_withdrawn_at ||
      (server.limit && stated_at <= server.limit->stated_at)) {
    return;
  }
  // Messages between daemons round the rate.
  bool changed = !server.limit || std::abs(server.limit->rate.per_second -
                                           rate.per_second) >= 0.01;
  if (!server.limit) {
    server.limit.emplace();
    server.limit->credit = initial_credit(state, server.server.name);
    state.limited_servers.insert(server.server.name);
  }
  server.limit->rate = rate;
  server.limit->stated_at = stated_at;
  if (changed) log_limit(server, source, effects);
}

void withdraw_limit(ServerState& server, TimePoint withdrawn_at,
                    std::string_view source, TimePoint now, Effects& effects) {
  server.limit_withdrawn_at = std::max(server.limit_withdrawn_at, withdrawn_at);
  if (!server.limit || withdrawn_at <= server.limit->stated_at) return;
  server.limit.reset();
  server.limit_dropped_at = now;
  log_limit(server, source, effects);
}

using Uses = std::map<ServerName, Use>;

void add_uses(const std::vector<LimitReport>& reports, Uses& uses) {
  for (const LimitReport& report : reports) {
    uses[report.server.name].demand += report.demand.per_second;
    uses[report.server.name].sent += report.sent;
  }
}

/// Use by the daemons whose heartbeats are not summed up by a relay.
void add_peer_uses(const State& state, bool own_zone_only, TimePoint now,
                   Uses& uses) {
  for (const auto& [name, peer] : state.fleet.peers) {
    auto known = state.fleet.daemon_records.find(name);
    bool own_zone = known != state.fleet.daemon_records.end() &&
                    known->second.zone == state.settings.self.zone;
    bool recent = now - peer.limits_received_at <= config::kMaxLimitReportAge;
    if (peer.loads_counted && recent && (own_zone || !own_zone_only))
      add_uses(peer.heartbeat.limits, uses);
  }
}

LimitReport report_of(const ServerState& server, const Use& use,
                      TimePoint now) {
  LimitReport report;
  report.server = incarnation_of(server.server);
  report.age = now - server.limit_withdrawn_at;
  if (server.limit) {
    report.limit = server.limit->rate;
    report.age = now - server.limit->stated_at;
  }
  report.demand = {use.demand};
  report.sent = use.sent;
  return report;
}

bool was_just_dropped(const ServerState& server, TimePoint now) {
  return now - server.limit_dropped_at < config::kLimitReportTime;
}

double admitted_share(RequestRate limit, const Use& use) {
  double window_seconds =
      static_cast<double>(config::kLimitCountWindow.count()) / 1e6;
  if (use.sent >= limit.per_second * window_seconds) return 0;
  if (use.demand <= 0) return 1;
  return std::min(1.0, config::kLimitUseShare * limit.per_second / use.demand);
}

}  // namespace

void on_limit_notice(State& state, const ServerIncarnation& server,
                     const AttemptEnded& ended, TimePoint sent_at,
                     TimePoint now, Effects& effects) {
  auto found = state.servers.find(server.name);
  if (found == state.servers.end() ||
      found->second.server.incarnation != server.incarnation) {
    return;
  }
  ServerState& entry = found->second;
  if (ended.notice.request_limit) {
    // The server has stated it between the send and now; the send is what
    // orders the statements of several answers.
    adopt_statement(state, entry, *ended.notice.request_limit, sent_at,
                    "answer", effects);
    if (entry.limit) entry.limit->stated_here_at = now;
    return;
  }
  if (ended.result == AttemptResult::kAnswered)
    withdraw_limit(entry, sent_at, "answer", now, effects);
}

void on_limit_reports(State& state, const std::vector<LimitReport>& reports,
                      TimePoint now, Effects& effects) {
  for (const LimitReport& report : reports) {
    auto found = state.servers.find(report.server.name);
    if (found == state.servers.end() ||
        found->second.server.incarnation != report.server.incarnation ||
        report.age > config::kLimitLifetime) {
      continue;
    }
    TimePoint at = now - report.age;
    if (report.limit) {
      adopt_statement(state, found->second, *report.limit, at, "other_daemon",
                      effects);
    } else {
      withdraw_limit(found->second, at, "other_daemon", now, effects);
    }
  }
}

bool admit_request(State& state, const ServerName& server, TimePoint now) {
  auto found = state.servers.find(server);
  if (found == state.servers.end() || !found->second.limit) return true;
  ServerLimit& limit = *found->second.limit;
  limit.demand.push_back(now);
  limit.credit += limit.admitted_share;
  if (limit.credit < 1) return false;
  limit.credit -= 1;
  limit.sent.push_back(now);
  return true;
}

Duration admission_delay(const ServerLimit& limit, TimePoint now) {
  double admitted_rate = own_use(limit, now).demand * limit.admitted_share;
  if (admitted_rate <= 0) return config::kDemandWindow;
  return scaled(seconds(1), (1 - limit.credit) / admitted_rate);
}

void tick_limits(State& state, TimePoint now, Effects& effects) {
  if (now - state.limits_updated_at < config::kLimitUpdateInterval) return;
  state.limits_updated_at = now;
  if (state.limited_servers.empty()) return;
  Uses others;
  add_peer_uses(state, false, now, others);
  for (const auto& [zone, loads] : state.fleet.zone_loads) {
    if (now - loads.limits_received_at <= config::kMaxLimitReportAge)
      add_uses(loads.limits, others);
  }
  std::vector<ServerName> names(state.limited_servers.begin(),
                                state.limited_servers.end());
  for (const ServerName& name : names) {
    auto found = state.servers.find(name);
    bool known = found != state.servers.end();
    if (!known || !found->second.limit) {
      if (!known || !was_just_dropped(found->second, now))
        state.limited_servers.erase(name);
      continue;
    }
    ServerLimit& limit = *found->second.limit;
    if (now - limit.stated_at > config::kLimitLifetime) {
      withdraw_limit(found->second, now, "expired", now, effects);
      continue;
    }
    drop_before(limit.demand, now - config::kDemandWindow);
    drop_before(limit.sent, now - config::kLimitCountWindow);
    Use use = own_use(limit, now);
    use.demand += others[name].demand;
    use.sent += others[name].sent;
    limit.admitted_share = admitted_share(limit.rate, use);
  }
}

std::vector<LimitReport> own_limit_reports(const State& state, TimePoint now) {
  std::vector<LimitReport> reports;
  for (const ServerName& name : state.limited_servers) {
    auto found = state.servers.find(name);
    if (found == state.servers.end()) continue;
    const ServerState& server = found->second;
    Use use;
    if (server.limit) use = own_use(*server.limit, now);
    bool stated_recently = server.limit && now - server.limit->stated_here_at <
                                               config::kLimitReportTime;
    if (use.demand > 0 || use.sent > 0 || stated_recently ||
        was_just_dropped(server, now)) {
      reports.push_back(report_of(server, use, now));
    }
  }
  return reports;
}

std::vector<LimitReport> zone_limit_reports(const State& state, TimePoint now) {
  Uses uses;
  add_peer_uses(state, true, now, uses);
  std::vector<LimitReport> reports;
  for (const ServerName& name : state.limited_servers) {
    auto found = state.servers.find(name);
    if (found == state.servers.end()) continue;
    Use use = uses[name];
    if (found->second.limit) {
      Use own = own_use(*found->second.limit, now);
      use.demand += own.demand;
      use.sent += own.sent;
    }
    reports.push_back(report_of(found->second, use, now));
  }
  return reports;
}

}  // namespace eelgrasspin::fleet
