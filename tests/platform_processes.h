#ifndef EELGRASSPIN_TESTS_PLATFORM_PROCESSES_H_
#define EELGRASSPIN_TESTS_PLATFORM_PROCESSES_H_

#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <optional>

#include "io/endpoint.h"
#include "io/http_client.h"
#include "tests/platform_standin.h"

/// Runs the real program in separate processes on loopback addresses, with
/// stand-ins for the platform.
namespace eelgrasspin::platform {

inline constexpr char kConfiguration[] =
    R"({"version":7,"limits":{"headerBytes":16384,"bodyBytes":1000000,)"
    R"("headerTimeoutS":3,"idleTimeoutS":15},"listeners":[{"host":"h","rules":[)"
    R"({"name":"keyed","kind":"safe","sloS":0.5,"priority":2,)"
    R"("match":{"prefix":"/k/"},"action":{"service":"board","timeoutS":2,)"
    R"("attempts":2}},{"name":"once","kind":"unsafe","sloS":0.6,"priority":1,)"
    R"("match":{"prefix":"/o/"},"action":{"service":"book","timeoutS":2,)"
    R"("attempts":2}}]}],"clusters":[{"name":"board","maxConns":100,)"
    R"("sharded":true},{"name":"book","maxConns":100}]})";

struct Process {
  pid_t pid = 0;
  std::string ip;
  std::string settings;
};

inline std::uint16_t free_port(const std::string& ip) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::make_address(ip), 0});
  return acceptor.local_endpoint().port();
}

class PlatformProcesses : public ::testing::Test {
 protected:
  PlatformProcesses() : store_(io_) {
    for (int i = 0; i < 2; ++i) {
      boards_.push_back(std::make_unique<ServerStandin>(
          io_, "i-board" + std::to_string(i), true));
      books_.push_back(std::make_unique<ServerStandin>(
          io_, "i-book" + std::to_string(i), false));
      list(*boards_.back(), "board");
      list(*books_.back(), "book");
    }
    store_.put(kServersKind, "i-foreign", R"({"addr":7})");
    store_.put(kConfigKind, kActiveConfigName, kConfiguration);
  }

  ~PlatformProcesses() override {
    for (Process& process : processes_) stop(process, SIGKILL);
  }

  void list(const ServerStandin& server, const char* service,
            const char* state = "ready") {
    store_.put(kServersKind, server.name(), server.entry(service, state));
  }

  /// kConfiguration with repeatable requests to `book` below /s/.
  static json::object configuration_with_repeatable_route() {
    json::object configuration = json::parse(kConfiguration).as_object();
    json::array& rules = configuration["listeners"]
                             .as_array()[0]
                             .as_object()["rules"]
                             .as_array();
    json::object rule = rules[1].as_object();
    rule["name"] = "repeatable";
    rule["kind"] = "safe";
    rule["match"] = json::object{{"prefix", "/s/"}};
    rules.push_back(rule);
    return configuration;
  }

  /// Makes the server at this address the only one of `book`, which also gets
  /// repeatable requests below /s/. Bodies may have `max_body_bytes`.
  void list_only_server(const Endpoint& address,
                        std::size_t max_body_bytes = 1'000'000) {
    json::object configuration = configuration_with_repeatable_route();
    configuration["limits"].as_object()["bodyBytes"] = max_body_bytes;
    store_.put(kConfigKind, kActiveConfigName, json::serialize(configuration));
    for (const auto& book : books_) store_.remove(kServersKind, book->name());
    ServerStandin entry(io_, "i-only", false);
    entry.address = address;
    store_.put(kServersKind, entry.name(), entry.entry("book", "ready"));
  }

  Endpoint callers(const Process& process) const {
    return Endpoint(process.ip + ":" + std::to_string(port_));
  }

  Process& start(int number, const std::string& more_settings = {}) {
    Process process;
    process.ip = "127.0.1." + std::to_string(number);
    if (port_ == 0) {
      port_ = free_port(process.ip);
      ready_port_ = free_port(process.ip);
      peer_port_ = free_port(process.ip);
    }
    process.settings = ::testing::TempDir() + "eelgrasspin-" +
                       std::to_string(::getpid()) + "-" +
                       std::to_string(number) + ".conf";
    std::ofstream(process.settings)
        << "self.node=d" << number << "\nself.ip=" << process.ip
        << "\nself.zone=a\nself.region=r\nnetwork.zones.a=r\n"
        << "network.listen.front=" << callers(process)
        << "\nnetwork.listen.ready=" << process.ip << ":" << ready_port_
        << "\nnetwork.portRange=" << peer_port_ << "," << peer_port_ + 1
        << "\nplatform.platform.addr=" << store_.endpoint() << "\n"
        << more_settings;
    std::string program =
        std::string(std::getenv("EELGRASSPIN_BIN")) + "/eelgrasspin-platform";
    std::string variable =
        std::string(kSettingsVariable) + "=" + process.settings;
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    EXPECT_EQ(::posix_spawn(&process.pid, program.c_str(), nullptr, nullptr,
                            arguments, environment),
              0);
    processes_.push_back(process);
    return processes_.back();
  }

  void stop(Process& process, int signal) {
    if (process.pid == 0) return;
    ::kill(process.pid, signal);
    ::waitpid(process.pid, nullptr, 0);
    ::unlink(process.settings.c_str());
    process.pid = 0;
  }

  template <class Done>
  bool run_until(Done done, Duration timeout = seconds(15)) {
    TimePoint end = io::steady_now() + timeout;
    while (io::steady_now() < end) {
      if (done()) return true;
      io_.run_for(std::chrono::milliseconds(5));
      io_.restart();
    }
    return done();
  }

  io::HttpResult call(const Endpoint& to, const io::HttpRequest& request) {
    std::optional<io::HttpResult> result;
    auto connection = io::make_http_connection(io_, to);
    connection->exchange(request, seconds(3), [&](io::HttpResult ended) {
      result = std::move(ended);
    });
    run_until([&] { return result.has_value(); });
    connection->close();
    return result.value_or(io::HttpFailure{});
  }

  int status(const Endpoint& to, const io::HttpRequest& request) {
    io::HttpResult result = call(to, request);
    const auto* answer = std::get_if<io::HttpResponse>(&result);
    return answer == nullptr ? 0 : answer->status;
  }

  bool become_ready(const Process& process) {
    Endpoint ready(process.ip + ":" + std::to_string(ready_port_));
    return run_until([&] {
      return status(ready, {"GET", "/ready", {}, "", {}}) == 200;
    });
  }

  /// The most memory that the process has used.
  static std::size_t peak_memory_kb(const Process& process) {
    std::ifstream status("/proc/" + std::to_string(process.pid) + "/status");
    std::string word;
    std::size_t kb = 0;
    while (status >> word && word != "VmHWM:") continue;
    status >> kb;
    return kb;
  }

  static io::HttpRequest keyed(const std::string& id, std::uint32_t key) {
    return {"GET",
            "/k/x?y=1",
            {{"Host", "h"},
             {kRequestIdHeader, id},
             {kDeadlineMsHeader, "2000"},
             {kShardKeyHeader, std::to_string(key)}},
            "",
            {}};
  }
  static io::HttpRequest once(const std::string& id) {
    return {
        "POST",
        "/o/x",
        {{"Host", "h"}, {kRequestIdHeader, id}, {kDeadlineMsHeader, "2000"}},
        "text",
        {}};
  }

  bool all_keys_served(const Endpoint& to, const std::string& id_prefix) {
    int served = 0;
    for (std::uint32_t key = 0; key < 65'536; key += 8'000) {
      if (status(to, keyed(id_prefix + std::to_string(key), key)) == 200)
        ++served;
    }
    return served == 9;
  }

  boost::asio::io_context io_;
  StoreStandin store_;
  std::vector<std::unique_ptr<ServerStandin>> boards_;
  std::vector<std::unique_ptr<ServerStandin>> books_;
  std::vector<Process> processes_;
  std::uint16_t port_ = 0;
  std::uint16_t ready_port_ = 0;
  std::uint16_t peer_port_ = 0;
};

}  // namespace eelgrasspin::platform

#endif  // EELGRASSPIN_TESTS_PLATFORM_PROCESSES_H_
