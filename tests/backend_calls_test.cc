#include <gtest/gtest.h>

#include <map>

#include "io/backend_calls_http.h"
#include "io/backend_control_http.h"
#include "standin/server.h"
#include "tests/io_test_util.h"

namespace eelgrasspin {
namespace {

const SlotGrant kGrantedSlot{SlotId(7), Key(), Epoch(4)};

class BackendCallsTest : public ::testing::Test {
 protected:
  BackendCallsTest() : control_(io_), calls_(io_, "test-1") {
    start_server({.name = ServerName("panboard-01"),
                  .concurrency = 4,
                  .service_time = milliseconds(2)});
  }

  void start_server(const standin::ServerOptions& options) {
    server_ = std::make_unique<standin::BackendServer>(io_, options);
    EXPECT_FALSE(server_->listen(kAnyPort));
  }

  GrantReply order(const GrantOrder& order) {
    std::optional<GrantReply> reply;
    control_.order(ServerName("panboard-01"), server_->bound_endpoint(), order,
                   [&](GrantReply answer) { reply = std::move(answer); });
    EXPECT_TRUE(run_until(io_, [&] { return reply.has_value(); }));
    return *reply;
  }

  void grant(FrontEpoch epoch = FrontEpoch(1)) {
    GrantOrder first{.front_epoch = epoch, .sequence = 1, .term = seconds(60)};
    first.set_version = 1;
    first.carries_set = true;
    first.slots = {kGrantedSlot};
    EXPECT_TRUE(std::holds_alternative<GrantAnswer>(order(first)));
    GrantOrder second = first;
    second.sequence = 2;
    second.echo = 1;
    EXPECT_TRUE(std::holds_alternative<GrantAnswer>(order(second)));
  }

  OutboundRequest request(bool repeatable = true) {
    OutboundRequest request;
    request.head.service = ServiceName("panboard");
    request.head.method = "POST";
    request.head.path = "/pans/pan-1/readings";
    request.slot = kGrantedSlot.slot;
    request.key = Key("pan-1\r\nx: y");
    request.epoch = kGrantedSlot.epoch;
    request.front_epoch = FrontEpoch(1);
    request.time_left = seconds(2);
    request.repeatable = repeatable;
    auto payload = std::make_shared<Payload>();
    payload->headers = {{"X-Echo", "mine"}};
    payload->body = "wet";
    request.payload = payload;
    return request;
  }

  AttemptId send(const OutboundRequest& request) {
    AttemptId attempt(++attempts_);
    calls_.run(attempt, server_->bound_endpoint(), request,
               [this, attempt](AttemptReply reply) {
                 replies_[attempt] = std::move(reply);
               });
    return attempt;
  }

  AttemptReply run(const OutboundRequest& request) {
    AttemptId attempt = send(request);
    EXPECT_TRUE(run_until(
        io_, [&] { return replies_.find(attempt) != replies_.end(); }));
    return replies_[attempt];
  }

  Reason not_run_reason(const AttemptReply& reply) {
    const auto* not_run = std::get_if<AttemptNotRun>(&reply.result);
    return not_run == nullptr ? Reason::kNone : not_run->reason;
  }

  boost::asio::io_context io_;
  std::unique_ptr<standin::BackendServer> server_;
  io::BackendControlHttp control_;
  io::BackendCallsHttp calls_;
  std::map<AttemptId, AttemptReply> replies_;
  std::uint64_t attempts_ = 0;
};

TEST_F(BackendCallsTest, RequestRunsOnlyUnderAGrant) {
  EXPECT_EQ(not_run_reason(run(request())), Reason::kGrantRefused);
  grant();
  AttemptReply reply = run(request());
  ASSERT_TRUE(std::holds_alternative<AttemptAnswered>(reply.result));
  EXPECT_NE(reply.payload->body.find("\"echo\":\"mine\""), std::string::npos);
  ASSERT_EQ(server_->executions().size(), 1U);
  EXPECT_EQ(server_->executions()[0].key, "pan-1\r\nx: y");
  OutboundRequest stale = request();
  stale.epoch = Epoch(3);
  EXPECT_EQ(not_run_reason(run(stale)), Reason::kGrantRefused);
  EXPECT_EQ(server_->executions().size(), 1U);
}

TEST_F(BackendCallsTest, LowerFrontEpochIsStale) {
  grant(FrontEpoch(5));
  GrantReply reply = order({.front_epoch = FrontEpoch(4), .sequence = 1});
  EXPECT_EQ(std::get<GrantStale>(reply).highest_epoch, FrontEpoch(5));
  EXPECT_EQ(not_run_reason(run(request())), Reason::kGrantRefused);
}

TEST_F(BackendCallsTest, ReusesConnectionsWithinTheLimit) {
  grant();
  calls_.set_limits(server_->bound_endpoint(),
                    {2, milliseconds(1), seconds(1)});
  for (int i = 0; i < 20; ++i) send(request());
  ASSERT_TRUE(run_until(io_, [&] { return replies_.size() == 20; }));
  for (const auto& [attempt, reply] : replies_) {
    EXPECT_TRUE(std::holds_alternative<AttemptAnswered>(reply.result));
  }
  EXPECT_EQ(server_->executions().size(), 20U);
  EXPECT_LE(server_->most_running(), 2U);
  EXPECT_LE(calls_.connections(server_->bound_endpoint()), 2U);
}

TEST_F(BackendCallsTest, PushbackIsNotRun) {
  grant();
  server_->set_shedding(true);
  AttemptReply reply = run(request());
  EXPECT_EQ(not_run_reason(reply), Reason::kPushback);
  EXPECT_EQ(std::get<AttemptNotRun>(reply.result).retry_after, seconds(1));
  EXPECT_TRUE(server_->executions().empty());
}

TEST_F(BackendCallsTest, RefusedConnectionIsNotRun) {
  server_->close();
  EXPECT_EQ(not_run_reason(run(request())), Reason::kOwnerUnreachable);
}

TEST_F(BackendCallsTest, TruncatedAnswerIsUnknown) {
  grant();
  server_->set_truncating(true);
  AttemptReply reply = run(request());
  EXPECT_EQ(std::get<AttemptUnknown>(reply.result).reason,
            Reason::kTruncatedAnswer);
  EXPECT_EQ(reply.payload, nullptr);
}

TEST_F(BackendCallsTest, ClosedConnectionIsUnknownAndReportedAsClosed) {
  grant();
  server_->set_service_time(milliseconds(500));
  AttemptId attempt = send(request(false));
  ASSERT_TRUE(
      run_until(io_, [&] { return server_->executions().size() == 1; }));
  server_->close();
  ASSERT_TRUE(run_until(io_, [&] { return replies_.count(attempt) == 1; }));
  auto unknown = std::get<AttemptUnknown>(replies_[attempt].result);
  EXPECT_EQ(unknown.reason, Reason::kConnectionLost);
  EXPECT_TRUE(unknown.connection_closed);
}

TEST_F(BackendCallsTest, TimeoutIsUnknownAndItsConnectionIsNotReused) {
  grant();
  server_->set_service_time(milliseconds(300));
  OutboundRequest short_deadline_request = request();
  short_deadline_request.time_left = milliseconds(50);
  EXPECT_EQ(std::get<AttemptUnknown>(run(short_deadline_request).result).reason,
            Reason::kTimeoutAfterSend);
  EXPECT_EQ(calls_.connections(server_->bound_endpoint()), 0U);
  server_->set_service_time(milliseconds(1));
  AttemptReply next = run(request());
  EXPECT_TRUE(std::holds_alternative<AttemptAnswered>(next.result));
}

TEST_F(BackendCallsTest, CancellationReachesTheServer) {
  grant();
  server_->set_service_time(milliseconds(800));
  AttemptId attempt = send(request());
  ASSERT_TRUE(
      run_until(io_, [&] { return server_->executions().size() == 1; }));
  calls_.cancel(attempt);
  ASSERT_TRUE(run_until(io_, [&] { return server_->executions()[0].aborted; }));
  EXPECT_TRUE(replies_.empty());
}

TEST_F(BackendCallsTest,
       NonRepeatableRequestUsesANewConnectionIfTheIdleOneIsOld) {
  grant();
  run(request());
  run_for(io_, std::chrono::milliseconds(150));
  server_->stall_connections();
  AttemptReply reply = run(request(false));
  EXPECT_TRUE(std::holds_alternative<AttemptAnswered>(reply.result));
  EXPECT_EQ(server_->executions().size(), 2U);
}

TEST_F(BackendCallsTest, StalledConnectionIsAbandonedInTimeForANewOne) {
  grant();
  calls_.set_limits(server_->bound_endpoint(),
                    {4, milliseconds(1), milliseconds(200)});
  run(request());
  server_->stall_connections();
  AttemptReply first = run(request());
  EXPECT_EQ(std::get<AttemptUnknown>(first.result).reason,
            Reason::kConnectionLost);
  EXPECT_FALSE(std::get<AttemptUnknown>(first.result).connection_closed);
  AttemptReply second = run(request());
  EXPECT_TRUE(std::holds_alternative<AttemptAnswered>(second.result));
}

}  // namespace
}  // namespace eelgrasspin
