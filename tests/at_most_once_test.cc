#include <gtest/gtest.h>

#include <iostream>

#include "tests/request_world.h"

namespace eelgrasspin {
namespace {

using fixtures::executions_of;
using fixtures::expect_no_violations;
using fixtures::kDaemons;
using fixtures::make_declarations;
using fixtures::make_head;
using fixtures::make_started_world;
using fixtures::outcome_of;
using scenario::RequestSerial;
using scenario::run_for;
using scenario::send_request;
using scenario::World;

TEST(AtMostOnce, RepeatsThroughAnyDaemonRunOnce) {
  World world = make_started_world(make_declarations(1));
  RequestSerial first =
      send_request(world, kDaemons[0], make_head("POST", 1, "a"));
  run_for(world, seconds(2));
  EXPECT_EQ(outcome_of(world, first), "answered");
  for (const DaemonName& daemon : kDaemons) {
    RequestSerial again =
        send_request(world, daemon, make_head("POST", 1, "a"));
    run_for(world, seconds(2));
    EXPECT_EQ(outcome_of(world, again), "not run: repeat_answered");
  }
  RequestSerial other =
      send_request(world, kDaemons[1], make_head("POST", 1, "a", 9));
  run_for(world, seconds(2));
  EXPECT_EQ(outcome_of(world, other), "not run: idempotency_key_invalid");
  EXPECT_EQ(executions_of(world, "a"), 1U);
  expect_no_violations(world);
}

TEST(AtMostOnce, RepeatsAtTheSameTimeRunOnce) {
  World world = make_started_world(make_declarations(1));
  std::vector<RequestSerial> serials;
  serials.reserve(kDaemons.size());
  for (const DaemonName& daemon : kDaemons)
    serials.push_back(send_request(world, daemon, make_head("POST", 1, "a")));
  run_for(world, seconds(2));
  int answered = 0;
  for (RequestSerial serial : serials)
    answered += outcome_of(world, serial) == "answered" ? 1 : 0;
  EXPECT_EQ(answered, 1);
  EXPECT_EQ(executions_of(world, "a"), 1U);
  expect_no_violations(world);
}

/// Kills all daemons right after an operation was sent, restarts them and sends
/// a repeat. Returns the outcome of the repeat.
std::string repeat_outcome_after_total_loss(core::Guards guards,
                                            std::uint64_t& executions) {
  World world = make_started_world(make_declarations(1), 1, guards);
  for (auto& [name, server] : world.servers)
    server.service_time = milliseconds(100);
  send_request(world, kDaemons[0], make_head("POST", 1, "a"));
  run_for(world, milliseconds(80));
  for (const DaemonName& daemon : kDaemons) kill_daemon(world, daemon);
  run_for(world, seconds(5));
  for (const DaemonName& daemon : kDaemons) start_daemon(world, daemon);
  run_for(world, seconds(30));
  RequestSerial again =
      send_request(world, kDaemons[2], make_head("POST", 1, "a"));
  run_for(world, seconds(3));
  executions = executions_of(world, "a");
  return outcome_of(world, again);
}

TEST(AtMostOnce, IntentsOutliveEveryDaemon) {
  std::uint64_t executions = 0;
  EXPECT_EQ(repeat_outcome_after_total_loss({}, executions),
            "unknown: repeat_outcome_unknown");
  EXPECT_EQ(executions, 1U);
}

TEST(AtMostOnce, WithoutTheIntentTheRepeatRunsTwice) {
  core::Guards guards;
  guards.record_intent = false;
  std::uint64_t executions = 0;
  repeat_outcome_after_total_loss(guards, executions);
  EXPECT_EQ(executions, 2U);
}

TEST(AtMostOnce, IsRefusedAsNotRunWhileTheStoreIsDown) {
  World world = make_started_world(make_declarations(1));
  store_down(world);
  RequestSerial lodged =
      send_request(world, kDaemons[0], make_head("POST", 1, "a"));
  RequestSerial read = send_request(world, kDaemons[0], make_head("GET", 1));
  run_for(world, seconds(2));
  EXPECT_EQ(outcome_of(world, lodged), "not run: intent_not_recorded");
  EXPECT_EQ(outcome_of(world, read), "answered");
  store_up(world);
  run_for(world, seconds(10));
  RequestSerial again =
      send_request(world, kDaemons[0], make_head("POST", 1, "a"));
  run_for(world, seconds(2));
  EXPECT_EQ(outcome_of(world, again), "answered");
  expect_no_violations(world);
}

TEST(AtMostOnce, ALostStoreAnswerIsSettledBeforeTheSend) {
  World world = make_started_world(make_declarations(1));
  world.store.answers_to_lose = 2;
  RequestSerial lodged =
      send_request(world, kDaemons[0], make_head("POST", 1, "a"));
  run_for(world, seconds(2));
  RequestSerial again =
      send_request(world, kDaemons[0], make_head("POST", 1, "a"));
  run_for(world, seconds(3));
  EXPECT_LE(executions_of(world, "a"), 1U);
  EXPECT_NE(outcome_of(world, lodged), "open");
  EXPECT_NE(outcome_of(world, again), "open");
  expect_no_violations(world);
}

/// Group commit: prints the store writes per 1,000 operations at two rates.
TEST(AtMostOnce, WritesPerThousandOperationsFallWithTheRate) {
  for (Duration interval : {milliseconds(20), milliseconds(1)}) {
    World world = make_started_world(make_declarations(8));
    std::uint64_t before = world.store.writes;
    std::vector<RequestSerial> serials;
    constexpr int kOperations = 1000;
    for (int i = 0; i < kOperations; ++i) {
      serials.push_back(send_request(world, kDaemons[i % 4],
                                     make_head("POST", i, std::to_string(i))));
      run_for(world, interval);
    }
    run_for(world, seconds(2));
    std::uint64_t writes = world.store.writes - before;
    std::map<std::string, int> outcomes;
    std::vector<Duration> latencies;
    for (RequestSerial serial : serials) {
      ++outcomes[outcome_of(world, serial)];
      const auto& request = world.requests.at(serial);
      latencies.push_back(request.ended - request.sent);
    }
    std::sort(latencies.begin(), latencies.end());
    std::cout << "gap " << interval.count() << " us: " << writes
              << " store writes in all, p50 "
              << latencies[latencies.size() / 2].count() << " us, p99 "
              << latencies[latencies.size() * 99 / 100].count() << " us";
    for (const auto& [outcome, count] : outcomes)
      std::printf(", %s %d", outcome.c_str(), count);
    std::printf("\n");
    EXPECT_EQ(outcomes["answered"], kOperations);
    expect_no_violations(world);
  }
}

}  // namespace
}  // namespace eelgrasspin
