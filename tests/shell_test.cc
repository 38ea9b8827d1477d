#include "io/shell.h"

#include <gtest/gtest.h>

#include "tests/io_cluster.h"

namespace eelgrasspin {
namespace {

class ShellTest : public ::testing::Test {
 protected:
  void start(int daemons, const standin::ServerOptions& options) {
    for (int i = 1; i <= 2; ++i) {
      standin::ServerOptions server = options;
      server.name = ServerName("panboard-0" + std::to_string(i));
      cluster_.add_server(server);
    }
    for (int i = 1; i <= daemons; ++i) {
      cluster_.add_daemon("gongoni-" + std::to_string(i));
    }
    ASSERT_TRUE(cluster_.apply_and_wait_until_served());
  }

  IoCluster cluster_;
};

const standin::ServerOptions kQuick{.concurrency = 4,
                                    .service_time = milliseconds(1)};

TEST_F(ShellTest, AnyDaemonRelaysTheOwnersCompleteAnswer) {
  start(2, kQuick);
  for (int key = 0; key < 24; ++key) {
    std::string name = "pan-" + std::to_string(key);
    io::HttpResponse first = cluster_.answer(cluster_.daemon(0).callers(),
                                             IoCluster::read_pan(name));
    io::HttpResponse second = cluster_.answer(cluster_.daemon(1).callers(),
                                              IoCluster::read_pan(name));
    EXPECT_EQ(IoCluster::outcome(first), "answered");
    EXPECT_EQ(IoCluster::outcome(second), "answered");
    for (const io::HttpResponse& answer : {first, second}) {
      EXPECT_NE(answer.body.find("\"echo\":\"" + name + "\""),
                std::string::npos);
    }
  }
}

TEST_F(ShellTest, OwnerCommandNamesTheServerThatAnswers) {
  start(1, kQuick);
  io::HttpResponse owner_reply =
      cluster_.command(cluster_.daemon(0), "owner of panboard \"pan-3\"");
  ASSERT_EQ(owner_reply.status, 200) << owner_reply.body;
  io::HttpResponse answer = cluster_.answer(cluster_.daemon(0).callers(),
                                            IoCluster::read_pan("pan-3"));
  std::string server = answer.body.find("panboard-01") != std::string::npos
                           ? "panboard-01"
                           : "panboard-02";
  EXPECT_NE(owner_reply.body.find(server), std::string::npos)
      << owner_reply.body;
}

TEST_F(ShellTest, RefusalsReportNotRun) {
  start(1, kQuick);
  std::size_t before = cluster_.executions();
  io::Shell& daemon = cluster_.daemon(0);
  io::HttpRequest request = IoCluster::read_pan("pan-1");
  request.target = "/nothing/pans/pan-1";
  io::HttpResponse unknown = cluster_.answer(daemon.callers(), request);
  EXPECT_EQ(unknown.status, 404);
  EXPECT_EQ(IoCluster::outcome(unknown), "not run");
  request.target = "/panboard/pans/pan-1/dispatches";
  request.method = "POST";
  io::HttpResponse keyless = cluster_.answer(daemon.callers(), request);
  EXPECT_EQ(keyless.status, 400);
  EXPECT_EQ(IoCluster::outcome(keyless), "not run");
  EXPECT_EQ(cluster_.executions(), before);
}

TEST_F(ShellTest, DisconnectOfTheCallerAbortsTheWork) {
  start(2, kQuick);
  cluster_.server(0).set_service_time(milliseconds(350));
  cluster_.server(1).set_service_time(milliseconds(350));
  std::size_t before = cluster_.executions();
  for (int daemon = 0; daemon < 2; ++daemon) {
    RawClient client(cluster_.io(), cluster_.daemon(daemon).callers());
    client.send("GET /panboard/pans/pan-1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(run_until(cluster_.io(), [&] {
      return cluster_.executions() == before + daemon + 1;
    }));
  }
  auto aborted = [&] {
    std::size_t count = 0;
    for (int i = 0; i < 2; ++i) {
      for (const auto& run : cluster_.server(i).executions()) {
        count += run.aborted ? 1 : 0;
      }
    }
    return count;
  };
  EXPECT_TRUE(run_until(cluster_.io(), [&] { return aborted() == 2; }));
}

TEST_F(ShellTest, CallersAreServedWithinTwoSecondsIfServerConnectionsStall) {
  start(1, kQuick);
  cluster_.server(0).stall_connections();
  cluster_.server(1).stall_connections();
  for (int key = 0; key < 4; ++key) {
    io::HttpResponse answer =
        cluster_.answer(cluster_.daemon(0).callers(),
                        IoCluster::read_pan("pan-" + std::to_string(key)));
    EXPECT_EQ(IoCluster::outcome(answer), "answered") << answer.body;
  }
}

TEST_F(ShellTest, CallersAreServedWithinTwoSecondsIfDaemonConnectionsStall) {
  start(2, kQuick);
  cluster_.daemon(0).transport().stall_connections();
  for (int daemon = 0; daemon < 2; ++daemon) {
    for (int key = 0; key < 4; ++key) {
      io::HttpResponse answer =
          cluster_.answer(cluster_.daemon(daemon).callers(),
                          IoCluster::read_pan("pan-" + std::to_string(key)));
      EXPECT_EQ(IoCluster::outcome(answer), "answered") << answer.body;
    }
  }
}

TEST_F(ShellTest, GracefulStopFinishesOpenRequests) {
  start(2, kQuick);
  cluster_.server(0).set_service_time(milliseconds(200));
  cluster_.server(1).set_service_time(milliseconds(200));
  std::vector<std::shared_ptr<std::optional<io::HttpResult>>> calls;
  calls.reserve(12);
  for (int i = 0; i < 12; ++i) {
    calls.push_back(cluster_.begin(
        cluster_.daemon(i % 2).callers(),
        IoCluster::read_pan("pan-" + std::to_string(i), 5000), seconds(8)));
  }
  run_for(cluster_.io(), std::chrono::milliseconds(50));
  cluster_.daemon(0).request_stop();
  EXPECT_TRUE(run_until(cluster_.io(), [&] { return cluster_.exited(0); }));
  for (const auto& call : calls) {
    ASSERT_TRUE(run_until(cluster_.io(), [&] { return call->has_value(); }));
    const auto* answer = std::get_if<io::HttpResponse>(&call->value());
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(IoCluster::outcome(*answer), "answered") << answer->body;
  }
  EXPECT_TRUE(cluster_.served(cluster_.daemon(1), "pan-1"));
}

TEST_F(ShellTest, OtherDaemonServesAllKeysAfterOneCloses) {
  start(2, kQuick);
  cluster_.daemon(0).close();
  for (int key = 0; key < 24; ++key) {
    EXPECT_TRUE(
        cluster_.served(cluster_.daemon(1), "pan-" + std::to_string(key)));
  }
}

TEST_F(ShellTest, OperatorPortRefusesWithoutAToken) {
  io::Shell& daemon = cluster_.add_daemon("gongoni-1");
  io::HttpRequest request{"POST", "/command", {}, "show services", {}};
  EXPECT_EQ(cluster_.answer(daemon.operators(), request).status, 401);
  request.headers = {{"Authorization", "Bearer alice-token-000001"}};
  EXPECT_EQ(cluster_.answer(daemon.operators(), request).status, 401);
  request.headers = IoCluster::operator_headers();
  request.body = "shw services";
  EXPECT_EQ(cluster_.answer(daemon.operators(), request).status, 422);
  request = {
      "POST", "/declarations", IoCluster::operator_headers(), "[zone x]\n", {}};
  EXPECT_EQ(cluster_.answer(daemon.operators(), request).status, 422);
  request = {"GET", "/metrics", {}, {}, {}};
  EXPECT_NE(cluster_.answer(daemon.operators(), request)
                .body.find("eelgrasspin_requests_total 0"),
            std::string::npos);
}

TEST_F(ShellTest, PortInUseFailsToBind) {
  io::Shell& first = cluster_.add_daemon("gongoni-1");
  config::Settings settings;
  settings.name = DaemonName("gongoni-2");
  settings.callers = kAnyPort;
  settings.peers = first.peers();
  settings.operators = first.operators();
  settings.store = settings.vm_list = cluster_.platform().bound_endpoint();
  io::Shell second(cluster_.io(), settings, nullptr);
  std::vector<Error> errors = second.bind();
  ASSERT_EQ(errors.size(), 2U);
  EXPECT_NE(errors[0].message.find(first.peers().str()), std::string::npos);
  EXPECT_EQ(second.callers(), Endpoint("0.0.0.0:0"));
}

}  // namespace
}  // namespace eelgrasspin
