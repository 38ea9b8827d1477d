#include "fleet/quarantine.h"

#include <algorithm>
#include <functional>

#include "fleet/log_event.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {

namespace {

void add_strike(State& state, Fingerprint request,
                const ServerIncarnation& server, TimePoint now,
                Effects& effects) {
  auto& servers = state.strikes[request];
  if (!servers.try_emplace(server, StrikeState{now, now, true}).second) return;
  if (is_quarantined(state, request, now))
    state.quarantine_record.outdated = true;
  log_event(effects, "crash_strike",
            {{"fingerprint", text(request.value)},
             {"server", server.name.str()},
             {"incarnation", text(server.incarnation.value)},
             {"strikes", text(servers.size())}});
}

}  // namespace

void record_interruption(State& state, const RequestState& request,
                         TimePoint now, Effects& effects) {
  ServerIncarnation server{request.server, request.server_incarnation};
  if (state.crashed_servers.count(server) > 0)
    return add_strike(state, request.fingerprint, server, now, effects);
  state.interrupted_requests.push_back({request.fingerprint, server, now});
  if (state.interrupted_requests.size() > config::kMaxInterruptedRequests)
    state.interrupted_requests.pop_front();
}

void on_server_alive(State& state, const ServerIncarnation& server,
                     TimePoint sent_at) {
  state.crashed_servers.erase(server);
  std::erase_if(state.interrupted_requests,
                [&](const InterruptedRequest& item) {
                  return item.server == server && item.at <= sent_at;
                });
}

void on_server_crash(State& state, const ServerIncarnation& server,
                     TimePoint now, Effects& effects) {
  state.crashed_servers[server] = now;
  for (const InterruptedRequest& item : state.interrupted_requests) {
    if (item.server == server)
      add_strike(state, item.request, server, now, effects);
  }
  std::erase_if(
      state.interrupted_requests,
      [&](const InterruptedRequest& item) { return item.server == server; });
}

void on_strikes(State& state, const std::vector<Strike>& strikes,
                TimePoint now) {
  for (const Strike& strike : strikes) {
    // Known strikes keep their time, so that daemons cannot renew them among
    // one another.
    if (strike.age >= config::kQuarantineTime) continue;
    auto& servers = state.strikes[strike.request];
    bool added = servers
                     .try_emplace(strike.server,
                                  StrikeState{now - strike.age, now, false})
                     .second;
    if (added && is_quarantined(state, strike.request, now) &&
        std::any_of(servers.begin(), servers.end(), [](const auto& known) {
          return known.second.noticed_here;
        })) {
      state.quarantine_record.outdated = true;
    }
  }
}

std::vector<Strike> announced_strikes(const State& state, TimePoint now) {
  std::vector<Strike> announced;
  for (const auto& [request, servers] : state.strikes) {
    bool quarantined = is_quarantined(state, request, now);
    for (const auto& [server, strike] : servers) {
      Duration known_for = now - strike.learned_at;
      bool repeated = quarantined && known_for % config::kStrikeRepeatInterval <
                                         config::kStrikeRepeatTime;
      if (known_for < config::kStrikeAnnouncementTime || repeated)
        announced.push_back({request, server, now - strike.noticed_at});
      if (announced.size() == config::kMaxAnnouncedStrikes) return announced;
    }
  }
  return announced;
}

std::optional<TimePoint> quarantine_end(const State& state,
                                        Fingerprint request) {
  auto found = state.strikes.find(request);
  if (found == state.strikes.end() ||
      found->second.size() < config::kQuarantineStrikes) {
    return std::nullopt;
  }
  std::vector<TimePoint> noticed;
  for (const auto& [server, strike] : found->second)
    noticed.push_back(strike.noticed_at);
  auto last_needed = noticed.begin() + (config::kQuarantineStrikes - 1);
  std::nth_element(noticed.begin(), last_needed, noticed.end(),
                   std::greater<>());
  return *last_needed + config::kQuarantineTime;
}

bool is_quarantined(const State& state, Fingerprint request, TimePoint now) {
  auto end = quarantine_end(state, request);
  return end && now < *end;
}

void expire_strikes(State& state, TimePoint now) {
  // Around an outage of the store the registry tells of a crash late.
  while (!in_or_after_outage(state, now) &&
         !state.interrupted_requests.empty() &&
         now - state.interrupted_requests.front().at > config::kCrashWindow) {
    state.interrupted_requests.pop_front();
  }
  std::erase_if(state.crashed_servers, [now](const auto& crashed) {
    return now - crashed.second > config::kCrashedServerRetention;
  });
  for (auto it = state.strikes.begin(); it != state.strikes.end();) {
    std::erase_if(it->second, [now](const auto& strike) {
      return now - strike.second.noticed_at >= config::kQuarantineTime;
    });
    it = it->second.empty() ? state.strikes.erase(it) : std::next(it);
  }
}

}  // namespace eelgrasspin::fleet
