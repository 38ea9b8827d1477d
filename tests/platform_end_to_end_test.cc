#include "tests/platform_processes.h"

/// The real program in separate processes, with stand-ins for the platform.
namespace eelgrasspin::platform {
namespace {

using PlatformEndToEnd = PlatformProcesses;

TEST_F(PlatformEndToEnd, ServesKeysAndOnceOnlyRequests) {
  Process process = start(1);
  ASSERT_TRUE(become_ready(process));
  Endpoint to = callers(process);
  EXPECT_TRUE(run_until([&] { return all_keys_served(to, "a"); }));
  EXPECT_FALSE(boards_[0]->ran.empty());
  EXPECT_FALSE(boards_[1]->ran.empty());
  io::HttpResult result = call(to, once("post-1"));
  ASSERT_TRUE(std::holds_alternative<io::HttpResponse>(result));
  const auto& answer = std::get<io::HttpResponse>(result);
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "body of post-1 text");
  EXPECT_NE(io::find_header(answer.headers, kResponseStampHeader), nullptr);
  EXPECT_EQ(books_[0]->ran.size() + books_[1]->ran.size(), 1u);
  EXPECT_EQ(status(to, {"GET", "/none/", {{"Host", "h"}}, "", {}}), 404);
}

TEST_F(PlatformEndToEnd, KeysOfADrainedServerMoveToTheOther) {
  Process process = start(2);
  ASSERT_TRUE(become_ready(process));
  Endpoint to = callers(process);
  ASSERT_TRUE(run_until([&] { return all_keys_served(to, "a"); }));
  list(*boards_[0], "board", "draining");
  ASSERT_TRUE(run_until([&] {
    std::size_t before = boards_[0]->ran.size();
    return all_keys_served(to, "b") && boards_[0]->ran.size() == before;
  }));
}

TEST_F(PlatformEndToEnd, AnotherDaemonTakesOverFromAKilledCoordinator) {
  Process first = start(3);
  ASSERT_TRUE(become_ready(first));
  ASSERT_TRUE(run_until([&] { return all_keys_served(callers(first), "a"); }));
  Process second = start(4);
  ASSERT_TRUE(become_ready(second));
  run_until([] { return false; }, seconds(1));
  stop(processes_[0], SIGKILL);
  ASSERT_TRUE(run_until([&] {
    const json::object* map = store_.find(kRecordsKind, "owners.board");
    return map->at("spec").at("coordinator").as_string() == "d4";
  }));
  EXPECT_TRUE(run_until([&] { return all_keys_served(callers(second), "b"); }));
}

TEST_F(PlatformEndToEnd, KeepsServingWhileTheStoreIsDown) {
  Process process = start(5);
  ASSERT_TRUE(become_ready(process));
  Endpoint to = callers(process);
  ASSERT_TRUE(run_until([&] { return all_keys_served(to, "a"); }));
  store_.down = true;
  run_until([] { return false; }, seconds(2));
  EXPECT_TRUE(all_keys_served(to, "b"));
  EXPECT_EQ(status(to, once("post-2")), 200);
}

TEST_F(PlatformEndToEnd, StopsGracefully) {
  Process process = start(6);
  ASSERT_TRUE(become_ready(process));
  ::kill(process.pid, SIGTERM);
  Endpoint ready(process.ip + ":" + std::to_string(ready_port_));
  EXPECT_TRUE(run_until([&] {
    return status(ready, {"GET", "/ready", {}, "", {}}) == 503;
  }));
  EXPECT_EQ(status(callers(process), once("post-3")), 200);
  int ended = -1;
  EXPECT_TRUE(run_until(
      [&] { return ::waitpid(process.pid, &ended, WNOHANG) == process.pid; }));
  EXPECT_EQ(ended, 0);
  processes_[0].pid = 0;
}

TEST_F(PlatformEndToEnd, MetricsCountAnsweredRequests) {
  Process process = start(7);
  ASSERT_TRUE(become_ready(process));
  EXPECT_EQ(status(callers(process), once("post-4")), 200);
  io::HttpResult result =
      call(Endpoint(process.ip + ":9464"), {"GET", "/metrics", {}, "", {}});
  ASSERT_TRUE(std::holds_alternative<io::HttpResponse>(result));
  const std::string& body = std::get<io::HttpResponse>(result).body;
  EXPECT_NE(body.find("eelgrasspin_fleet_requests_total{status=\"200\","
                      "reason=\"answered\"} 1"),
            std::string::npos)
      << body;
  EXPECT_NE(body.find("eelgrasspin_fleet_request_seconds_count"),
            std::string::npos);
}

}  // namespace
}  // namespace eelgrasspin::platform
