// Stand-ins for the cases of the second review: the platform's store, servers
// that own keys, callers, and the router as a separate process. They follow
// PROTOCOL.md; each case adds its disturbance through the hooks.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kit {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Seconds since the start of the case, on the steady clock.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

/// Writes one line to record.txt.
inline void record(const std::string& line) {
  static std::FILE* file = std::fopen(std::getenv("RECORD"), "w");
  std::fprintf(file, "%9.3f %s\n", now(), line.c_str());
  std::fflush(file);
}

inline std::string text(const json::value& value) {
  return json::serialize(value);
}

inline awaitable<void> sleep_for(double seconds) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::microseconds(
      static_cast<std::int64_t>(std::max(0.0, seconds) * 1e6)));
  co_await timer.async_wait(use_awaitable);
}

/// Lets coroutines wait for a change.
class Signal {
 public:
  explicit Signal(asio::io_context& io) : timer_(io) {
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
  }
  void raise() { timer_.cancel(); }
  /// Returns at the next raise(), or after `seconds`.
  awaitable<void> wait(double seconds) {
    asio::steady_timer limit(co_await asio::this_coro::executor);
    limit.expires_after(std::chrono::microseconds(
        static_cast<std::int64_t>(std::max(0.0, seconds) * 1e6)));
    limit.async_wait([this](boost::system::error_code failed) {
      if (!failed) timer_.cancel();
    });
    boost::system::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(use_awaitable, ignored));
  }

 private:
  asio::steady_timer timer_;
};

/// Serves each connection of `acceptor` with `handle`.
using Handler = std::function<awaitable<void>(tcp::socket)>;
inline awaitable<void> accept_all(tcp::acceptor& acceptor, Handler handle) {
  for (;;) {
    boost::system::error_code failed;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(use_awaitable, failed));
    if (failed) co_return;
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(acceptor.get_executor(), handle(std::move(socket)),
                   asio::detached);
  }
}

inline tcp::acceptor listen(asio::io_context& io, const std::string& ip,
                            std::uint16_t port = 0) {
  return tcp::acceptor(io, {asio::ip::make_address(ip), port});
}
inline std::string address_of(const tcp::acceptor& acceptor) {
  auto end = acceptor.local_endpoint();
  return end.address().to_string() + ":" + std::to_string(end.port());
}

inline Response make_response(int status, std::string body = {}) {
  Response response;
  response.version(11);
  response.result(static_cast<unsigned>(status));
  response.body() = std::move(body);
  return response;
}

// ---------------------------------------------------------------------------
// The platform's store.

struct StoreAnswer {
  int status = 200;
  json::value body;
};

struct StoreCall {
  int machine = 0;  ///< The router that calls.
  std::string method;
  std::string kind;
  std::string name;  ///< Empty for lists, watches and creations.
  bool watch = false;
  std::string body;
  std::string target;
};

class Store {
 public:
  explicit Store(asio::io_context& io) : io_(io), changed_(io) {}

  /// Opens a port of its own for one machine, so that the store knows who
  /// calls. Returns its address.
  std::string open_port(int machine) {
    auto acceptor = std::make_shared<tcp::acceptor>(listen(io_, "127.0.0.1"));
    acceptors_.push_back(acceptor);
    asio::co_spawn(io_,
                   accept_all(*acceptor,
                              [this, machine](tcp::socket socket) {
                                return serve(std::move(socket), machine);
                              }),
                   asio::detached);
    return address_of(*acceptor);
  }

  /// Carries out a call; cases wrap it to delay or refuse.
  std::function<awaitable<StoreAnswer>(StoreCall)> on_call;

  /// What the operator and the servers write.
  void put(const std::string& kind, const std::string& name, json::value spec) {
    write(kind, name, std::move(spec));
    changed_.raise();
  }
  /// Several entries at the same moment.
  void put_all(const std::string& kind,
               const std::vector<std::pair<std::string, json::value>>& specs) {
    for (const auto& [name, spec] : specs) write(kind, name, spec);
    changed_.raise();
  }
  void remove(const std::string& kind, const std::string& name) {
    auto& objects = kinds_[kind];
    auto found = objects.find(name);
    if (found == objects.end()) return;
    history_.push_back({++revision_, kind, found->second, true});
    objects.erase(found);
    changed_.raise();
  }

  awaitable<StoreAnswer> carry_out(StoreCall call) {
    StoreAnswer answer;
    if (call.method == "GET" && call.watch) {
      answer = co_await watch(call);
    } else if (call.method == "GET" && !call.name.empty()) {
      answer = read(call);
    } else if (call.method == "GET") {
      answer = list(call);
    } else {
      answer = change(call);
    }
    co_return answer;
  }

 private:
  struct Change {
    std::uint64_t revision;
    std::string kind;
    json::object object;
    bool deleted;
  };

  const json::object& write(const std::string& kind, const std::string& name,
                            json::value spec) {
    ++revision_;
    json::object object = {
        {"metadata", json::object{{"name", name},
                                  {"rev", revision_},
                                  {"created", 1},
                                  {"finalizers", json::array{}},
                                  {"deleting", false}}},
        {"spec", std::move(spec)},
        {"status", nullptr}};
    history_.push_back({revision_, kind, object, false});
    return kinds_[kind][name] = std::move(object);
  }

  StoreAnswer read(const StoreCall& call) {
    auto& objects = kinds_[call.kind];
    auto found = objects.find(call.name);
    if (found == objects.end()) return {404, json::object{}};
    return {200, found->second};
  }

  StoreAnswer list(const StoreCall& call) {
    json::array items;
    for (const auto& [name, object] : kinds_[call.kind])
      items.push_back(object);
    return {200, json::object{{"items", std::move(items)},
                              {"hasMore", false},
                              {"asOf", revision_}}};
  }

  StoreAnswer change(const StoreCall& call) {
    json::object body = json::parse(call.body).as_object();
    json::object& metadata = body.at("metadata").as_object();
    auto& objects = kinds_[call.kind];
    if (call.method == "POST") {
      std::string name(metadata.at("name").as_string());
      auto found = objects.find(name);
      if (found != objects.end()) return {409, found->second};
      json::object created = write(call.kind, name, body.at("spec"));
      changed_.raise();
      return {201, created};
    }
    auto found = objects.find(call.name);
    if (found == objects.end()) return {404, json::object{}};
    const json::value& current =
        found->second.at("metadata").as_object().at("rev");
    if (const json::value* expected = metadata.if_contains("rev")) {
      if (expected->to_number<std::uint64_t>() !=
          current.to_number<std::uint64_t>())
        return {409, found->second};
    }
    if (found->second.at("spec") == body.at("spec"))
      return {200, found->second};
    json::object changed = write(call.kind, call.name, body.at("spec"));
    changed_.raise();
    return {200, changed};
  }

  static std::uint64_t parameter(const std::string& target,
                                 const std::string& name) {
    auto at = target.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::strtoull(target.c_str() + at + name.size() + 1, nullptr,
                               10);
  }

  awaitable<StoreAnswer> watch(StoreCall call) {
    std::uint64_t since = parameter(call.target, "watch");
    double end =
        now() + static_cast<double>(parameter(call.target, "waitMs")) / 1e3;
    for (;;) {
      json::array events;
      for (const Change& change : history_) {
        if (change.revision > since && change.kind == call.kind) {
          events.push_back(json::object{{"object", change.object},
                                        {"deleted", change.deleted}});
        }
      }
      if (!events.empty() || now() >= end) {
        StoreAnswer answer;
        answer.body =
            json::object{{"events", std::move(events)}, {"asOf", revision_}};
        co_return answer;
      }
      co_await changed_.wait(end - now());
    }
  }

  awaitable<void> serve(tcp::socket socket, int machine) {
    beast::flat_buffer buffer;
    boost::system::error_code failed;
    for (;;) {
      Request request;
      co_await http::async_read(socket, buffer, request,
                                asio::redirect_error(use_awaitable, failed));
      if (failed) co_return;
      std::string target(request.target());
      std::string path = target.substr(0, target.find('?'));
      path.erase(0, std::strlen("/objects/"));
      StoreCall call;
      call.machine = machine;
      call.method = std::string(request.method_string());
      call.kind = path.substr(0, path.find('/'));
      if (path.size() > call.kind.size())
        call.name = path.substr(call.kind.size() + 1);
      call.watch = target.find("watch=") != std::string::npos;
      call.body = request.body();
      call.target = target;
      StoreAnswer answer;
      if (on_call) {
        answer = co_await on_call(call);
      } else {
        answer = co_await carry_out(call);
      }
      Response response = make_response(answer.status, text(answer.body));
      response.set(http::field::content_type, "application/json");
      response.prepare_payload();
      co_await http::async_write(socket, response,
                                 asio::redirect_error(use_awaitable, failed));
      if (failed) co_return;
    }
  }

  asio::io_context& io_;
  Signal changed_;
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors_;
  std::map<std::string, std::map<std::string, json::object>> kinds_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 1;
};

// ---------------------------------------------------------------------------
// Servers that own keys.

struct KeySpan {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
};

/// A span of keys that a server has held for a time.
struct Hold {
  std::string server;
  KeySpan keys;
  std::uint64_t fence = 0;
  double from = 0;
  double until = 0;  ///< Moves with renewals; cut by a release.
};

class Server {
 public:
  /// A server without keys runs every request; each takes `work` seconds.
  Server(asio::io_context& io, std::string name, std::string service,
         bool keyed = true, double work = 0.03)
      : io_(io),
        name_(std::move(name)),
        service_(std::move(service)),
        keyed_(keyed),
        work_(work),
        acceptor_(listen(io, "127.0.0.1")) {
    asio::co_spawn(io_,
                   accept_all(acceptor_,
                              [this](tcp::socket socket) {
                                return serve(std::move(socket));
                              }),
                   asio::detached);
  }

  const std::string& name() const { return name_; }

  json::value entry(const char* state) const {
    return json::object{
        {"addr", address_of(acceptor_)},
        {"born", born_},
        {"info", json::object{{"service", service_},
                              {"version", "v1"},
                              {"zone", "a"},
                              {"slots", 4}}},
        {"status",
         json::object{{"state", state}, {"seq", 1}, {"coldLeftS", 0}}}};
  }

  /// From now on its answers say that it is leaving.
  void leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  /// Accepts no more connections and closes those that it has.
  void end() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (tcp::socket* socket : sockets_) socket->close(ignored);
  }

  /// Called for each grant that is accepted and for each release.
  std::function<void(const std::string& server, KeySpan, std::uint64_t fence,
                     std::optional<double> hold)>
      on_order;
  /// Called when a request begins to run.
  std::function<void(const std::string& server, const std::string& id,
                     std::uint32_t key)>
      on_run;

 private:
  struct Held {
    std::uint64_t fence = 0;
    double until = 0;
  };

  bool holds(std::uint32_t key) const { return held_[key].until > now(); }

  Response grant(const json::object& body) {
    KeySpan keys{body.at("from").to_number<std::uint32_t>(),
                 body.at("to").to_number<std::uint32_t>()};
    auto fence = body.at("fence").to_number<std::uint64_t>();
    auto hold = body.at("holdS").to_number<double>();
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
      if (held_[key].fence > fence) return make_response(409);
    }
    for (std::uint32_t key = keys.first; key <= keys.last; ++key)
      held_[key] = {fence, now() + hold};
    if (on_order) on_order(name_, keys, fence, hold);
    return make_response(200);
  }

  Response release(const json::object& body) {
    KeySpan keys{body.at("from").to_number<std::uint32_t>(),
                 body.at("to").to_number<std::uint32_t>()};
    auto fence = body.at("fence").to_number<std::uint64_t>();
    for (std::uint32_t key = keys.first; key <= keys.last; ++key)
      held_[key] = {std::max(held_[key].fence, fence), 0};
    if (on_order) on_order(name_, keys, fence, std::nullopt);
    Response response = make_response(200);
    response.set("X-Eelgrasspin-Handover", "h" + std::to_string(++handovers_));
    return response;
  }

  awaitable<Response> run(const Request& request) {
    std::string id(request["X-Eelgrasspin-Request-Id"]);
    std::string key_text(request["X-Eelgrasspin-Shard-Key"]);
    auto key =
        static_cast<std::uint32_t>(std::strtoul(key_text.c_str(), nullptr, 10));
    Response response;
    if (keyed_ && !holds(key)) {
      response = make_response(421);
      response.set("X-Eelgrasspin-Not-Run", "1");
    } else {
      if (on_run) on_run(name_, id, key);
      co_await sleep_for(work_);
      response = make_response(200, name_);
      response.set("X-Eelgrasspin-Response-Stamp", "s." + id);
    }
    response.set("X-Eelgrasspin-Request-Id", id);
    if (leaving_) response.set("Server-Leaving", "1");
    co_return response;
  }

  awaitable<void> serve(tcp::socket socket) {
    sockets_.insert(&socket);
    co_await serve_requests(socket);
    sockets_.erase(&socket);
  }

  awaitable<void> serve_requests(tcp::socket& socket) {
    beast::flat_buffer buffer;
    boost::system::error_code failed;
    for (;;) {
      Request request;
      co_await http::async_read(socket, buffer, request,
                                asio::redirect_error(use_awaitable, failed));
      if (failed) co_return;
      Response response;
      auto expected = request["X-Eelgrasspin-Expect-Instance"];
      if (!expected.empty() && expected != name_) {
        response = make_response(421);
        response.set("X-Eelgrasspin-Instance", name_);
        response.set("X-Eelgrasspin-Not-Run", "1");
        response.set("X-Eelgrasspin-Request-Id",
                     request["X-Eelgrasspin-Request-Id"]);
      } else if (request.target() == "/grant") {
        response = grant(json::parse(request.body()).as_object());
      } else if (request.target() == "/release") {
        response = release(json::parse(request.body()).as_object());
      } else {
        response = co_await run(request);
      }
      response.prepare_payload();
      co_await http::async_write(socket, response,
                                 asio::redirect_error(use_awaitable, failed));
      if (failed) co_return;
    }
  }

  asio::io_context& io_;
  std::string name_;
  std::string service_;
  bool keyed_;
  double work_;
  bool leaving_ = false;
  std::set<tcp::socket*> sockets_;
  tcp::acceptor acceptor_;
  std::int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  std::vector<Held> held_ = std::vector<Held>(65'536);
  int handovers_ = 0;
};

// ---------------------------------------------------------------------------
// The router.

class Router {
 public:
  /// `number` gives the address 127.0.1.NUMBER; the ports are the same at all.
  Router(int number, const std::string& store) : number_(number) {
    std::string ip = this->ip();
    const Ports& ports = shared_ports();
    settings_ = std::string(std::getenv("WORK")) + "/router-" +
                std::to_string(number) + ".conf";
    std::ofstream(settings_)
        << "grants=rpc\nself.node=front-a-" << number
        << "\nself.role=router\nself.machineClass=front\nself.serves=front"
        << "\nself.ip=" << ip
        << "\nself.zone=a\nself.region=r\nself.lossCounts=false"
        << "\nself.bootstrap=true\nself.limits.cpuShare=0.2"
        << "\nself.limits.cores=1\nself.limits.memoryMb=260"
        << "\nself.limits.maxFds=4100\nself.limits.linkMbps=1000.0"
        << "\nself.limits.diskMb=0\nnetwork.listen.front=" << ip << ":"
        << ports.front << "\nnetwork.listen.ready=" << ip << ":" << ports.ready
        << "\nnetwork.portRange=" << ports.peer << "," << ports.peer + 15
        << "\nnetwork.zones.a=r\nplatform.discovery=platform"
        << "\nplatform.entry=vip\nplatform.heartbeatS=0.87"
        << "\nplatform.platform.addr=" << store
        << "\nplatform.platform.form=objects\nplatform.platform.writesPerS=400"
        << "\nplatform.platform.readsPerS=2000"
        << "\nplatform.platform.retentionS=20"
        << "\nplatform.platform.maxValueBytes=1048576"
        << "\nterms.contracts=base,drain,config,cost,retry,recover,own,platform"
        << "\nterms.bounds.seedLagS=3\nterms.bounds.reuseAfterS=2"
        << "\nterms.bounds.stableWindowS=3\nterms.bounds.ackS=4"
        << "\nterms.bounds.syncS=4\nterms.bounds.drainS=2"
        << "\nterms.bounds.graceS=6\nterms.bounds.lossSlackS=0.2"
        << "\nterms.bounds.applyS=2\nterms.bounds.revertSlackS=0.25"
        << "\nterms.bounds.stretchMaxS=5\nterms.bounds.budgetRatio=0.2"
        << "\nterms.bounds.budgetWindowS=10\nterms.bounds.budgetSlack=64"
        << "\nterms.bounds.recoveryS=15\nterms.bounds.holdMaxS=10"
        << "\nterms.bounds.thawSlackS=0.3\n";
    start();
  }
  ~Router() { end(); }
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void start() {
    std::string program = "target/bin/eelgrasspin-platform";
    std::string variable = "EELGRASSPIN_CONFIG=" + settings_;
    std::string path = "PATH=/usr/bin:/bin";
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {variable.data(), path.data(), nullptr};
    std::string log = std::string(std::getenv("WORK")) + "/router-" +
                      std::to_string(number_) + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    if (::posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments,
                      environment) != 0) {
      pid_ = 0;
    }
    posix_spawn_file_actions_destroy(&files);
    // For run.sh, should this process be ended from outside.
    std::ofstream(std::string(std::getenv("WORK")) + "/pids", std::ios::app)
        << pid_ << "\n";
  }
  bool running() const {
    return pid_ != 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
  }
  void signal(int number) const {
    if (pid_ != 0) ::kill(pid_, number);
  }
  void end() {
    if (pid_ == 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

  int number() const { return number_; }
  std::string ip() const { return "127.0.1." + std::to_string(number_); }
  tcp::endpoint front() const {
    return {asio::ip::make_address(ip()), shared_ports().front};
  }
  tcp::endpoint ready() const {
    return {asio::ip::make_address(ip()), shared_ports().ready};
  }

 private:
  struct Ports {
    std::uint16_t front;
    std::uint16_t ready;
    std::uint16_t peer;
  };
  static const Ports& shared_ports() {
    static const Ports ports = [] {
      asio::io_context io;
      tcp::acceptor a = listen(io, "127.0.1.1");
      tcp::acceptor b = listen(io, "127.0.1.1");
      tcp::acceptor c = listen(io, "127.0.1.1");
      return Ports{a.local_endpoint().port(), b.local_endpoint().port(),
                   c.local_endpoint().port()};
    }();
    return ports;
  }

  int number_;
  pid_t pid_ = 0;
  std::string settings_;
};

// ---------------------------------------------------------------------------
// Callers.

/// One request on a connection of its own. Status 0: no answer.
inline awaitable<std::pair<int, std::string>> call(tcp::endpoint to,
                                                   Request request,
                                                   int timeout_s = 3) {
  auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(std::chrono::seconds(timeout_s));
  boost::system::error_code failed;
  co_await stream.async_connect(to,
                                asio::redirect_error(use_awaitable, failed));
  std::pair<int, std::string> result(0, "");
  if (failed) co_return result;
  request.prepare_payload();
  co_await http::async_write(stream, request,
                             asio::redirect_error(use_awaitable, failed));
  beast::flat_buffer buffer;
  Response response;
  if (!failed) {
    co_await http::async_read(stream, buffer, response,
                              asio::redirect_error(use_awaitable, failed));
  }
  if (failed) co_return result;
  result = {static_cast<int>(response.result_int()), response.body()};
  co_return result;
}

inline Request make_request(http::verb method, const std::string& target,
                            const std::string& id, int deadline_ms) {
  Request request{method, target, 11};
  request.set(http::field::host, "h.example");
  request.set("X-Eelgrasspin-Request-Id", id);
  request.set("X-Eelgrasspin-Deadline-Ms", std::to_string(deadline_ms));
  return request;
}

inline awaitable<bool> wait_until_ready(const Router& router) {
  for (int i = 0; i < 200; ++i) {
    Request request{http::verb::get, "/ready", 11};
    auto answer = co_await call(router.ready(), request);
    if (answer.first == 200) co_return true;
    co_await sleep_for(0.05);
  }
  co_return false;
}

/// One route to one service whose keys are owned.
inline json::value keyed_configuration() {
  return json::parse(R"({"version":7,"limits":{"headerBytes":16384,
    "bodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"baseVer":5,
    "listeners":[{"host":"h.example","rules":[{"name":"r-keyed","kind":"safe",
    "sloS":0.5,"priority":2,"match":{"prefix":"/k/"},
    "action":{"service":"board","timeoutS":2,"attempts":2}}]}],
    "clusters":[{"name":"board","healthPath":"/health","maxConns":130,
    "proto":"h1","tls":false,"sharded":true,"warmS":3.0,"grants":"rpc"}]})");
}

/// Checks OWNER from what the servers have accepted: no two servers hold a key
/// at the same time for over half a second, and a server takes a key only with
/// a fence above all with which other servers had it.
class OwnerCheck {
 public:
  void on_order(const std::string& server, KeySpan keys, std::uint64_t fence,
                std::optional<double> hold) {
    record(std::string(hold ? "grant" : "release") + " at " + server +
           " keys " + std::to_string(keys.first) + "-" +
           std::to_string(keys.last) + " fence " + std::to_string(fence) +
           (hold ? " hold " + std::to_string(*hold) : ""));
    if (hold) check_fence(server, keys, fence);
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
      auto& spans = holds_[key];
      Span* own = nullptr;
      for (Span& span : spans) {
        if (span.server == server && span.until >= now()) own = &span;
      }
      if (own == nullptr && hold)
        spans.push_back({server, fence, now(), now() + *hold});
      if (own != nullptr) {
        own->until = hold ? now() + *hold : now();
        if (hold) own->fence = fence;
      }
    }
  }

  /// A request begins to run at a server.
  void on_run(const std::string& server, std::uint32_t key) {
    for (const Span& span : holds_[key]) {
      if (span.server != server && span.until > now()) ++double_runs_;
    }
  }

  /// True if the rule held.
  bool finish() {
    double end = now();
    std::uint32_t reported = 0;
    for (const auto& [key, spans] : holds_) {
      for (std::size_t i = 0; i < spans.size(); ++i) {
        for (std::size_t j = i + 1; j < spans.size(); ++j) {
          if (spans[i].server == spans[j].server) continue;
          double from = std::max(spans[i].from, spans[j].from);
          double until = std::min({spans[i].until, spans[j].until, end});
          if (until - from <= 0.5) continue;
          ++double_keys_;
          if (reported++ < 3) {
            record("OWNER broken: key " + std::to_string(key) + " held by " +
                   spans[i].server + " (fence " +
                   std::to_string(spans[i].fence) + ") and " + spans[j].server +
                   " (fence " + std::to_string(spans[j].fence) + ") from " +
                   std::to_string(from) + " to " + std::to_string(until));
          }
        }
      }
    }
    record("keys with two holders for over half a second: " +
           std::to_string(double_keys_) +
           "; requests begun on a key that another server held: " +
           std::to_string(double_runs_) +
           "; grants with a fence that is not "
           "above those of other servers: " +
           std::to_string(low_fences_));
    return double_keys_ == 0 && low_fences_ == 0;
  }

 private:
  struct Span {
    std::string server;
    std::uint64_t fence;
    double from;
    double until;
  };

  void check_fence(const std::string& server, KeySpan keys,
                   std::uint64_t fence) {
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
      for (const Span& span : holds_[key]) {
        if (span.server == server || span.fence < fence) continue;
        ++low_fences_;
        record("OWNER broken: " + server + " takes key " + std::to_string(key) +
               " with fence " + std::to_string(fence) + ", " + span.server +
               " had it with " + std::to_string(span.fence));
        return;
      }
    }
  }

  std::map<std::uint32_t, std::vector<Span>> holds_;
  std::uint64_t double_keys_ = 0;
  std::uint64_t double_runs_ = 0;
  std::uint64_t low_fences_ = 0;
};

}  // namespace kit
