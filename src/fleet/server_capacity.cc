#include "fleet/server_capacity.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "fleet/config.h"
#include "fleet/duration.h"

namespace eelgrasspin::fleet {
namespace {

constexpr std::size_t kLevels = LoadCurve::kLevels;
/// Variance of the logarithms of latencies that is assumed at first.
constexpr double kInitialVariance = 0.25;
/// The same for work times that a server states, which hardly vary.
constexpr double kInitialStatedVariance = 0.01;
/// Answers that the assumed variance is worth.
constexpr double kVariancePriorCount = 4.0;
/// Share of the best score from which on the lowest limit is preferred: the
/// best score alone gave 4.2 requests for a slow-down from 3 of 6 on.
constexpr double kNearlyBestScore = 0.85;
/// Answers over which the variance is averaged.
constexpr double kMaxVarianceCount = 80.0;
/// Weight of one statement in the moving average of work time ratios; that of
/// one answer in the service time.
constexpr double kRatioSampleWeight = config::kServiceTimeSampleWeight;
/// Work time in milliseconds by which a stated ratio of 1 enters the curve.
constexpr double kStatedUnitMs = 100.0;

std::size_t level_of(std::uint32_t running, std::uint32_t slots) {
  std::size_t index = std::max(running, 1U) - 1;
  if (slots > kLevels) index = index * kLevels / slots;
  return std::min(index, kLevels - 1);
}

std::size_t level_count(std::uint32_t slots) {
  return std::min<std::size_t>(std::max(slots, 1U), kLevels);
}

/// The highest number of requests in the level.
std::uint32_t highest_of(std::size_t level, std::uint32_t slots) {
  if (slots <= kLevels) return static_cast<std::uint32_t>(level + 1);
  return static_cast<std::uint32_t>(((level + 1) * slots + kLevels - 1) /
                                    kLevels);
}

double decay_factor(Duration elapsed, Duration half_life) {
  return std::exp2(-static_cast<double>(elapsed.count()) /
                   static_cast<double>(half_life.count()));
}

void decay(LoadCurve& curve, TimePoint& decayed_at, std::uint32_t slots,
           TimePoint now) {
  Duration elapsed = now - decayed_at;
  decayed_at = now;
  if (elapsed.count() <= 0) return;
  double low = decay_factor(elapsed, config::kLowLoadHalfLife);
  double high = decay_factor(elapsed, config::kHighLoadHalfLife);
  for (std::size_t i = 0; i < kLevels; ++i) {
    bool lower_half =
        2 * (i + 1) <= std::max<std::size_t>(level_count(slots), 2);
    curve.levels[i].answer_count *= lower_half ? low : high;
  }
}

void add_to_level(LoadCurve::Level& level, const LoadCurve::Level& added) {
  level.answer_count += added.answer_count;
  level.mean_log += (added.mean_log - level.mean_log) * added.answer_count /
                    level.answer_count;
}

struct Pool {
  double answer_count = 0;
  double mean_log = 0;
  double mean_running = 0;

  void add(const LoadCurve::Level& level, double running) {
    if (level.answer_count <= 0) return;
    answer_count += level.answer_count;
    double share = level.answer_count / answer_count;
    mean_log += share * (level.mean_log - mean_log);
    mean_running += share * (running - mean_running);
  }
};

struct Verdict {
  std::uint32_t concurrency = 0;  ///< The slots if nothing shows a slow-down.
  /// Whether there were answers with more requests than `above`.
  bool seen_above = false;
};

/// The number of requests above which times grow so much that more of them are
/// not worth it. Running n instead of k requests is taken to be worth it while
/// the time grows by less than the square root of n / k, so that throughput
/// divided by latency does not fall.
void judge(const MeasuredCurve& measured, double assumed_variance,
           std::uint32_t slots, std::uint32_t above, double errors,
           Verdict& verdict) {
  double variance = (measured.variance * measured.variance_count +
                     assumed_variance * kVariancePriorCount) /
                    (measured.variance_count + kVariancePriorCount);
  std::array<double, kLevels> scores{};
  double best = errors;
  std::size_t count = level_count(slots);
  for (std::size_t split = 1; split < count; ++split) {
    Pool low;
    Pool high;
    for (std::size_t i = 0; i < count; ++i) {
      (i < split ? low : high)
          .add(measured.curve.levels[i], highest_of(i, slots));
    }
    if (high.answer_count < config::kMinCurveAnswers ||
        low.answer_count < config::kMinCurveAnswers) {
      continue;
    }
    std::uint32_t limit = highest_of(split - 1, slots);
    if (limit >= above) verdict.seen_above = true;
    double worth = 0.5 * std::log(high.mean_running / limit);
    double error =
        std::sqrt(variance * (1 / low.answer_count + 1 / high.answer_count));
    scores[split] = (high.mean_log - low.mean_log - worth) / error;
    best = std::max(best, scores[split]);
  }
  if (best <= errors) return;
  // Where latencies grow gradually, several splits score almost equally.
  std::size_t split = 1;
  while (scores[split] < kNearlyBestScore * best) ++split;
  verdict.concurrency =
      std::min(verdict.concurrency, highest_of(split - 1, slots));
}

void lower(ServerCapacity& capacity, std::uint32_t limit, TimePoint now) {
  if (capacity.raised_last) {
    capacity.probe_interval =
        std::min(2 * capacity.probe_interval, config::kMaxProbeInterval);
  }
  capacity.learned = limit;
  capacity.changed_at = now;
  capacity.raised_last = false;
}

void raise(ServerCapacity& capacity, std::uint32_t slots, TimePoint now) {
  if (capacity.raised_last) {
    capacity.probe_interval =
        std::max(capacity.probe_interval / 2, config::kProbeInterval);
  }
  capacity.raised_last = true;
  capacity.changed_at = now;
  if (++capacity.learned >= slots) capacity.learned = 0;
}

void update_learned(ServerCapacity& capacity, std::uint32_t slots,
                    TimePoint now) {
  if (capacity.probe_interval.count() == 0)
    capacity.probe_interval = config::kProbeInterval;
  bool limited = capacity.learned > 0 && capacity.learned < slots;
  std::uint32_t present = limited ? capacity.learned : slots;
  double errors =
      limited ? config::kKeepLimitErrors : config::kFirstLimitErrors;
  Verdict verdict{slots, false};
  judge(capacity.latencies, kInitialVariance, slots, present, errors, verdict);
  judge(capacity.work_times, kInitialStatedVariance, slots, present, errors,
        verdict);
  if (verdict.concurrency < present)
    return lower(capacity, verdict.concurrency, now);
  if (!limited || verdict.concurrency == present) return;
  Duration interval =
      verdict.seen_above ? config::kRaiseInterval : capacity.probe_interval;
  if (now - capacity.changed_at >= interval) raise(capacity, slots, now);
}

void add_answers(MeasuredCurve& measured, std::size_t index,
                 LoadCurve::Level added, bool forward, std::uint32_t slots,
                 TimePoint now) {
  decay(measured.curve, measured.curve_at, slots, now);
  LoadCurve::Level& level = measured.curve.levels[index];
  if (level.answer_count >= 1) {
    double furthest = std::log(config::kMaxLatencyRatio);
    added.mean_log = std::clamp(added.mean_log, level.mean_log - furthest,
                                level.mean_log + furthest);
    double difference = added.mean_log - level.mean_log;
    measured.variance_count =
        std::min(measured.variance_count + 1, kMaxVarianceCount);
    measured.variance +=
        (added.answer_count * difference * difference - measured.variance) /
        measured.variance_count;
  }
  add_to_level(level, added);
  if (!forward) return;
  decay(measured.unsent, measured.unsent_at, slots, now);
  add_to_level(measured.unsent.levels[index], added);
}

void add_curve(MeasuredCurve& measured, const LoadCurve& curve, bool forward,
               std::uint32_t slots, TimePoint now) {
  for (std::size_t i = 0; i < level_count(slots); ++i) {
    if (curve.levels[i].answer_count > 0)
      add_answers(measured, i, curve.levels[i], forward, slots, now);
  }
}

double stated_weight(const ServerCapacity& capacity, TimePoint now) {
  Duration age = now - capacity.stated_at;
  if (!capacity.stated || age > config::kMaxStatedLoadAge) return 0;
  return decay_factor(age, config::kStatedLoadHalfLife);
}

}  // namespace

void record_answer(ServerCapacity& capacity, Duration latency,
                   std::uint32_t running, std::uint32_t slots, TimePoint now) {
  if (running > slots || latency.count() <= 0) return;
  double log_ms = std::log(static_cast<double>(latency.count()) / 1e3);
  add_answers(capacity.latencies, level_of(running, slots), {1, log_ms}, true,
              slots, now);
  update_learned(capacity, slots, now);
}

void record_statement(ServerCapacity& capacity, const ServerLoadReport& stated,
                      std::uint32_t in_flight, std::uint32_t slots,
                      TimePoint now) {
  capacity.stated = stated;
  capacity.stated_at = now;
  capacity.in_flight_at_statement = in_flight;
  if (stated.work_time_ratio <= 0) return;
  double& mean = capacity.mean_work_time_ratio;
  mean = mean == 0
             ? stated.work_time_ratio
             : mean + kRatioSampleWeight * (stated.work_time_ratio - mean);
  std::size_t level = level_of(std::min(stated.running, slots), slots);
  double log_ms = std::log(stated.work_time_ratio * kStatedUnitMs);
  add_answers(capacity.work_times, level, {1, log_ms}, true, slots, now);
  update_learned(capacity, slots, now);
}

void record_rejection(ServerCapacity& capacity, std::uint32_t slots,
                      TimePoint now) {
  if (capacity.rejection > 0 &&
      now - capacity.rejected_at < config::kRejectionInterval) {
    return;
  }
  double present = own_concurrency(capacity, slots, now);
  double least = std::ceil(slots * config::kRejectionFloorShare);
  capacity.rejection = static_cast<std::uint32_t>(
      std::max({1.0, least, std::floor(present * config::kRejectionFactor)}));
  capacity.rejected_at = now;
}

void add_curves(ServerCapacity& capacity, const LoadCurve& latencies,
                const LoadCurve& work_times, bool forward, std::uint32_t slots,
                TimePoint now) {
  add_curve(capacity.latencies, latencies, forward, slots, now);
  add_curve(capacity.work_times, work_times, forward, slots, now);
  update_learned(capacity, slots, now);
}

void adopt_shared(ServerCapacity& capacity, std::uint32_t concurrency,
                  TimePoint now) {
  capacity.shared = concurrency;
  capacity.shared_at = now;
}

LoadCurve take_unsent(MeasuredCurve& measured) {
  return std::exchange(measured.unsent, LoadCurve());
}

bool has_answers(const LoadCurve& curve) {
  return std::any_of(
      curve.levels.begin(), curve.levels.end(),
      [](const LoadCurve::Level& level) { return level.answer_count > 0; });
}

std::uint32_t own_concurrency(const ServerCapacity& capacity,
                              std::uint32_t slots, TimePoint now) {
  slots = std::max(slots, 1U);
  std::uint32_t limit = capacity.learned == 0 ? slots : capacity.learned;
  if (capacity.rejection > 0) {
    auto steps = (now - capacity.rejected_at) / config::kRejectionRecovery;
    limit =
        std::min(limit, capacity.rejection +
                            static_cast<std::uint32_t>(std::min<std::int64_t>(
                                std::max<std::int64_t>(steps, 0), slots)));
  }
  return std::clamp(limit, 1U, slots);
}

std::uint32_t concurrency(const ServerCapacity& capacity, std::uint32_t slots,
                          TimePoint now) {
  bool shared = capacity.shared_at &&
                now - *capacity.shared_at < config::kMaxSharedCapacityAge;
  if (!shared) return own_concurrency(capacity, slots, now);
  // The coordinator sees the answers of all daemons, but no rejections.
  ServerCapacity all = capacity;
  all.learned = capacity.shared;
  return own_concurrency(all, slots, now);
}

std::uint32_t present_load(const ServerCapacity& capacity,
                           std::uint32_t reported, std::uint32_t in_flight,
                           TimePoint now) {
  double weight = stated_weight(capacity, now);
  if (weight <= 0) return reported;
  double stated = static_cast<double>(capacity.stated->running) +
                  capacity.stated->waiting + in_flight -
                  capacity.in_flight_at_statement;
  // The daemon's own requests are certainly there.
  stated = std::max(stated, static_cast<double>(in_flight));
  double load = weight * stated + (1 - weight) * reported;
  return static_cast<std::uint32_t>(std::lround(load));
}

Duration present_service_time(const ServerCapacity& capacity, Duration average,
                              TimePoint now) {
  double weight = stated_weight(capacity, now);
  if (weight <= 0 || capacity.mean_work_time_ratio <= 0 ||
      capacity.stated->work_time_ratio <= 0) {
    return average;
  }
  double ratio =
      capacity.stated->work_time_ratio / capacity.mean_work_time_ratio;
  return scaled(average, 1 + weight * (ratio - 1));
}

}  // namespace eelgrasspin::fleet
