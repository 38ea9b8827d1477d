#ifndef EELGRASSPIN_TESTS_MEMBERSHIP_CLUSTER_H_
#define EELGRASSPIN_TESTS_MEMBERSHIP_CLUSTER_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/membership/membership.h"
#include "core/reducer.h"

/// Several decision cores in virtual time, with a store that can be made
/// unreachable.
namespace eelgrasspin::core::membership {

inline constexpr Duration kStoreDelay = milliseconds(2);
inline constexpr Duration kPeerDelay = milliseconds(1);

struct Node {
  core::State state;
  Duration clock_start{0};
  double clock_rate = 1;
  bool running = false;
  bool paused = false;
  bool store_reachable = true;
  bool lose_write_answers = false;
  std::deque<Event> queued_events;  ///< While paused.
};

class Cluster {
 public:
  /// Adds a daemon; its address is its name.
  Node& add(const std::string& name, const std::string& zone,
            const std::string& region = "kilifi") {
    Node& node = nodes_[DaemonName(name)];
    node.state.self = {.name = DaemonName(name),
                       .zone = ZoneName(zone),
                       .region = RegionName(region),
                       .address = Endpoint(name)};
    node.clock_start = seconds(100 * static_cast<int>(nodes_.size()));
    return node;
  }

  /// Starts a daemon, or restarts it with empty state.
  void start(const std::string& name) {
    Node& node = at(name);
    core::State fresh;
    fresh.self = node.state.self;
    fresh.guards = node.state.guards;
    node.state = std::move(fresh);
    node.running = true;
    node.paused = false;
    node.queued_events.clear();
    deliver(node, Started{Incarnation(++last_incarnation_)});
  }

  void start_all() {
    for (auto& [name, node] : nodes_) start(name.str());
  }

  void kill(const std::string& name) { at(name).running = false; }
  void pause(const std::string& name) { at(name).paused = true; }

  void resume(const std::string& name) {
    Node& node = at(name);
    node.paused = false;
    while (!node.queued_events.empty()) {
      Event event = std::move(node.queued_events.front());
      node.queued_events.pop_front();
      deliver(node, event);
    }
  }

  void stop(const std::string& name) { deliver(at(name), StopOrdered{}); }

  /// Drops the messages from one daemon to another.
  void cut(const std::string& from, const std::string& to) {
    cuts_.insert({DaemonName(from), DaemonName(to)});
  }
  void isolate(const std::string& name) {
    at(name).store_reachable = false;
    for (auto& [other, node] : nodes_) {
      cut(name, other.str());
      cut(other.str(), name);
    }
  }
  void reconnect(const std::string& name) {
    at(name).store_reachable = true;
    std::erase_if(cuts_, [&](const auto& link) {
      return link.first.str() == name || link.second.str() == name;
    });
  }

  void put(const StoreKey& key, const Record& record) {
    values_[key] = {key, Version(++revision_), record};
    answer_watches();
  }

  void run(Duration time) {
    Duration end = now_ + time;
    while (now_ < end) {
      step();
      if (after_step) after_step();
    }
  }

  Now now_at(const Node& node) const {
    auto local = std::chrono::duration_cast<Duration>(now_ * node.clock_rate);
    return {TimePoint(node.clock_start + local), WallTime(now_)};
  }

  Node& at(const std::string& name) { return nodes_.at(DaemonName(name)); }
  std::map<DaemonName, Node>& nodes() { return nodes_; }
  Duration now() const { return now_; }
  Version revision() const { return Version(revision_); }

  const Record& stored(const StoreKey& key) { return values_[key].record; }
  const ZoneRoster& stored_roster(const std::string& zone) {
    return std::get<ZoneRoster>(stored(roster_key(ZoneName(zone))));
  }

  std::vector<std::string> coordinators_of(const std::string& zone) {
    std::vector<std::string> names;
    for (auto& [name, node] : nodes_) {
      if (node.running && coordinates(node.state, ZoneName(zone), now_at(node)))
        names.push_back(name.str());
    }
    return names;
  }

  std::function<void()> after_step;
  /// Whether the next message is lost; if null, none is.
  std::function<bool()> loses_message;
  std::vector<VmEntry> vms;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::function<void(const DaemonName&, const PeerMessage&)> on_send;

 private:
  struct Watch {
    DaemonName node;
    StoreWatch request;
    Duration ends_at;
  };

  void step() {
    now_ += milliseconds(1);
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      auto action = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      action();
    }
    expire_watches();
    if (now_ % config::kTickInterval != Duration(0)) return;
    for (auto& [name, node] : nodes_) {
      if (!node.paused) deliver(node, Tick{});
    }
  }

  void after(Duration delay, std::function<void()> action) {
    queue_.emplace(now_ + delay, std::move(action));
  }

  void deliver(Node& node, const Event& event) {
    if (!node.running) return;
    if (node.paused) {
      node.queued_events.push_back(event);
      return;
    }
    Effects effects = reduce(node.state, event, now_at(node));
    for (const Effect& effect : effects) apply_effect(node, effect);
  }

  void answer(Node& node, StoreOpId op, StoreResult result, Duration delay) {
    Incarnation run = node.state.self.incarnation;
    after(delay, [this, &node, run, op, result = std::move(result)] {
      if (node.state.self.incarnation == run)
        deliver(node, StoreAnswered{op, result});
    });
  }

  bool fail_if_unreachable(Node& node, StoreOpId op) {
    if (node.store_reachable && store_up) return false;
    answer(node, op, StoreUnavailable{"no answer"}, config::kStoreTimeout);
    return true;
  }

  StoreRead read_prefix(const StoreKey& prefix, Version since) {
    StoreRead read{Version(revision_), {}};
    for (const auto& [key, entry] : values_) {
      if (key.str().starts_with(prefix.str()) && entry.version > since)
        read.entries.push_back(entry);
    }
    return read;
  }

  void apply_effect(Node& node, const Effect& effect) {
    if (const auto* peer = std::get_if<SendPeer>(&effect)) send(node, *peer);
    if (const auto* list = std::get_if<StoreList>(&effect)) {
      ++reads;
      if (!fail_if_unreachable(node, list->op))
        answer(node, list->op, read_prefix(list->prefix, Version(0)),
               kStoreDelay);
    }
    if (const auto* write = std::get_if<StorePut>(&effect)) {
      ++writes;
      if (!fail_if_unreachable(node, write->op))
        after(kStoreDelay / 2,
              [this, &node, put = *write] { apply_put(node, put); });
    }
    if (const auto* watch = std::get_if<StoreWatch>(&effect)) {
      ++reads;
      if (fail_if_unreachable(node, watch->op)) return;
      watches_.push_back({node.state.self.name, *watch, now_ + watch->wait});
      answer_watches();
    }
    if (std::holds_alternative<ListVms>(effect)) {
      ++reads;
      after(kStoreDelay, [this, &node] { deliver(node, VmsListed{vms}); });
    }
  }

  void send(Node& node, const SendPeer& peer) {
    if (on_send) on_send(node.state.self.name, peer.message);
    DaemonName to(peer.to.str());
    if (!nodes_.contains(to) || cuts_.contains({node.state.self.name, to}))
      return;
    if (loses_message && loses_message()) return;
    after(kPeerDelay, [this, to, message = peer.message] {
      deliver(nodes_.at(to), PeerReceived{message});
    });
  }

  void apply_put(Node& node, const StorePut& put) {
    StoreEntry& entry = values_[put.key];
    entry.key = put.key;
    if (entry.version != put.expected) {
      answer(node, put.op, StoreConflict{entry}, kStoreDelay / 2);
      return;
    }
    entry.version = Version(++revision_);
    entry.record = put.record;
    if (node.lose_write_answers)
      answer(node, put.op, StoreUnavailable{"lost"}, config::kStoreTimeout);
    else
      answer(node, put.op, StoreWritten{entry.version}, kStoreDelay / 2);
    answer_watches();
  }

  void answer_watches() {
    std::erase_if(watches_, [&](const Watch& watch) {
      StoreRead read = read_prefix(watch.request.prefix, watch.request.since);
      if (read.entries.empty()) return false;
      answer(nodes_.at(watch.node), watch.request.op, read, kStoreDelay / 2);
      return true;
    });
  }

  void expire_watches() {
    std::erase_if(watches_, [&](const Watch& watch) {
      Node& node = nodes_.at(watch.node);
      bool broken = !node.store_reachable || !store_up;
      if (!broken && now_ < watch.ends_at) return false;
      StoreResult result = StoreRead{Version(revision_), {}};
      if (broken) result = StoreUnavailable{"broken"};
      answer(node, watch.request.op, std::move(result), kStoreDelay / 2);
      return true;
    });
  }

  std::map<DaemonName, Node> nodes_;
  std::map<StoreKey, StoreEntry> values_;
  std::vector<Watch> watches_;
  std::multimap<Duration, std::function<void()>> queue_;
  std::set<std::pair<DaemonName, DaemonName>> cuts_;
  Duration now_{0};
  std::uint64_t revision_ = 0;
  std::uint64_t last_incarnation_ = 0;

 public:
  bool store_up = true;
};

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_TESTS_MEMBERSHIP_CLUSTER_H_
