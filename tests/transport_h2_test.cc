#include "io/transport_h2.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <map>
#include <optional>
#include <vector>

#include "eelgrasspin/config.h"
#include "io/h2_session.h"
#include "tests/io_test_util.h"

namespace eelgrasspin {
namespace {

class TransportTest : public ::testing::Test {
 protected:
  TransportTest()
      : front_(std::make_unique<io::TransportH2>(
            io_, DaemonName("gongoni-2"),
            io::TransportH2::Handlers{
                [this](PeerMessage message) {
                  messages_.push_back(std::move(message));
                },
                [this](const std::shared_ptr<io::InboundRequest>& inbound) {
                  inbound_.push_back(inbound);
                  inbound->on_abandoned([this] { ++abandoned_; });
                }})),
        entry_(io_, DaemonName("gongoni-1"), {}) {
    EXPECT_FALSE(front_->listen(kAnyPort));
    address_ = front_->bound_endpoint();
  }

  OutboundRequest request(bool repeatable = true) {
    OutboundRequest request;
    request.head.service = ServiceName("panboard");
    request.head.method = "POST";
    request.head.path = "/pans/pan-17/readings";
    request.head.caller = CallerName("foreman \"3\"");
    request.head.idempotency_key = "k-1";
    request.head.hops = 1;
    request.head.body_hash = 99;
    request.server = ServerName("panboard-01");
    request.slot = SlotId(12);
    request.epoch = Epoch(4);
    request.time_left = seconds(2);
    request.repeatable = repeatable;
    auto payload = std::make_shared<Payload>();
    payload->headers = {{"X-Echo", "mine"}};
    payload->body = std::string(300'000, 'w');
    request.payload = payload;
    return request;
  }

  AttemptId forward(const OutboundRequest& request) {
    AttemptId attempt(++attempts_);
    entry_.forward(attempt, address_, request,
                   [this, attempt](AttemptReply reply) {
                     replies_[attempt] = std::move(reply);
                   });
    return attempt;
  }

  bool wait_inbound(std::size_t count) {
    return run_until(io_, [&] { return inbound_.size() >= count; });
  }

  AttemptResult wait_reply(AttemptId attempt) {
    EXPECT_TRUE(run_until(io_, [&] { return replies_.count(attempt) == 1; }));
    return replies_[attempt].result;
  }

  boost::asio::io_context io_;
  std::vector<PeerMessage> messages_;
  std::vector<std::shared_ptr<io::InboundRequest>> inbound_;
  std::map<AttemptId, AttemptReply> replies_;
  int abandoned_ = 0;
  std::uint64_t attempts_ = 0;
  std::unique_ptr<io::TransportH2> front_;
  io::TransportH2 entry_;
  Endpoint address_;
};

TEST_F(TransportTest, CarriesMessages) {
  PeerHello hello{DaemonName("gongoni-1"), ZoneName("gongoni"), Incarnation(7)};
  entry_.send(address_, hello);
  ASSERT_TRUE(run_until(io_, [&] { return messages_.size() == 1; }));
  EXPECT_EQ(std::get<PeerHello>(messages_[0]), hello);
}

TEST_F(TransportTest, CarriesARequestAndItsCompleteAnswer) {
  AttemptId attempt = forward(request());
  ASSERT_TRUE(wait_inbound(1));
  const RequestHead& head = inbound_[0]->head();
  EXPECT_EQ(head.caller, CallerName("foreman \"3\""));
  EXPECT_EQ(head.path, "/pans/pan-17/readings");
  EXPECT_EQ(head.body_bytes, 300'000U);
  EXPECT_EQ(head.body_hash, 99U);
  EXPECT_EQ(head.hops, 1U);
  EXPECT_EQ(inbound_[0]->from().daemon, DaemonName("gongoni-1"));
  EXPECT_EQ(inbound_[0]->from().slot, SlotId(12));
  EXPECT_EQ(inbound_[0]->from().epoch, Epoch(4));
  inbound_[0]->answer(201, {{{"x-echo", "mine"}}, std::string(500'000, 'a')});
  auto answered = std::get<AttemptAnswered>(wait_reply(attempt));
  EXPECT_EQ(answered.status, 201);
  EXPECT_EQ(replies_[attempt].payload->body.size(), 500'000U);
}

TEST_F(TransportTest, CarriesRefusals) {
  AttemptId attempt = forward(request());
  ASSERT_TRUE(wait_inbound(1));
  inbound_[0]->refuse(Outcome::kNotRun, Reason::kMoved, milliseconds(70),
                      Epoch(9));
  auto not_run = std::get<AttemptNotRun>(wait_reply(attempt));
  EXPECT_EQ(not_run.reason, Reason::kMoved);
  EXPECT_EQ(not_run.retry_after, milliseconds(70));
  EXPECT_EQ(not_run.newer_epoch, Epoch(9));
  attempt = forward(request());
  ASSERT_TRUE(wait_inbound(2));
  inbound_[1]->refuse(Outcome::kUnknown, Reason::kTruncatedAnswer, {}, {});
  EXPECT_EQ(std::get<AttemptUnknown>(wait_reply(attempt)).reason,
            Reason::kTruncatedAnswer);
}

TEST_F(TransportTest, CancellationReachesTheOtherDaemon) {
  AttemptId attempt = forward(request());
  ASSERT_TRUE(wait_inbound(1));
  entry_.cancel(attempt);
  EXPECT_TRUE(run_until(io_, [&] { return abandoned_ == 1; }));
  EXPECT_TRUE(replies_.empty());
}

TEST_F(TransportTest, ClosedConnectionIsUnknownOnceSent) {
  AttemptId attempt = forward(request());
  ASSERT_TRUE(wait_inbound(1));
  front_->close();
  auto unknown = std::get<AttemptUnknown>(wait_reply(attempt));
  EXPECT_EQ(unknown.reason, Reason::kConnectionLost);
  EXPECT_FALSE(unknown.connection_closed);
}

TEST_F(TransportTest, NoConnectionIsNotRun) {
  front_->close();
  auto not_run = std::get<AttemptNotRun>(wait_reply(forward(request())));
  EXPECT_EQ(not_run.reason, Reason::kOwnerUnreachable);
}

TEST_F(TransportTest, StalledConnectionIsAbandonedAndANewOneWorks) {
  AttemptId first = forward(request());
  ASSERT_TRUE(wait_inbound(1));
  front_->stall_connections();
  AttemptId stalled = forward(request());
  EXPECT_TRUE(std::holds_alternative<AttemptUnknown>(wait_reply(stalled)));
  EXPECT_TRUE(std::holds_alternative<AttemptUnknown>(wait_reply(first)));
  AttemptId on_new_connection = forward(request());
  ASSERT_TRUE(wait_inbound(2));
  inbound_[1]->answer(200, {});
  EXPECT_TRUE(
      std::holds_alternative<AttemptAnswered>(wait_reply(on_new_connection)));
}

TEST_F(TransportTest, StoppingDaemonFinishesOpenStreamsAndRefusesNewOnes) {
  AttemptId open = forward(request());
  ASSERT_TRUE(wait_inbound(1));
  front_->shut_down();
  run_for(io_, std::chrono::milliseconds(20));
  auto refused = std::get<AttemptNotRun>(wait_reply(forward(request())));
  EXPECT_EQ(refused.reason, Reason::kOwnerUnreachable);
  inbound_[0]->answer(200, {});
  EXPECT_TRUE(std::holds_alternative<AttemptAnswered>(wait_reply(open)));
}

/// Two ends of a connection whose server answers each request with a body of
/// `response_bytes`.
class H2Bodies : public ::testing::Test {
 protected:
  io::H2StreamEnd exchange(std::size_t request_bytes,
                           std::size_t response_bytes) {
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(io_,
                           {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::shared_ptr<io::H2Session> server;
    acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
      io::H2Session::Handlers handlers;
      handlers.on_request = [&](io::H2Session::StreamId stream,
                                const io::H2Message& request) {
        requests_.push_back(request.body.size());
        server->respond(
            stream, {{{":status", "200"}}, std::string(response_bytes, 'r')});
        if (cuts_responses_) close_after_output(server);
      };
      server = io::accept_h2(std::move(socket), std::move(handlers));
    });
    auto client =
        io::connect_h2(io_, io::to_endpoint(acceptor.local_endpoint()), {});
    std::optional<io::H2StreamEnd> end;
    client->submit({{{":method", "POST"},
                     {":path", "/"},
                     {":scheme", "http"},
                     {":authority", "h"}},
                    std::string(request_bytes, 'q')},
                   [&](io::H2StreamEnd ended, const io::H2Message& message) {
                     end = ended;
                     response_bytes_ = message.body.size();
                   });
    EXPECT_TRUE(run_until(io_, [&] { return end.has_value(); }));
    client->close();
    if (server) server->close();
    run_for(io_, std::chrono::milliseconds(5));
    return end.value_or(io::H2StreamEnd::kNotProcessed);
  }

  /// Closes once the first output that is due has been written.
  void close_after_output(const std::shared_ptr<io::H2Session>& session) {
    boost::asio::post(io_, [this, session] {
      boost::asio::post(io_, [session] { session->close(); });
    });
  }

  boost::asio::io_context io_;
  bool cuts_responses_ = false;  ///< Closes the connection within each.
  std::vector<std::size_t> requests_;
  std::size_t response_bytes_ = 0;
};

TEST_F(H2Bodies, BodiesOfTheLargestSizeAreWhole) {
  EXPECT_EQ(exchange(config::kMaxBodyBytes, config::kMaxAnswerBytes),
            io::H2StreamEnd::kComplete);
  EXPECT_EQ(requests_, std::vector<std::size_t>{config::kMaxBodyBytes});
  EXPECT_EQ(response_bytes_, config::kMaxAnswerBytes);
}

TEST_F(H2Bodies, PartOfALargerResponseIsNotComplete) {
  for (std::size_t excess : {1, 100, 100'000}) {
    EXPECT_EQ(exchange(1, config::kMaxAnswerBytes + excess),
              io::H2StreamEnd::kLost)
        << excess;
  }
}

TEST_F(H2Bodies, PartOfACutResponseIsNotComplete) {
  cuts_responses_ = true;
  EXPECT_EQ(exchange(1, config::kMaxAnswerBytes), io::H2StreamEnd::kLost);
  EXPECT_EQ(requests_.size(), 1u);
}

TEST_F(H2Bodies, PartOfALargerRequestIsNotHandled) {
  for (std::size_t excess : {1, 100, 100'000}) {
    EXPECT_NE(exchange(config::kMaxBodyBytes + excess, 1),
              io::H2StreamEnd::kComplete)
        << excess;
  }
  EXPECT_TRUE(requests_.empty());
}

}  // namespace
}  // namespace eelgrasspin
