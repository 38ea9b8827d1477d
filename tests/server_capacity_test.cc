#include "fleet/server_capacity.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

#include "fleet/choice.h"
#include "fleet/config.h"
#include "fleet/duration.h"

/// The concurrency that one daemon learns of one server.
namespace eelgrasspin::fleet {
namespace {

constexpr std::uint32_t kSlots = 6;
constexpr double kUsualMs = 480;

/// A server that is sent a random number of requests at once, and latencies as
/// the platform states them: log-normal, 2 % take 3 to 7 times as long.
class Play {
 public:
  explicit Play(std::uint32_t seed, std::uint32_t slots = kSlots)
      : slots_(slots), random_(seed) {}

  double speed = 1.0;
  /// Requests at once above which work slows down; 0: it does not.
  std::uint32_t knee = 0;
  double slope = 1.5;  ///< Growth of the latency from the knee to the slots.
  double per_second = 10;  ///< Answers that this daemon learns of.
  bool states_load = false;
  std::uint32_t least_load = 1;
  std::uint32_t most_load = 0;  ///< 0: the slots.
  ServerCapacity capacity;

  std::uint32_t limit() const { return concurrency(capacity, slots_, now_); }
  TimePoint now() const { return now_; }
  double slow_down(std::uint32_t running) const {
    if (knee == 0 || running <= knee || knee >= slots_) return 1.0;
    return 1.0 + slope * (running - knee) / (slots_ - knee);
  }

  /// Limits seen every 100 ms. Callers keep to the limit and its queue places.
  std::vector<std::uint32_t> run_for(Duration duration) {
    std::vector<std::uint32_t> limits;
    TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(100);
      std::poisson_distribution<int> answers(per_second / 10);
      for (int i = answers(random_); i > 0; --i) answer();
      limits.push_back(limit());
    }
    return limits;
  }

 private:
  void answer() {
    std::uint32_t most = most_load == 0 ? slots_ : most_load;
    most = std::min(most, limit() + config::kMaxServerQueue);
    std::uint32_t running = std::uniform_int_distribution<std::uint32_t>(
        std::min(least_load, most), most)(random_);
    double factor = std::lognormal_distribution<double>(0, 0.4)(random_);
    if (std::uniform_real_distribution<double>(0, 1)(random_) < 0.02)
      factor *= std::uniform_real_distribution<double>(3, 7)(random_);
    double work = slow_down(running) / speed;
    if (states_load) {
      record_statement(capacity, {running, 0, slots_, work}, 0, slots_, now_);
    }
    record_answer(
        capacity,
        Duration(static_cast<Duration::rep>(kUsualMs * 1e3 * work * factor)),
        running, slots_, now_);
  }

  std::uint32_t slots_;
  std::mt19937 random_;
  TimePoint now_{seconds(1000)};
};

double mean(const std::vector<std::uint32_t>& limits) {
  double sum = 0;
  for (std::uint32_t limit : limits) sum += limit;
  return sum / static_cast<double>(limits.size());
}

std::size_t reversals(const std::vector<std::uint32_t>& limits) {
  std::size_t count = 0;
  int last = 0;
  for (std::size_t i = 1; i < limits.size(); ++i) {
    int direction = limits[i] > limits[i - 1] ? 1 : -1;
    if (limits[i] == limits[i - 1]) continue;
    if (last != 0 && direction != last) ++count;
    last = direction;
  }
  return count;
}

/// Guards against a limit that never follows a server which slows down at half
/// of its slots. Load: 10 answers a second at 1 to 6 requests at once.
TEST(ServerCapacity, LimitFollowsASlowDownAtHalfOfTheSlots) {
  double sum = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Play play(seed);
    play.knee = 3;
    play.run_for(seconds(10));
    double average = mean(play.run_for(seconds(20)));
    EXPECT_LT(average, 5.0) << seed;
    EXPECT_GT(average, 2.0) << seed;
    sum += average;
  }
  EXPECT_LT(sum / 20, 4.3);
}

/// Guards against latencies without any trend being read as a slow-down: they
/// vary widely, and speeds differ between servers.
TEST(ServerCapacity, NoiseWithoutATrendDoesNotLowerTheLimit) {
  double sum = 0;
  std::size_t below = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    Play play(seed, seed % 2 == 0 ? 3 : kSlots);
    play.speed = seed % 3 == 0 ? 0.5 : 1.6;
    for (std::uint32_t limit : play.run_for(seconds(60))) {
      std::uint32_t slots = seed % 2 == 0 ? 3 : kSlots;
      sum += static_cast<double>(limit) / slots;
      if (limit < slots) ++below;
    }
  }
  EXPECT_GT(sum / 24000, 0.98);
  EXPECT_LT(static_cast<double>(below) / 24000, 0.04);
}

/// Guards against a lasting limit after the slow-down has ended.
TEST(ServerCapacity, LimitIsLiftedWithinSecondsOnceTheServerIsFastAgain) {
  double sum = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Play play(seed);
    play.knee = 3;
    play.run_for(seconds(20));
    play.knee = 0;
    int tenths = 0;
    while (play.limit() < kSlots && tenths < 300) {
      play.run_for(milliseconds(100));
      ++tenths;
    }
    EXPECT_LE(tenths, 200) << seed;
    sum += tenths / 10.0;
  }
  EXPECT_LT(sum / 20, 10.0);
}

/// Guards against a limit that swings between the slots and the floor.
TEST(ServerCapacity, LimitDoesNotOscillate) {
  std::size_t total = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Play play(seed);
    play.knee = 3;
    play.run_for(seconds(10));
    auto limits = play.run_for(seconds(60));
    std::size_t low = 0;
    for (std::uint32_t limit : limits) low += limit <= 1 ? 1 : 0;
    EXPECT_LT(low, limits.size() / 4) << seed;
    total += reversals(limits);
  }
  EXPECT_LT(static_cast<double>(total) / 20, 24.0);
}

/// Guards against needing many answers where the server states its work time.
TEST(ServerCapacity, StatedWorkTimesAreEnoughAfterAFewAnswers) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Play play(seed, 3);
    play.knee = 1;
    play.states_load = true;
    play.run_for(seconds(4));
    EXPECT_LT(mean(play.run_for(seconds(10))), 2.2) << seed;
  }
}

/// Guards against a server that is never sent anything again, however slow.
TEST(ServerCapacity, LimitStaysBetweenOneAndTheSlots) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Play play(seed, 3);
    play.knee = 1;
    play.slope = 20;
    for (int i = 0; i < 100; ++i) {
      play.run_for(milliseconds(100));
      record_rejection(play.capacity, 3, play.now());
      EXPECT_GE(play.limit(), 1u);
      EXPECT_LE(play.limit(), 3u);
    }
  }
}

TEST(ServerCapacity, RejectionsLowerTheLimitAtOnceButNotBelowHalf) {
  ServerCapacity capacity;
  TimePoint now{seconds(1000)};
  record_rejection(capacity, kSlots, now);
  EXPECT_EQ(concurrency(capacity, kSlots, now), 4u);
  record_rejection(capacity, kSlots, now);
  EXPECT_EQ(concurrency(capacity, kSlots, now), 4u) << "once per interval";
  for (int i = 0; i < 10; ++i) {
    now += config::kRejectionInterval;
    record_rejection(capacity, kSlots, now);
  }
  EXPECT_EQ(concurrency(capacity, kSlots, now), 3u);
  now += config::kRejectionRecovery;
  EXPECT_EQ(concurrency(capacity, kSlots, now), 4u);
  now += 2 * config::kRejectionRecovery;
  EXPECT_EQ(concurrency(capacity, kSlots, now), kSlots);
}

TEST(ServerCapacity, LimitOfTheCoordinatorReplacesTheOwnWhileItIsFresh) {
  ServerCapacity capacity;
  TimePoint now{seconds(1000)};
  adopt_shared(capacity, 2, now);
  EXPECT_EQ(concurrency(capacity, kSlots, now), 2u);
  EXPECT_EQ(own_concurrency(capacity, kSlots, now), kSlots);
  now += config::kMaxSharedCapacityAge;
  EXPECT_EQ(concurrency(capacity, kSlots, now), kSlots)
      << "a lost coordinator's limits do not stay for ever";
}

/// Load that daemons report is up to 500 ms old.
TEST(ServerCapacity, StatedLoadCountsForAboutASecond) {
  ServerCapacity capacity;
  TimePoint now{seconds(1000)};
  EXPECT_EQ(present_load(capacity, 3, 1, now), 3u) << "nothing was stated";
  record_statement(capacity, {6, 2, kSlots, 2.0}, 1, kSlots, now);
  EXPECT_EQ(present_load(capacity, 3, 1, now), 8u);
  EXPECT_EQ(present_load(capacity, 3, 3, now), 10u)
      << "two more were sent since";
  EXPECT_EQ(present_load(capacity, 3, 1, now + config::kStatedLoadHalfLife),
            6u);
  EXPECT_EQ(present_load(capacity, 3, 1, now + seconds(2)), 3u);
}

TEST(ServerCapacity, StatedWorkTimeScalesTheServiceTime) {
  ServerCapacity capacity;
  TimePoint now{seconds(1000)};
  Duration usual = milliseconds(100);
  EXPECT_EQ(present_service_time(capacity, usual, now), usual);
  for (int i = 0; i < 40; ++i)
    record_statement(capacity, {1, 0, 3, 1.0}, 0, 3, now);
  record_statement(capacity, {3, 0, 3, 2.0}, 0, 3, now);
  EXPECT_GT(present_service_time(capacity, usual, now), milliseconds(160));
  EXPECT_EQ(present_service_time(capacity, usual, now + seconds(2)), usual);
}

/// Guards against a coordinator that counts the same answers twice.
TEST(ServerCapacity, AnswersAreReportedOnce) {
  ServerCapacity own;
  ServerCapacity coordinator;
  TimePoint now{seconds(1000)};
  record_answer(own, milliseconds(100), 2, kSlots, now);
  LoadCurve sent = take_unsent(own.latencies);
  EXPECT_DOUBLE_EQ(sent.levels[1].answer_count, 1.0);
  EXPECT_FALSE(has_answers(take_unsent(own.latencies)));
  add_curves(coordinator, sent, {}, false, kSlots, now);
  EXPECT_DOUBLE_EQ(coordinator.latencies.curve.levels[1].answer_count, 1.0);
  EXPECT_FALSE(has_answers(coordinator.latencies.unsent));
}

/// Guards against counting a wait for a slot as a slow-down.
TEST(ServerCapacity, LatenciesAboveTheSlotsDoNotCount) {
  ServerCapacity capacity;
  TimePoint now{seconds(1000)};
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(50);
    record_answer(capacity, milliseconds(100), 1 + i % 6, kSlots, now);
    record_answer(capacity, milliseconds(900), kSlots + 1, kSlots, now);
  }
  EXPECT_EQ(concurrency(capacity, kSlots, now), kSlots);
}

TEST(ServerCapacity, ManySlotsShareTheLevels) {
  ServerCapacity capacity;
  TimePoint now{seconds(1000)};
  for (std::uint32_t i = 0; i < 400; ++i) {
    now += milliseconds(20);
    std::uint32_t running = 1 + i % 32;
    record_answer(capacity, milliseconds(running <= 16 ? 100 : 300), running,
                  32, now);
  }
  EXPECT_EQ(concurrency(capacity, 32, now), 16u);
}

TEST(ServerCapacity, ChoiceKeepsToTheConcurrency) {
  Candidate candidate{
      ServerName("s"), Distance::kSameZone, kSlots, 3, milliseconds(100), 1.0};
  EXPECT_EQ(expected_wait(candidate), Duration(0));
  candidate.concurrency = 3;
  EXPECT_GT(expected_wait(candidate), Duration(0));
  candidate.load = 3 + config::kMaxServerQueue;
  EXPECT_FALSE(has_room(candidate, seconds(10)));
  candidate.concurrency = 0;
  EXPECT_TRUE(has_room(candidate, seconds(10)));
  candidate.concurrency = 2 * kSlots;
  EXPECT_EQ(usable_slots(candidate), kSlots);
}

}  // namespace
}  // namespace eelgrasspin::fleet
