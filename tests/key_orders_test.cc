#include "key_orders.h"

#include <gtest/gtest.h>

#include <optional>

#include "io/http_server.h"
#include "names.h"
#include "tests/io_test_util.h"

/// Orders for keys over loopback connections.
namespace eelgrasspin::platform {
namespace {

using fleet::OrderResult;

constexpr fleet::ShardKey kFirst(10);
constexpr fleet::ShardKey kLast(20);

class KeyOrdersTest : public ::testing::Test {
 protected:
  KeyOrdersTest()
      : server_(io_, {},
                [this](const std::shared_ptr<io::HttpExchange>& exchange) {
                  exchange->answer(answer_);
                }) {
    (void)server_.listen(kAnyPort);
  }

  fleet::OrderEnded release() {
    std::optional<fleet::OrderEnded> ended;
    orders_.release({1, ServerName("i-1"), server_.bound_endpoint(), kFirst,
                     kLast, Epoch(2)},
                    [&](fleet::OrderEnded result) { ended = result; });
    run_until(io_, [&] { return ended.has_value(); });
    return ended.value_or(fleet::OrderEnded{});
  }

  boost::asio::io_context io_;
  io::HttpResponse answer_{200, {}, "{}"};
  io::HttpServer server_;
  KeyOrdersClient orders_{io_};
};

/// Guards against taking any rejection for proof that the server has ended: the
/// addressed one may be short of room, or its answer spoiled.
TEST_F(KeyOrdersTest, OnlyAnotherServersAnswerToAReleaseProvesAnEnd) {
  auto result = [this](int status, io::HeaderFields headers) {
    answer_ = {status, std::move(headers), ""};
    return release().result;
  };
  EXPECT_EQ(result(421, {}), OrderResult::kOtherServer);
  EXPECT_EQ(result(400, {{kNotRunHeader, "1"}}), OrderResult::kOtherServer);
  for (int status : {400, 403, 404, 408, 429}) {
    EXPECT_EQ(result(status, {}), OrderResult::kInvalid) << status;
  }
  EXPECT_EQ(result(429, {{kNotRunHeader, "1"}}), OrderResult::kInvalid);
  EXPECT_EQ(result(503, {{kNotRunHeader, "1"}}), OrderResult::kUnanswered);
  EXPECT_EQ(result(200, {}), OrderResult::kDone);
}

}  // namespace
}  // namespace eelgrasspin::platform
