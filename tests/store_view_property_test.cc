#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "eelgrasspin/result.h"
#include "fleet/reduce.h"
#include "fleet/registry.h"

/// Random restorations of the store beside cuts, restarts and late answers, on
/// virtual time: daemons that are in touch with the store know the
/// configuration and the servers that it shows, and never go back.
/// RESTORATION_SEED and RESTORATION_SEEDS set the first seed and how many are
/// used; with RESTORATION_LOG the daemons' log is printed.
namespace eelgrasspin::fleet {
namespace {

constexpr int kDefaultSeeds = 60;
constexpr std::size_t kDaemons = 5;
constexpr std::size_t kServers = 6;
constexpr std::size_t kZones = 2;
/// Time without a disturbance after which the bounds hold.
constexpr Duration kStableTime = seconds(3);
/// Time from a change in the store until each daemon in touch applies it.
constexpr Duration kApplyTime = seconds(3);

/// The store's contents, and the changes since its history was last lost.
struct StoreContents {
  std::uint64_t revision = 10;
  std::shared_ptr<const Configuration> configuration;
  std::map<ServerName, Server> servers;
  std::map<std::uint64_t, ServerChange> server_changes;  ///< By revision.
  std::map<std::uint64_t, std::shared_ptr<const Configuration>>
      configuration_changes;
};

/// Reads the store for one daemon, as io::StoreFeed does.
struct Feed {
  std::optional<StoreEra> era;
  std::map<StoreView, StorePosition> as_of;
  std::set<StoreView> listed;
  std::map<StoreView, std::uint64_t> calls;  ///< Number of the last call.
  std::set<StoreView> busy;
  bool watching = true;
};

struct DaemonUnderTest {
  std::unique_ptr<State> state;
  Feed feed;
  std::uint64_t incarnation = 0;
  TimePoint disturbed_at;
  std::uint64_t version = 0;  ///< The highest that this process has adopted.
  /// Servers that this process has known to leave.
  std::set<ServerIncarnation> left;
};

class ViewWorld {
 public:
  explicit ViewWorld(std::uint32_t seed) : random_(seed) {
    era_ = StoreEra(seed % 3);
    publish();
    for (std::size_t i = 0; i < kServers; ++i) write_server(i, false);
    daemons_.resize(kDaemons);
    for (std::size_t i = 0; i < kDaemons; ++i) start(i);
  }

  std::vector<std::string> violations;

  void run(Duration duration, bool with_faults) {
    for (TimePoint end = now_ + duration; now_ < end;) {
      if (with_faults && draw(0.03)) disturb();
      step();
    }
  }
  void heal() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (cut_.erase(i) > 0) daemons_[i].disturbed_at = now_;
      if (!daemons_[i].state) start(i);
    }
    lost_messages_ = 0;
  }

 private:
  struct Action {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Action& other) const {
      return std::pair(at, order) < std::pair(other.at, other.order);
    }
  };

  bool draw(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  std::size_t below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }
  Duration between(int min_ms, int max_ms) {
    return milliseconds(
        std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
  }
  void after(Duration delay, std::function<void()> act) {
    actions_.insert({now_ + delay, ++order_, std::move(act)});
  }
  static ServerName server_name(std::size_t index) {
    return ServerName("s" + std::to_string(index));
  }

  // What the operator and the servers write.
  void publish() {
    auto next = std::make_shared<Configuration>();
    next->version = ++version_;
    put_configuration(next);
    published_at_ = now_;
  }
  void put_configuration(std::shared_ptr<const Configuration> configuration) {
    latest_ = configuration;
    store_.configuration = configuration;
    store_.configuration_changes[++store_.revision] = std::move(configuration);
  }
  void write_server(std::size_t index, bool draining) {
    Server server;
    server.name = server_name(index);
    server.address = Endpoint("10.1.0." + std::to_string(index) + ":9");
    server.service = ServiceName("board");
    server.zone = ZoneName("z0");
    server.incarnation = Incarnation(1 + starts_[index]);
    server.draining = draining;
    auto [entry, added] = store_.servers.try_emplace(server.name, server);
    if (!added && entry->second.draining == draining &&
        entry->second.incarnation == server.incarnation) {
      return;
    }
    entry->second = server;
    store_.server_changes[++store_.revision] = server;
    changed_at_[server.name] = now_;
  }
  void remove_server(std::size_t index) {
    if (store_.servers.erase(server_name(index)) == 0) return;
    store_.server_changes[++store_.revision] = server_name(index);
    changed_at_[server_name(index)] = now_;
  }
  /// All that the servers and the operator last wrote.
  void write_again() {
    if (store_.configuration != latest_) put_configuration(latest_);
    for (std::size_t i = 0; i < kServers; ++i) {
      if (gone_.count(i) > 0) {
        remove_server(i);
      } else {
        write_server(i, draining_.count(i) > 0);
      }
    }
  }

  void disturb() {
    std::size_t daemon = below(kDaemons);
    std::size_t server = below(kServers);
    switch (below(9)) {
      case 0:
        return restore();
      case 1:
        cut_.insert(daemon);
        return after(between(300, 5000), [this, daemon] {
          cut_.erase(daemon);
          daemons_[daemon].disturbed_at = now_;
        });
      case 2:
        daemons_[daemon].state.reset();
        return after(between(50, 1500), [this, daemon] {
          if (!daemons_[daemon].state) start(daemon);
        });
      case 3:
        draining_.insert(server);
        return writes_wait_ ? void() : write_server(server, true);
      case 4:
        gone_.insert(server);
        return writes_wait_ ? void() : remove_server(server);
      case 5:
        lost_messages_ = 0.3 * static_cast<double>(below(2));
        return;
      case 6:
        if (draining_.erase(server) + gone_.erase(server) == 0) return;
        ++starts_[server];
        return writes_wait_ ? void() : write_server(server, false);
      default:
        return writes_wait_ ? void() : publish();
    }
  }
  void restore() {
    if (restoring_) return;
    restoring_ = true;
    StoreContents copy = store_;
    // Servers and the operator go on writing until the store refuses.
    after(between(100, 3000), [this, copy] {
      store_down_ = true;
      writes_wait_ = true;
      after(between(0, 800), [this, copy] {
        store_ = copy;
        era_ = StoreEra(era_.value + 1);
        // Other writers may have taken the revisions past the old ones.
        if (draw(0.5)) store_.revision += below(40);
        after(between(0, 800), [this] {
          store_down_ = false;
          after(between(0, 1800), [this] {
            writes_wait_ = false;
            write_again();
          });
          after(milliseconds(2600), [this] {
            restoring_ = false;
            store_disturbed_at_ = now_;
          });
        });
      });
    });
    for (int i = 0; i < 4; ++i) {
      after(between(100, 2500), [this] {
        if (!writes_wait_) publish();
      });
    }
  }

  // The daemons.
  void start(std::size_t index) {
    Settings settings;
    settings.self = {DaemonName("d" + std::to_string(index)),
                     Incarnation(++incarnations_),
                     ZoneName("z" + std::to_string(index % kZones)),
                     RegionName("r"),
                     endpoint(index),
                     static_cast<std::uint32_t>(100 + index)};
    for (std::size_t i = 0; i < kDaemons; ++i)
      settings.seeds.push_back(endpoint(i));
    for (std::size_t i = 0; i < kZones; ++i)
      settings.regions[ZoneName("z" + std::to_string(i))] = RegionName("r");
    DaemonUnderTest& daemon = daemons_[index];
    daemon = DaemonUnderTest();
    daemon.state = std::make_unique<State>(make_state(settings, now_));
    daemon.incarnation = incarnations_;
    daemon.disturbed_at = now_;
  }
  static Endpoint endpoint(std::size_t index) {
    return Endpoint("10.0.0." + std::to_string(index + 1) + ":7");
  }
  void post(std::size_t index, std::uint64_t incarnation, const Event& event) {
    DaemonUnderTest& daemon = daemons_[index];
    if (!daemon.state || daemon.incarnation != incarnation) return;
    Effects effects = reduce(*daemon.state, event, now_);
    for (const Effect& effect : effects) execute(index, effect);
  }
  void execute(std::size_t index, const Effect& effect) {
    Feed& feed = daemons_[index].feed;
    std::visit(Overloaded{
                   [&](const SendHeartbeat& e) {
                     send(index, e.to, HeartbeatReceived{e.heartbeat});
                   },
                   [&](const SendHeartbeatBatch& e) {
                     send(index, e.to, HeartbeatBatchReceived{e.batch});
                   },
                   [&](const SendStoreUpdate& e) {
                     send(index, e.to, StoreUpdateReceived{e.update});
                   },
                   [&](const WatchStore& e) {
                     feed.watching = e.on;
                     raise(feed, StoreView::kConfiguration,
                           e.configuration_as_of);
                     raise(feed, StoreView::kServers, e.servers_as_of);
                   },
                   [&](const CatchUp& e) {
                     raise(feed, e.view, e.as_of);
                     if (feed.busy.count(e.view) == 0) call(index, e.view);
                   },
                   [&](const ReadStoreAgain&) {
                     feed.listed.clear();
                     for (StoreView view : kStoreViews) ++feed.calls[view];
                     feed.busy.clear();
                   },
                   [&](const LogEvent& e) {
                     if (std::getenv("RESTORATION_LOG") != nullptr)
                       print(index, e);
                   },
                   [](const auto&) {},
               },
               effect);
  }
  void print(std::size_t index, const LogEvent& event) const {
    std::cout << to_ms(now_.time_since_epoch()) << " d" << index << " "
              << event.name;
    for (const auto& [name, value] : event.fields)
      std::cout << " " << name << "=" << value;
    std::cout << "\n";
  }
  static void raise(Feed& feed, StoreView view, StorePosition position) {
    feed.as_of[view] = std::max(feed.as_of[view], position);
  }
  void send(std::size_t from, const std::vector<Endpoint>& to,
            const Event& event) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (i == from || std::find(to.begin(), to.end(), endpoint(i)) == to.end())
        continue;
      if (draw(lost_messages_)) continue;
      std::uint64_t incarnation = daemons_[i].incarnation;
      after(milliseconds(1),
            [this, i, incarnation, event] { post(i, incarnation, event); });
    }
  }

  // Calls to the store.
  void call(std::size_t index, StoreView view) {
    DaemonUnderTest& daemon = daemons_[index];
    daemon.feed.busy.insert(view);
    std::uint64_t number = ++daemon.feed.calls[view];
    std::uint64_t incarnation = daemon.incarnation;
    // The answer shows the store as it is now, and may come late.
    std::vector<Event> answer;
    if (!store_down_ && cut_.count(index) == 0)
      answer = read(daemon.feed, view);
    Duration delay = draw(0.02) ? between(300, 1200) : milliseconds(10);
    after(delay, [this, index, incarnation, view, number, era = era_, answer] {
      end_call(index, incarnation, view, number, era, answer);
    });
  }
  std::vector<Event> read(const Feed& feed, StoreView view) const {
    StorePosition now{era_, Version(store_.revision)};
    auto known = feed.as_of.find(view);
    std::uint64_t since =
        known == feed.as_of.end() ? 0 : known->second.revision.value;
    bool list = feed.listed.count(view) == 0 || since > store_.revision;
    if (list && view == StoreView::kServers) {
      ServersListed listed;
      listed.as_of = now;
      for (const auto& [name, server] : store_.servers)
        listed.servers.push_back(server);
      return {listed, ViewListed{view, now}};
    }
    if (list) {
      return {ConfigurationSeen{store_.configuration, now.revision},
              ViewListed{view, now}};
    }
    StoreUpdate update;
    update.view = view;
    update.as_of = now;
    if (view == StoreView::kServers) {
      for (auto change = store_.server_changes.upper_bound(since);
           change != store_.server_changes.end(); ++change)
        update.servers.push_back(change->second);
    } else if (!store_.configuration_changes.empty() &&
               store_.configuration_changes.rbegin()->first > since) {
      update.configuration = store_.configuration;
    }
    return {StoreChanged{update}};
  }
  void end_call(std::size_t index, std::uint64_t incarnation, StoreView view,
                std::uint64_t number, StoreEra era,
                const std::vector<Event>& answer) {
    DaemonUnderTest& daemon = daemons_[index];
    if (!daemon.state || daemon.incarnation != incarnation) return;
    Feed& feed = daemon.feed;
    bool refused = answer.empty();
    if (!refused && feed.era && era < *feed.era) {
      post(index, incarnation, EarlierEraAnswered{era});
      refused = true;
    } else if (!refused && (!feed.era || era > *feed.era)) {
      feed.era = era;
      post(index, incarnation, StoreEraSeen{era});
    }
    if (feed.calls[view] != number) return;
    feed.busy.erase(view);
    if (refused) return post(index, incarnation, StoreFailed{"no answer"});
    post(index, incarnation, StoreAnswered());
    for (const Event& event : answer) {
      if (const auto* listed = std::get_if<ViewListed>(&event)) {
        feed.as_of[view] = listed->as_of;
        feed.listed.insert(view);
      } else if (const auto* changed = std::get_if<StoreChanged>(&event)) {
        raise(feed, view, changed->update.as_of);
      }
      post(index, incarnation, event);
    }
  }

  void step() {
    now_ += config::kTickInterval;
    while (!actions_.empty() && actions_.begin()->at <= now_) {
      auto act = actions_.begin()->act;
      actions_.erase(actions_.begin());
      act();
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      DaemonUnderTest& daemon = daemons_[i];
      if (!daemon.state) continue;
      if (ticks_ % 5 == i) {
        for (StoreView view : kStoreViews) {
          bool reads =
              daemon.feed.watching || daemon.feed.listed.count(view) == 0;
          if (reads && daemon.feed.busy.count(view) == 0) call(i, view);
        }
      }
      post(i, daemon.incarnation, Tick());
      check(i);
    }
    ++ticks_;
  }

  bool in_touch(std::size_t index) const {
    return !store_down_ && !restoring_ && cut_.count(index) == 0 &&
           lost_messages_ == 0 &&
           now_ - daemons_[index].disturbed_at > kStableTime &&
           now_ - store_disturbed_at_ > kStableTime;
  }
  void check(std::size_t index) {
    DaemonUnderTest& daemon = daemons_[index];
    const State& state = *daemon.state;
    auto violate = [&](const std::string& what) {
      violations.push_back(std::to_string(to_ms(now_.time_since_epoch())) +
                           " d" + std::to_string(index) + " " + what);
    };
    std::uint64_t version =
        state.configuration ? state.configuration->version : 0;
    if (version < daemon.version) violate("configuration went back");
    daemon.version = std::max(daemon.version, version);
    for (std::size_t i = 0; i < kServers; ++i) {
      auto known = state.servers.find(server_name(i));
      if (known == state.servers.end()) continue;
      // A server that only seemed gone, as its entry had not returned yet, may
      // be ready once more before its own notice is read.
      bool leaves = gone_.count(i) > 0 ||
                    (draining_.count(i) > 0 && known->second.server.draining);
      ServerIncarnation current = incarnation_of(known->second.server);
      if (leaves && known->second.leaving) daemon.left.insert(current);
      if (accepts_work(known->second) && daemon.left.count(current) > 0)
        violate("uses " + server_name(i).str() + " again");
    }
    if (!in_touch(index)) return;
    if (now_ - published_at_ > kApplyTime && version < latest_->version) {
      violate("has configuration " + std::to_string(version) + ", not " +
              std::to_string(latest_->version));
    }
    for (std::size_t i = 0; i < kServers; ++i) {
      ServerName name = server_name(i);
      auto listed = store_.servers.find(name);
      bool usable = listed != store_.servers.end() && !listed->second.draining;
      auto changed = changed_at_.find(name);
      if (changed != changed_at_.end() &&
          now_ - changed->second <= kApplyTime) {
        continue;
      }
      auto known = state.servers.find(name);
      bool used = known != state.servers.end() && accepts_work(known->second);
      if (used && !usable) violate("uses " + name.str());
      if (!used && usable) violate("does not use " + name.str());
    }
  }

  std::mt19937 random_;
  TimePoint now_{seconds(1000)};
  StoreContents store_;
  StoreEra era_;
  bool store_down_ = false;
  bool restoring_ = false;
  /// The servers and the operator write after the store is back.
  bool writes_wait_ = false;
  TimePoint store_disturbed_at_;
  std::shared_ptr<const Configuration> latest_;
  std::uint64_t version_ = 0;
  TimePoint published_at_;
  std::map<ServerName, TimePoint> changed_at_;
  std::map<std::size_t, std::uint64_t> starts_;  ///< Of each server.
  std::set<std::size_t> draining_;
  std::set<std::size_t> gone_;
  std::vector<DaemonUnderTest> daemons_;
  std::set<std::size_t> cut_;
  double lost_messages_ = 0;
  std::multiset<Action> actions_;
  std::uint64_t order_ = 0;
  std::uint64_t incarnations_ = 0;
  std::uint64_t ticks_ = 0;
};

int number_from(const char* variable, int fallback) {
  const char* set = std::getenv(variable);
  return set == nullptr ? fallback : std::atoi(set);
}

void check(std::uint32_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  ViewWorld world(seed);
  world.run(seconds(5), false);
  for (int round = 0; round < 4; ++round) {
    world.run(seconds(8), true);
    world.heal();
    world.run(seconds(12), false);
  }
  EXPECT_TRUE(world.violations.empty())
      << world.violations.size() << ", " << world.violations.front();
}

TEST(StoreViewProperty, DaemonsInTouchKnowWhatTheStoreShows) {
  int first = number_from("RESTORATION_SEED", 1);
  int count = number_from("RESTORATION_SEEDS", kDefaultSeeds);
  for (int i = first; i < first + count; ++i)
    check(static_cast<std::uint32_t>(i));
}

// Seeds that have found a fault.
TEST(StoreViewProperty, TracedSeeds) {
  for (std::uint32_t seed : {958u, 1710u, 1860u, 2203u, 2663u, 3554u})
    check(seed);
}

}  // namespace
}  // namespace eelgrasspin::fleet
