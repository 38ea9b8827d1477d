#include "tools/eelload/load.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <deque>
#include <fstream>

#include "io/http_client.h"

namespace eelgrasspin::load {

ZipfKeys::ZipfKeys(std::size_t count, double exponent) {
  cumulative_.reserve(count);
  double sum = 0;
  for (std::size_t k = 0; k < count; ++k) {
    sum += 1 / std::pow(static_cast<double>(k + 1), exponent);
    cumulative_.push_back(sum);
  }
}

std::size_t ZipfKeys::draw(std::mt19937_64& random) const {
  std::uniform_real_distribution<double> spread(0, cumulative_.back());
  auto found =
      std::lower_bound(cumulative_.begin(), cumulative_.end(), spread(random));
  if (found == cumulative_.end()) return cumulative_.size() - 1;
  return static_cast<std::size_t>(found - cumulative_.begin());
}

namespace {

constexpr Duration kStep = milliseconds(1);
constexpr Duration kAnswerSlack = seconds(1);
constexpr Duration kRepeatPause = seconds(1);

struct Request {
  std::uint64_t number = 0;
  std::string key;
  TimePoint scheduled;
  bool counted = false;
  std::uint32_t repeats_left = 0;
};

class Run {
 public:
  explicit Run(const LoadOptions& options)
      : options_(options),
        keys_(options.keys, options.zipf),
        random_(options.seed),
        run_id_(std::to_string(std::random_device{}())),
        body_(options.body_bytes, 'b'),
        timer_(io_),
        idle_(options.targets.size()),
        open_(options.targets.size(), 0) {
    if (!options.record.empty()) {
      record_.open(options.record, std::ios::app);
    }
  }

  LoadResult run() {
    start_ = io::steady_now();
    step();
    io_.run();
    result_.elapsed = options_.duration;
    return std::move(result_);
  }

 private:
  /// Starts every request that is due by now.
  void step() {
    TimePoint now = io::steady_now();
    Duration whole = options_.warm_up + options_.duration;
    while (true) {
      Duration offset(static_cast<std::int64_t>(static_cast<double>(started_) *
                                                1e6 / options_.rate));
      if (offset >= whole) return finish_later();
      if (start_ + offset > now) break;
      start_one(start_ + offset, offset >= options_.warm_up);
    }
    timer_.expires_after(kStep);
    timer_.async_wait([this](boost::system::error_code failed) {
      if (!failed) step();
    });
  }

  /// Idle connections are closed once nothing is outstanding, which ends run().
  void finish_later() {
    all_started_ = true;
    close_if_done();
  }

  void close_if_done() {
    if (!all_started_ || outstanding_ > 0) return;
    for (auto& target : idle_) {
      for (const auto& connection : target) connection->close();
      target.clear();
    }
  }

  void start_one(TimePoint scheduled, bool counted) {
    Request request;
    request.number = started_++;
    request.key = options_.key_prefix + std::to_string(keys_.draw(random_));
    request.scheduled = scheduled;
    request.counted = counted;
    request.repeats_left = options_.repeats;
    if (counted) ++result_.offered;
    ++outstanding_;
    send(request);
  }

  void send(const Request& request) {
    std::size_t target = next_target_++ % options_.targets.size();
    auto& idle = idle_[target];
    while (!idle.empty() && !idle.back()->idle()) {
      idle.pop_back();
      --open_[target];
    }
    std::shared_ptr<io::HttpConnection> connection;
    if (!idle.empty()) {
      connection = std::move(idle.back());
      idle.pop_back();
    } else if (open_[target] < options_.connections) {
      ++open_[target];
      connection = io::make_http_connection(io_, options_.targets[target]);
    } else {
      waiting_.push_back(request);
      return;
    }
    connection->exchange(
        message(request), options_.deadline + kAnswerSlack,
        [this, request, target, connection](const io::HttpResult& result) {
          if (connection->idle()) {
            idle_[target].push_back(connection);
          } else {
            connection->close();
            --open_[target];
          }
          note(request, result);
          serve_waiting();
        });
  }

  void serve_waiting() {
    if (waiting_.empty()) return;
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    send(request);
  }

  std::string echo(const Request& request) const {
    return run_id_ + "-" + std::to_string(request.number);
  }

  io::HttpRequest message(const Request& request) const {
    io::HttpRequest message;
    message.method = options_.method;
    message.target = options_.path;
    std::size_t mark = message.target.find("{key}");
    if (mark != std::string::npos) {
      message.target.replace(mark, 5, request.key);
    }
    if (!options_.record.empty()) message.target += "?mark=" + echo(request);
    message.headers = {
        {"X-Echo", echo(request)},
        {"Eelgrasspin-Deadline-Ms", std::to_string(to_ms(options_.deadline))}};
    if (options_.idempotency_keys) {
      message.headers.emplace_back("Idempotency-Key", echo(request));
    }
    message.body = body_;
    return message;
  }

  void note(const Request& request, const io::HttpResult& result) {
    const auto* answer = std::get_if<io::HttpResponse>(&result);
    const std::string* outcome =
        answer == nullptr
            ? nullptr
            : io::find_header(answer->headers, "eelgrasspin-outcome");
    bool refused = outcome != nullptr && *outcome == "not run";
    if (refused && request.repeats_left > 0) return repeat(request);
    --outstanding_;
    if (!options_.record.empty()) {
      record_ << echo(request) << ' '
              << (outcome == nullptr ? "no answer" : *outcome) << std::endl;
    }
    if (request.counted) count(request, answer, outcome);
    close_if_done();
  }

  void repeat(Request request) {
    --request.repeats_left;
    ++result_.repeated;
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, kRepeatPause);
    timer->async_wait([this, timer, request](boost::system::error_code failed) {
      if (!failed) send(request);
    });
  }

  void count(const Request& request, const io::HttpResponse* answer,
             const std::string* outcome) {
    Duration latency = io::steady_now() - request.scheduled;
    // A backend server that is called directly names no outcome.
    bool direct =
        outcome == nullptr && answer != nullptr && answer->status == 200;
    if (direct || (outcome != nullptr && *outcome == "answered")) {
      ++result_.answered;
      result_.answered_latency.record(latency);
      std::string mark = "\"echo\":\"" + echo(request) + "\"";
      bool own = answer->body.find(mark) != std::string::npos;
      if (answer->status == 200 && !own) ++result_.mismatched;
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
  std::vector<std::vector<std::shared_ptr<io::HttpConnection>>> idle_;
  std::vector<std::size_t> open_;
  std::deque<Request> waiting_;
  TimePoint start_;
  std::uint64_t started_ = 0;
  std::uint64_t outstanding_ = 0;
  std::size_t next_target_ = 0;
  bool all_started_ = false;
  LoadResult result_;
  std::ofstream record_;
};

}  // namespace

LoadResult run_load(const LoadOptions& options) { return Run(options).run(); }

}  // namespace eelgrasspin::load
