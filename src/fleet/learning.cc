#include "fleet/learning.h"

#include <algorithm>
#include <cmath>

#include "fleet/duration.h"

namespace eelgrasspin::fleet {
namespace {

/// Assumed ratio of service times of a server that is warming up to usual ones.
constexpr double kWarmUpFactor = 2.0;
/// Request counts below this are dropped.
constexpr double kMinKeyLoad = 0.05;
constexpr Duration kDecayInterval = milliseconds(500);

double decayed_value(double value, Duration elapsed, Duration half_life) {
  return value * std::exp2(-static_cast<double>(elapsed.count()) /
                           static_cast<double>(half_life.count()));
}

Duration updated_mean(Duration mean, Duration sample) {
  if (mean.count() == 0) return sample;
  double updated = static_cast<double>(mean.count()) +
                   config::kServiceTimeSampleWeight *
                       static_cast<double>((sample - mean).count());
  return Duration(static_cast<Duration::rep>(updated));
}

double current_success_rate(const ServerState& server, TimePoint now) {
  double failure_rate = 1.0 - server.success_rate;
  return 1.0 - decayed_value(failure_rate, now - server.success_rate_at,
                             config::kFailureHalfLife);
}

}  // namespace

Duration service_time(const State& state, const ServerState& server,
                      TimePoint now) {
  Duration expected = config::kInitialServiceTime;
  auto stats = state.stats.find(server.server.service);
  if (stats != state.stats.end() && stats->second.service_time.count() > 0) {
    expected = stats->second.service_time;
  }
  bool warming_up = now - server.read_at < server.server.warm_up_left;
  if (server.service_time.count() > 0) return server.service_time;
  return warming_up ? scaled(expected, kWarmUpFactor) : expected;
}

Candidate candidate_of(const State& state, const ServerState& server,
                       TimePoint now) {
  const ServerCapacity& capacity = server.capacity;
  return {server.server.name,
          distance_to(state, server.server.zone),
          server.server.slots,
          present_load(capacity, load_at(state, server), server.in_flight, now),
          present_service_time(capacity, service_time(state, server, now), now),
          current_success_rate(server, now),
          concurrency(capacity, server.server.slots, now)};
}

void record_latency(State& state, ServerState& server, Duration latency,
                    std::uint32_t load, TimePoint now) {
  // The latency of a request that has waited for a slot, or has run while the
  // server was slowed down by its load, is not service time.
  if (load >= concurrency(server.capacity, server.server.slots, now)) return;
  server.service_time = updated_mean(server.service_time, latency);
  server.answer_count =
      decayed_value(server.answer_count, now - server.answer_count_at,
                    config::kKeyLoadHalfLife) +
      1;
  server.answer_count_at = now;
  ServiceStats& stats = state.stats[server.server.service];
  stats.service_time = updated_mean(stats.service_time, latency);
}

void record_outcome(ServerState& server, bool succeeded, TimePoint now) {
  double success_rate = current_success_rate(server, now);
  server.success_rate =
      success_rate +
      config::kOutcomeSampleWeight * ((succeeded ? 1.0 : 0.0) - success_rate);
  server.success_rate_at = now;
}

void count_key_request(State& state, const ServiceName& service, ShardKey key,
                       TimePoint now) {
  KeyLoadState& key_load = state.key_loads[service];
  if (key_load.request_counts.empty()) key_load.decayed_at = now;
  key_load.request_counts[key.value] += 1.0;
  KeyLoadState::RecentCount& recent = key_load.recent_counts[key.value];
  recent.count = decayed_value(recent.count, now - recent.at,
                               config::kRecentKeyLoadHalfLife) +
                 1.0;
  recent.at = now;
}

std::map<ShardKey, double> key_request_counts(const State& state,
                                              const ServiceName& service,
                                              bool recent, TimePoint now) {
  std::map<ShardKey, double> counts;
  auto found = state.key_loads.find(service);
  if (found == state.key_loads.end()) return counts;
  const KeyLoadState& key_load = found->second;
  if (!recent) {
    for (const auto& [key, count] : key_load.request_counts)
      counts[ShardKey(key)] = count;
    return counts;
  }
  constexpr double kScale =
      static_cast<double>(config::kKeyLoadHalfLife.count()) /
      static_cast<double>(config::kRecentKeyLoadHalfLife.count());
  for (const auto& [key, count] : key_load.recent_counts) {
    double current = decayed_value(count.count, now - count.at,
                                   config::kRecentKeyLoadHalfLife);
    if (current >= kMinKeyLoad) counts[ShardKey(key)] = current * kScale;
  }
  return counts;
}

void decay_key_loads(State& state, TimePoint now) {
  for (auto& [service, key_load] : state.key_loads) {
    Duration elapsed = now - key_load.decayed_at;
    if (elapsed < kDecayInterval) continue;
    key_load.decayed_at = now;
    for (auto it = key_load.request_counts.begin();
         it != key_load.request_counts.end();) {
      it->second = decayed_value(it->second, elapsed, config::kKeyLoadHalfLife);
      if (it->second >= kMinKeyLoad) {
        ++it;
        continue;
      }
      key_load.recent_counts.erase(it->first);
      it = key_load.request_counts.erase(it);
    }
  }
}

}  // namespace eelgrasspin::fleet
