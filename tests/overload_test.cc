#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <vector>

#include "tests/request_world.h"

namespace eelgrasspin {
namespace {

using fixtures::kDaemons;
using fixtures::make_declarations;
using fixtures::make_head;
using fixtures::make_started_world;
using scenario::RequestSerial;
using scenario::run_for;
using scenario::schedule;
using scenario::send_request;
using scenario::World;

constexpr Duration kServiceTime = milliseconds(20);
constexpr int kServers = 2;
constexpr Duration kLoadDuration = seconds(10);
constexpr Duration kCallerRetryPause = milliseconds(200);
constexpr int kCallerAttempts = 4;

struct OfferedLoad {
  double load_factor = 1;  ///< Offered rate over the servers' capacity.
  bool callers_retry = false;
};

struct Measurement {
  double goodput = 0;  ///< Answered requests per second.
  Duration p50{0};
  Duration p99{0};
  double unanswered_share = 0;  ///< Share of requests sent.
  double wasted_share = 0;  ///< Share of executions whose caller had no answer.
};

void send_with_retries(World& world, int number, int attempts_left) {
  RequestHead head = make_head("GET", number % 997, "", number);
  head.caller = CallerName("caller-" + std::to_string(number % 5));
  RequestSerial serial =
      send_request(world, kDaemons[number % kDaemons.size()], head);
  if (attempts_left <= 1) return;
  schedule(world, milliseconds(1100) + kCallerRetryPause,
           [serial, number, attempts_left](World& w) {
             if (w.requests.at(serial).outcome != Outcome::kAnswered)
               send_with_retries(w, number, attempts_left - 1);
           });
}

Measurement measure(World world, const OfferedLoad& offered) {
  double capacity =
      kServers * 2 * 1e6 / static_cast<double>(kServiceTime.count());
  Duration interval(
      static_cast<Duration::rep>(1e6 / (capacity * offered.load_factor)));
  Duration start = world.now;
  int attempts_left = offered.callers_retry ? kCallerAttempts : 1;
  int number = 0;
  for (Duration at{0}; at < kLoadDuration; at += interval) {
    ++number;
    schedule(world, at, [number, attempts_left](World& w) {
      send_with_retries(w, number, attempts_left);
    });
  }
  run_for(world, kLoadDuration);
  Duration end = world.now;
  run_for(world, seconds(3));
  std::vector<Duration> latencies;
  std::uint64_t sent = 0;
  for (const auto& [serial, request] : world.requests) {
    if (request.sent < start) continue;
    ++sent;
    bool counts = request.outcome == Outcome::kAnswered && request.ended <= end;
    if (counts) latencies.push_back(request.ended - request.sent);
  }
  std::uint64_t wasted = 0;
  for (const auto& execution : world.executions)
    wasted += world.requests.at(execution.serial).outcome != Outcome::kAnswered;
  std::sort(latencies.begin(), latencies.end());
  EXPECT_EQ(check_run(world), std::vector<std::string>());
  return {static_cast<double>(latencies.size()) / 10,
          latencies[latencies.size() / 2],
          latencies[latencies.size() * 99 / 100],
          1 - static_cast<double>(latencies.size()) / static_cast<double>(sent),
          static_cast<double>(wasted) /
              static_cast<double>(world.executions.size())};
}

World make_loaded_world() {
  Declarations declared = make_declarations(kServers / 2);
  World world = make_started_world(declared);
  for (auto& [name, server] : world.servers) server.service_time = kServiceTime;
  return world;
}

TEST(Overload, GoodputStaysWithinFivePercentOfTheBest) {
  const World fresh = make_loaded_world();
  for (bool retry : {false, true}) {
    double best = 0;
    double last = 0;
    for (double load_factor : {0.5, 0.8, 1.0, 1.5, 2.0, 5.0, 10.0}) {
      Measurement m = measure(fresh, {load_factor, retry});
      std::printf(
          "%4.1fx %-7s goodput %6.1f/s p50 %4ld ms p99 %4ld ms "
          "not answered %5.1f %% late work %4.1f %%\n",
          load_factor, retry ? "retries" : "single", m.goodput,
          static_cast<long>(to_ms(m.p50)), static_cast<long>(to_ms(m.p99)),
          100 * m.unanswered_share, 100 * m.wasted_share);
      best = std::max(best, m.goodput);
      last = m.goodput;
    }
    EXPECT_GE(last, 0.95 * best);
  }
}

}  // namespace
}  // namespace eelgrasspin
