#include <gtest/gtest.h>

#include "core/request/requests.h"
#include "tests/request_world.h"

namespace eelgrasspin {
namespace {

using fixtures::book_declarations;
using fixtures::book_head;
using fixtures::book_world;
using fixtures::end_of;
using fixtures::expect_promises;
using fixtures::kDaemons;
using scenario::run_for;
using scenario::send_request;
using scenario::Serial;
using scenario::World;

int count_ends(const World& world, const std::vector<Serial>& serials,
               const std::string& end) {
  int count = 0;
  for (Serial serial : serials) count += end_of(world, serial) == end ? 1 : 0;
  return count;
}

World slow_world(Duration work) {
  World world = book_world(book_declarations(1));
  for (auto& [name, server] : world.servers) server.work = work;
  return world;
}

std::vector<Serial> send_many(World& world, const std::string& caller,
                              int count) {
  std::vector<Serial> serials;
  for (int i = 0; i < count; ++i) {
    RequestHead head = book_head("GET", 1, "", static_cast<std::uint64_t>(i));
    head.caller = CallerName(caller);
    serials.push_back(send_request(world, kDaemons[0], head));
  }
  return serials;
}

TEST(FrontQueue, ServesCallersInTurn) {
  World world = slow_world(milliseconds(50));
  std::vector<Serial> many = send_many(world, "buyer", 40);
  run_for(world, milliseconds(10));
  std::vector<Serial> few = send_many(world, "foreman", 4);
  run_for(world, milliseconds(300));
  EXPECT_EQ(count_ends(world, few, "answered"), 4);
  EXPECT_LT(count_ends(world, many, "answered"), 12);
  run_for(world, seconds(2));
  expect_promises(world);
}

TEST(FrontQueue, FullQueueKeepsRoomForOtherCallers) {
  World world = slow_world(milliseconds(50));
  std::vector<Serial> many = send_many(world, "buyer", 100);
  run_for(world, milliseconds(20));
  EXPECT_EQ(count_ends(world, many, "not run: queue_full"),
            100 - 2 - static_cast<int>(config::kDefaultQueueLimit));
  std::vector<Serial> few = send_many(world, "foreman", 4);
  run_for(world, milliseconds(250));
  EXPECT_EQ(count_ends(world, few, "answered"), 4);
  EXPECT_EQ(count_ends(world, many, "not run: caller_over_share"), 4);
  run_for(world, seconds(2));
  expect_promises(world);
}

TEST(FrontQueue, DropsAtTheDeadlineWithoutSending) {
  World world = slow_world(milliseconds(200));
  std::vector<Serial> serials = send_many(world, "buyer", 30);
  run_for(world, seconds(3));
  EXPECT_GE(count_ends(world, serials, "answered"), 8);
  EXPECT_GE(count_ends(world, serials, "not run: deadline_passed"), 18);
  expect_promises(world);
}

TEST(FrontQueue, AbandonedRequestsCountAsRunningUntilTheExecutionLimit) {
  World world = slow_world(milliseconds(5));
  ServerName frozen;
  for (auto& [name, server] : world.servers) {
    server.frozen = true;
    frozen = name;
  }
  RequestHead head = book_head("GET", 1);
  head.time_left = milliseconds(100);
  Serial serial = send_request(world, kDaemons[0], head);
  run_for(world, milliseconds(200));
  EXPECT_EQ(end_of(world, serial), "unknown: timeout_after_send");
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

TEST(FrontQueue, PushbackIsToldAsNotRun) {
  World world = slow_world(milliseconds(500));
  Serial serial = send_request(world, kDaemons[0], book_head("PUT", 1));
  run_for(world, milliseconds(20));
  for (auto& [name, daemon] : world.daemons) {
    auto open = daemon.state.request.open;
    for (const auto& [id, request] : open) {
      if (request.stage != core::request::Stage::kAtServer) continue;
      deliver(world, name, daemon.run,
              core::AttemptEnded{
                  id, request.attempt,
                  AttemptNotRun{Reason::kPushback, milliseconds(700)}});
    }
  }
  run_for(world, milliseconds(20));
  EXPECT_EQ(end_of(world, serial), "not run: pushback");
}

}  // namespace
}  // namespace eelgrasspin
