#include "io/fleet_shell.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <optional>
#include <thread>

#include "codec/fleet_json.h"
#include "io/request_fingerprint.h"
#include "key_orders.h"
#include "request_format.h"
#include "store_client.h"
#include "tests/io_test_util.h"
#include "tests/platform_standin.h"

/// One daemon in this process, with stand-ins for the platform: unexpected
/// errors in its handlers, and entries that other writers have left.
namespace eelgrasspin::platform {
namespace {

constexpr char kConfiguration[] =
    R"({"version":7,"limits":{"headerBytes":16384,"bodyBytes":1000000,)"
    R"("headerTimeoutS":3,"idleTimeoutS":15},"listeners":[{"host":"h","rules":[)"
    R"({"name":"r","kind":"safe","sloS":0.5,"priority":2,)"
    R"("match":{"prefix":"/r/"},"action":{"service":"book","timeoutS":1,)"
    R"("attempts":1}}]}],"clusters":[{"name":"book","maxConns":100}]})";

constexpr std::size_t kUploadBytes = config::kMaxBodyBytes + 1'000'000;

/// Throws where a field says so.
class FaultyFormat : public HeaderFormat {
 public:
  Result<io::CallerRequestHead> read_caller_request(
      const io::HttpRequest& request) const override {
    if (request.target == "/r/throw") throw std::runtime_error("read");
    return HeaderFormat::read_caller_request(request);
  }
  io::HttpRequest make_server_request(
      const io::HttpRequest& request,
      const fleet::SendAttempt& attempt) const override {
    if (request.target == "/r/throw-send") throw std::runtime_error("send");
    return HeaderFormat::make_server_request(request, attempt);
  }
  fleet::AttemptEnded classify(io::HttpResponse response) const override {
    if (throw_in_classify) throw std::runtime_error("classify");
    return HeaderFormat::classify(std::move(response));
  }
  bool throw_in_classify = false;
};

constexpr char kKeyedConfiguration[] =
    R"({"version":7,"limits":{"headerBytes":16384,"bodyBytes":1000000,)"
    R"("headerTimeoutS":3,"idleTimeoutS":15},"listeners":[{"host":"h","rules":[)"
    R"({"name":"r","kind":"safe","sloS":0.5,"priority":2,)"
    R"("match":{"prefix":"/r/"},"action":{"service":"book","timeoutS":1,)"
    R"("attempts":1}}]}],)"
    R"("clusters":[{"name":"book","maxConns":100,"sharded":true}]})";

/// Keeps grants until the test ends them, and confirms releases.
class HeldGrants : public io::KeyOrders {
 public:
  void grant(const fleet::GrantKeys& order, Callback done) override {
    ++sent;
    held_[order.order] = std::move(done);
  }
  void release(const fleet::ReleaseKeys& order, Callback done) override {
    done({order.order, fleet::OrderResult::kDone, "", "", {}});
  }
  bool empty() const { return held_.empty(); }
  void confirm_all() {
    for (auto& [order, done] : std::exchange(held_, {}))
      done({order, fleet::OrderResult::kDone, "", "", {}});
  }
  std::size_t sent = 0;

 private:
  std::map<std::uint64_t, Callback> held_;
};

Endpoint free_endpoint() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return io::to_endpoint(acceptor.local_endpoint());
}

class FleetShellTest : public ::testing::Test {
 protected:
  FleetShellTest()
      : store_(io_), server_(io_, "i-1", false), addresses_(make_addresses()) {
    store_.put(kServersKind, "i-1", server_.entry("book", "ready"));
    store_.put(kConfigKind, kActiveConfigName, kConfiguration);
    settings_.self = {DaemonName("d"), Incarnation(1), ZoneName("a"),
                      RegionName("r"), free_endpoint()};
    settings_.regions = {{ZoneName("a"), RegionName("r")}};
  }

  static io::ListenAddresses make_addresses() {
    return {free_endpoint(), free_endpoint(), free_endpoint()};
  }

  void start() {
    store_client_.emplace(io_, store_.endpoint());
    shell_.emplace(io_, settings_, addresses_, *store_client_, *key_orders_,
                   format_, [] {});
    ASSERT_TRUE(shell_->bind().empty());
    shell_->start();
  }
  void start_and_wait() {
    start();
    ASSERT_TRUE(run_until(io_, [&] {
      return status(addresses_.ready, {"GET", "/ready", {}, "", {}}) == 200;
    }));
  }

  int status(const Endpoint& to, const io::HttpRequest& request,
             std::string* body = nullptr) {
    std::optional<io::HttpResult> result;
    auto connection = io::make_http_connection(io_, to);
    connection->exchange(request, seconds(4), [&](io::HttpResult ended) {
      result = std::move(ended);
    });
    run_until(io_, [&] { return result.has_value(); });
    connection->close();
    if (!result) return 0;
    auto* response = std::get_if<io::HttpResponse>(&*result);
    if (response == nullptr) return 0;
    if (body != nullptr) *body = response->body;
    return response->status;
  }
  int request(const std::string& path) {
    return status(addresses_.callers,
                  {"GET",
                   path,
                   {{"Host", "h"},
                    {kRequestIdHeader, "id" + std::to_string(++last_id_)},
                    {kDeadlineMsHeader, "2000"}},
                   "",
                   {}});
  }
  static std::string configuration_for_uploads() {
    json::object configuration = json::parse(kConfiguration).as_object();
    configuration["limits"].as_object()["bodyBytes"] = kUploadBytes;
    return json::serialize(configuration);
  }
  /// Sends a body that is over the default limit.
  int upload(std::string* body = nullptr) {
    return status(addresses_.callers,
                  {"POST",
                   "/r/x",
                   {{"Host", "h"},
                    {kRequestIdHeader, "id" + std::to_string(++last_id_)},
                    {kDeadlineMsHeader, "2000"}},
                   std::string(kUploadBytes, 'u'),
                   {}},
                  body);
  }
  std::string metrics() {
    std::string body;
    status(addresses_.metrics, {"GET", "/metrics", {}, "", {}}, &body);
    return body;
  }

  boost::asio::io_context io_;
  StoreStandin store_;
  ServerStandin server_;
  KeyOrdersClient orders_{io_};
  io::KeyOrders* key_orders_ = &orders_;
  FaultyFormat format_;
  fleet::Settings settings_;
  io::ListenAddresses addresses_;
  std::optional<StoreClient> store_client_;
  std::optional<io::FleetShell> shell_;
  int last_id_ = 0;
};

TEST_F(FleetShellTest, ErrorWhileReadingARequestEndsOnlyThatRequest) {
  start_and_wait();
  EXPECT_EQ(request("/r/x"), 200);
  EXPECT_EQ(request("/r/throw"), 500);
  EXPECT_EQ(request("/r/x"), 200);
  EXPECT_NE(metrics().find("unexpected_error\"} 1"), std::string::npos);
}

TEST_F(FleetShellTest, ErrorWhileSendingEndsOnlyThatRequest) {
  start_and_wait();
  EXPECT_GE(request("/r/throw-send"), 502);
  EXPECT_EQ(request("/r/x"), 200);
}

TEST_F(FleetShellTest, ErrorWhileReadingAnAnswerPromisesNothing) {
  start_and_wait();
  format_.throw_in_classify = true;
  EXPECT_EQ(request("/r/x"), 502);
  format_.throw_in_classify = false;
  EXPECT_EQ(request("/r/x"), 200);
}

/// Guards against a final refusal by default limits.
TEST_F(FleetShellTest, UploadBeforeTheFirstConfigurationMayBeSentAgain) {
  store_.remove(kConfigKind, kActiveConfigName);
  start();
  std::string why;
  EXPECT_EQ(upload(&why), 503);
  EXPECT_EQ(why, "no_configuration\n");
  store_.put(kConfigKind, kActiveConfigName, configuration_for_uploads());
  EXPECT_TRUE(run_until(io_, [&] {
    int got = upload();
    EXPECT_TRUE(got == 503 || got == 200) << got;
    return got != 503;
  }));
}

/// Guards against readiness before the limits of the configuration hold.
TEST_F(FleetShellTest, ReadyDaemonTakesUploadsOfTheConfiguredSize) {
  store_.put(kConfigKind, kActiveConfigName, configuration_for_uploads());
  start_and_wait();
  EXPECT_EQ(upload(), 200);
}

TEST_F(FleetShellTest, MalformedDatagramsDoNotStopThoseThatFollow) {
  start_and_wait();
  boost::asio::ip::udp::socket socket(io_, boost::asio::ip::udp::v4());
  auto peer = io::parse_endpoint(settings_.self.peer);
  ASSERT_TRUE(peer.has_value());
  boost::asio::ip::udp::endpoint to(peer->address(), peer->port());
  auto send = [&](const std::string& text) {
    socket.send_to(boost::asio::buffer(text), to);
  };
  send("");
  send("{");
  send(std::string(20'000, '['));
  send(R"({"seq":1e999999999999})");
  send(R"({"heartbeats":[{}],"zone":"a","loads":[["s",-1]]})");
  send(R"({"map":"book","base":1,"revision":2,"coordinator":"x",)"
       R"("coordinator_incarnation":1,"term":1,"next_epoch":1,)"
       R"("ranges":[[70000,1,["s",1],1,[]]]})");
  fleet::Heartbeat heartbeat;
  heartbeat.daemon = {DaemonName("other"), Incarnation(1), ZoneName("a"),
                      RegionName("r"), Endpoint("127.0.0.1:9")};
  heartbeat.sequence = 1;
  send(codec::encode_heartbeat(heartbeat));
  EXPECT_TRUE(run_until(io_, [&] {
    return metrics().find("daemon_heard\"} 1") != std::string::npos;
  }));
  EXPECT_EQ(request("/r/x"), 200);
}

TEST_F(FleetShellTest, OddEntriesDoNotHideServers) {
  std::string deep = std::string(3000, '[') + std::string(3000, ']');
  store_.put(kServersKind, "i-0", R"({"addr":"10.0.0.1:70000"})");
  store_.put_text(kServersKind, "i-deep", deep);
  store_.put_text(kServersKind, "i-number", R"({"born":1e99999999999})");
  store_.put_text(kServersKind, "i-surrogate", R"({"addr":"\udcff"})");
  start_and_wait();
  EXPECT_EQ(request("/r/x"), 200);
  ServerStandin second(io_, "i-2", false);
  store_.put_text(kServersKind, "i-deep", "[" + deep + "]");
  store_.put_text(kServersKind, "i-surrogate", R"({"addr":"\ud800"})");
  store_.remove(kServersKind, "i-1");
  server_.crash();
  store_.put(kServersKind, "i-2", second.entry("book", "ready"));
  EXPECT_TRUE(run_until(io_, [&] { return request("/r/x") == 200; }));
  EXPECT_FALSE(second.ran.empty());
}

/// Guards against orders of a coordinator that may have been replaced during a
/// pause: an answer that has queued up is handled before the tick.
TEST_F(FleetShellTest, AnswerAfterAPauseLeadsToNoOrderBeforeTheMapIsRead) {
  HeldGrants grants;
  key_orders_ = &grants;
  store_.put(kConfigKind, kActiveConfigName, kKeyedConfiguration);
  start();
  ASSERT_TRUE(run_until(io_, [&] { return !grants.empty(); }));
  std::size_t sent = grants.sent;
  bool confirmed = false;
  boost::asio::post(io_, [&] {
    grants.confirm_all();
    confirmed = true;
  });
  // Longer than the interval of renewals, so that one is due.
  std::this_thread::sleep_for(fleet::config::kLowTrafficRenewalInterval +
                              milliseconds(200));
  ASSERT_TRUE(run_until(io_, [&] { return confirmed; }));
  EXPECT_EQ(grants.sent, sent);
  EXPECT_TRUE(run_until(io_, [&] { return grants.sent > sent; }));
}

TEST(RequestFingerprint, IsThatOfCallerPathAndBody) {
  using io::request_fingerprint;
  io::HttpRequest request{
      "POST", "/x/1?page=1", {}, "body", Endpoint("10.9.0.1:7")};
  fleet::Fingerprint fingerprint = request_fingerprint(request);
  io::HttpRequest repeated = request;
  repeated.target = "/x/1?page=2&sort=new";
  repeated.remote = Endpoint("10.9.0.1:8");
  repeated.headers = {{"X-Request", "2"}};
  EXPECT_EQ(request_fingerprint(repeated), fingerprint);
  io::HttpRequest other_path = request;
  other_path.target = "/x/2?page=1";
  EXPECT_NE(request_fingerprint(other_path), fingerprint);
  io::HttpRequest other_body = request;
  other_body.body = "another";
  EXPECT_NE(request_fingerprint(other_body), fingerprint);
  io::HttpRequest other_caller = request;
  other_caller.remote = Endpoint("10.9.0.2:7");
  EXPECT_NE(request_fingerprint(other_caller), fingerprint);
}

}  // namespace
}  // namespace eelgrasspin::platform
