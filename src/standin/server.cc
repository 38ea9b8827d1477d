#include "standin/server.h"

#include <xxhash.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "codec/message_json.h"
#include "io/http_client.h"

namespace eelgrasspin::standin {

namespace json = boost::json;
using io::HttpRequest;
using io::HttpResponse;

/// A request that waits or runs.
struct BackendServer::Job {
  explicit Job(boost::asio::io_context& io) : timer(io) {}

  Exchange exchange;
  HttpRequest request;
  SlotId slot;
  Key key;
  Epoch epoch;
  FrontEpoch front_epoch;
  SlotGrant unit;
  std::size_t execution = 0;  ///< Index in executions_, once started.
  boost::asio::steady_timer timer;
};

namespace {

/// Requests take this many times longer during the cold start.
constexpr int kColdStartFactor = 3;
constexpr std::size_t kTruncatedBodyBytes = 40;

HttpResponse text(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body), false};
}

Incarnation random_incarnation() {
  std::random_device device;
  return Incarnation((std::uint64_t{device() >> 1} << 32) | device());
}

WallTime wall_now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

std::string header_text(const HttpRequest& request, std::string_view name) {
  const std::string* value = io::find_header(request.headers, name);
  return value == nullptr ? std::string() : *value;
}

std::uint64_t header_number(const HttpRequest& request, std::string_view name) {
  return io::number_header(request.headers, name).value_or(0);
}

}  // namespace

BackendServer::BackendServer(boost::asio::io_context& io, ServerOptions options)
    : io_(io),
      options_(std::move(options)),
      started_(io::steady_now()),
      grants_(random_incarnation()),
      server_(io, {}, [this](const Exchange& exchange) { handle(exchange); }) {
  if (!options_.execution_log_path.empty())
    log_.open(options_.execution_log_path, std::ios::app);
}

BackendServer::~BackendServer() {
  for (const auto& job : running_) job->timer.cancel();
}

std::optional<Error> BackendServer::listen(const Endpoint& endpoint) {
  return server_.listen(endpoint);
}

void BackendServer::handle(const Exchange& exchange) {
  std::string_view path = io::path_of(exchange->request().target);
  if (path == "/-/grant") return handle_grant(exchange);
  if (path == "/-/control") return handle_control(exchange);
  if (path == "/-/log") return exchange->answer(text(200, log_text()));
  if (path == "/-/stats") {
    json::object stats = {{"executions", executions_.size()},
                          {"most_running", most_running_},
                          {"running", running_.size()},
                          {"connections", server_.connections()}};
    return exchange->answer(text(200, json::serialize(stats) + "\n"));
  }
  handle_request(exchange);
}

void BackendServer::handle_grant(const Exchange& exchange) {
  if (!options_.checks_grants) {
    return exchange->answer(text(404, "this server checks no grants\n"));
  }
  auto order = codec::decode_grant_order(exchange->request().body);
  if (!ok(order)) return exchange->answer(text(400, error(order).message));
  GrantReply reply = grants_.apply_order(value(order), io::steady_now());
  bool stale = std::holds_alternative<GrantStale>(reply);
  exchange->answer({stale ? 409 : 200,
                    {{"Content-Type", "application/json"}},
                    codec::encode_grant_reply(reply),
                    false});
}

void BackendServer::handle_request(const Exchange& exchange) {
  bool crash = io::path_of(exchange->request().target).find("/crash") !=
               std::string_view::npos;
  if (crash && options_.crashable && options_.crash) return options_.crash();
  bool full = running_.size() >= options_.concurrency &&
              waiting_.size() >= options_.queue_limit;
  if (shedding_ || full) return shed(exchange);
  auto job = std::make_shared<Job>(io_);
  job->exchange = exchange;
  job->request = std::move(exchange->request());
  const HttpRequest& request = job->request;
  job->slot = SlotId(
      static_cast<std::uint32_t>(header_number(request, "eelgrasspin-slot")));
  job->key = Key(io::percent_decode(header_text(request, "eelgrasspin-key")));
  job->epoch = Epoch(header_number(request, "eelgrasspin-epoch"));
  job->front_epoch =
      FrontEpoch(header_number(request, "eelgrasspin-front-epoch"));
  waiting_.push_back(job);
  exchange->on_abandoned([this, weak = std::weak_ptr(job)] {
    if (auto abandoned = weak.lock()) abandon(abandoned);
  });
  start_waiting_jobs();
}

void BackendServer::start_waiting_jobs() {
  while (!waiting_.empty() && running_.size() < options_.concurrency) {
    std::shared_ptr<Job> job = waiting_.front();
    waiting_.pop_front();
    start(job);
  }
}

void BackendServer::start(const std::shared_ptr<Job>& job) {
  if (options_.checks_grants) {
    auto refusal_epoch = grants_.refusal_epoch(
        job->slot, job->key, job->epoch, job->front_epoch, io::steady_now());
    if (refusal_epoch) {
      HttpResponse answer = text(412, "no grant in force\n");
      answer.headers.emplace_back("eelgrasspin-refused", "grant");
      answer.headers.emplace_back("eelgrasspin-newer-epoch",
                                  std::to_string(refusal_epoch->value));
      return job->exchange->answer(std::move(answer));
    }
  }
  job->unit = grants_.unit_of(job->slot, job->key, job->epoch);
  grants_.request_started(job->unit);
  running_.insert(job);
  most_running_ =
      std::max(most_running_, static_cast<std::uint32_t>(running_.size()));
  job->execution = executions_.size();
  const HttpRequest& request = job->request;
  executions_.push_back(
      {header_text(request, "eelgrasspin-request"),
       header_text(request, "idempotency-key"), job->key.str(), request.method,
       request.target, job->slot, job->epoch, wall_now(), std::nullopt, false});
  if (log_.is_open()) log_ << request.target << std::endl;
  Duration service_time = current_service_time();
  job->timer.expires_after(std::min(service_time, options_.execution_limit));
  job->timer.async_wait([this, job](boost::system::error_code failed) {
    if (!failed) finish(job);
  });
}

Duration BackendServer::current_service_time() const {
  bool cold = io::steady_now() - started_ < options_.cold_start;
  return cold ? options_.service_time * kColdStartFactor
              : options_.service_time;
}

void BackendServer::finish(const std::shared_ptr<Job>& job) {
  if (running_.erase(job) == 0) return;
  grants_.request_ended(job->unit);
  executions_[job->execution].ended = wall_now();
  if (current_service_time() > options_.execution_limit) {
    executions_[job->execution].aborted = true;
    job->exchange->answer(text(500, "execution limit\n"));
  } else {
    answer(*job);
  }
  start_waiting_jobs();
}

/// Aborts a request whose sender has closed the connection or cancelled.
void BackendServer::abandon(const std::shared_ptr<Job>& job) {
  std::erase(waiting_, job);
  if (running_.erase(job) == 0) return;
  job->timer.cancel();
  grants_.request_ended(job->unit);
  executions_[job->execution].ended = wall_now();
  executions_[job->execution].aborted = true;
  start_waiting_jobs();
}

void BackendServer::answer(const Job& job) {
  const HttpRequest& request = job.request;
  json::object body = {
      {"request", header_text(request, "eelgrasspin-request")},
      {"echo", header_text(request, "x-echo")},
      {"server", options_.name.str()},
      {"key", job.key.str()},
      {"slot", job.slot.value},
      {"epoch", job.epoch.value},
      {"path", request.target},
      {"body_hash", XXH64(request.body.data(), request.body.size(), 0)}};
  std::string serialized = json::serialize(body) + "\n";
  if (truncating_) {
    return job.exchange->send_raw_and_close(
        "HTTP/1.1 200 OK\r\nContent-Length: " +
        std::to_string(serialized.size()) + "\r\n\r\n" +
        serialized.substr(0, kTruncatedBodyBytes));
  }
  job.exchange->answer({200,
                        {{"Content-Type", "application/json"}},
                        std::move(serialized),
                        false});
}

void BackendServer::shed(const Exchange& exchange) {
  HttpResponse answer = text(503, "busy\n");
  answer.headers.emplace_back("eelgrasspin-refused", "shed");
  answer.headers.emplace_back("Retry-After", "1");
  exchange->answer(std::move(answer));
}

void BackendServer::handle_control(const Exchange& exchange) {
  std::istringstream lines(exchange->request().body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty()) continue;
    if (auto error_found = apply_control_line(line)) {
      return exchange->answer(text(400, error_found->message + "\n"));
    }
  }
  exchange->answer(text(200, "ok\n"));
}

std::optional<Error> BackendServer::apply_control_line(
    const std::string& line) {
  std::istringstream words(line);
  std::string verb;
  std::string first;
  words >> verb >> first;
  auto number = io::parse_number(first);
  bool on = first == "on";
  if (verb == "freeze" && number) {
    // Blocks the only thread of the process, and with it all timers.
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(20));
    timer->async_wait([timer, pause = milliseconds(*number)](
                          boost::system::error_code failed) {
      if (!failed) std::this_thread::sleep_for(pause);
    });
  } else if (verb == "crash" && options_.crash) {
    options_.crash();
  } else if (verb == "silent" && on) {
    boost::asio::post(io_, [this] { stall_connections(); });
  } else if (verb == "shed") {
    shedding_ = on;
  } else if (verb == "truncate") {
    truncating_ = on;
  } else if (verb == "work" && number) {
    options_.service_time = milliseconds(*number);
  } else {
    return Error{ErrorCode::kInvalid, "unknown control line \"" + line + "\""};
  }
  return std::nullopt;
}

std::string BackendServer::log_text() const {
  std::ostringstream out;
  for (const Execution& item : executions_) {
    const char* state = "running";
    if (item.ended) state = item.aborted ? "aborted" : "ended";
    out << "started_us=" << item.started.time_since_epoch().count()
        << " ended_us="
        << (item.ended ? item.ended->time_since_epoch().count() : 0)
        << " state=" << state << " server=" << options_.name
        << " request=" << item.request
        << " idempotency_key=" << item.idempotency_key
        << " key=" << io::percent_encode(item.key) << " slot=" << item.slot
        << " epoch=" << item.epoch << " method=" << item.method
        << " path=" << item.path << '\n';
  }
  return out.str();
}

}  // namespace eelgrasspin::standin
