#include <gtest/gtest.h>

#include "io/caller_http.h"
#include "io/http_client.h"
#include "tests/io_test_util.h"

namespace eelgrasspin::io {
namespace {

class CallerPortTest : public ::testing::Test {
 protected:
  CallerPortTest()
      : port_(io_,
              {[this](const CallerRequest& request,
                      const std::shared_ptr<HttpExchange>& exchange) {
                 heads_.push_back(request.head);
                 if (hold_) {
                   held_.push_back(exchange);
                   exchange->on_abandoned([this] { ++abandoned_; });
                   return;
                 }
                 exchange->answer(make_caller_response(200, *request.payload));
               },
               [this] { return healthy_; }}) {
    EXPECT_FALSE(port_.server().listen(kAnyPort));
  }

  std::string exchange_raw(std::string_view text) {
    RawClient client(io_, port_.server().bound_endpoint());
    client.send(text);
    std::string received;
    EXPECT_TRUE(client.read_to_end(received)) << received;
    return received;
  }

  boost::asio::io_context io_;
  std::vector<RequestHead> heads_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  bool hold_ = false;
  bool healthy_ = true;
  int abandoned_ = 0;
  CallerPort port_;
};

TEST_F(CallerPortTest, ReadsCallerFields) {
  std::string received = exchange_raw(
      "PUT /panboard/pans/pan-17/readings?x=1 HTTP/1.1\r\nHost: a\r\n"
      "Idempotency-Key: k1\r\nEelgrasspin-Deadline-Ms: 2000\r\n"
      "Eelgrasspin-Caller: foreman-3\r\nConnection: close, x-drop\r\n"
      "X-Drop: 1\r\nX-Keep: 2\r\nContent-Length: 5\r\n\r\nhello");
  ASSERT_EQ(heads_.size(), 1U);
  EXPECT_EQ(heads_[0].service, ServiceName("panboard"));
  EXPECT_EQ(heads_[0].path, "/pans/pan-17/readings?x=1");
  EXPECT_EQ(heads_[0].method, "PUT");
  EXPECT_EQ(heads_[0].caller, CallerName("foreman-3"));
  EXPECT_EQ(heads_[0].idempotency_key, "k1");
  EXPECT_EQ(heads_[0].time_left, milliseconds(2000));
  EXPECT_EQ(heads_[0].body_bytes, 5U);
  EXPECT_NE(received.find("Eelgrasspin-Outcome: answered"), std::string::npos);
  EXPECT_NE(received.find("X-Keep: 2"), std::string::npos);
  EXPECT_EQ(received.find("X-Drop"), std::string::npos);
  EXPECT_TRUE(received.ends_with("\r\n\r\nhello"));
}

struct BadInput {
  const char* name;
  std::string text;
  const char* status;
};

std::vector<BadInput> bad_inputs() {
  std::string head = "POST /panboard/x HTTP/1.1\r\nHost: a\r\n";
  std::string chunked = "Transfer-Encoding: chunked\r\n";
  std::string next = "0\r\n\r\nGET /panboard/smuggled HTTP/1.1\r\n\r\n";
  return {
      {"both lengths", head + "Content-Length: 3\r\n" + chunked + "\r\n" + next,
       "400"},
      {"both lengths, other order",
       head + chunked + "Content-Length: 3\r\n\r\n" + next, "400"},
      {"repeated length",
       head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
      {"repeated equal length",
       head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400"},
      {"length list", head + "Content-Length: 3, 3\r\n\r\nabc", "400"},
      {"signed length", head + "Content-Length: +3\r\n\r\nabc", "400"},
      {"negative length", head + "Content-Length: -3\r\n\r\nabc", "400"},
      {"length overflow",
       head + "Content-Length: 99999999999999999999\r\n\r\nabc", "400"},
      {"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n" + next,
       "400"},
      {"coding list", head + "Transfer-Encoding: gzip, chunked\r\n\r\n" + next,
       "400"},
      {"repeated coding", head + chunked + chunked + "\r\n" + next, "400"},
      {"chunked in HTTP/1.0",
       "POST /panboard/x HTTP/1.0\r\n" + chunked + "\r\n" + next, "400"},
      {"bad chunk size", head + chunked + "\r\nzz\r\nab\r\n0\r\n\r\n", "400"},
      {"chunk size overflow",
       head + chunked + "\r\nfffffffffffffffff\r\nab\r\n", "400"},
      {"chunk longer than its size",
       head + chunked + "\r\n2\r\nabcd\r\n0\r\n\r\n", "400"},
      {"space before colon", head + "Content-Length : 3\r\n\r\nabc", "400"},
      {"bare carriage return", head + "X: a\rb\r\n\r\n", "400"},
      {"two hosts", head + "Host: b\r\n\r\n", "400"},
      {"absolute target", "GET http://other/x HTTP/1.1\r\nHost: a\r\n\r\n",
       "400"},
      {"no version", "GET /panboard/x\r\n\r\n", "400"},
      {"not HTTP", std::string("\x16\x03\x01\x02\x00\x01", 6) + "xx\r\n\r\n",
       "400"},
      {"body over the limit", head + "Content-Length: 5000000\r\n\r\n", "413"},
      {"header over the limit",
       head + "X: " + std::string(20000, 'a') + "\r\n\r\n", "431"},
      {"endless header", head + "X: " + std::string(40000, 'a'), "431"},
  };
}

TEST_F(CallerPortTest, BadInputIsRefusedAsNotRun) {
  for (const BadInput& bad : bad_inputs()) {
    SCOPED_TRACE(bad.name);
    std::string received = exchange_raw(bad.text);
    EXPECT_EQ(received.substr(0, 13),
              std::string("HTTP/1.1 ") + bad.status + " ");
    EXPECT_NE(received.find("Eelgrasspin-Outcome: not run"), std::string::npos);
    EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos);
    EXPECT_TRUE(heads_.empty());
    heads_.clear();
  }
}

TEST_F(CallerPortTest, BodyOverTheLimitInChunksIsRefused) {
  RawClient client(io_, port_.server().bound_endpoint());
  client.send(
      "POST /panboard/x HTTP/1.1\r\nHost: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  std::string chunk = "10000\r\n" + std::string(0x10000, 'a') + "\r\n";
  std::string received;
  for (int i = 0; i < 80; ++i) {
    client.send(chunk);
    run_for(io_, std::chrono::milliseconds(1));
  }
  EXPECT_TRUE(client.read_to_end(received));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 413 ")) << received;
  EXPECT_TRUE(heads_.empty());
}

TEST_F(CallerPortTest, InvalidCallerFieldsAreRefused) {
  std::string head = "GET /panboard/x HTTP/1.1\r\nConnection: close\r\n";
  for (const std::string& field : std::vector<std::string>{
           "Eelgrasspin-Deadline-Ms: 0", "Eelgrasspin-Deadline-Ms: soon",
           "Eelgrasspin-Deadline-Ms: 999999999999",
           "Eelgrasspin-Deadline-Ms: -5",
           "Idempotency-Key: a\r\nIdempotency-Key: b",
           "Eelgrasspin-Caller: " + std::string(200, 'c')}) {
    SCOPED_TRACE(field);
    std::string received = exchange_raw(head + field + "\r\n\r\n");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 400 ")) << received;
    EXPECT_NE(received.find("Eelgrasspin-Outcome: not run"), std::string::npos);
  }
  EXPECT_TRUE(exchange_raw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
                  .starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(heads_.empty());
}

TEST_F(CallerPortTest, DisconnectOfTheCallerIsDetected) {
  hold_ = true;
  RawClient client(io_, port_.server().bound_endpoint());
  client.send("GET /panboard/x HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(run_until(io_, [&] { return held_.size() == 1; }));
  EXPECT_EQ(abandoned_, 0);
  client.close();
  ASSERT_TRUE(run_until(io_, [&] { return abandoned_ == 1; }));
  EXPECT_EQ(port_.server().open_exchanges(), 0U);
}

TEST_F(CallerPortTest, PipelinedRequestsAreAnsweredInOrder) {
  std::string received = exchange_raw(
      "POST /panboard/a HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
      "POST /panboard/b HTTP/1.1\r\nConnection: close\r\n"
      "Content-Length: 3\r\n\r\ntwo");
  ASSERT_EQ(heads_.size(), 2U);
  EXPECT_LT(received.find("one"), received.find("two"));
}

TEST_F(CallerPortTest, HealthCheckReportsTheDaemonsState) {
  std::string request_text =
      "GET /-/health HTTP/1.1\r\nConnection: close\r\n\r\n";
  EXPECT_TRUE(exchange_raw(request_text).starts_with("HTTP/1.1 200 "));
  healthy_ = false;
  EXPECT_TRUE(exchange_raw(request_text).starts_with("HTTP/1.1 503 "));
}

TEST_F(CallerPortTest, SlowSenderGetsATimeout) {
  HttpServerOptions options;
  options.receive_timeout = milliseconds(50);
  int handled = 0;
  HttpServer server(io_, options, [&](const auto&) { ++handled; });
  ASSERT_FALSE(server.listen(kAnyPort));
  RawClient client(io_, server.bound_endpoint());
  client.send("POST /panboard/x HTTP/1.1\r\nContent-Le");
  std::string received;
  EXPECT_TRUE(client.read_to_end(received));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 408 ")) << received;
  EXPECT_EQ(handled, 0);
}

/// A server with small limits that answers 200, and clients on open connections
/// to it.
class ServerLimits : public ::testing::Test {
 protected:
  ServerLimits()
      : server_(io_, small_limits(),
                [](const std::shared_ptr<HttpExchange>& exchange) {
                  exchange->answer({200, {}, {}});
                }) {
    EXPECT_FALSE(server_.listen(kAnyPort));
    client_.emplace(io_, server_.bound_endpoint());
    EXPECT_TRUE(run_until(io_, [&] { return server_.connections() == 1; }));
  }

  static HttpServerOptions small_limits() {
    HttpServerOptions options;
    options.max_header_bytes = 1000;
    options.max_body_bytes = 100;
    return options;
  }
  void set_limits(std::size_t header_bytes, std::size_t body_bytes) {
    server_.set_limits(header_bytes, body_bytes, seconds(10), seconds(75));
  }
  static std::string post(std::size_t body_bytes, std::size_t field_bytes) {
    return "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX: " +
           std::string(field_bytes, 'f') +
           "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'b');
  }
  std::string status_of_last() {
    std::string received;
    EXPECT_TRUE(client_->read_to_end(received)) << received;
    return received.substr(0, 13);
  }

  boost::asio::io_context io_;
  HttpServer server_;
  std::optional<RawClient> client_;
};

TEST_F(ServerLimits, HigherOnesHoldOnAConnectionThatHasHadNoRequest) {
  set_limits(1000, 500);
  client_->send(post(500, 1));
  EXPECT_EQ(status_of_last(), "HTTP/1.1 200 ");
}

TEST_F(ServerLimits, HigherOnesHoldOnAKeptConnection) {
  client_->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  std::string received;
  EXPECT_TRUE(client_->read_until(received, "\r\n\r\n"));
  set_limits(50'000, 100);
  client_->send(post(100, 40'000));
  EXPECT_EQ(status_of_last(), "HTTP/1.1 200 ");
}

TEST_F(ServerLimits, LowerOnesHoldOnAnOpenConnection) {
  set_limits(1000, 50);
  client_->send(post(51, 1));
  EXPECT_EQ(status_of_last(), "HTTP/1.1 413 ");
}

class ServerLimitsDuringARequest : public ServerLimits {
 protected:
  void send_head() {
    client_->send(
        "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        "Transfer-Encoding: chunked\r\n\r\n40\r\n" +
        std::string(0x40, 'b') + "\r\n");
    run_for(io_, std::chrono::milliseconds(20));
  }
  void send_rest() {
    client_->send("80\r\n" + std::string(0x80, 'b') + "\r\n0\r\n\r\n");
  }
};

TEST_F(ServerLimitsDuringARequest, EarlierOnesRefuseItNotForGood) {
  send_head();
  set_limits(1000, 500);
  send_rest();
  EXPECT_EQ(status_of_last(), "HTTP/1.1 503 ");
}

TEST_F(ServerLimitsDuringARequest, SameOnesRefuseItForGood) {
  send_head();
  set_limits(1000, 100);
  send_rest();
  EXPECT_EQ(status_of_last(), "HTTP/1.1 413 ");
}

}  // namespace
}  // namespace eelgrasspin::io
