#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

#include "tests/platform_processes.h"

/// What others send without end is bounded, and the process lives on.
namespace eelgrasspin::platform {
namespace {

using MemoryLimit = PlatformProcesses;

/// Bodies of up to 64 MB are allowed.
std::string configuration_with_large_bodies() {
  std::string configuration = kConfiguration;
  const std::string small = "\"bodyBytes\":1000000";
  return configuration.replace(configuration.find(small), small.size(),
                               "\"bodyBytes\":67108864");
}

std::string memory_setting(std::size_t mb) {
  return "self.limits.memoryMb=" + std::to_string(mb) + "\n";
}

TEST_F(MemoryLimit, LargestBodyIsForwardedWhenNoOtherIsHeld) {
  constexpr std::size_t kMemoryLimitMb = 260;
  constexpr std::size_t kBodyBytes = 64 * 1024 * 1024;
  store_.put(kConfigKind, kActiveConfigName, configuration_with_large_bodies());
  Process process = start(10, memory_setting(kMemoryLimitMb));
  ASSERT_TRUE(become_ready(process));
  io::HttpRequest request = once("large");
  request.body.assign(kBodyBytes, 'x');
  io::HttpResult result = call(callers(process), request);
  const auto* answer = std::get_if<io::HttpResponse>(&result);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->body, "body of large " + std::to_string(kBodyBytes));
  EXPECT_LT(peak_memory_kb(process), kMemoryLimitMb * 1024);
}

// Guards against a body whose growth, while its length is unknown, takes more
// than the memory.
TEST_F(MemoryLimit, LargestChunkedBodyIsForwardedWhenNoOtherIsHeld) {
  constexpr std::size_t kMemoryLimitMb = 260;
  constexpr std::size_t kChunks = 1024;
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  store_.put(kConfigKind, kActiveConfigName, configuration_with_large_bodies());
  Process process = start(11, memory_setting(kMemoryLimitMb));
  ASSERT_TRUE(become_ready(process));
  std::string text =
      "POST /o/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" +
      std::string(kRequestIdHeader) + ": large\r\n" + kDeadlineMsHeader +
      ": 2000\r\n\r\n";
  for (std::size_t i = 0; i < kChunks; ++i) text += chunk;
  text += "0\r\n\r\n";
  boost::asio::ip::tcp::socket socket(io_);
  socket.connect(*io::parse_endpoint(callers(process)));
  std::string received;
  bool ended = false;
  boost::asio::async_write(socket, boost::asio::buffer(text),
                           [](boost::system::error_code, std::size_t) {});
  boost::asio::async_read_until(
      socket, boost::asio::dynamic_buffer(received), "body of large 67108864",
      [&](boost::system::error_code, std::size_t) { ended = true; });
  EXPECT_TRUE(run_until([&] { return ended; }));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200 ")) << received;
  EXPECT_LT(peak_memory_kb(process), kMemoryLimitMb * 1024);
  std::printf("peak %zu KB\n", peak_memory_kb(process));
  boost::system::error_code ignored;
  socket.close(ignored);
  run_until([] { return false; }, milliseconds(10));
}

TEST_F(MemoryLimit, BytesWithoutEndStayWithinTheMemoryLimit) {
  constexpr std::size_t kMemoryLimitMb = 160;
  constexpr std::size_t kBodyBytes = 30 * 1024 * 1024;
  constexpr int kCallers = 12;
  store_.put(kConfigKind, kActiveConfigName, configuration_with_large_bodies());
  Process process = start(9, memory_setting(kMemoryLimitMb));
  ASSERT_TRUE(become_ready(process));
  Endpoint to = callers(process);
  ASSERT_TRUE(run_until([&] { return all_keys_served(to, "a"); }));
  for (const auto& board : boards_) board->endless = true;
  books_[0]->endless = true;
  store_.endless = true;
  std::vector<std::shared_ptr<io::HttpConnection>> connections;
  int ended = 0;
  for (int i = 0; i < 2 * kCallers; ++i) {
    std::string id = "long-" + std::to_string(i);
    io::HttpRequest request = i % 2 == 0 ? keyed(id, 4000 * i) : once(id);
    if (i % 2 == 1) request.body.assign(kBodyBytes, 'x');
    connections.push_back(io::make_http_connection(io_, to));
    connections.back()->exchange(request, seconds(8),
                                 [&](const io::HttpResult&) { ++ended; });
  }
  EXPECT_TRUE(run_until([&] { return ended == 2 * kCallers; }));
  run_until([] { return false; }, seconds(2));
  EXPECT_LT(peak_memory_kb(process), kMemoryLimitMb * 1024);
  store_.remove(kServersKind, books_[0]->name());
  store_.endless = false;
  EXPECT_TRUE(run_until([&] {
    return status(to, once("after-" + std::to_string(++ended))) == 200;
  }));
}

}  // namespace
}  // namespace eelgrasspin::platform
