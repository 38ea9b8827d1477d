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
                  open_.push_back(exchange);
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
  /// What has arrived, waiting until it ends in `end`.
  std::string received(const std::string& end) {
    std::string text;
    socket_.non_blocking(true);
    run_until([&] {
      std::array<char, 4096> part{};
      boost::system::error_code failed;
      std::size_t count = socket_.read_some(boost::asio::buffer(part), failed);
      text.append(part.data(), count);
      return text.size() >= end.size() &&
             text.compare(text.size() - end.size(), end.size(), end) == 0;
    });
    return text;
  }

  boost::asio::io_context io_;
  std::vector<std::shared_ptr<HttpExchange>> open_;
  HttpServer server_;
  tcp::socket socket_;
};

const std::string kFirst = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kSecond = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_F(Pipeline, RequestsAreHandledSideBySideAndAnsweredInOrder) {
  send(kFirst + kSecond);
  run_until([&] { return open_.size() == 2; });
  open_[1]->answer({200, {}, "second"});
  open_[0]->answer({200, {}, "first"});
  std::string text = received("second");
  EXPECT_LT(text.find("first"), text.find("second"));
}

TEST_F(Pipeline, AnswersOwedAreSentBeforeTheConnectionCloses) {
  send(kFirst + kSecond);
  run_until([&] { return open_.size() == 2; });
  server_.close_after_answers();
  open_[0]->answer({200, {}, "first"});
  std::string first = received("first");
  EXPECT_EQ(first.find("Connection: close"), std::string::npos);
  open_[1]->answer({200, {}, "second"});
  std::string second = received("second");
  EXPECT_NE(second.find("Connection: close"), std::string::npos);
}

/// A caller that always has a request under way may not keep its connection,
/// and with it the stopping process, busy for ever.
TEST_F(Pipeline, NoFurtherRequestIsReadOnceAConnectionIsToClose) {
  send(kFirst);
  run_until([&] { return open_.size() == 1; });
  server_.close_after_answers();
  send(kSecond);
  run_until([&] { return open_.size() == 2; });
  open_[0]->answer({200, {}, "first"});
  received("first");
  send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  io_.run_for(std::chrono::milliseconds(50));
  io_.restart();
  EXPECT_EQ(open_.size(), 2u);
  open_[1]->answer({200, {}, "second"});
  EXPECT_NE(received("second").find("Connection: close"), std::string::npos);
}

TEST_F(Pipeline, NoFurtherRequestIsReadOnceAcceptingHasStopped) {
  send(kFirst);
  run_until([&] { return open_.size() == 1; });
  server_.close_after_answers();
  server_.stop_accepting();
  send(kSecond);
  io_.run_for(std::chrono::milliseconds(50));
  io_.restart();
  EXPECT_EQ(open_.size(), 1u);
  open_[0]->answer({200, {}, "first"});
  EXPECT_NE(received("first").find("Connection: close"), std::string::npos);
}

TEST_F(Pipeline, EveryRequestOfAClosedConnectionIsTold) {
  send(kFirst + kSecond);
  run_until([&] { return open_.size() == 2; });
  int gone = 0;
  for (const auto& exchange : open_)
    exchange->on_abandoned([&gone] { ++gone; });
  socket_.close();
  run_until([&] { return gone == 2; });
}

TEST_F(Pipeline, ABadRequestIsRefusedBehindTheAnswersOwed) {
  send(kFirst + "nonsense\r\n\r\n");
  run_until([&] { return open_.size() == 1; });
  open_[0]->answer({200, {}, "first"});
  std::string text = received("\n");
  EXPECT_LT(text.find("200 OK"), text.find("400 Bad Request"));
}

/// A server that sends given bytes for each request and then may close.
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
                               std::move(matches_request),
                               [&](HttpResult ended) {
                                 result = std::move(ended);
                                 io.stop();
                               });
  io.run_for(std::chrono::seconds(5));
  return result.value_or(HttpFailure{});
}

TEST(HttpClientAnswers, AnAnswerWithoutLengthEndsWithItsConnection) {
  auto result = call("HTTP/1.1 200 OK\r\n\r\nwhole", true);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
  EXPECT_EQ(std::get<HttpResponse>(result).body, "whole");
}

TEST(HttpClientAnswers, AnAnswerThatEndsEarlyIsNotComplete) {
  auto result = call("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true);
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(result));
  EXPECT_EQ(std::get<HttpFailure>(result).kind, HttpFailureKind::kTruncated);
}

TEST(HttpClientAnswers, AnswersToOtherRequestsArePassedOver) {
  auto mine = [](const HttpResponse& answer) { return answer.body == "mine"; };
  auto result = call(
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine",
      false, mine);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
  EXPECT_EQ(std::get<HttpResponse>(result).body, "mine");
}

TEST(LogRateLimiter, BoundsEachKindInEachSecondAndCountsTheRest) {
  LogRateLimiter budget(2);
  TimePoint start{seconds(5)};
  EXPECT_TRUE(budget.allow("a", start));
  EXPECT_TRUE(budget.allow("a", start));
  EXPECT_FALSE(budget.allow("a", start));
  EXPECT_TRUE(budget.allow("b", start));
  EXPECT_TRUE(budget.take_dropped(start).empty());
  auto left = budget.take_dropped(start + seconds(1));
  ASSERT_EQ(left.size(), 1u);
  EXPECT_EQ(left[0].second, 1u);
  EXPECT_TRUE(budget.allow("a", start + seconds(1)));
}

}  // namespace
}  // namespace eelgrasspin::io
