#include <sstream>

#include "io/http_client.h"
#include "tests/io_test_util.h"
#include "tests/platform_processes.h"

/// Requests that nobody waits for any more are not sent to servers, however
/// late the process reads them.
namespace eelgrasspin::platform {
namespace {

constexpr std::size_t kCallers = 40;

class LeftCallers : public PlatformProcesses {
 protected:
  /// The process does not run until resume().
  void pause(const Process& process) {
    ::kill(process.pid, SIGSTOP);
    int stopped = 0;
    ASSERT_EQ(::waitpid(process.pid, &stopped, WUNTRACED), process.pid);
  }
  void resume(const Process& process) { ::kill(process.pid, SIGCONT); }

  /// Leaves an idle connection to each server in the process.
  void open_server_connections(const Process& process) {
    for (int i = 0; i < 8; ++i) {
      std::string id = "warm-" + std::to_string(i);
      EXPECT_EQ(status(callers(process), once(id)), 200);
      EXPECT_EQ(status(callers(process),
                       keyed("k" + id, static_cast<std::uint32_t>(8000 * i))),
                200);
    }
  }

  static std::string text_of(const io::HttpRequest& request) {
    std::ostringstream text;
    text << request.method << ' ' << request.target << " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers)
      text << name << ": " << value << "\r\n";
    text << "Content-Length: " << request.body.size() << "\r\n\r\n"
         << request.body;
    return text.str();
  }

  /// A keyed or an unkeyed request, in turn.
  static io::HttpRequest request_of(std::size_t caller,
                                    const std::string& deadline_ms) {
    std::string id = "left-" + std::to_string(caller);
    io::HttpRequest request =
        caller % 2 == 0 ? once(id)
                        : keyed(id, static_cast<std::uint32_t>(1000 * caller));
    for (auto& [name, value] : request.headers) {
      if (name == kDeadlineMsHeader) value = deadline_ms;
    }
    return request;
  }

  /// Requests of the callers above that a server has run.
  std::size_t runs_for_left_callers() const {
    std::size_t runs = 0;
    for (const auto* servers : {&boards_, &books_}) {
      for (const auto& server : *servers) {
        for (const std::string& id : server->ran)
          runs += id.starts_with("left-") ? 1 : 0;
      }
    }
    return runs;
  }

  /// Requests that come after all others have been read.
  void send_later_requests(const Process& process) {
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(status(callers(process), once("later-" + std::to_string(i))),
                200);
    }
  }
};

TEST_F(LeftCallers, RequestReadAfterItsCallerLeftIsNotSent) {
  Process process = start(71);
  ASSERT_TRUE(become_ready(process));
  ASSERT_TRUE(
      run_until([&] { return all_keys_served(callers(process), "x"); }));
  open_server_connections(process);
  pause(process);
  for (std::size_t i = 0; i < kCallers; ++i) {
    RawClient caller(io_, callers(process));
    caller.send(text_of(request_of(i, "2000")));
  }
  resume(process);
  send_later_requests(process);
  EXPECT_EQ(runs_for_left_callers(), 0U);
}

TEST_F(LeftCallers, RequestReadAfterItsDeadlineIsNotSent) {
  Process process = start(72);
  ASSERT_TRUE(become_ready(process));
  ASSERT_TRUE(
      run_until([&] { return all_keys_served(callers(process), "x"); }));
  open_server_connections(process);
  pause(process);
  std::vector<std::unique_ptr<RawClient>> waiting;
  for (std::size_t i = 0; i < kCallers; ++i) {
    waiting.push_back(std::make_unique<RawClient>(io_, callers(process)));
    waiting.back()->send(text_of(request_of(i, "100")));
  }
  run_for(io_, std::chrono::milliseconds(400));
  resume(process);
  send_later_requests(process);
  EXPECT_EQ(runs_for_left_callers(), 0U);
}

}  // namespace
}  // namespace eelgrasspin::platform
