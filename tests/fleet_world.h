#ifndef EELGRASSPIN_TESTS_FLEET_WORLD_H_
#define EELGRASSPIN_TESTS_FLEET_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "eelgrasspin/result.h"
#include "fleet/duration.h"
#include "fleet/ownership.h"
#include "fleet/reduce.h"
#include "tests/ownership_oracle.h"

/// Simulation of several daemons' reducers on virtual time, with a fake store
/// and fake backend servers. Covers grants, the owner map and heartbeats; a
/// test answers the requests that daemons send.
namespace eelgrasspin::fleet {

inline const ServiceName kBoard{"board"};
/// A service without keys; the world starts without servers of it.
inline const ServiceName kUnkeyedService{"unkeyed"};
/// Rate of a server's clock, by which it measures its holds.
inline constexpr double kServerClockRate = 0.98;
/// Distance of the keys that are checked for two owners.
inline constexpr std::uint32_t kProbeStep = 512;

struct FakeServer {
  Server entry;
  bool up = true;
  bool listed = true;  ///< The registry has its entry.
  bool reachable = true;
  bool resets_connections = false;  ///< Cut off; connections are refused.
  bool readdressed = false;         ///< Ended; another service has its address.
  bool silent = false;              ///< Accepts orders and answers none.
  Duration path_delay{0};  ///< Orders arrive later by it, and their answers.
  /// How grants that are carried out end, in place of kDone.
  std::optional<OrderResult> grant_result;
  struct Hold {
    TimePoint until;
    Epoch highest_epoch;
  };
  std::map<std::uint32_t, Hold> holds;  ///< By checked key.
  TimePoint link_healed_at;             ///< Its own, to all daemons.
};

struct FleetFaults {
  double grant_unanswered = 0;  ///< Share of grants done late and not answered.
  double grant_lost = 0;        ///< Share of orders that never arrive.
  double write_unanswered = 0;  ///< Share of writes done but not answered.
  double write_late = 0;  ///< Share of writes done seconds later, if then.
  double heartbeat_lost = 0;
  Duration heartbeat_delay{0};   ///< Longest; heartbeats may overtake others.
  Duration map_answer_delay{0};  ///< Of the store's answers to reads of maps.
  // Only in worlds with an oracle.
  double order_delayed = 0;         ///< Share of orders under way for longer.
  Duration longest_order_delay{0};  ///< From the sending to the arrival.
  double answer_lost = 0;           ///< Share of orders done and not answered.
  double answer_delayed = 0;  ///< Share of answers that take up to a second.
  /// Share of answers that come once more, as the answer to the next order on
  /// their connection.
  double answer_copied = 0;
  double long_work = 0;  ///< Share of requests that run for seconds.
  /// Share of requests that run for longer than a release is waited for.
  double work_beyond_releases = 0;
  double release_answer_lost = 0;  ///< Share of releases done, not answered.
  /// Releases do not wait for work on keys that an earlier one has stopped.
  bool repeated_releases_at_once = false;
  Duration store_delay{0};    ///< Longest, of a call to the store and back.
  bool resumed_last = false;  ///< Daemons notice a pause last.
};

/// How a connection from a daemon to a server process is left by its last
/// order.
struct OrderConnection {
  std::uint64_t daemon = 0;  ///< Incarnation.
  Incarnation server;
  /// The answer that comes once more on it, if any.
  std::optional<OrderResult> copy;
};

class FleetWorld {
 public:
  /// Distributes the daemons over `zones` availability zones in turn, and the
  /// zones over `regions`.
  FleetWorld(std::size_t daemons, std::size_t servers, std::uint32_t seed,
             std::size_t zones = 1, std::size_t regions = 1)
      : random_(seed), zones_(zones), regions_(regions) {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->services[kBoard] = {kBoard, true};
    Route route = board_route();
    configuration->routes.push_back(route);
    configuration->services[kUnkeyedService] = {kUnkeyedService, false};
    route.name = "unkeyed";
    route.prefix = "/unkeyed/";
    route.destinations = {{kUnkeyedService, 1}};
    configuration->routes.push_back(route);
    configuration_ = configuration;
    for (std::size_t i = 0; i < servers; ++i) add_server(i);
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_.emplace_back();
      start(i);
    }
  }

  static Route board_route() {
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.repeatable = true;
    route.objective = milliseconds(500);
    route.timeout = seconds(1);
    route.attempts = 2;
    route.destinations = {{kBoard, 1}};
    return route;
  }
  static ZoneName zone(std::size_t index) {
    return ZoneName(index == 0 ? "z" : "z" + std::to_string(index));
  }
  RegionName region(std::size_t zone_index) const {
    std::size_t index = zone_index % regions_;
    return RegionName(index == 0 ? "r" : "r" + std::to_string(index));
  }
  /// Applies to daemons that have not read the configuration yet.
  void set_route_times(Duration objective, Duration timeout) {
    auto configuration = std::make_shared<Configuration>(*configuration_);
    for (Route& route : configuration->routes) {
      route.objective = objective;
      route.timeout = timeout;
    }
    configuration_ = configuration;
  }
  TimePoint now() const { return now_; }
  FleetFaults faults;
  bool store_up = true;
  /// Stated by the store in its answers; empty: it states none.
  std::optional<StoreEra> store_era;
  /// Pairs of daemons that receive no messages of each other.
  std::set<std::pair<std::size_t, std::size_t>> cut_links;
  std::set<std::size_t> cut_from_store;
  /// Pairs of a daemon and a server that it cannot reach.
  std::set<std::pair<std::size_t, std::size_t>> cut_from_servers;
  /// Time until a grant of the daemon arrives at the server. It is given up
  /// after its timeout.
  std::map<std::pair<std::size_t, std::size_t>, Duration> order_delays;
  /// Pairs of a sender and a receiver of messages between daemons that are
  /// lost.
  std::set<std::pair<std::size_t, std::size_t>> cut_one_way;
  /// Daemons whose reads, or writes, the store refuses.
  std::set<std::size_t> refused_reads;
  std::set<std::size_t> refused_writes;
  /// Judges what happens at the servers. Orders then have connections, on which
  /// they and their answers may be late, and releases wait for running work.
  std::unique_ptr<OwnershipOracle> oracle;
  /// Adds a line to `violations` for a key that arrives at a server with an
  /// epoch that is not above all with which other servers had it.
  bool check_epochs = false;
  /// A line for each time that two servers held a key at once.
  std::vector<std::string> violations;
  /// Called when a daemon sends a request to a server.
  std::function<void(std::size_t daemon, const SendAttempt&)> on_send;
  /// Called when a daemon answers a request itself.
  std::function<void(std::size_t daemon, const AnswerCaller&)> on_refusal;
  /// Called when a daemon passes a server's answer on to the caller.
  std::function<void(std::size_t daemon, const RelayAnswer&)> on_answer;
  /// Called when a daemon sends an order to a server.
  std::function<void(const GrantKeys&)> on_grant;
  std::function<void(const ReleaseKeys&)> on_release;
  std::function<void(std::size_t daemon, const LogEvent&)> on_log;
  /// Called with what a server does, in worlds with an oracle.
  std::function<void(std::size_t server, const std::string&)> on_server_event;
  /// Map writes that the store has carried out.
  std::size_t map_writes = 0;
  /// Heartbeats and batches sent so far, counted once per receiver.
  std::size_t datagrams = 0;

  std::vector<FakeServer>& servers() { return servers_; }
  const std::vector<FakeServer>& servers() const { return servers_; }
  State& state(std::size_t daemon) { return *daemons_[daemon].state; }
  bool running(std::size_t daemon) const {
    return daemons_[daemon].state != nullptr;
  }
  std::size_t daemons() const { return daemons_.size(); }
  const std::optional<OwnerMap>& stored_map() const { return map_; }
  Version revision() const { return revision_; }

  std::optional<std::size_t> coordinator() const {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (!daemons_[i].state || daemons_[i].frozen) continue;
      auto map = daemons_[i].state->maps.find(kBoard);
      if (map != daemons_[i].state->maps.end() && map->second.coordinator_role)
        return i;
    }
    return std::nullopt;
  }

  /// Adds a key to those that are checked for two owners.
  void add_probe(std::uint32_t key) { probes_.insert(key); }
  void kill(std::size_t daemon) { daemons_[daemon].state.reset(); }
  void start(std::size_t daemon) {
    Settings settings;
    settings.self = {DaemonName("d" + std::to_string(daemon)),
                     Incarnation(++incarnations_), zone(daemon % zones_),
                     region(daemon % zones_),
                     Endpoint("10.0.0." + std::to_string(daemon + 1) + ":7")};
    for (std::size_t i = 0; i < zones_; ++i) {
      settings.regions[zone(i)] = region(i);
    }
    for (std::size_t i = 0; i < daemons_.size() + 4; ++i) {
      settings.seeds.emplace_back("10.0.0." + std::to_string(i + 1) + ":7");
    }
    Daemon& slot = daemons_[daemon];
    slot.state = std::make_unique<State>(make_state(settings, now_));
    slot.incarnation = incarnations_;
    slot.frozen = false;
    slot.deferred_events.clear();
    deliver_view(daemon);
  }
  void freeze(std::size_t daemon) {
    daemons_[daemon].frozen = true;
    daemons_[daemon].frozen_at = now_;
  }
  void thaw(std::size_t daemon) {
    Daemon& slot = daemons_[daemon];
    if (!slot.frozen) return;
    slot.frozen = false;
    slot.thawed_at = now_;
    if (!slot.state) return;
    Resumed resumed{now_ - slot.frozen_at};
    if (!faults.resumed_last) apply(daemon, resumed);
    auto deferred_events = std::move(slot.deferred_events);
    slot.deferred_events.clear();
    for (const Event& event : deferred_events) apply(daemon, event);
    if (faults.resumed_last) apply(daemon, resumed);
  }
  /// Ends a cut of the link from a daemon to a server.
  void heal_server_link(std::size_t daemon, std::size_t server) {
    if (cut_from_servers.erase({daemon, server}) > 0)
      link_healed_at_[{daemon, server}] = now_;
  }
  void add_key_load(std::size_t daemon, std::uint32_t key, double weight) {
    KeyLoadState& key_load = state(daemon).key_loads[kBoard];
    if (key_load.request_counts.empty()) key_load.decayed_at = now_;
    key_load.request_counts[key] += weight;
  }
  /// The server's next process starts. The registry lists it later.
  void restart_server_unnoticed(std::size_t index) {
    servers_[index].entry.incarnation = Incarnation(++incarnations_);
    servers_[index].entry.draining = false;
    servers_[index].holds.clear();
    servers_[index].up = true;
    if (oracle) oracle->ended(index);
    if (on_server_event) on_server_event(index, "restarts");
  }
  void restart_server(std::size_t index) {
    if (oracle) oracle->ended(index);
    servers_[index].entry.incarnation = Incarnation(++incarnations_);
    servers_[index].entry.draining = false;
    servers_[index].holds.clear();
    servers_[index].up = true;
    announce(index);
  }
  void drain_server(std::size_t index) {
    servers_[index].entry.draining = true;
    announce(index);
  }
  /// The server's process ends. Its registry entry is removed if `unlisted`.
  void end_server(std::size_t index, bool unlisted) {
    servers_[index].up = false;
    servers_[index].holds.clear();
    if (oracle) oracle->ended(index);
    if (on_server_event) on_server_event(index, "ends");
    if (unlisted) unlist_server(index);
  }
  void add_server(std::size_t index, const ServiceName& service = kBoard) {
    FakeServer server;
    server.entry = {ServerName("s" + std::to_string(index)),
                    Endpoint("10.1.0." + std::to_string(index + 1) + ":9"),
                    service,
                    ZoneName("z"),
                    2,
                    Incarnation(++incarnations_),
                    false,
                    Duration(0)};
    servers_.push_back(server);
    if (!daemons_.empty()) announce(servers_.size() - 1);
  }

  /// Moves the server to another availability zone.
  void set_zone(std::size_t index, const ZoneName& zone) {
    servers_[index].entry.zone = zone;
    announce(index);
  }
  /// Sets the region of each availability zone in all daemons.
  void set_regions(const std::map<ZoneName, RegionName>& regions) {
    for (Daemon& daemon : daemons_) daemon.state->settings.regions = regions;
  }
  /// Puts a configuration in force whose routes allow only these regions.
  void allow_regions(const std::vector<RegionName>& regions) {
    auto next = std::make_shared<Configuration>(*configuration_);
    ++next->version;
    for (Route& route : next->routes) route.allowed_regions = regions;
    configuration_ = next;
    each_daemon_with_store(ConfigurationSeen{next, Version(next->version)});
  }

  /// Puts a configuration in force with kBoard and its route, or without them.
  void declare_board(bool declared) {
    auto next = std::make_shared<Configuration>(*configuration_);
    next->version = ++configuration_version_;
    next->services.erase(kBoard);
    std::erase_if(next->routes,
                  [](const Route& route) { return route.name == "r"; });
    if (declared) {
      next->services[kBoard] = {kBoard, true};
      next->routes.push_back(board_route());
    }
    configuration_ = next;
    each_daemon_with_store(ConfigurationSeen{next, Version(next->version)});
  }
  /// The operator writes the latest configuration again.
  void write_configuration_again() {
    if (configuration_->version < configuration_version_) declare_board(true);
  }

  /// Checks these keys only.
  void set_oracle(const std::vector<std::uint32_t>& keys) {
    probes_ = {keys.begin(), keys.end()};
    oracle = std::make_unique<OwnershipOracle>(
        std::vector<std::uint32_t>(probes_.begin(), probes_.end()));
  }
  /// Each daemon sends a request on each checked key to its owner.
  void send_requests() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (!daemons_[i].state || daemons_[i].frozen) continue;
      auto map = daemons_[i].state->maps.find(kBoard);
      if (map == daemons_[i].state->maps.end() || !map->second.map) continue;
      for (std::size_t key = 0; key < oracle->keys().size(); ++key)
        send_request(i, *map->second.map, key);
    }
  }
  /// Each daemon that reads the store learns what its watch would tell it.
  void poll_store() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (!daemons_[i].state) continue;
      if (!reads_from_store(i)) {
        post(i, StoreFailed{"down"});
        continue;
      }
      post(i, StoreAnswered());
      post(i, listed_servers());
    }
  }

  /// Passes an event to the daemon if it runs; once it thaws, if it is frozen.
  void post(std::size_t daemon, const Event& event) {
    post(daemon, daemons_[daemon].incarnation, event);
  }
  /// Calls `act` after the delay, on virtual time.
  void after(Duration delay, std::function<void()> act) {
    scheduled_.insert({now_ + delay, ++order_, std::move(act)});
  }
  /// Replaces the map in the store. Daemons that reach it read it at once.
  void put_map(const OwnerMap& map) {
    map_ = map;
    revision_ = Version(revision_.value + 1);
    each_daemon_with_store(MapSeen{*map_, revision_, era()});
  }
  /// Cuts all daemons off from the store.
  void stop_store() {
    store_up = false;
    for (std::size_t i = 0; i < daemons_.size(); ++i)
      post(i, StoreFailed{"down"});
  }
  /// Ends stop_store(). Each daemon lists the registry again.
  void restore_store() {
    store_up = true;
    for (std::size_t i = 0; i < daemons_.size(); ++i) deliver_view(i);
  }
  /// Keeps a copy of the store's records for restore_copy().
  void take_copy() {
    copy_ = {map_,
             revision_,
             quarantine_record_,
             quarantine_recorded_at_,
             quarantine_revision_,
             daemon_records_,
             configuration_};
  }
  /// The store loses all records since take_copy(), and gives their revisions
  /// out again. Its era rises.
  void restore_copy() {
    if (store_era) store_era = StoreEra(store_era->value + 1);
    map_ = copy_.map;
    revision_ = copy_.revision;
    quarantine_record_ = copy_.quarantine_record;
    quarantine_recorded_at_ = copy_.quarantine_recorded_at;
    quarantine_revision_ = copy_.quarantine_revision;
    daemon_records_ = copy_.daemon_records;
    configuration_ = copy_.configuration;
  }
  /// The server registers again after the registry has lost its entry.
  void list_server(std::size_t index) {
    servers_[index].listed = true;
    announce(index);
  }
  /// The registry drops the entry of a server that has ended.
  void unlist_server(std::size_t index) {
    each_daemon_with_store(ServerRemoved{servers_[index].entry.name});
  }

  void run_for(Duration duration) {
    TimePoint end = now_ + duration;
    while (now_ < end) step();
  }

  /// Whether every checked key is held by its owner in the store's map.
  bool all_held() const {
    if (!map_) return false;
    for (std::uint32_t key : probes_) {
      const KeyRange* range = find_range(*map_, ShardKey(key));
      if (range == nullptr || !range->previous_owners.empty()) return false;
      for (const FakeServer& server : servers_) {
        if (server.entry.name == range->owner.name && !holds(server, key)) {
          return false;
        }
      }
    }
    return true;
  }
  bool holds(const FakeServer& server, std::uint32_t key) const {
    auto hold = server.holds.find(key);
    return server.up && hold != server.holds.end() && hold->second.until > now_;
  }

 private:
  struct Daemon {
    std::unique_ptr<State> state;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    TimePoint frozen_at;
    TimePoint thawed_at;
    std::vector<Event> deferred_events;
  };
  struct ScheduledAction {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const ScheduledAction& other) const {
      return std::pair(at, order) < std::pair(other.at, other.order);
    }
  };

  /// What the store keeps of this system's records.
  struct StoreCopy {
    std::optional<OwnerMap> map;
    Version revision;
    std::vector<Strike> quarantine_record;
    TimePoint quarantine_recorded_at;
    Version quarantine_revision;
    std::map<DaemonName, DaemonRecord> daemon_records;
    std::shared_ptr<const Configuration> configuration;
  };

  struct GrantedKey {
    Epoch epoch;  ///< The highest with which a server was granted it.
    std::string server;
  };

  bool draw(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  Duration random_duration(Duration least, Duration most) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        least.count(), most.count())(random_));
  }

  void step() {
    now_ += config::kTickInterval;
    while (!scheduled_.empty() && scheduled_.begin()->at <= now_) {
      auto act = scheduled_.begin()->act;
      scheduled_.erase(scheduled_.begin());
      act();
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].state && !daemons_[i].frozen) apply(i, Tick());
    }
    if (oracle) {
      oracle->step(now_);
    } else {
      check();
    }
  }

  void check() {
    for (std::uint32_t key : probes_) {
      const FakeServer* first = nullptr;
      for (const FakeServer& server : servers_) {
        if (!holds(server, key)) continue;
        if (first != nullptr) {
          violations.push_back("key " + std::to_string(key) + " at " +
                               first->entry.name.str() + " and " +
                               server.entry.name.str());
        }
        first = &server;
      }
    }
  }

  void post(std::size_t daemon, std::uint64_t incarnation, const Event& event) {
    Daemon& slot = daemons_[daemon];
    if (!slot.state || slot.incarnation != incarnation) return;
    if (slot.frozen) {
      slot.deferred_events.push_back(event);
    } else {
      apply(daemon, event);
    }
  }

  void apply(std::size_t daemon, const Event& event) {
    Effects effects = reduce(*daemons_[daemon].state, event, now_);
    for (const Effect& effect : effects) execute(daemon, effect);
  }

  void execute(std::size_t daemon, const Effect& effect) {
    std::uint64_t incarnation = daemons_[daemon].incarnation;
    std::visit(
        Overloaded{
            [&](const SendHeartbeat& e) {
              broadcast(daemon, e.to, HeartbeatReceived{e.heartbeat});
            },
            [&](const SendHeartbeatBatch& e) {
              broadcast(daemon, e.to, HeartbeatBatchReceived{e.batch});
            },
            [&](const SendMapChange& e) {
              broadcast(daemon, e.to, MapChangeReceived{e.change});
            },
            [&](const WriteMap& e) {
              after(milliseconds(10), [this, daemon, incarnation, e] {
                write(daemon, incarnation, e);
              });
            },
            [&](const ReadMap& e) {
              after(milliseconds(10), [this, daemon, incarnation, e] {
                read(daemon, incarnation, e);
              });
            },
            [&](const GrantKeys& e) { send_grant(daemon, incarnation, e); },
            [&](const ReleaseKeys& e) { send_release(daemon, incarnation, e); },
            [&](const ReadStoreAgain&) { deliver_view(daemon); },
            [&](const CatchUp& e) {
              after(milliseconds(10), [this, daemon, incarnation, e] {
                read_registry(daemon, incarnation, e.view);
              });
            },
            [&](const ReadQuarantineRecord&) {
              after(milliseconds(10), [this, daemon, incarnation] {
                read_quarantine_record(daemon, incarnation);
              });
            },
            [&](const WriteQuarantineRecord& e) {
              after(milliseconds(10), [this, daemon, incarnation, e] {
                write_quarantine_record(daemon, incarnation, e);
              });
            },
            [&](const SendAttempt& e) {
              if (on_send) on_send(daemon, e);
            },
            [&](const AnswerCaller& e) {
              if (on_refusal) on_refusal(daemon, e);
            },
            [&](const RelayAnswer& e) {
              if (on_answer) on_answer(daemon, e);
            },
            [&](const LogEvent& e) {
              if (on_log) on_log(daemon, e);
            },
            [](const auto&) {},
        },
        effect);
  }

  void deliver(std::size_t from, std::size_t to, const Event& event) {
    bool cut = cut_links.count({from, to}) > 0 ||
               cut_links.count({to, from}) > 0 ||
               cut_one_way.count({from, to}) > 0;
    if (cut || !daemons_[to].state || draw(faults.heartbeat_lost)) return;
    std::uint64_t incarnation = daemons_[to].incarnation;
    // Worlds without delays draw the same numbers as before there were any.
    Duration delay = milliseconds(1);
    if (faults.heartbeat_delay.count() > 0)
      delay = random_duration(delay, delay + faults.heartbeat_delay);
    after(delay,
          [this, to, incarnation, event] { post(to, incarnation, event); });
  }

  void broadcast(std::size_t daemon, const std::vector<Endpoint>& receivers,
                 const Event& event) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (i == daemon) continue;
      Endpoint endpoint("10.0.0." + std::to_string(i + 1) + ":7");
      for (const Endpoint& to : receivers) {
        if (to == endpoint) deliver(daemon, i, event);
      }
    }
    datagrams += receivers.size();
  }

  bool reaches_store(std::size_t daemon) const {
    return store_up && cut_from_store.count(daemon) == 0;
  }
  bool reads_from_store(std::size_t daemon) const {
    return reaches_store(daemon) && refused_reads.count(daemon) == 0;
  }

  void write(std::size_t daemon, std::uint64_t incarnation,
             const WriteMap& request) {
    auto end = [&](WriteOutcome outcome, Version revision) {
      post(daemon, incarnation,
           MapWriteEnded{kBoard, request.number, outcome, {era(), revision}});
    };
    if (!reaches_store(daemon)) {
      post(daemon, incarnation, StoreFailed{"down"});
      return end(WriteOutcome::kUnknown, Version());
    }
    if (refused_writes.count(daemon) > 0) {
      post(daemon, incarnation, StoreFailed{"refused"});
      return end(WriteOutcome::kWriteRefused, Version());
    }
    if (draw(faults.write_late)) {
      after(random_duration(milliseconds(500), seconds(6)),
            [this, request] { apply_write(request); });
      return after(milliseconds(1500), [this, daemon, incarnation, request] {
        post(daemon, incarnation, StoreFailed{"no answer"});
        post(daemon, incarnation,
             MapWriteEnded{kBoard, request.number, WriteOutcome::kUnknown, {}});
      });
    }
    answer_from_store(daemon, incarnation);
    if (request.expected != revision_) {
      return end(WriteOutcome::kConflict, Version());
    }
    apply_write(request);
    if (draw(faults.write_unanswered)) {
      return end(WriteOutcome::kUnknown, Version());
    }
    if (faults.store_delay.count() > 0) {
      Version written = revision_;
      return after_store_delay([this, daemon, incarnation, request, written] {
        post(daemon, incarnation, StoreAnswered());
        post(daemon, incarnation,
             MapWriteEnded{kBoard,
                           request.number,
                           WriteOutcome::kWritten,
                           {era(), written}});
      });
    }
    post(daemon, incarnation, StoreAnswered());
    end(WriteOutcome::kWritten, revision_);
  }

  void after_store_delay(std::function<void()> act) {
    after(random_duration(milliseconds(1), faults.store_delay), std::move(act));
  }

  void apply_write(const WriteMap& request) {
    if (request.expected != revision_) return;
    map_ = request.map;
    ++map_writes;
    revision_ = Version(revision_.value + 1);
  }

  StoreEra era() const { return store_era.value_or(StoreEra()); }

  /// The part of every answer that states the era.
  void answer_from_store(std::size_t daemon, std::uint64_t incarnation) {
    if (store_era) post(daemon, incarnation, StoreEraSeen{*store_era});
  }

  void read(std::size_t daemon, std::uint64_t incarnation,
            const ReadMap& request) {
    if (!reads_from_store(daemon))
      return post(daemon, incarnation, StoreFailed{"down"});
    if (!map_) {
      answer_from_store(daemon, incarnation);
      post(daemon, incarnation, StoreAnswered());
      return post(daemon, incarnation, MapMissing{request.service, era()});
    }
    MapSeen seen{*map_, revision_, era(), request.sent_at};
    auto answer = [this, daemon, incarnation, seen] {
      answer_from_store(daemon, incarnation);
      post(daemon, incarnation, StoreAnswered());
      post(daemon, incarnation, seen);
    };
    if (faults.map_answer_delay.count() > 0)
      return after(faults.map_answer_delay, answer);
    if (faults.store_delay.count() > 0) return after_store_delay(answer);
    answer();
  }

  void read_registry(std::size_t daemon, std::uint64_t incarnation,
                     StoreView view) {
    if (!reaches_store(daemon))
      return post(daemon, incarnation, StoreFailed{"down"});
    answer_from_store(daemon, incarnation);
    post(daemon, incarnation, StoreAnswered());
    post(daemon, incarnation, listed_servers());
    post(daemon, incarnation, ViewListed{view, {era(), Version()}});
  }
  ServersListed listed_servers() const {
    ServersListed listed;
    for (const FakeServer& server : servers_) {
      if (server.up && server.listed) listed.servers.push_back(server.entry);
    }
    return listed;
  }

  void read_quarantine_record(std::size_t daemon, std::uint64_t incarnation) {
    bool answered = reaches_store(daemon);
    if (answered) answer_from_store(daemon, incarnation);
    if (answered) post(daemon, incarnation, StoreAnswered());
    QuarantineRecordRead read{answered, Version(), {}};
    if (answered) read.revision = quarantine_revision_;
    if (answered) read.strikes = recorded_strikes();
    read.read_in = era();
    post(daemon, incarnation, read);
  }

  void write_quarantine_record(std::size_t daemon, std::uint64_t incarnation,
                               const WriteQuarantineRecord& request) {
    WriteOutcome outcome = WriteOutcome::kUnknown;
    if (reaches_store(daemon)) {
      bool conflict = request.expected != quarantine_revision_;
      outcome = conflict ? WriteOutcome::kConflict : WriteOutcome::kWritten;
      if (!conflict) {
        quarantine_revision_ = Version(quarantine_revision_.value + 1);
        quarantine_record_ = request.strikes;
        quarantine_recorded_at_ = now_;
      }
    }
    post(daemon, incarnation, QuarantineRecordWritten{outcome});
  }

  std::vector<Strike> recorded_strikes() const {
    std::vector<Strike> strikes = quarantine_record_;
    for (Strike& strike : strikes) strike.age += now_ - quarantine_recorded_at_;
    return strikes;
  }

  bool reaches(std::size_t daemon, const FakeServer& server) const {
    auto index = static_cast<std::size_t>(&server - servers_.data());
    return server.reachable && cut_from_servers.count({daemon, index}) == 0;
  }

  FakeServer* server_at(const Endpoint& address) {
    for (FakeServer& server : servers_) {
      if (server.entry.address == address) return &server;
    }
    return nullptr;
  }

  void carry_out(FakeServer& server, const GrantKeys& order,
                 TimePoint arrived) {
    Duration held = scaled(order.hold, 1 / kServerClockRate);
    for (std::uint32_t key : probes_) {
      if (key < order.first.value || key > order.last.value) continue;
      FakeServer::Hold& hold = server.holds[key];
      // The platform's servers check the epoch also of late orders.
      if (hold.highest_epoch > order.epoch) continue;
      hold.until = std::max(hold.until, arrived + held);
      hold.highest_epoch = std::max(hold.highest_epoch, order.epoch);
    }
  }

  void check_epoch(const FakeServer& server, const GrantKeys& order) {
    for (std::uint32_t key : probes_) {
      if (key < order.first.value || key > order.last.value) continue;
      auto [highest, added] = granted_.try_emplace(key);
      GrantedKey& granted = highest->second;
      // The next process of a server may get a renewal that is under way.
      const std::string& target = server.entry.name.str();
      if (!added && order.epoch <= granted.epoch && granted.server != target) {
        violations.push_back(
            "key " + std::to_string(key) + " granted to " + target + " with " +
            std::to_string(order.epoch.value) + " after " + granted.server +
            " with " + std::to_string(granted.epoch.value));
      }
      if (order.epoch >= granted.epoch) granted = {order.epoch, target};
    }
  }

  bool fenced(const FakeServer& server, const GrantKeys& order) const {
    for (const auto& [key, hold] : server.holds) {
      if (key >= order.first.value && key <= order.last.value &&
          hold.highest_epoch > order.epoch) {
        return true;
      }
    }
    return false;
  }

  void send_grant(std::size_t daemon, std::uint64_t incarnation,
                  const GrantKeys& order) {
    if (on_grant) on_grant(order);
    if (oracle) return deliver_grant(daemon, incarnation, order);
    FakeServer* server = server_at(order.address);
    auto unanswered = [this, daemon, incarnation, order] {
      post(daemon, incarnation,
           OrderEnded{order.order, OrderResult::kUnanswered, "", "silent"});
    };
    if (server != nullptr && !reaches(daemon, *server)) {
      return after(milliseconds(500), [this, daemon, incarnation, order] {
        post(daemon, incarnation,
             OrderEnded{order.order, OrderResult::kNotSent, "", "no path"});
      });
    }
    if (server == nullptr || server->silent || draw(faults.grant_lost)) {
      return after(config::kGrantTimeout, unanswered);
    }
    std::size_t index = static_cast<std::size_t>(server - servers_.data());
    Incarnation target = server->entry.incarnation;
    if (server->path_delay > config::kGrantTimeout) {
      after(server->path_delay, [this, index, target, order] {
        FakeServer& there = servers_[index];
        if (there.up && there.entry.incarnation == target)
          carry_out(there, order, now_);
      });
      return after(config::kGrantTimeout, unanswered);
    }
    bool late = draw(faults.grant_unanswered);
    auto delayed = order_delays.find({daemon, index});
    if (delayed != order_delays.end()) {
      after(config::kGrantTimeout, unanswered);
      return after(delayed->second, [this, index, order] {
        FakeServer& there = servers_[index];
        if (there.up && !fenced(there, order)) carry_out(there, order, now_);
      });
    }
    after(milliseconds(2), [this, daemon, incarnation, order, index, target,
                            late, unanswered] {
      FakeServer& there = servers_[index];
      if (!there.up || there.resets_connections ||
          there.entry.incarnation != target) {
        return post(daemon, incarnation,
                    OrderEnded{order.order, OrderResult::kNotSent, "", ""});
      }
      TimePoint arrived = now_;
      if (check_epochs && !fenced(there, order)) check_epoch(there, order);
      if (late) {
        after(config::kGrantTimeout, unanswered);
        return after(random_duration(seconds(2), seconds(12)),
                     [this, index, target, order, arrived] {
                       FakeServer& then = servers_[index];
                       if (then.up && then.entry.incarnation == target) {
                         carry_out(then, order, arrived);
                       }
                     });
      }
      OrderResult result = OrderResult::kFenced;
      if (!fenced(there, order)) {
        carry_out(there, order, arrived);
        result = there.grant_result.value_or(OrderResult::kDone);
      }
      after(milliseconds(2), [this, daemon, incarnation, order, result] {
        post(daemon, incarnation, OrderEnded{order.order, result, "", ""});
      });
    });
  }

  void send_release(std::size_t daemon, std::uint64_t incarnation,
                    const ReleaseKeys& order) {
    if (on_release) on_release(order);
    if (oracle) return deliver_release(daemon, incarnation, order);
    FakeServer* server = server_at(order.address);
    if (server != nullptr && !reaches(daemon, *server)) {
      return after(milliseconds(500), [this, daemon, incarnation, order] {
        post(daemon, incarnation,
             OrderEnded{order.order, OrderResult::kNotSent, "", "no path"});
      });
    }
    if (server == nullptr || server->silent || draw(faults.grant_lost)) {
      return after(config::kReleaseTimeout, [this, daemon, incarnation, order] {
        post(daemon, incarnation,
             OrderEnded{order.order, OrderResult::kUnanswered, "", "silent"});
      });
    }
    std::size_t index = static_cast<std::size_t>(server - servers_.data());
    after(milliseconds(2), [this, daemon, incarnation, order, index] {
      FakeServer& there = servers_[index];
      if (!there.up || there.resets_connections) {
        return post(daemon, incarnation,
                    OrderEnded{order.order,
                               there.readdressed ? OrderResult::kOtherServer
                                                 : OrderResult::kNotSent,
                               "", ""});
      }
      for (std::uint32_t key : probes_) {
        if (key < order.first.value || key > order.last.value) continue;
        FakeServer::Hold& hold = there.holds[key];
        hold.until = TimePoint();
        hold.highest_epoch = std::max(hold.highest_epoch, order.epoch);
      }
      after(random_duration(milliseconds(5), milliseconds(300)),
            [this, daemon, incarnation, order] {
              post(daemon, incarnation,
                   OrderEnded{order.order, OrderResult::kDone, "warm", ""});
            });
    });
  }

  // Orders in worlds with an oracle.

  /// An order on its way to a server.
  struct OrderOnWay {
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;  ///< Of the daemon.
    std::uint64_t number = 0;
    Endpoint address;
    Duration timeout{0};
    TimePoint sent_at;
    TimePoint given_up_at;  ///< By its sender, unless that is frozen then.
    bool kept_connection = false;
    Incarnation process;  ///< The server's, at the end of the connection.
    bool may_be_answered = true;
    std::function<void(const OrderOnWay&, std::size_t server)> carry_out;
  };

  void end_order(const OrderOnWay& order, OrderResult result, Duration delay,
                 const char* why, const std::string& handover = "") {
    OrderEnded ended{order.number, result, handover, why, {}};
    std::size_t daemon = order.daemon;
    std::uint64_t incarnation = order.incarnation;
    after(delay, [this, daemon, incarnation, ended] {
      post(daemon, incarnation, ended);
    });
  }

  /// The connection that the order is sent on: the last one that was used, if
  /// any is left.
  std::optional<OrderConnection> take_connection(std::size_t daemon,
                                                 std::uint64_t incarnation,
                                                 std::size_t server) {
    auto& idle = connections_[{daemon, server}];
    while (!idle.empty()) {
      OrderConnection connection = idle.back();
      idle.pop_back();
      if (connection.daemon != incarnation) continue;
      return connection;
    }
    return std::nullopt;
  }

  void start_order(OrderOnWay order, bool release) {
    FakeServer* server = server_at(order.address);
    if (server == nullptr) {
      return end_order(order, OrderResult::kNotSent, order.timeout,
                       "no server");
    }
    order.sent_at = now_;
    order.given_up_at = now_ + order.timeout;
    auto index = static_cast<std::size_t>(server - servers_.data());
    auto connection = take_connection(order.daemon, order.incarnation, index);
    order.process = server->entry.incarnation;
    if (connection) {
      order.kept_connection = true;
      order.process = connection->server;
      // A release's answer names a handover, so that only refusals of earlier
      // grants pass for it.
      if (connection->copy && reaches(order.daemon, *server) &&
          (!release || *connection->copy != OrderResult::kDone)) {
        order.may_be_answered = false;
        end_order(order, *connection->copy, milliseconds(3), "copy");
      }
    }
    Duration delay = milliseconds(2);
    if (faults.order_delayed > 0 && draw(faults.order_delayed))
      delay = random_duration(delay, faults.longest_order_delay);
    bool lost = faults.grant_lost > 0 && draw(faults.grant_lost);
    if (!lost) after(delay, [this, order] { arrive(order); });
    if (order.may_be_answered && (lost || delay >= order.timeout)) {
      end_order(order, OrderResult::kUnanswered, order.timeout, "no answer");
    } else if (order.may_be_answered) {
      watched_orders_.insert({order.daemon, order.incarnation, order.number});
      after(order.timeout, [this, order] {
        if (forget(order))
          end_order(order, OrderResult::kUnanswered, Duration(0), "no answer");
      });
    }
  }

  /// Whether nothing has ended the order yet. It counts as ended from now on.
  bool forget(const OrderOnWay& order) {
    return watched_orders_.erase(
               {order.daemon, order.incarnation, order.number}) > 0;
  }

  /// What a path has held up is sent again until the sender gives it up, which
  /// one that is frozen does not.
  void arrive(const OrderOnWay& order) {
    FakeServer* server = server_at(order.address);
    if (!reaches(order.daemon, *server)) {
      Daemon& sender = daemons_[order.daemon];
      bool frozen = sender.state && sender.frozen &&
                    sender.incarnation == order.incarnation;
      if (!order.kept_connection &&
          now_ - order.sent_at <= config::kTickInterval) {
        if (forget(order)) {
          end_order(order, OrderResult::kNotSent, order.timeout, "no path");
        }
        return;
      }
      bool ended = !sender.state || sender.incarnation != order.incarnation;
      if (!frozen && (ended || now_ >= order.given_up_at)) return;
      return after(milliseconds(100), [this, order] { arrive(order); });
    }
    bool reset = !server->up || server->resets_connections ||
                 server->entry.incarnation != order.process;
    if (reset) {
      if (!forget(order)) return;
      OrderResult result = OrderResult::kUnanswered;
      bool sent =
          order.kept_connection || server->entry.incarnation != order.process;
      if (!sent) {
        result = server->readdressed ? OrderResult::kOtherServer
                                     : OrderResult::kNotSent;
      }
      return end_order(order, result, milliseconds(2), "reset");
    }
    if (server->silent) return;
    order.carry_out(order, static_cast<std::size_t>(server - servers_.data()));
  }

  /// The server answers; the connection is kept after a grant.
  void answer_order(const OrderOnWay& order, std::size_t server,
                    OrderResult result, Duration work, bool keeps_connection,
                    const std::string& handover = "") {
    Duration delay = work + milliseconds(2);
    if (faults.answer_delayed > 0 && draw(faults.answer_delayed))
      delay += random_duration(milliseconds(1), milliseconds(1000));
    if (faults.answer_lost > 0 && draw(faults.answer_lost)) return;
    Incarnation process = servers_[server].entry.incarnation;
    std::optional<OrderResult> copy;
    if (keeps_connection && faults.answer_copied > 0 &&
        draw(faults.answer_copied)) {
      copy = result;
    }
    after(delay, [this, order, server, process, result, keeps_connection, copy,
                  handover] {
      if (!reaches(order.daemon, servers_[server]) || !forget(order)) return;
      if (keeps_connection) {
        connections_[{order.daemon, server}].push_back(
            {order.incarnation, process, copy});
      }
      end_order(order, result, Duration(0), "answered", handover);
    });
  }

  GrantArrival arrival_of(const OrderOnWay& order, std::size_t server) const {
    constexpr Duration kHealTime = milliseconds(300);
    constexpr Duration kUsualDelay = milliseconds(50);
    GrantArrival arrival{now_, now_ - order.sent_at > kUsualDelay, false};
    const Daemon& sender = daemons_[order.daemon];
    TimePoint healed =
        std::max(sender.thawed_at, servers_[server].link_healed_at);
    auto link = link_healed_at_.find({order.daemon, server});
    if (link != link_healed_at_.end()) healed = std::max(healed, link->second);
    arrival.after_heal = healed > TimePoint() && now_ - healed <= kHealTime;
    return arrival;
  }

  void deliver_grant(std::size_t daemon, std::uint64_t incarnation,
                     const GrantKeys& order) {
    OrderOnWay on_way;
    on_way.daemon = daemon;
    on_way.incarnation = incarnation;
    on_way.number = order.order;
    on_way.address = order.address;
    on_way.timeout = config::kGrantTimeout;
    on_way.carry_out = [this, order](const OrderOnWay& arrived,
                                     std::size_t index) {
      FakeServer& there = servers_[index];
      GrantArrival arrival = arrival_of(arrived, index);
      if (faults.grant_unanswered > 0 && draw(faults.grant_unanswered)) {
        Incarnation target = there.entry.incarnation;
        arrival.held_up = true;
        return after(random_duration(seconds(2), seconds(12)),
                     [this, index, target, order, arrival] {
                       FakeServer& then = servers_[index];
                       if (then.up && then.entry.incarnation == target)
                         take_grant(index, order, arrival);
                     });
      }
      bool refused = fenced(there, order);
      if (!refused) take_grant(index, order, arrival);
      report_order(index, arrived, refused ? "refuses" : "takes", order.first,
                   order.last, order.epoch);
      answer_order(arrived, index,
                   refused ? OrderResult::kFenced : OrderResult::kDone,
                   Duration(0), true);
    };
    start_order(std::move(on_way), false);
  }

  void take_grant(std::size_t index, const GrantKeys& order,
                  const GrantArrival& arrival) {
    FakeServer& server = servers_[index];
    TimePoint until = arrival.at + scaled(order.hold, 1 / kServerClockRate);
    const std::vector<std::uint32_t>& keys = oracle->keys();
    for (std::size_t i = 0; i < keys.size(); ++i) {
      if (keys[i] < order.first.value || keys[i] > order.last.value) continue;
      FakeServer::Hold& hold = server.holds[keys[i]];
      if (hold.highest_epoch > order.epoch) continue;
      hold.highest_epoch = order.epoch;
      hold.until = std::max(hold.until, until);
      if (until > now_)
        oracle->granted(index, i, order.epoch, arrival, until, now_);
    }
  }

  void deliver_release(std::size_t daemon, std::uint64_t incarnation,
                       const ReleaseKeys& order) {
    OrderOnWay on_way;
    on_way.daemon = daemon;
    on_way.incarnation = incarnation;
    on_way.number = order.order;
    on_way.address = order.address;
    on_way.timeout = config::kReleaseTimeout;
    on_way.carry_out = [this, order](const OrderOnWay& arrived,
                                     std::size_t index) {
      FakeServer& there = servers_[index];
      TimePoint idle_at = now_ + milliseconds(3);
      const std::vector<std::uint32_t>& keys = oracle->keys();
      for (std::size_t i = 0; i < keys.size(); ++i) {
        if (keys[i] < order.first.value || keys[i] > order.last.value) continue;
        FakeServer::Hold& hold = there.holds[keys[i]];
        bool waits = hold.until > now_ || !faults.repeated_releases_at_once;
        if (waits) idle_at = std::max(idle_at, oracle->work_end(index, i));
        hold.until = TimePoint();
        hold.highest_epoch = std::max(hold.highest_epoch, order.epoch);
        oracle->released(index, i);
      }
      report_order(index, arrived, "releases", order.first, order.last,
                   order.epoch);
      if (faults.release_answer_lost > 0 && draw(faults.release_answer_lost))
        return;
      answer_order(arrived, index, OrderResult::kDone, idle_at - now_, false,
                   "warm");
    };
    start_order(std::move(on_way), true);
  }

  void report_order(std::size_t server, const OrderOnWay& order,
                    const std::string& what, ShardKey first, ShardKey last,
                    Epoch epoch) {
    if (!on_server_event) return;
    on_server_event(server, what + " " + std::to_string(first.value) + "-" +
                                std::to_string(last.value) + " epoch " +
                                std::to_string(epoch.value) + " from d" +
                                std::to_string(order.daemon) + " sent " +
                                std::to_string(to_ms(now_ - order.sent_at)) +
                                " ms ago");
  }

  void send_request(std::size_t daemon, const OwnerMap& map, std::size_t key) {
    std::uint32_t number = oracle->keys()[key];
    const KeyRange* range = find_range(map, ShardKey(number));
    if (range == nullptr || !range->previous_owners.empty()) return;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const FakeServer& server = servers_[i];
      if (server.entry.name != range->owner.name) continue;
      if (!reaches(daemon, server) || !holds(server, number)) return;
      TimePoint work_until = now_ + milliseconds(10);
      if (faults.long_work > 0 && draw(faults.long_work))
        work_until = now_ + random_duration(milliseconds(50), seconds(6));
      if (faults.work_beyond_releases > 0 && draw(faults.work_beyond_releases))
        work_until = now_ + random_duration(seconds(3), seconds(9));
      oracle->began(i, key, work_until, now_);
      return;
    }
  }

  void announce(std::size_t index) {
    each_daemon_with_store(ServerSeen{servers_[index].entry});
  }
  void each_daemon_with_store(const Event& event) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].state && reaches_store(i))
        post(i, daemons_[i].incarnation, event);
    }
  }

  void deliver_view(std::size_t daemon) {
    std::uint64_t incarnation = daemons_[daemon].incarnation;
    after(milliseconds(20), [this, daemon, incarnation] {
      if (daemons_[daemon].incarnation != incarnation || !running(daemon))
        return;
      if (!reaches_store(daemon)) {
        return after(milliseconds(400), [this, daemon, incarnation] {
          if (daemons_[daemon].incarnation == incarnation) deliver_view(daemon);
        });
      }
      answer_from_store(daemon, incarnation);
      post(daemon, incarnation, StoreAnswered());
      post(daemon, incarnation, ConfigurationSeen{configuration_, Version(1)});
      post(daemon, incarnation, listed_servers());
      const DaemonRecord& self = daemons_[daemon].state->settings.self;
      daemon_records_[self.name] = self;
      post_daemon_records(daemon, incarnation);
      // Daemons that start together register after this one has listed.
      after(milliseconds(1500), [this, daemon, incarnation] {
        if (reaches_store(daemon)) post_daemon_records(daemon, incarnation);
      });
      if (quarantine_revision_.value > 0) {
        post(daemon, incarnation,
             QuarantineRecordRead{true, quarantine_revision_,
                                  recorded_strikes(), era()});
      }
    });
  }

  void post_daemon_records(std::size_t daemon, std::uint64_t incarnation) {
    for (const auto& [name, record] : daemon_records_)
      post(daemon, incarnation, DaemonSeen{record});
  }

  static std::set<std::uint32_t> first_probes() {
    std::set<std::uint32_t> probes;
    for (std::uint32_t key = 0; key <= kMaxShardKey; key += kProbeStep)
      probes.insert(key);
    return probes;
  }

  std::mt19937 random_;
  std::set<std::uint32_t> probes_ = first_probes();
  std::size_t zones_ = 1;
  std::size_t regions_ = 1;
  TimePoint now_{seconds(1000)};
  std::shared_ptr<const Configuration> configuration_;
  std::uint64_t configuration_version_ = 1;  ///< Of the operator's latest.
  std::vector<Daemon> daemons_;
  std::vector<FakeServer> servers_;
  std::optional<OwnerMap> map_;
  Version revision_;
  std::vector<Strike> quarantine_record_;
  TimePoint quarantine_recorded_at_;
  Version quarantine_revision_;
  std::map<DaemonName, DaemonRecord> daemon_records_;
  StoreCopy copy_;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> link_healed_at_;
  /// Idle ones, by daemon and server.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<OrderConnection>>
      connections_;
  /// Orders without an end: daemon, its incarnation and the number.
  std::set<std::tuple<std::size_t, std::uint64_t, std::uint64_t>>
      watched_orders_;
  std::map<std::uint32_t, GrantedKey> granted_;
  std::multiset<ScheduledAction> scheduled_;
  std::uint64_t order_ = 0;
  std::uint64_t incarnations_ = 0;
};

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_TESTS_FLEET_WORLD_H_
