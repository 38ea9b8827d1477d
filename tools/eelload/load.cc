#include "tools/eelload/load.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <deque>
#include <fstream>

#include "io/http_client.h"

namespace eelgrasspin::load {

ZipfKeys::ZipfKeys(std::size_t key_count, double exponent) {
  cumulative_.reserve(key_count);
  double sum = 0;
  for (std::size_t k = 0; k < key_count; ++k) {
    sum += 1 / std::pow(static_cast<double>(k + 1), exponent);
    cumulative_.push_back(sum);
  }
}

std::size_t ZipfKeys::draw(std::mt19937_64& random) const {
  std::uniform_real_distribution<double> uniform(0, cumulative_.back());
  auto position =
      std::lower_bound(cumulative_.begin(), cumulative_.end(), uniform(random));
  if (position == cumulative_.end()) return cumulative_.size() - 1;
  return static_cast<std::size_t>(position - cumulative_.begin());
}

namespace {

constexpr Duration kStartInterval = milliseconds(1);
/// Wait beyond the deadline of a request, for an answer sent at the deadline.
constexpr Duration kAnswerMargin = seconds(1);
constexpr Duration kRepeatDelay = seconds(1);

struct Request {
  std::uint64_t number = 0;
  std::string key;
  TimePoint scheduled;
  bool counted = false;
  std::uint32_t repeats_left = 0;
};

class LoadRun {
 public:
  explicit LoadRun(const LoadOptions& options)
      : options_(options),
        keys_(options.key_count, options.zipf_exponent),
        random_(options.seed),
        run_id_(std::to_string(std::random_device{}())),
        body_(options.body_bytes, 'b'),
        timer_(io_),
        idle_connections_(options.targets.size()),
        open_connections_(options.targets.size(), 0) {
    if (!options.record_file.empty()) {
      record_.open(options.record_file, std::ios::app);
    }
  }

  LoadResult run() {
    start_ = io::steady_now();
    start_due_requests();
    io_.run();
    result_.elapsed = options_.duration;
    return std::move(result_);
  }

 private:
  /// Starts all requests that are due, and calls itself again after
  /// kStartInterval.
  void start_due_requests() {
    TimePoint now = io::steady_now();
    Duration total_duration = options_.warm_up + options_.duration;
    while (true) {
      Duration offset(static_cast<std::int64_t>(
          static_cast<double>(started_count_) * 1e6 / options_.rate));
      if (offset >= total_duration) return on_all_started();
      if (start_ + offset > now) break;
      start_request(start_ + offset, offset >= options_.warm_up);
    }
    timer_.expires_after(kStartInterval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) start_due_requests();
    });
  }

  /// Idle connections are closed once nothing is outstanding, which ends run().
  void on_all_started() {
    all_started_ = true;
    close_if_done();
  }

  void close_if_done() {
    if (!all_started_ || outstanding_ > 0) return;
    for (auto& target : idle_connections_) {
      for (const auto& connection : target) connection->close();
      target.clear();
    }
  }

  void start_request(TimePoint scheduled, bool counted) {
    Request request;
    request.number = started_count_++;
    request.key = options_.key_prefix + std::to_string(keys_.draw(random_));
    request.scheduled = scheduled;
    request.counted = counted;
    request.repeats_left = options_.max_repeats;
    if (counted) ++result_.offered;
    ++outstanding_;
    send(request);
  }

  void send(const Request& request) {
    std::size_t target = next_target_++ % options_.targets.size();
    auto& idle = idle_connections_[target];
    while (!idle.empty() && !idle.back()->idle()) {
      idle.pop_back();
      --open_connections_[target];
    }
    std::shared_ptr<io::HttpConnection> connection;
    if (!idle.empty()) {
      connection = std::move(idle.back());
      idle.pop_back();
    } else if (open_connections_[target] < options_.connections_per_target) {
      ++open_connections_[target];
      connection = io::make_http_connection(io_, options_.targets[target]);
    } else {
      waiting_requests_.push_back(request);
      return;
    }
    connection->exchange(
        build_http_request(request), options_.deadline + kAnswerMargin,
        [this, request, target, connection](const io::HttpResult& result) {
          if (connection->idle()) {
            idle_connections_[target].push_back(connection);
          } else {
            connection->close();
            --open_connections_[target];
          }
          on_result(request, result);
          send_next_waiting();
        });
  }

  void send_next_waiting() {
    if (waiting_requests_.empty()) return;
    Request request = std::move(waiting_requests_.front());
    waiting_requests_.pop_front();
    send(request);
  }

  /// Text that is unique to the request, also between runs.
  std::string mark_of(const Request& request) const {
    return run_id_ + "-" + std::to_string(request.number);
  }

  io::HttpRequest build_http_request(const Request& request) const {
    io::HttpRequest http_request;
    http_request.method = options_.method;
    http_request.target = options_.path;
    std::size_t placeholder = http_request.target.find("{key}");
    if (placeholder != std::string::npos) {
      http_request.target.replace(placeholder, 5, request.key);
    }
    if (!options_.record_file.empty())
      http_request.target += "?mark=" + mark_of(request);
    http_request.headers = {
        {"X-Echo", mark_of(request)},
        {"Eelgrasspin-Deadline-Ms", std::to_string(to_ms(options_.deadline))}};
    if (options_.idempotency_keys) {
      http_request.headers.emplace_back("Idempotency-Key", mark_of(request));
    }
    http_request.body = body_;
    return http_request;
  }

  void on_result(const Request& request, const io::HttpResult& result) {
    const auto* answer = std::get_if<io::HttpResponse>(&result);
    const std::string* outcome =
        answer == nullptr
            ? nullptr
            : io::find_header(answer->headers, "eelgrasspin-outcome");
    bool refused = outcome != nullptr && *outcome == "not run";
    if (refused && request.repeats_left > 0) return repeat(request);
    --outstanding_;
    if (!options_.record_file.empty()) {
      record_ << mark_of(request) << ' '
              << (outcome == nullptr ? "no answer" : *outcome) << std::endl;
    }
    if (request.counted) count_outcome(request, answer, outcome);
    close_if_done();
  }

  void repeat(Request request) {
    --request.repeats_left;
    ++result_.repeated;
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRepeatDelay);
    timer->async_wait([this, timer, request](boost::system::error_code error) {
      if (!error) send(request);
    });
  }

  void count_outcome(const Request& request, const io::HttpResponse* answer,
                     const std::string* outcome) {
    Duration latency = io::steady_now() - request.scheduled;
    // Answers of a backend server that is called directly have no outcome
    // header.
    bool called_directly =
        outcome == nullptr && answer != nullptr && answer->status == 200;
    if (called_directly || (outcome != nullptr && *outcome == "answered")) {
      ++result_.answered;
      result_.answered_latency.record(latency);
      std::string expected_echo = "\"echo\":\"" + mark_of(request) + "\"";
      bool echo_matches = answer->body.find(expected_echo) != std::string::npos;
      if (answer->status == 200 && !echo_matches) ++result_.mismatched;
      return;
    }
    result_.refused_latency.record(latency);
    if (outcome != nullptr && *outcome == "not run") {
      ++result_.not_run;
    } else if (outcome != nullptr && *outcome == "unknown") {
      ++result_.unknown;
    } else {
      ++result_.failed;
    }
    const std::string* reason =
        answer == nullptr
            ? nullptr
            : io::find_header(answer->headers, "eelgrasspin-reason");
    ++result_.reasons[reason != nullptr ? *reason : "no answer"];
  }

  const LoadOptions& options_;
  ZipfKeys keys_;
  std::mt19937_64 random_;
  std::string run_id_;
  std::string body_;
  boost::asio::io_context io_{1};
  boost::asio::steady_timer timer_;
  std::vector<std::vector<std::shared_ptr<io::HttpConnection>>>
      idle_connections_;
  std::vector<std::size_t> open_connections_;
  std::deque<Request> waiting_requests_;
  TimePoint start_;
  std::uint64_t started_count_ = 0;
  std::uint64_t outstanding_ = 0;
  std::size_t next_target_ = 0;
  bool all_started_ = false;
  LoadResult result_;
  std::ofstream record_;
};

}  // namespace

LoadResult run_load(const LoadOptions& options) {
  return LoadRun(options).run();
}

}  // namespace eelgrasspin::load
