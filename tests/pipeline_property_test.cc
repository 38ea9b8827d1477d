#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <string>
#include <vector>

#include "io/http_server.h"
#include "tests/io_test_util.h"

/// Proper requests are handled whole and in order, wherever the network splits
/// their bytes.
namespace eelgrasspin::io {
namespace {

constexpr std::size_t kMaxBodyBytes = 3000;
constexpr int kMaxRequests = 40;

std::string make_request(int number, const std::string& body, bool chunked) {
  std::string head =
      "POST /" + std::to_string(number) + " HTTP/1.1\r\nHost: h\r\n";
  if (!chunked) {
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kChunkBytes = 256;
  for (std::size_t at = 0; at < body.size(); at += kChunkBytes) {
    std::string chunk = body.substr(at, kChunkBytes);
    char size[16];
    std::snprintf(size, sizeof size, "%zx", chunk.size());
    text += std::string(size) + "\r\n" + chunk + "\r\n";
  }
  return text + "0\r\n\r\n";
}

/// Answers requests in any order; a request's answer repeats its target and the
/// length of its body.
class AnsweringServer {
 public:
  explicit AnsweringServer(boost::asio::io_context& io)
      : server_(io, {}, [this](const std::shared_ptr<HttpExchange>& exchange) {
          open_.push_back(exchange);
        }) {
    (void)server_.listen(kAnyPort);
  }
  Endpoint endpoint() const { return server_.bound_endpoint(); }
  void answer(std::size_t which) {
    if (open_.empty()) return;
    auto found =
        open_.begin() + static_cast<std::ptrdiff_t>(which % open_.size());
    auto exchange = *found;
    open_.erase(found);
    exchange->answer({200, {}, text_of(exchange->request())});
  }
  static std::string text_of(const HttpRequest& request) {
    return "[" + request.target + " " + std::to_string(request.body.size()) +
           "]";
  }

 private:
  std::deque<std::shared_ptr<HttpExchange>> open_;
  HttpServer server_;
};

RC_GTEST_PROP(PipelineProperty, ProperRequestsAreAnsweredInOrderHoweverSplit,
              ()) {
  int count = *rc::gen::inRange(1, kMaxRequests);
  std::string bytes;
  std::string expected;
  for (int i = 0; i < count; ++i) {
    std::string body(*rc::gen::inRange<std::size_t>(0, kMaxBodyBytes), 'b');
    bytes += make_request(i, body, *rc::gen::arbitrary<bool>());
    expected +=
        "[/" + std::to_string(i) + " " + std::to_string(body.size()) + "]";
  }
  boost::asio::io_context io;
  AnsweringServer server(io);
  RawClient client(io, server.endpoint());
  std::size_t most = *rc::gen::element<std::size_t>(3, 100, 5000, 100'000);
  // Answers are given at any time, so that the pipeline is full at some.
  auto pick = *rc::gen::container<std::vector<std::size_t>>(
      64, rc::gen::inRange<std::size_t>(0, 1000));
  std::string_view unsent = bytes;
  std::size_t step = 0;
  while (!unsent.empty()) {
    std::size_t part = 1 + (pick[step % pick.size()] * 7919) % most;
    client.send(unsent.substr(0, part));
    unsent.remove_prefix(std::min(part, unsent.size()));
    io.restart();
    io.poll();
    if (pick[++step % pick.size()] % 3 == 0)
      server.answer(pick[step % pick.size()]);
  }
  std::string received;
  std::string bodies;
  RC_ASSERT(run_until(io, [&] {
    server.answer(0);
    client.read_some(received);
    bodies.clear();
    for (std::size_t at = received.find('['); at != std::string::npos;
         at = received.find('[', at + 1)) {
      bodies += received.substr(at, received.find(']', at) + 1 - at);
    }
    return bodies.size() >= expected.size() ||
           received.find("HTTP/1.1 4") != std::string::npos;
  }));
  RC_ASSERT(bodies == expected);
}

}  // namespace
}  // namespace eelgrasspin::io
