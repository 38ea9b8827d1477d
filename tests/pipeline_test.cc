#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "io/endpoint.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/log_rate_limiter.h"

namespace eelgrasspin::io {
namespace {

using boost::asio::ip::tcp;

class Pipeline : public ::testing::Test {
 protected:
  Pipeline()
      : server_(io_, {},
                [this](const std::shared_ptr<HttpExchange>& exchange) {
                  exchanges_.push_back(exchange);
                }),
        socket_(io_) {
    EXPECT_FALSE(server_.listen(Endpoint("127.0.0.1:0")));
    socket_.connect(*parse_endpoint(server_.bound_endpoint()));
  }

  void send(const std::string& text) {
    boost::asio::write(socket_, boost::asio::buffer(text));
  }
  template <class Done>
  void run_until(Done done) {
    for (int i = 0; i < 2000 && !done(); ++i) {
      io_.run_for(std::chrono::milliseconds(1));
      io_.restart();
    }
    ASSERT_TRUE(done());
  }
  /// Waits until the bytes received end with `end`, and returns them.
  std::string received(const std::string& end) {
    std::string text;
    socket_.non_blocking(true);
    run_until([&] {
      std::array<char, 4096> chunk{};
      boost::system::error_code failed;
      std::size_t count = socket_.read_some(boost::asio::buffer(chunk), failed);
      text.append(chunk.data(), count);
      return text.size() >= end.size() &&
             text.compare(text.size() - end.size(), end.size(), end) == 0;
    });
    return text;
  }

  boost::asio::io_context io_;
  std::vector<std::shared_ptr<HttpExchange>> exchanges_;
  HttpServer server_;
  tcp::socket socket_;
};

const std::string kFirst = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kSecond = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_F(Pipeline, RequestsAreHandledConcurrentlyAndAnsweredInOrder) {
  send(kFirst + kSecond);
  run_until([&] { return exchanges_.size() == 2; });
  exchanges_[1]->answer({200, {}, "second"});
  exchanges_[0]->answer({200, {}, "first"});
  std::string text = received("second");
  EXPECT_LT(text.find("first"), text.find("second"));
}

/// Guards against a 400 to the request that arrives after the limit of
/// concurrent requests was reached, in parts of any size and in every round.
TEST_F(Pipeline, RequestAfterAFullPipelineIsHandled) {
  const std::string request =
      "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
  constexpr std::size_t kLimit = 16;
  for (std::size_t open : {kLimit - 1, kLimit, kLimit + 1}) {
    for (std::size_t part : {std::size_t{7}, request.size()}) {
      exchanges_.clear();
      for (std::size_t i = 0; i < open; ++i) send(request);
      run_until([&] { return exchanges_.size() == std::min(open, kLimit); });
      std::size_t answered = 0;
      auto answer_next = [&] {
        exchanges_[answered++]->answer({200, {}, "ok"});
        EXPECT_TRUE(received("ok").starts_with("HTTP/1.1 200"));
      };
      answer_next();
      for (std::size_t at = 0; at < request.size(); at += part) {
        send(request.substr(at, part));
        io_.run_for(std::chrono::milliseconds(1));
        io_.restart();
      }
      while (answered <= open) {
        run_until([&] { return exchanges_.size() > answered; });
        EXPECT_EQ(exchanges_[answered]->request().body, "body");
        answer_next();
      }
    }
  }
}

TEST_F(Pipeline, PendingResponsesAreSentBeforeTheConnectionCloses) {
  send(kFirst + kSecond);
  run_until([&] { return exchanges_.size() == 2; });
  server_.close_after_answers();
  exchanges_[0]->answer({200, {}, "first"});
  std::string first = received("first");
  EXPECT_EQ(first.find("Connection: close"), std::string::npos);
  exchanges_[1]->answer({200, {}, "second"});
  std::string second = received("second");
  EXPECT_NE(second.find("Connection: close"), std::string::npos);
}

/// A caller that always has a request in progress must not keep its connection
/// open, and with it the stopping process alive, indefinitely.
TEST_F(Pipeline, NoFurtherRequestIsReadOnAConnectionThatWillClose) {
  send(kFirst);
  run_until([&] { return exchanges_.size() == 1; });
  server_.close_after_answers();
  send(kSecond);
  run_until([&] { return exchanges_.size() == 2; });
  exchanges_[0]->answer({200, {}, "first"});
  received("first");
  send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  io_.run_for(std::chrono::milliseconds(50));
  io_.restart();
  EXPECT_EQ(exchanges_.size(), 2u);
  exchanges_[1]->answer({200, {}, "second"});
  EXPECT_NE(received("second").find("Connection: close"), std::string::npos);
}

TEST_F(Pipeline, NoFurtherRequestIsReadOnceAcceptingHasStopped) {
  send(kFirst);
  run_until([&] { return exchanges_.size() == 1; });
  server_.close_after_answers();
  server_.stop_accepting();
  send(kSecond);
  io_.run_for(std::chrono::milliseconds(50));
  io_.restart();
  EXPECT_EQ(exchanges_.size(), 1u);
  exchanges_[0]->answer({200, {}, "first"});
  EXPECT_NE(received("first").find("Connection: close"), std::string::npos);
}

TEST_F(Pipeline, EveryRequestOfAClosedConnectionIsAbandoned) {
  send(kFirst + kSecond);
  run_until([&] { return exchanges_.size() == 2; });
  int abandoned = 0;
  for (const auto& exchange : exchanges_)
    exchange->on_abandoned([&abandoned] { ++abandoned; });
  socket_.close();
  run_until([&] { return abandoned == 2; });
}

TEST_F(Pipeline, ABadRequestIsRefusedAfterPendingResponses) {
  send(kFirst + "nonsense\r\n\r\n");
  run_until([&] { return exchanges_.size() == 1; });
  exchanges_[0]->answer({200, {}, "first"});
  std::string text = received("\n");
  EXPECT_LT(text.find("200 OK"), text.find("400 Bad Request"));
}

/// A server that sends the given bytes as the response and then optionally
/// closes the connection.
class RawServer {
 public:
  RawServer(boost::asio::io_context& io, std::string bytes, bool close)
      : acceptor_(io, tcp::endpoint(tcp::v4(), 0)),
        bytes_(std::move(bytes)),
        close_(close),
        socket_(io) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code failed) {
      if (!failed) read();
    });
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }

 private:
  void read() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this](boost::system::error_code failed, std::size_t) {
          if (failed) return;
          boost::asio::write(socket_, boost::asio::buffer(bytes_));
          if (close_) socket_.close();
        });
  }

  tcp::acceptor acceptor_;
  std::string bytes_;
  bool close_;
  tcp::socket socket_;
  std::array<char, 4096> buffer_{};
};

HttpResult call(const std::string& bytes, bool close,
                HttpResponseCheck matches_request = nullptr) {
  boost::asio::io_context io;
  RawServer server(io, bytes, close);
  std::optional<HttpResult> result;
  auto connection = make_http_connection(io, server.endpoint());
  connection->exchange_checked({"GET", "/", {}, "", {}}, seconds(2),
                               {std::move(matches_request), nullptr},
                               [&](HttpResult ended) {
                                 result = std::move(ended);
                                 io.stop();
                               });
  io.run_for(std::chrono::seconds(5));
  return result.value_or(HttpFailure{});
}

TEST(HttpClientResponses, AResponseWithoutLengthEndsWithItsConnection) {
  auto result = call("HTTP/1.1 200 OK\r\n\r\nwhole", true);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
  EXPECT_EQ(std::get<HttpResponse>(result).body, "whole");
}

TEST(HttpClientResponses, AResponseThatEndsEarlyIsTruncated) {
  auto result = call("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true);
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(result));
  EXPECT_EQ(std::get<HttpFailure>(result).kind, HttpFailureKind::kTruncated);
}

TEST(HttpClientResponses, AResponseThatEndsInItsHeadIsNoResponse) {
  std::string head =
      "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\n";
  for (std::size_t length = 1; length <= head.size(); ++length) {
    auto result = call(head.substr(0, length), true);
    ASSERT_TRUE(std::holds_alternative<HttpFailure>(result)) << length;
    EXPECT_EQ(std::get<HttpFailure>(result).kind, HttpFailureKind::kTruncated);
  }
}

TEST(HttpClientResponses, ResponsesToOtherRequestsAreSkipped) {
  auto is_expected = [](const HttpResponse& answer) {
    return answer.body == "mine";
  };
  auto result = call(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine",
      false, is_expected);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
  EXPECT_EQ(std::get<HttpResponse>(result).body, "mine");
}

TEST(LogRateLimiter, BoundsEachKindInEachSecondAndCountsTheRest) {
  LogRateLimiter limiter(2);
  TimePoint start{seconds(5)};
  EXPECT_TRUE(limiter.allow("a", start));
  EXPECT_TRUE(limiter.allow("a", start));
  EXPECT_FALSE(limiter.allow("a", start));
  EXPECT_TRUE(limiter.allow("b", start));
  EXPECT_TRUE(limiter.take_dropped(start).empty());
  auto dropped = limiter.take_dropped(start + seconds(1));
  ASSERT_EQ(dropped.size(), 1u);
  EXPECT_EQ(dropped[0].second, 1u);
  EXPECT_TRUE(limiter.allow("a", start + seconds(1)));
}

}  // namespace
}  // namespace eelgrasspin::io
