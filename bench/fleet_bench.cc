#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "codec/fleet_json.h"
#include "eelgrasspin/result.h"
#include "fleet/reduce.h"

/// Cost of a fleet's daemons at different sizes: all of them run on virtual
/// time in this process, and their messages are encoded and decoded.
namespace eelgrasspin::fleet {
namespace {

constexpr std::size_t kZones = 9;
constexpr std::size_t kRegions = 3;
constexpr std::size_t kServersPerTenDaemons = 36;
/// Requests per second of one daemon.
constexpr std::size_t kRequestRate = 10;
constexpr Duration kAnswerTime = milliseconds(400);
constexpr Duration kWarmUp = seconds(10);

ZoneName zone_of(std::size_t index) {
  return ZoneName("z" + std::to_string(index % kZones));
}
RegionName region_of(std::size_t index) {
  return RegionName("r" + std::to_string(index % kZones % kRegions));
}

class Fleet {
 public:
  explicit Fleet(std::size_t daemons) {
    for (std::size_t i = 0; i < daemons; ++i) {
      Settings settings;
      settings.self = {DaemonName("front-zone-" + std::to_string(i)),
                       Incarnation(1),
                       zone_of(i),
                       region_of(i),
                       address_of(i),
                       i % 7 == 0 ? 500U : 100U};
      for (std::size_t zone = 0; zone < kZones; ++zone)
        settings.regions[zone_of(zone)] = region_of(zone);
      for (std::size_t seed = 0; seed < daemons; seed += daemons / 3)
        settings.seeds.push_back(address_of(seed));
      index_[address_of(i)] = i;
      states_.push_back(std::make_unique<State>(make_state(settings, now_)));
    }
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->services[service_] = {service_, false};
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.repeatable = true;
    route.objective = milliseconds(1500);
    route.timeout = seconds(3);
    route.attempts = 2;
    route.destinations = {{service_, 1}};
    configuration->routes = {route};
    ServersListed listed;
    listed.as_of = {StoreEra(), Version(1)};
    for (std::size_t i = 0; i < daemons * kServersPerTenDaemons / 10; ++i) {
      std::string number = std::to_string(1'000'000'000 + i * 7919);
      listed.servers.push_back(
          {ServerName("i-" + number), Endpoint("10.128.0.1:" + number),
           service_, zone_of(i), 2, Incarnation(1), false, Duration(0)});
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      apply(i, StoreAnswered());
      apply(i, ConfigurationSeen{configuration, Version(1)});
      apply(i, listed);
      apply(i, ViewListed{StoreView::kConfiguration, {StoreEra(), Version(1)}});
      apply(i, ViewListed{StoreView::kServers, {StoreEra(), Version(1)}});
    }
    run_for(kWarmUp);
  }

  void run_for(Duration duration) {
    TimePoint end = now_ + duration;
    for (; now_ < end; now_ += config::kTickInterval) step();
  }
  std::size_t datagrams() const { return datagrams_; }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Answer {
    std::size_t daemon;
    AttemptId attempt;
  };

  static Endpoint address_of(std::size_t daemon) {
    return Endpoint("10.0." + std::to_string(daemon / 200) + "." +
                    std::to_string(daemon % 200 + 1) + ":7540");
  }

  void step() {
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      Answer due = answers_.begin()->second;
      answers_.erase(answers_.begin());
      AttemptEnded ended;
      ended.id = due.attempt;
      ended.status = 200;
      ended.result = AttemptResult::kAnswered;
      apply(due.daemon, ended);
    }
    auto ticks_per_request = static_cast<std::size_t>(
        seconds(1) / config::kTickInterval / kRequestRate);
    ++steps_;
    for (std::size_t i = 0; i < states_.size(); ++i) {
      if (now_.time_since_epoch() > kWarmUp / 2 &&
          (steps_ + i) % ticks_per_request == 0) {
        apply(i, RequestReceived{RequestId(++last_request_), "id", "h", "/x",
                                 std::nullopt, seconds(5),
                                 Fingerprint(last_request_)});
      }
      // In the fleet, daemons do not tick at the same moment.
      apply(i, Tick());
    }
  }

  void apply(std::size_t daemon, const Event& event) {
    for (const Effect& effect : reduce(*states_[daemon], event, now_)) {
      std::visit(
          Overloaded{
              [&](const SendAttempt& e) {
                answers_.emplace(now_ + kAnswerTime, Answer{daemon, e.id});
              },
              [&](const SendHeartbeat& e) {
                deliver(codec::encode_heartbeat(e.heartbeat), e.to);
              },
              [&](const SendHeartbeatBatch& e) {
                deliver(codec::encode_heartbeat_batch(e.batch), e.to);
              },
              [](const auto&) {}},
          effect);
    }
  }

  void deliver(const std::string& text, const std::vector<Endpoint>& to) {
    for (const Endpoint& address : to) {
      ++datagrams_;
      bytes_ += text.size();
      auto found = index_.find(address);
      auto message = codec::decode_datagram(text);
      if (found == index_.end() || !ok(message)) continue;
      std::visit(
          Overloaded{[&](const Heartbeat& heartbeat) {
                       apply(found->second, HeartbeatReceived{heartbeat});
                     },
                     [&](const HeartbeatBatch& batch) {
                       apply(found->second, HeartbeatBatchReceived{batch});
                     },
                     [](const auto&) {}},
          value(message));
    }
  }

  ServiceName service_{"board"};
  TimePoint now_;
  std::vector<std::unique_ptr<State>> states_;
  std::map<Endpoint, std::size_t> index_;
  std::multimap<TimePoint, Answer> answers_;
  std::uint64_t last_request_ = 0;
  std::size_t steps_ = 0;
  std::size_t datagrams_ = 0;
  std::size_t bytes_ = 0;
};

/// One second of a fleet under load. Processor time, messages and bytes are
/// given for one daemon.
void BM_FleetSecond(benchmark::State& state) {
  auto daemons = static_cast<std::size_t>(state.range(0));
  Fleet fleet(daemons);
  std::size_t datagrams = fleet.datagrams();
  std::size_t bytes = fleet.bytes();
  for (auto _ : state) fleet.run_for(seconds(1));
  auto per_daemon = [&](std::size_t total) {
    return static_cast<double>(total) / static_cast<double>(daemons) /
           static_cast<double>(state.iterations());
  };
  state.counters["cpu_per_daemon"] =
      benchmark::Counter(static_cast<double>(daemons),
                         benchmark::Counter::kIsIterationInvariantRate |
                             benchmark::Counter::kInvert);
  state.counters["datagrams"] = per_daemon(fleet.datagrams() - datagrams);
  state.counters["bytes"] = per_daemon(fleet.bytes() - bytes);
}
BENCHMARK(BM_FleetSecond)
    ->Arg(30)
    ->Arg(100)
    ->Arg(200)
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace eelgrasspin::fleet
