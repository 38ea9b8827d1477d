#ifndef EELGRASSPIN_TESTS_IO_CLUSTER_H_
#define EELGRASSPIN_TESTS_IO_CLUSTER_H_

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "io/shell.h"
#include "standin/platform.h"
#include "standin/server.h"
#include "tests/io_test_util.h"

namespace eelgrasspin {

/// Complete daemons, with stand-ins for the platform and backend servers, over
/// loopback sockets in one thread. One zone, one service "panboard".
class IoCluster {
 public:
  IoCluster() : platform_(io_) {
    EXPECT_FALSE(platform_.listen(kAnyPort));
    work_ = std::make_unique<boost::asio::io_context::work>(io_);
  }

  void add_server(const standin::ServerOptions& options) {
    servers_.push_back(std::make_unique<standin::BackendServer>(io_, options));
    EXPECT_FALSE(servers_.back()->listen(kAnyPort));
    names_.push_back(options.name);
    concurrency_.push_back(options.concurrency);
  }

  io::Shell& add_daemon(const std::string& name) {
    config::Settings settings;
    settings.name = DaemonName(name);
    settings.zone = ZoneName("gongoni");
    settings.region = RegionName("kilifi");
    settings.callers = settings.peers = settings.operators = kAnyPort;
    settings.store = settings.vm_list = platform_.bound_endpoint();
    settings.tokens = {{OperatorName("alice"), "alice-token-000000"}};
    std::size_t index = daemons_.size();
    exited_.push_back(false);
    daemons_.push_back(std::make_unique<io::Shell>(
        io_, settings, [this, index] { exited_[index] = true; }));
    EXPECT_TRUE(daemons_.back()->bind().empty());
    daemons_.back()->start();
    return *daemons_.back();
  }

  std::string declarations() const {
    std::string text =
        "[deployment]\nname = test\nschema = 1\n\n[region kilifi]\n\n"
        "[zone gongoni]\nregion = kilifi\n\n[service panboard]\n"
        "key_slots = 16\ndeadline = 5s\nexecution_limit = 400ms\n"
        "queue_limit = 64\non_isolation = keep\nyield_after = 10m\n"
        "when_store_down = refuse\nweight_imbalance = 1\nweight_churn = 1\n"
        "weight_unavailable = 4\nmoves_per_minute = 64\n\n"
        "[operation panboard reading]\nmethod = PUT\n"
        "path = /pans/{key}/readings\nclass = idempotent\n\n"
        "[operation panboard dispatch]\nmethod = POST\n"
        "path = /pans/{key}/dispatches\nclass = at_most_once\n\n"
        "[operation panboard pan]\nmethod = GET\npath = /pans/{key}\n"
        "class = read\n";
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      text += "\n[server " + names_[i].str() +
              "]\nservice = panboard\nzone = gongoni\naddress = " +
              servers_[i]->bound_endpoint().str() +
              "\nslots = " + std::to_string(concurrency_[i]) +
              "\nconnections = 130\nconnection_interval = 1ms\n"
              "checks_grants = yes\n";
    }
    return text;
  }

  io::HttpResult call(const Endpoint& to, const io::HttpRequest& request,
                      Duration timeout = seconds(6)) {
    std::optional<io::HttpResult> result = call_and_wait(to, request, timeout);
    return *result;
  }

  io::HttpResponse answer(const Endpoint& to, const io::HttpRequest& request,
                          Duration timeout = seconds(6)) {
    io::HttpResult result = call(to, request, timeout);
    if (const auto* response = std::get_if<io::HttpResponse>(&result))
      return *response;
    return {0, {}, std::get<io::HttpFailure>(result).why, false};
  }

  io::HttpResponse apply(io::Shell& daemon) {
    return answer(
        daemon.operators(),
        {"POST", "/declarations", operator_headers(), declarations(), {}});
  }

  io::HttpResponse command(io::Shell& daemon, const std::string& text) {
    return answer(daemon.operators(),
                  {"POST", "/command", operator_headers(), text, {}});
  }

  static io::HeaderFields operator_headers() {
    return {{"Authorization", "Bearer alice-token-000000"}};
  }

  static io::HttpRequest read_pan(const std::string& key,
                                  int deadline_ms = 2000) {
    return {"GET",
            "/panboard/pans/" + key,
            {{"Eelgrasspin-Deadline-Ms", std::to_string(deadline_ms)},
             {"X-Echo", key}},
            {},
            {}};
  }

  static std::string outcome(const io::HttpResponse& response) {
    const std::string* text =
        io::find_header(response.headers, "eelgrasspin-outcome");
    return text == nullptr ? std::string() : *text;
  }

  /// Applies the declarations and waits until every key is served by each
  /// daemon.
  bool apply_and_wait_until_served() {
    if (apply(*daemons_.front()).status != 200) return false;
    for (const auto& daemon : daemons_) {
      for (int key = 0; key < 24; ++key) {
        if (!served(*daemon, "pan-" + std::to_string(key))) return false;
      }
    }
    return true;
  }

  bool served(io::Shell& daemon, const std::string& key) {
    for (int i = 0; i < 100; ++i) {
      io::HttpResponse result =
          answer(daemon.callers(), read_pan(key), seconds(3));
      if (outcome(result) == "answered") return true;
      run_for(io_, std::chrono::milliseconds(50));
    }
    return false;
  }

  boost::asio::io_context& io() { return io_; }
  standin::Platform& platform() { return platform_; }
  standin::BackendServer& server(std::size_t index) { return *servers_[index]; }
  io::Shell& daemon(std::size_t index) { return *daemons_[index]; }
  bool exited(std::size_t index) const { return exited_[index]; }
  std::size_t executions() const {
    std::size_t count = 0;
    for (const auto& server : servers_) count += server->executions().size();
    return count;
  }

  /// Starts a call. Its result is set while the io_context runs.
  std::shared_ptr<std::optional<io::HttpResult>> begin(
      const Endpoint& to, const io::HttpRequest& request, Duration timeout) {
    auto result = std::make_shared<std::optional<io::HttpResult>>();
    auto connection = io::make_http_connection(io_, to);
    connection->exchange(request, timeout,
                         [result, connection](io::HttpResult ended) {
                           *result = std::move(ended);
                           connection->close();
                         });
    return result;
  }

 private:
  std::optional<io::HttpResult> call_and_wait(const Endpoint& to,
                                              const io::HttpRequest& request,
                                              Duration timeout) {
    auto result = begin(to, request, timeout);
    EXPECT_TRUE(run_until(io_, [&] { return result->has_value(); }));
    return *result;
  }

  boost::asio::io_context io_;
  std::unique_ptr<boost::asio::io_context::work> work_;
  standin::Platform platform_;
  std::vector<std::unique_ptr<standin::BackendServer>> servers_;
  std::vector<ServerName> names_;
  std::vector<std::uint32_t> concurrency_;
  std::vector<bool> exited_;
  std::vector<std::unique_ptr<io::Shell>> daemons_;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TESTS_IO_CLUSTER_H_
