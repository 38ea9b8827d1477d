#include "fleet/learning.h"

#include <algorithm>
#include <cmath>

#include "fleet/duration.h"

namespace eelgrasspin::fleet {
namespace {

/// A server that has just started is assumed to take this many times as long.
constexpr double kColdFactor = 2.0;
/// KeyLoadReport below this is dropped.
constexpr double kLeastHeat = 0.05;
constexpr Duration kDecayInterval = milliseconds(500);

double halved(double value, Duration elapsed, Duration half_life) {
  return value * std::exp2(-static_cast<double>(elapsed.count()) /
                           static_cast<double>(half_life.count()));
}

Duration mean_towards(Duration mean, Duration sample) {
  if (mean.count() == 0) return sample;
  double moved =
      static_cast<double>(mean.count()) +
      config::kServiceTimeGain * static_cast<double>((sample - mean).count());
  return Duration(static_cast<Duration::rep>(moved));
}

double success_now(const ServerState& server, TimePoint now) {
  double missing = 1.0 - server.success;
  return 1.0 -
         halved(missing, now - server.success_at, config::kFailureHalfLife);
}

}  // namespace

Duration service_time(const State& state, const ServerState& server,
                      TimePoint now) {
  Duration expected = config::kServiceTimeStart;
  auto stats = state.stats.find(server.server.service);
  if (stats != state.stats.end() && stats->second.service_time.count() > 0) {
    expected = stats->second.service_time;
  }
  bool cold = now - server.seen < server.server.warm_up_left;
  if (server.service_time.count() > 0) return server.service_time;
  return cold ? scaled(expected, kColdFactor) : expected;
}

Candidate candidate_of(const State& state, const ServerState& server,
                       TimePoint now) {
  return {server.server.name,
          distance_to(state, server.server.zone),
          server.server.slots,
          load_at(state, server, now),
          service_time(state, server, now),
          success_now(server, now)};
}

void learn_latency(State& state, ServerState& server, Duration latency,
                   std::uint32_t load, TimePoint now) {
  // Only a request that found a free slot shows the time of service alone.
  if (load >= server.server.slots) return;
  server.service_time = mean_towards(server.service_time, latency);
  server.answer_count = halved(server.answer_count, now - server.answers_at,
                               config::kHeatHalfLife) +
                        1;
  server.answers_at = now;
  ServiceStats& stats = state.stats[server.server.service];
  stats.service_time = mean_towards(stats.service_time, latency);
}

void learn_outcome(ServerState& server, bool useful, TimePoint now) {
  double success = success_now(server, now);
  server.success =
      success + config::kOutcomeGain * ((useful ? 1.0 : 0.0) - success);
  server.success_at = now;
}

void count_key(State& state, const ServiceName& service, ShardKey key,
               TimePoint now) {
  HeatState& heat = state.heat[service];
  if (heat.weights.empty()) heat.decayed = now;
  heat.weights[key.value] += 1.0;
}

void decay_heat(State& state, TimePoint now) {
  for (auto& [service, heat] : state.heat) {
    Duration elapsed = now - heat.decayed;
    if (elapsed < kDecayInterval) continue;
    heat.decayed = now;
    for (auto it = heat.weights.begin(); it != heat.weights.end();) {
      it->second = halved(it->second, elapsed, config::kHeatHalfLife);
      it = it->second < kLeastHeat ? heat.weights.erase(it) : std::next(it);
    }
  }
}

}  // namespace eelgrasspin::fleet
