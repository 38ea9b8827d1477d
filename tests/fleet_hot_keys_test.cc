#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "fleet/hot_keys.h"
#include "tests/fleet_world.h"

namespace eelgrasspin::fleet {
namespace {

constexpr std::size_t kDaemons = 12;
constexpr std::size_t kServers = 60;
constexpr std::uint32_t kSlots = 3;
constexpr double kRequestsPerSecond = 400;
constexpr double kHotShare = 0.35;
constexpr Duration kServiceTime = milliseconds(240);
constexpr Duration kHotPhase = milliseconds(1500);
constexpr std::size_t kMaxServerQueueLength = 8;
constexpr std::uint32_t kHotRunWidths[] = {200, 60};

/// Requests by key and the servers that run them, in a FleetWorld of 6 zones in
/// 3 regions. Half of the capacity is used; kHotShare of the requests are for a
/// run of 200 or 60 neighbouring keys, which changes with each phase.
class HotKeyLoad {
 public:
  explicit HotKeyLoad(std::uint32_t seed)
      : world(kDaemons, kServers, seed, 6, 3), random_(seed) {
    world.set_route_times(seconds(1), milliseconds(2500));
    for (std::size_t i = 0; i < kServers; ++i) {
      Server& entry = world.servers()[i].entry;
      entry.slots = kSlots;
      entry.zone = FleetWorld::zone(i % 6);
      speeds_.push_back(0.5 + 1.1 * static_cast<double>(i * 7 % kServers) /
                                  static_cast<double>(kServers - 1));
      index_[entry.name] = i;
    }
    queues_.resize(kServers);
    world.on_send = [this](std::size_t daemon, const SendAttempt& attempt) {
      arrive(daemon, attempt);
    };
    world.on_refusal = [this](std::size_t, const AnswerCaller& answer) {
      if (open_.erase(answer.request) == 0) return;
      ++refused[std::string(answer.reason)];
      if (quarter_idle()) ++refused_beside_idle_servers;
    };
    world.on_answer = [this](std::size_t, const RelayAnswer& answer) {
      if (open_.erase(answer.request) > 0) ++served;
    };
  }

  /// Runs with an even load.
  void warm_up(Duration duration) { run(duration, false); }
  /// Runs with hot keys, and counts anew.
  void run_hot(Duration duration) {
    reset_counts();
    run(duration, true);
  }
  void reset_counts() {
    sent = 0;
    served = 0;
    refused_beside_idle_servers = 0;
    refused.clear();
    max_range_count = 0;
    world.map_writes = 0;
  }

  double share_served() const {
    return static_cast<double>(served) / static_cast<double>(sent);
  }
  std::string summary() const {
    std::string text = "sent " + std::to_string(sent) + ", served " +
                       std::to_string(share_served()) + ", beside idle " +
                       std::to_string(refused_beside_idle_servers) +
                       ", ranges " + std::to_string(max_range_count) +
                       ", writes " + std::to_string(world.map_writes);
    for (const auto& [reason, count] : refused)
      text += ", " + reason + " " + std::to_string(count);
    return text;
  }

  FleetWorld world;
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused_beside_idle_servers = 0;
  std::map<std::string, std::size_t> refused;
  std::size_t max_range_count = 0;

 private:
  struct Queue {
    std::uint32_t running = 0;
    std::deque<std::pair<std::size_t, AttemptId>> waiting;
  };

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void run(Duration duration, bool hot) {
    TimePoint end = world.now() + duration;
    while (world.now() < end) {
      if (hot && world.now() >= phase_end_) start_phase();
      double seconds = static_cast<double>(config::kTickInterval.count()) / 1e6;
      int requests =
          std::poisson_distribution<int>(kRequestsPerSecond * seconds)(random_);
      for (int i = 0; i < requests; ++i) send(hot);
      world.run_for(config::kTickInterval);
      if (const auto& map = world.stored_map())
        max_range_count = std::max(max_range_count, map->ranges.size());
    }
  }

  void start_phase() {
    phase_end_ = world.now() + kHotPhase;
    hot_width_ = kHotRunWidths[phases_++ % 2];
    hot_first_ =
        static_cast<std::uint32_t>(draw() * (kMaxShardKey - hot_width_));
    for (std::uint32_t i = 0; i < hot_width_; i += 20)
      world.add_probe(hot_first_ + i);
  }

  void send(bool hot) {
    std::uint32_t key =
        hot && draw() < kHotShare
            ? hot_first_ + static_cast<std::uint32_t>(draw() * hot_width_)
            : static_cast<std::uint32_t>(draw() * kMaxShardKey);
    auto daemon = static_cast<std::size_t>(draw() * kDaemons);
    if (!world.running(daemon)) return;
    RequestReceived request;
    request.id = RequestId(++last_request_);
    request.caller_request_id = std::to_string(last_request_);
    request.host = "h";
    request.path = "/";
    request.key = ShardKey(key);
    request.fingerprint = Fingerprint(last_request_);
    ++sent;
    open_.insert(request.id);
    world.post(daemon, request);
  }

  void arrive(std::size_t daemon, const SendAttempt& attempt) {
    std::size_t server = index_.at(attempt.server);
    world.after(milliseconds(2), [this, daemon, server, id = attempt.id] {
      Queue& queue = queues_[server];
      if (queue.running < kSlots) return start(server, daemon, id);
      if (queue.waiting.size() >= kMaxServerQueueLength)
        return end(daemon, id, AttemptResult::kNotRun, 503);
      queue.waiting.emplace_back(daemon, id);
    });
  }

  void start(std::size_t server, std::size_t daemon, AttemptId id) {
    ++queues_[server].running;
    Duration duration = scaled(kServiceTime, (0.5 + draw()) / speeds_[server]);
    world.after(duration, [this, server, daemon, id] {
      Queue& queue = queues_[server];
      --queue.running;
      end(daemon, id, AttemptResult::kAnswered, 200);
      if (queue.waiting.empty()) return;
      auto [next_daemon, next] = queue.waiting.front();
      queue.waiting.pop_front();
      start(server, next_daemon, next);
    });
  }

  void end(std::size_t daemon, AttemptId id, AttemptResult result, int status) {
    AttemptEnded ended;
    ended.id = id;
    ended.result = result;
    ended.status = status;
    ended.answer = answer_;
    world.post(daemon, ended);
  }

  bool quarter_idle() const {
    auto idle = std::count_if(
        queues_.begin(), queues_.end(),
        [](const Queue& queue) { return queue.running <= kSlots / 2; });
    return static_cast<std::size_t>(idle) >= kServers / 4;
  }

  std::mt19937 random_;
  std::vector<double> speeds_;
  std::map<ServerName, std::size_t> index_;
  std::vector<Queue> queues_;
  std::set<RequestId> open_;
  std::uint64_t last_request_ = 0;
  TimePoint phase_end_;
  std::size_t phases_ = 0;
  std::uint32_t hot_first_ = 0;
  std::uint32_t hot_width_ = 1;
  int token_ = 0;
  std::shared_ptr<const ServerAnswer> answer_{
      std::make_shared<int>(), reinterpret_cast<const ServerAnswer*>(&token_)};
};

/// Guards against owners that stay full while most servers idle. Without hot
/// placement 0.70 to 0.72 of the requests are served, and 1,684 to 1,800 are
/// refused beside idle servers.
TEST(FleetHotKeys, OwnersFollowBusyKeys) {
  for (std::uint32_t seed : {1u, 2u, 3u}) {
    HotKeyLoad load(seed);
    load.warm_up(seconds(5));
    load.run_hot(seconds(15));
    SCOPED_TRACE("seed " + std::to_string(seed) + ": " + load.summary());
    EXPECT_GT(load.share_served(), 0.80);
    EXPECT_LT(load.refused_beside_idle_servers, 1'250u);
    EXPECT_LE(load.max_range_count,
              max_ranges(kServers) + max_hot_moves_per_round(kServers));
    EXPECT_EQ(load.world.violations, std::vector<std::string>());
  }
}

/// Guards against two owners of a key, and against a placement that needs every
/// daemon's store connection.
TEST(FleetHotKeys, HalfOfTheDaemonsCutFromTheStore) {
  HotKeyLoad load(4);
  load.warm_up(seconds(5));
  std::size_t coordinator = load.world.coordinator().value();
  for (std::size_t i = 0; i < kDaemons; i += 2) {
    std::size_t daemon = i == coordinator ? i + 1 : i;
    load.world.cut_from_store.insert(daemon);
  }
  load.run_hot(seconds(10));
  SCOPED_TRACE(load.summary());
  EXPECT_GT(load.share_served(), 0.75);
  load.world.cut_from_store.insert(coordinator);
  load.run_hot(seconds(10));
  EXPECT_EQ(load.world.violations, std::vector<std::string>());
}

/// Guards against two owners of a key after a takeover during hot placement,
/// and against a takeover that ends it.
TEST(FleetHotKeys, CoordinatorIsLostDuringTheLoad) {
  for (std::uint32_t seed : {5u, 6u}) {
    HotKeyLoad load(seed);
    load.warm_up(seconds(5));
    load.run_hot(seconds(3));
    std::size_t lost = load.world.coordinator().value();
    load.world.kill(lost);
    load.run_hot(seconds(6));
    ASSERT_TRUE(load.world.coordinator().has_value());
    EXPECT_NE(load.world.coordinator(), lost);
    load.run_hot(seconds(8));
    SCOPED_TRACE("seed " + std::to_string(seed) + ": " + load.summary());
    EXPECT_GT(load.share_served(), 0.75);
    EXPECT_EQ(load.world.violations, std::vector<std::string>());
  }
}

/// Guards against two owners of a key when grants and writes are lost or late
/// during hot placement.
TEST(FleetHotKeys, LostOrdersAndWritesDuringTheLoad) {
  HotKeyLoad load(7);
  load.warm_up(seconds(5));
  load.world.faults = {0.02, 0.02, 0.05, 0.05};
  load.run_hot(seconds(15));
  EXPECT_EQ(load.world.violations, std::vector<std::string>());
}

}  // namespace
}  // namespace eelgrasspin::fleet
