#ifndef EELGRASSPIN_TESTS_ADMISSION_PLAY_H_
#define EELGRASSPIN_TESTS_ADMISSION_PLAY_H_

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspin/result.h"
#include "fleet/duration.h"
#include "fleet/reduce.h"
#include "fleet/registry.h"
#include "fleet/requests.h"
#include "fleet/zone_relay.h"

/// Simulation of 12 daemons in 6 zones of 3 regions on virtual time that send
/// their callers' requests to servers with few slots. Each daemon knows the
/// requests of the others 60 to 500 ms late. Callers that are refused come back
/// after Retry-After with what is left of their deadline.
namespace eelgrasspin::fleet {

inline const ServiceName kKeyedService{"keyed"};
inline const ServiceName kFreeService{"free"};
inline constexpr std::size_t kPlayDaemons = 12;
inline constexpr std::size_t kPlayZones = 6;

/// One kind of request and its callers.
struct PlayKind {
  std::string name;
  ServiceName service;
  std::uint32_t priority = 0;
  bool repeatable = false;
  Duration service_time{0};
  Duration objective{0};
  Duration deadline{0};
  /// Requests per second at a time since the start.
  std::function<double(Duration)> rate;
  /// Share of the requests that are for key 0; the others are spread evenly.
  double hot_share = 0;
};

struct PlayResult {
  std::size_t callers = 0;
  std::size_t in_time = 0;  ///< Answered within the objective of the first try.
  std::size_t served = 0;   ///< Answered at all.
  std::size_t refusals = 0;
  std::size_t returning = 0;  ///< Served after at least one refusal.
  std::array<std::size_t, kPlayZones> zone_callers{};
  std::array<std::size_t, kPlayZones> zone_in_time{};

  double in_time_share() const { return share(in_time, callers); }
  double served_share() const { return share(served, callers); }
  double refusals_per_caller() const { return share(refusals, callers); }
  double zone_share(std::size_t zone) const {
    return share(zone_in_time.at(zone), zone_callers.at(zone));
  }
  double worst_zone() const {
    double worst = 1;
    for (std::size_t i = 0; i < kPlayZones; ++i)
      worst = std::min(worst, zone_share(i));
    return worst;
  }
  double best_zone() const {
    double best = 0;
    for (std::size_t i = 0; i < kPlayZones; ++i)
      best = std::max(best, zone_share(i));
    return best;
  }
  static double share(std::size_t part, std::size_t whole) {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  }
};

class AdmissionPlay {
 public:
  struct Options {
    std::uint32_t slots = 3;
    std::size_t servers = 12;
    bool admission_control = true;
    /// Daemons of an odd index do not hear the loads of the even ones, nor the
    /// other way round.
    bool split = false;
    /// All servers are in this zone, or spread over all.
    std::optional<std::size_t> servers_in_zone;
    std::uint32_t seed = 1;
  };

  AdmissionPlay(const Options& options, std::vector<PlayKind> kinds)
      : options_(options), kinds_(std::move(kinds)), random_(options.seed) {
    for (const PlayKind& kind : kinds_) results_[kind.name];
    configure();
    for (std::size_t i = 0; i < kPlayDaemons; ++i) start_daemon(i);
    peer_loads_.resize(kPlayDaemons * kPlayDaemons);
  }

  void run(Duration duration) {
    for (std::size_t kind = 0; kind < kinds_.size(); ++kind) arrive(kind);
    end_ = now_ + duration;
    tick();
    while (!events_.empty()) {
      auto next = events_.begin();
      now_ = next->first;
      auto act = std::move(next->second);
      events_.erase(next);
      act();
    }
  }

  const PlayResult& result(const std::string& kind) const {
    return results_.at(kind);
  }
  /// Requests that servers refused because their queue was full.
  std::size_t rejections() const { return rejections_; }

 private:
  struct Caller {
    std::size_t kind = 0;
    std::size_t daemon = 0;
    std::size_t zone = 0;
    TimePoint started;
    std::uint32_t key = 0;
    bool refused = false;
  };
  struct Job {
    AttemptId attempt;
    std::size_t daemon = 0;
    Duration time{0};
    bool cancelled = false;
  };
  struct PlayServer {
    std::vector<std::shared_ptr<Job>> running;
    std::deque<std::shared_ptr<Job>> queue;
  };

  static ZoneName zone_name(std::size_t zone) {
    return ZoneName("z" + std::to_string(zone));
  }
  static RegionName region_name(std::size_t zone) {
    return RegionName("r" + std::to_string(zone / 2));
  }
  static std::size_t zone_of(std::size_t daemon) { return daemon % kPlayZones; }

  void configure() {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->services[kKeyedService] = {kKeyedService, true};
    configuration->services[kFreeService] = {kFreeService, false};
    for (const PlayKind& kind : kinds_) {
      Route route;
      route.name = kind.name;
      route.host = "h";
      route.prefix = "/" + kind.name + "/";
      route.repeatable = kind.repeatable;
      route.priority = kind.priority;
      route.objective = kind.objective;
      route.timeout = kind.deadline;
      route.attempts = 2;
      route.destinations = {{kind.service, 1}};
      configuration->routes.push_back(route);
    }
    configuration_ = configuration;
  }

  void start_daemon(std::size_t index) {
    Settings settings;
    settings.self = {DaemonName("d" + std::to_string(index)), Incarnation(1),
                     zone_name(zone_of(index)), region_name(zone_of(index)),
                     Endpoint("10.0.0." + std::to_string(index + 1) + ":7")};
    for (std::size_t i = 0; i < kPlayZones; ++i)
      settings.regions[zone_name(i)] = region_name(i);
    settings.admission_control = options_.admission_control;
    daemons_.push_back(std::make_unique<State>(make_state(settings, now_)));
    State& state = *daemons_.back();
    reduce(state, ConfigurationSeen{configuration_, Version(1)}, now_);
    for (std::size_t i = 0; i < kPlayDaemons; ++i) {
      DaemonRecord record = settings.self;
      record.name = DaemonName("d" + std::to_string(i));
      record.zone = zone_name(zone_of(i));
      record.region = region_name(zone_of(i));
      state.fleet.daemon_records[record.name] = record;
    }
    OwnerMap map;
    map.service = kKeyedService;
    map.coordinator = DaemonName("other");
    for (std::size_t i = 0; i < options_.servers; ++i) {
      for (const ServiceName& service : {kKeyedService, kFreeService}) {
        std::size_t zone = options_.servers_in_zone.value_or(i % kPlayZones);
        Server server = {
            server_name(service, i),
            Endpoint("10.1.0.1:" + std::to_string(servers_.size())),
            service,
            zone_name(zone),
            options_.slots,
            Incarnation(1),
            false,
            Duration(0)};
        reduce(state, ServerSeen{server}, now_);
        servers_[server.name];
      }
      map.ranges.push_back({ShardKey(first_key(i)),
                            ShardKey(first_key(i + 1) - 1),
                            {server_name(kKeyedService, i), Incarnation(1)},
                            Epoch(1),
                            {}});
    }
    map.ranges.back().last = ShardKey(kMaxShardKey);
    reduce(state, MapSeen{map, Version(1)}, now_);
  }

  static ServerName server_name(const ServiceName& service, std::size_t index) {
    return ServerName(service.str() + std::to_string(index));
  }
  std::uint32_t first_key(std::size_t server) const {
    return static_cast<std::uint32_t>(server * (kMaxShardKey + 1) /
                                      options_.servers);
  }

  void at(TimePoint time, std::function<void()> act) {
    events_.emplace(time, std::move(act));
  }

  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void arrive(std::size_t index) {
    const PlayKind& kind = kinds_[index];
    double rate = std::max(0.1, kind.rate(now_ - start_));
    double gap = std::exponential_distribution<double>(rate)(random_);
    at(now_ + scaled(seconds(1), gap), [this, index] {
      if (now_ >= end_) return;
      const PlayKind& arriving = kinds_[index];
      Caller caller;
      caller.kind = index;
      caller.daemon = random_() % kPlayDaemons;
      caller.zone = zone_of(caller.daemon);
      caller.started = now_;
      caller.key = draw() < arriving.hot_share ? 0 : random_() % kMaxShardKey;
      PlayResult& result = results_[arriving.name];
      ++result.callers;
      ++result.zone_callers[caller.zone];
      callers_[++last_request_] = caller;
      submit(last_request_);
      arrive(index);
    });
  }

  void submit(std::uint64_t id) {
    const Caller& caller = callers_.at(id);
    const PlayKind& kind = kinds_[caller.kind];
    std::optional<ShardKey> key;
    if (kind.service == kKeyedService) key = ShardKey(caller.key);
    apply(caller.daemon,
          RequestReceived{RequestId(id), "c", "h", "/" + kind.name + "/x", key,
                          caller.started + kind.deadline - now_,
                          Fingerprint(id)});
  }

  void on_answer(std::uint64_t id, int status, Duration retry_after) {
    Caller caller = callers_.at(id);
    callers_.erase(id);
    const PlayKind& kind = kinds_[caller.kind];
    PlayResult& result = results_[kind.name];
    if (status == 200) {
      ++result.served;
      if (caller.refused) ++result.returning;
      if (now_ - caller.started <= kind.objective) {
        ++result.in_time;
        ++result.zone_in_time[caller.zone];
      }
      return;
    }
    if (status != 503) return;
    ++result.refusals;
    Duration left = caller.started + kind.deadline - now_;
    bool honoured = retry_after > Duration(0) &&
                    retry_after <= scaled(left, config::kMaxRetryAfterShare);
    if (!honoured || left - retry_after < kind.service_time) return;
    caller.refused = true;
    // The other daemon of the zone is asked next.
    caller.daemon = (caller.daemon + kPlayZones) % kPlayDaemons;
    std::uint64_t next = ++last_request_;
    callers_[next] = caller;
    at(now_ + retry_after, [this, next] { submit(next); });
  }

  void apply(std::size_t daemon, const Event& event) {
    execute(daemon, reduce(*daemons_[daemon], event, now_));
  }

  void execute(std::size_t daemon, const Effects& effects) {
    for (const Effect& effect : effects) {
      std::visit(Overloaded{
                     [&](const SendAttempt& e) {
                       AttemptId attempt = e.id;
                       ServerName server = e.server;
                       RequestId request = e.request;
                       at(now_ + milliseconds(1),
                          [this, daemon, attempt, server, request] {
                            serve(daemon, attempt, server, request);
                          });
                     },
                     [&](const CancelAttempt& e) {
                       cancelled_.insert({daemon, e.id});
                     },
                     [&](const AnswerCaller& e) {
                       on_answer(e.request.value, e.status, e.retry_after);
                     },
                     [&](const RelayAnswer& e) {
                       on_answer(e.request.value, 200, Duration(0));
                     },
                     [](const auto&) {},
                 },
                 effect);
    }
  }

  void serve(std::size_t daemon, AttemptId attempt, const ServerName& name,
             RequestId request) {
    auto caller = callers_.find(request.value);
    if (caller == callers_.end()) return;
    PlayServer& server = servers_.at(name);
    auto job = std::make_shared<Job>();
    job->attempt = attempt;
    job->daemon = daemon;
    job->time = scaled(kinds_[caller->second.kind].service_time, 0.5 + draw());
    if (server.running.size() < options_.slots) {
      start(name, job);
    } else if (server.queue.size() < std::size_t{2} * options_.slots) {
      server.queue.push_back(job);
    } else {
      ++rejections_;
      at(now_ + milliseconds(1),
         [this, job] { end(*job, AttemptResult::kNotRun, 503); });
    }
  }

  void start(const ServerName& name, const std::shared_ptr<Job>& job) {
    servers_.at(name).running.push_back(job);
    at(now_ + job->time, [this, name, job] {
      std::erase(servers_.at(name).running, job);
      end(*job, AttemptResult::kAnswered, 200);
      PlayServer& server = servers_.at(name);
      while (!server.queue.empty() && server.running.size() < options_.slots) {
        std::shared_ptr<Job> next = server.queue.front();
        server.queue.pop_front();
        if (cancelled_.count({next->daemon, next->attempt}) == 0)
          start(name, next);
      }
    });
  }

  void end(const Job& job, AttemptResult result, int status) {
    if (cancelled_.erase({job.daemon, job.attempt}) > 0) return;
    AttemptEnded ended;
    ended.id = job.attempt;
    ended.result = result;
    ended.status = status;
    if (result == AttemptResult::kAnswered) ended.answer = answer_;
    apply(job.daemon, ended);
  }

  void tick() {
    bool idle = callers_.empty() && now_ >= end_;
    if (idle) return;
    ++ticks_;
    publish_loads();
    for (std::size_t i = 0; i < kPlayDaemons; ++i) {
      Effects effects;
      tick_requests(*daemons_[i], now_, effects);
      execute(i, effects);
    }
    at(now_ + config::kTickInterval, [this] { tick(); });
  }

  /// Ticks between two reports of one daemon to another: 60 ms in a zone, 140
  /// ms in a region, 500 ms beyond.
  static std::size_t report_ticks(std::size_t from, std::size_t to) {
    std::size_t from_zone = zone_of(from);
    std::size_t to_zone = zone_of(to);
    if (from_zone == to_zone) return 3;
    return from_zone / 2 == to_zone / 2 ? 7 : 25;
  }

  void publish_loads() {
    std::vector<std::map<ServerName, std::uint32_t>> own(kPlayDaemons);
    for (std::size_t i = 0; i < kPlayDaemons; ++i) {
      for (const auto& [name, server] : daemons_[i]->servers) {
        if (server.in_flight > 0) own[i][name] = server.in_flight;
      }
    }
    for (std::size_t to = 0; to < kPlayDaemons; ++to) {
      bool changed = false;
      for (std::size_t from = 0; from < kPlayDaemons; ++from) {
        if (from == to || (options_.split && (from + to) % 2 == 1)) continue;
        if ((ticks_ + from * 3) % report_ticks(from, to) != 0) continue;
        std::map<ServerName, std::uint32_t> told = own[from];
        // As matters_to_other_regions() has it.
        if (zone_of(from) / 2 != zone_of(to) / 2) {
          std::erase_if(told, [&](const auto& load) {
            return !matters_to_other_regions(
                *daemons_[from], daemons_[from]->servers.at(load.first));
          });
        }
        peer_loads_[to * kPlayDaemons + from] = std::move(told);
        changed = true;
      }
      if (!changed) continue;
      auto& loads = daemons_[to]->fleet.loads;
      loads.clear();
      for (std::size_t from = 0; from < kPlayDaemons; ++from) {
        for (const auto& [name, load] : peer_loads_[to * kPlayDaemons + from])
          loads[name] += load;
      }
    }
  }

  Options options_;
  std::vector<PlayKind> kinds_;
  std::mt19937 random_;
  std::shared_ptr<const Configuration> configuration_;
  std::vector<std::unique_ptr<State>> daemons_;
  std::vector<std::map<ServerName, std::uint32_t>> peer_loads_;
  std::map<ServerName, PlayServer> servers_;
  std::map<std::uint64_t, Caller> callers_;  ///< By the request's id.
  std::set<std::pair<std::size_t, AttemptId>> cancelled_;
  std::map<std::string, PlayResult> results_;
  std::multimap<TimePoint, std::function<void()>> events_;
  TimePoint start_{seconds(1000)};
  TimePoint now_ = start_;
  TimePoint end_ = start_;
  std::uint64_t last_request_ = 0;
  std::size_t rejections_ = 0;
  std::size_t ticks_ = 0;
  /// An answer is opaque to the reducer, so any address will do.
  int token_ = 0;
  std::shared_ptr<const ServerAnswer> answer_{
      std::make_shared<int>(), reinterpret_cast<const ServerAnswer*>(&token_)};
};

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_TESTS_ADMISSION_PLAY_H_
