#include "io/transport_h2.h"

#include <gtest/gtest.h>

#include <map>

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

}  // namespace
}  // namespace eelgrasspin
