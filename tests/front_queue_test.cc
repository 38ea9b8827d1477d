#include <gtest/gtest.h>

#include "core/request/requests.h"
#include "tests/request_world.h"

namespace eelgrasspin {
namespace {

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

int count_outcomes(const World& world,
                   const std::vector<RequestSerial>& serials,
                   const std::string& outcome) {
  int count = 0;
  for (RequestSerial serial : serials)
    count += outcome_of(world, serial) == outcome ? 1 : 0;
  return count;
}

World make_slow_world(Duration service_time) {
  World world = make_started_world(make_declarations(1));
  for (auto& [name, server] : world.servers) server.service_time = service_time;
  return world;
}

std::vector<RequestSerial> send_many(World& world, const std::string& caller,
                                     int count) {
  std::vector<RequestSerial> serials;
  for (int i = 0; i < count; ++i) {
    RequestHead head = make_head("GET", 1, "", static_cast<std::uint64_t>(i));
    head.caller = CallerName(caller);
    serials.push_back(send_request(world, kDaemons[0], head));
  }
  return serials;
}

TEST(FrontQueue, ServesCallersInTurn) {
  World world = make_slow_world(milliseconds(50));
  std::vector<RequestSerial> buyer_requests = send_many(world, "buyer", 40);
  run_for(world, milliseconds(10));
  std::vector<RequestSerial> foreman_requests = send_many(world, "foreman", 4);
  run_for(world, milliseconds(300));
  EXPECT_EQ(count_outcomes(world, foreman_requests, "answered"), 4);
  EXPECT_LT(count_outcomes(world, buyer_requests, "answered"), 12);
  run_for(world, seconds(2));
  expect_no_violations(world);
}

TEST(FrontQueue, FullQueueKeepsRoomForOtherCallers) {
  World world = make_slow_world(milliseconds(50));
  std::vector<RequestSerial> buyer_requests = send_many(world, "buyer", 100);
  run_for(world, milliseconds(20));
  EXPECT_EQ(count_outcomes(world, buyer_requests, "not run: queue_full"),
            100 - 2 - static_cast<int>(config::kDefaultQueueLimit));
  std::vector<RequestSerial> foreman_requests = send_many(world, "foreman", 4);
  run_for(world, milliseconds(250));
  EXPECT_EQ(count_outcomes(world, foreman_requests, "answered"), 4);
  EXPECT_EQ(count_outcomes(world, buyer_requests, "not run: caller_over_share"),
            4);
  run_for(world, seconds(2));
  expect_no_violations(world);
}

TEST(FrontQueue, DropsAtTheDeadlineWithoutSending) {
  World world = make_slow_world(milliseconds(200));
  std::vector<RequestSerial> serials = send_many(world, "buyer", 30);
  run_for(world, seconds(3));
  EXPECT_GE(count_outcomes(world, serials, "answered"), 8);
  EXPECT_GE(count_outcomes(world, serials, "not run: deadline_passed"), 18);
  expect_no_violations(world);
}

TEST(FrontQueue, AbandonedRequestsCountAsRunningUntilTheExecutionLimit) {
  World world = make_slow_world(milliseconds(5));
  ServerName frozen;
  for (auto& [name, server] : world.servers) {
    server.frozen = true;
    frozen = name;
  }
  RequestHead head = make_head("GET", 1);
  head.time_left = milliseconds(100);
  RequestSerial serial = send_request(world, kDaemons[0], head);
  run_for(world, milliseconds(200));
  EXPECT_EQ(outcome_of(world, serial), "unknown: timeout_after_send");
  auto running = [&] {
    std::uint32_t sum = 0;
    for (const auto& [daemon, at] : world.daemons) {
      for (const auto& [server, unused] : world.servers)
        sum += core::request::running(at.state, server);
    }
    return sum;
  };
  EXPECT_EQ(running(), 1U);
  run_for(world, milliseconds(200));
  EXPECT_EQ(running(), 0U);
}

TEST(FrontQueue, PushbackEndsAsNotRun) {
  World world = make_slow_world(milliseconds(500));
  RequestSerial serial = send_request(world, kDaemons[0], make_head("PUT", 1));
  run_for(world, milliseconds(20));
  for (auto& [name, daemon] : world.daemons) {
    auto open = daemon.state.request.open;
    for (const auto& [id, request] : open) {
      if (request.stage != core::request::Stage::kAtServer) continue;
      deliver(world, name, daemon.generation,
              core::AttemptEnded{
                  id, request.attempt,
                  AttemptNotRun{Reason::kPushback, milliseconds(700)}});
    }
  }
  run_for(world, milliseconds(20));
  EXPECT_EQ(outcome_of(world, serial), "not run: pushback");
}

}  // namespace
}  // namespace eelgrasspin
