#ifndef EELGRASSPIN_TESTS_PLATFORM_STANDIN_H_
#define EELGRASSPIN_TESTS_PLATFORM_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/http_client.h"
#include "io/http_server.h"
#include "names.h"

/// Stand-ins for the platform in tests over loopback: its store, and backend
/// servers that own keys.
namespace eelgrasspin::platform {

namespace json = boost::json;

/// A response whose body does not end before any limit of a receiver.
inline std::string endless_response() {
  constexpr std::size_t kBytes = 64 * 1024 * 1024;
  return "HTTP/1.1 200 OK\r\n\r\n" + std::string(kBytes, 'x');
}

/// The store: objects by kind and name, conditional writes, watches.
class StoreStandin {
 public:
  explicit StoreStandin(boost::asio::io_context& io)
      : io_(io),
        server_(io, {},
                [this](const std::shared_ptr<io::HttpExchange>& exchange) {
                  handle_request(exchange);
                }) {
    (void)server_.listen(Endpoint("127.0.0.1:0"));
  }

  Endpoint endpoint() const { return server_.bound_endpoint(); }
  /// While down, every call is answered 503.
  bool down = false;
  /// While silent, calls are neither answered nor carried out.
  bool silent = false;
  /// Every answer is endless_response().
  bool endless = false;
  /// Writes are carried out, but their answers are lost.
  bool loses_answers = false;
  /// Time that each watch takes beyond its wait. Other calls are not slower.
  Duration watch_delay{0};
  /// Stated in all answers; empty: by a store that counts no eras.
  std::optional<std::uint64_t> era = 1;

  /// Keeps a copy of the current contents and revision for restore_copy().
  void take_copy() { copy_ = Copy{kinds_, revision_}; }
  /// Loses everything since take_copy(): revisions go back, and watches that
  /// are waiting are cut off.
  void restore_copy() {
    kinds_ = copy_.kinds;
    revision_ = copy_.revision;
    std::erase_if(history_, [this](const Change& change) {
      return change.revision > revision_;
    });
    for (PendingWatch& pending : pending_watches_) {
      pending.wait_timer->cancel();
      pending.exchange->abort();
    }
    pending_watches_.clear();
    if (era) ++*era;
  }
  std::uint64_t revision() const { return revision_; }

  void put(const std::string& kind, const std::string& name,
           const std::string& spec) {
    store(kind, name, json::parse(spec));
  }
  /// Stores a spec that the stand-in's own JSON library would not parse.
  void put_text(const std::string& kind, const std::string& name,
                std::string spec) {
    std::string mark = "raw:" + kind + "/" + name;
    raw_specs_["\"" + mark + "\""] = std::move(spec);
    store(kind, name, json::string(mark));
  }
  void remove(const std::string& kind, const std::string& name) {
    auto& objects = kinds_[kind];
    auto found = objects.find(name);
    if (found == objects.end()) return;
    ++revision_;
    history_.push_back({kind, revision_, found->second, true});
    objects.erase(found);
    answer_watches();
  }
  const json::object* find(const std::string& kind, const std::string& name) {
    auto& objects = kinds_[kind];
    auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
  }

 private:
  struct Change {
    std::string kind;
    std::uint64_t revision;
    json::object object;
    bool deleted;
  };
  using Objects = std::map<std::string, std::map<std::string, json::object>>;
  struct Copy {
    Objects kinds;
    std::uint64_t revision = 0;
  };
  struct PendingWatch {
    std::shared_ptr<io::HttpExchange> exchange;
    std::string kind;
    std::uint64_t since;
    std::shared_ptr<boost::asio::steady_timer> wait_timer;
  };

  void store(const std::string& kind, const std::string& name,
             json::value spec) {
    ++revision_;
    json::object object = {
        {"metadata", json::object{{"name", name}, {"rev", revision_}}},
        {"spec", std::move(spec)},
        {"status", nullptr}};
    kinds_[kind][name] = object;
    history_.push_back({kind, revision_, object, false});
    answer_watches();
  }

  void answer(io::HttpExchange& exchange, int status,
              const json::value& body) const {
    std::string text = json::serialize(body);
    for (const auto& [mark, spec] : raw_specs_) {
      for (std::size_t at = text.find(mark); at != std::string::npos;
           at = text.find(mark, at + spec.size())) {
        text.replace(at, mark.size(), spec);
      }
    }
    io::HeaderFields headers = {{"Content-Type", "application/json"}};
    if (era) headers.emplace_back(kStoreEraHeader, std::to_string(*era));
    exchange.answer({status, std::move(headers), std::move(text)});
  }

  void handle_request(const std::shared_ptr<io::HttpExchange>& exchange) {
    const io::HttpRequest& request = exchange->request();
    if (down) return answer(*exchange, 503, json::object{});
    if (endless) return exchange->send_raw_and_close(endless_response());
    if (silent) {
      unanswered_.push_back(exchange);
      return;
    }
    if (loses_answers && exchange->request().method != "GET") {
      unanswered_.push_back(exchange);
      apply_unanswered_change(*exchange);
      return;
    }
    auto [kind, name] = parse_target(request);
    if (request.method == "GET" && !name.empty()) {
      const json::object* object = find(kind, name);
      return object == nullptr ? answer(*exchange, 404, json::object{})
                               : answer(*exchange, 200, *object);
    }
    std::string since = io::query_parameter(request.target, "watch");
    if (request.method == "GET" && !since.empty()) {
      if (watch_delay.count() == 0)
        return watch(exchange, kind, std::stoull(since));
      return delay(watch_delay, [this, exchange, kind = kind, since] {
        watch(exchange, kind, std::stoull(since));
      });
    }
    if (request.method == "GET") return list(*exchange, kind);
    change(*exchange, kind, name);
  }

  void list(io::HttpExchange& exchange, const std::string& kind) {
    json::array items;
    for (const auto& [name, object] : kinds_[kind]) items.push_back(object);
    answer(exchange, 200,
           json::object{{"items", std::move(items)},
                        {"hasMore", false},
                        {"asOf", revision_}});
  }

  struct Target {
    std::string kind;
    std::string name;
  };
  static Target parse_target(const io::HttpRequest& request) {
    std::string path(io::path_of(request.target));
    std::string rest = path.substr(std::string("/objects/").size());
    std::size_t slash = rest.find('/');
    if (slash == std::string::npos) return {rest, ""};
    return {rest.substr(0, slash), rest.substr(slash + 1)};
  }

  void apply_unanswered_change(io::HttpExchange& exchange) {
    Target target = parse_target(exchange.request());
    (void)apply_change(exchange.request(), target.kind, target.name);
  }

  void change(io::HttpExchange& exchange, const std::string& kind,
              const std::string& name) {
    auto [status, body] = apply_change(exchange.request(), kind, name);
    answer(exchange, status, body);
  }

  std::pair<int, json::value> apply_change(const io::HttpRequest& request,
                                           const std::string& kind,
                                           std::string name) {
    json::object body = json::parse(request.body).as_object();
    const json::object& metadata = body.at("metadata").as_object();
    bool create = request.method == "POST";
    if (create) name = std::string(metadata.at("name").as_string());
    const json::object* current = find(kind, name);
    if (!create && current == nullptr) return {404, json::object{}};
    const json::value* expected = metadata.if_contains("rev");
    bool conflict =
        create ? current != nullptr
               : expected != nullptr && expected->to_number<std::uint64_t>() !=
                                            current->at("metadata")
                                                .at("rev")
                                                .to_number<std::uint64_t>();
    if (conflict) return {409, *current};
    store(kind, name, body.at("spec"));
    return {200, *find(kind, name)};
  }

  void delay(Duration duration, std::function<void()> act) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, duration);
    timer->async_wait(
        [timer, act = std::move(act)](boost::system::error_code failed) {
          if (!failed) act();
        });
  }

  /// The wait that a watch asks for; without one it is answered at once.
  static Duration wait_of(const io::HttpRequest& request) {
    constexpr int kMaxWaitMs = 30'000;
    std::string wait = io::query_parameter(request.target, "waitMs");
    return milliseconds(wait.empty() ? 0
                                     : std::min(std::stoi(wait), kMaxWaitMs));
  }

  void watch(const std::shared_ptr<io::HttpExchange>& exchange,
             const std::string& kind, std::uint64_t since) {
    if (since > revision_) return answer(*exchange, 410, json::object{});
    auto wait_timer = std::make_shared<boost::asio::steady_timer>(io_);
    pending_watches_.push_back({exchange, kind, since, wait_timer});
    wait_timer->expires_after(wait_of(exchange->request()));
    wait_timer->async_wait([this, exchange](boost::system::error_code failed) {
      if (failed) return;
      std::erase_if(pending_watches_, [&](const PendingWatch& pending) {
        return pending.exchange == exchange;
      });
      answer(*exchange, 200,
             json::object{{"events", json::array{}}, {"asOf", revision_}});
    });
    answer_watches();
  }

  void answer_watches() {
    std::vector<PendingWatch> still_pending;
    for (PendingWatch& pending : pending_watches_) {
      json::array events;
      for (const Change& change : history_) {
        if (change.kind != pending.kind || change.revision <= pending.since) {
          continue;
        }
        events.push_back(json::object{{"object", change.object},
                                      {"deleted", change.deleted}});
      }
      if (events.empty()) {
        still_pending.push_back(pending);
        continue;
      }
      pending.wait_timer->cancel();
      answer(*pending.exchange, 200,
             json::object{{"events", std::move(events)}, {"asOf", revision_}});
    }
    pending_watches_ = std::move(still_pending);
  }

  boost::asio::io_context& io_;
  Objects kinds_;
  Copy copy_;
  std::map<std::string, std::string> raw_specs_;  ///< By their placeholder.
  std::vector<Change> history_;
  std::vector<PendingWatch> pending_watches_;
  std::vector<std::shared_ptr<io::HttpExchange>> unanswered_;
  std::uint64_t revision_ = 10;
  io::HttpServer server_;
};

/// One execution of a request by a backend server.
struct ServerRun {
  std::string id;
  std::string server;
  std::optional<std::uint32_t> key;
  TimePoint at;
};

/// What a server does with a request that it has no room for.
enum class FullPolicy : std::uint8_t {
  kRefuse,  ///< States that it did not run.
  kHang,    ///< Never answers it, nor any later one on its connection.
  kReset,   ///< Closes the connection.
};

/// A backend server that works on each request for `work` and holds keys under
/// grants.
class ServerStandin {
 public:
  ServerStandin(boost::asio::io_context& io, std::string name, bool keyed)
      : io_(io), name_(std::move(name)), keyed_(keyed), keys_(kKeyCount) {
    listen();
  }

  std::string entry(const std::string& service,
                    const std::string& state) const {
    return json::serialize(json::object{
        {"addr", address.empty() ? endpoint().str() : address.str()},
        {"born", born_},
        {"info", json::object{{"service", service},
                              {"version", "v1"},
                              {"zone", "a"},
                              {"slots", 2}}},
        {"status",
         json::object{{"state", state}, {"seq", 1}, {"coldLeftS", 0}}}});
  }
  const std::string& name() const { return name_; }
  /// Endpoint it listens on. Its entry names `address` instead if that is set.
  Endpoint endpoint() const { return endpoint_; }
  Endpoint address;
  Duration work{0};
  /// Requests that it works on at the same time; 0: any number.
  std::size_t capacity = 0;
  FullPolicy when_full = FullPolicy::kRefuse;
  /// Refuses every n-th request; 0: none.
  std::uint32_t refuse_every = 0;
  /// Closes the connection in place of every n-th answer; 0: none.
  std::uint32_t lose_answer_every = 0;
  /// Answers to requests have this many bytes more.
  std::size_t answer_bytes = 0;
  /// Every answer is endless_response(), also those to orders.
  bool endless = false;
  /// Ids of the requests that ran.
  std::vector<std::string> ran;
  std::function<void(const ServerRun&)> on_run;
  /// Called before a grant is carried out.
  std::function<void(std::uint32_t first, std::uint32_t last,
                     std::uint64_t epoch)>
      on_grant;

  bool up() const { return server_ != nullptr; }
  bool holds(std::uint32_t key) const {
    return up() && keys_[key].until > io::steady_now();
  }
  /// The highest epoch that this incarnation has seen for the key.
  std::uint64_t epoch(std::uint32_t key) const { return keys_[key].epoch; }
  /// Ends abruptly: connections break and all keys are lost.
  void crash() {
    if (server_) server_->close();
    server_.reset();
    keys_.assign(kKeyCount, {});
  }
  /// Starts again at the same address, as a new incarnation.
  void start() {
    ++born_;
    listen();
  }

 private:
  static constexpr std::uint32_t kKeyCount = 65'536;
  static constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;
  static constexpr std::size_t kMaxRepeatedBodyBytes = 1024 * 1024;
  /// Holds last longer by this factor: a server's clock may be this slow.
  static constexpr double kClockRate = 1.02;
  struct Key {
    std::uint64_t epoch = 0;
    TimePoint until;
  };
  /// A request that the server works on.
  struct Run {
    std::shared_ptr<io::HttpExchange> exchange;
    boost::asio::steady_timer timer;
    std::shared_ptr<std::size_t> running;  ///< Of the incarnation.
    bool ended = false;
  };

  void listen() {
    running_ = std::make_shared<std::size_t>(0);
    hung_.clear();
    io::HttpServerOptions options;
    options.max_body_bytes = kMaxBodyBytes;
    server_ = std::make_unique<io::HttpServer>(
        io_, options,
        [this](const std::shared_ptr<io::HttpExchange>& exchange) {
          handle_request(exchange);
        });
    (void)server_->listen(endpoint_.empty() ? Endpoint("127.0.0.1:0")
                                            : endpoint_);
    endpoint_ = server_->bound_endpoint();
  }

  void handle_order(io::HttpExchange& exchange, bool grant) {
    json::object body = json::parse(exchange.request().body).as_object();
    auto first = body.at("from").to_number<std::uint32_t>();
    auto last = body.at("to").to_number<std::uint32_t>();
    auto epoch = body.at("fence").to_number<std::uint64_t>();
    for (std::uint32_t key = first; grant && key <= last; ++key) {
      if (keys_[key].epoch > epoch) return exchange.answer({409, {}, "{}"});
    }
    TimePoint until;
    if (grant) {
      if (on_grant) on_grant(first, last, epoch);
      double hold_seconds = body.at("holdS").to_number<double>() * kClockRate;
      until = io::steady_now() +
              Duration(static_cast<Duration::rep>(hold_seconds * 1'000'000));
    }
    for (std::uint32_t key = first; key <= last; ++key) {
      keys_[key] = {std::max(keys_[key].epoch, epoch), until};
    }
    io::HeaderFields headers;
    if (!grant) headers.emplace_back(kHandoverHeader, "warm");
    exchange.answer({200, headers, "{}"});
  }

  void handle_request(const std::shared_ptr<io::HttpExchange>& exchange) {
    if (endless) return exchange->send_raw_and_close(endless_response());
    const io::HttpRequest& request = exchange->request();
    if (request.target == "/grant") return handle_order(*exchange, true);
    if (request.target == "/release") return handle_order(*exchange, false);
    const std::string* id = io::find_header(request.headers, kRequestIdHeader);
    const std::string* expected =
        io::find_header(request.headers, kExpectInstanceHeader);
    auto key = io::number_header(request.headers, kShardKeyHeader);
    bool misdirected =
        expected == nullptr || *expected != name_ ||
        (keyed_ && (!key || !holds(static_cast<std::uint32_t>(*key))));
    if (misdirected || id == nullptr) return refuse(*exchange, 421);
    ++requests_;
    if (refuse_every != 0 && requests_ % refuse_every == 0) {
      return refuse(*exchange, 503);
    }
    if (capacity != 0 && *running_ >= capacity) return reject(exchange);
    ran.push_back(*id);
    if (on_run) {
      on_run({*id, name_,
              keyed_ ? std::optional<std::uint32_t>(*key) : std::nullopt,
              io::steady_now()});
    }
    if (work.count() == 0) return finish(exchange);
    auto run = std::make_shared<Run>(
        Run{exchange, boost::asio::steady_timer(io_), running_});
    ++*run->running;
    // A request ends with its connection.
    exchange->on_abandoned([run] {
      run->timer.cancel();
      end(*run);
    });
    run->timer.expires_after(work);
    run->timer.async_wait([this, run](boost::system::error_code failed) {
      if (failed || run->ended) return;
      end(*run);
      finish(run->exchange);
    });
  }

  static void end(Run& run) {
    if (std::exchange(run.ended, true)) return;
    --*run.running;
  }

  void finish(const std::shared_ptr<io::HttpExchange>& exchange) {
    ++answers_;
    if (lose_answer_every != 0 && answers_ % lose_answer_every == 0) {
      return exchange->abort();
    }
    const io::HttpRequest& request = exchange->request();
    const std::string* id = io::find_header(request.headers, kRequestIdHeader);
    // The answer to a large body holds its length instead.
    bool large = request.body.size() > kMaxRepeatedBodyBytes;
    exchange->answer(
        {200,
         {{kRequestIdHeader, *id}, {kResponseStampHeader, "stamp-" + name_}},
         "body of " + *id + " " +
             (large ? std::to_string(request.body.size()) : request.body) +
             std::string(answer_bytes, 'y')});
  }

  /// States that the request did not run.
  void refuse(io::HttpExchange& exchange, int status) {
    io::HeaderFields headers = {{kNotRunHeader, "1"}};
    if (status == 421) headers.emplace_back(kInstanceHeader, name_);
    const std::string* id =
        io::find_header(exchange.request().headers, kRequestIdHeader);
    if (id != nullptr) headers.emplace_back(kRequestIdHeader, *id);
    exchange.answer({status, std::move(headers), ""});
  }

  void reject(const std::shared_ptr<io::HttpExchange>& exchange) {
    switch (when_full) {
      case FullPolicy::kRefuse:
        return refuse(*exchange, 503);
      case FullPolicy::kHang:
        return hung_.push_back(exchange);
      case FullPolicy::kReset:
        return exchange->abort();
    }
  }

  boost::asio::io_context& io_;
  std::string name_;
  bool keyed_;
  std::uint64_t born_ = 1'768'982'855'592;
  std::vector<Key> keys_;
  std::shared_ptr<std::size_t> running_;
  std::vector<std::shared_ptr<io::HttpExchange>> hung_;
  std::uint32_t requests_ = 0;
  std::uint32_t answers_ = 0;
  Endpoint endpoint_;
  std::unique_ptr<io::HttpServer> server_;
};

}  // namespace eelgrasspin::platform

#endif  // EELGRASSPIN_TESTS_PLATFORM_STANDIN_H_
