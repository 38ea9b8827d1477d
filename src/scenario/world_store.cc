#include <algorithm>
#include <utility>

#include "scenario/world_p.h"

namespace eelgrasspin::scenario {
namespace {

using Reply = std::function<void(World&, StoreResult)>;

/// Sends a call to the store, where `call` computes the result. The daemon
/// receives StoreUnavailable after the timeout if the store is out of reach or
/// the answer is lost.
void call_store(World& world, const DaemonName& name, StoreOpId op,
                std::function<StoreResult(World&)> call, bool is_write) {
  const Daemon& daemon = world.daemons.at(name);
  std::uint64_t generation = daemon.generation;
  ZoneName zone = daemon.state.self.zone;
  auto unavailable = [name, generation, op](World& w) {
    deliver(w, name, generation,
            core::StoreAnswered{op, StoreUnavailable{"timeout"}});
  };
  if (!store_reachable(world, zone)) {
    schedule(world, config::kStoreTimeout, unavailable);
    return;
  }
  Duration one_way = latency(world, zone, world.latencies.store_zone) +
                     world.store.extra_latency;
  schedule(world, one_way, [=, call = std::move(call)](World& w) {
    if (!store_reachable(w, zone)) {
      schedule(w, config::kStoreTimeout, unavailable);
      return;
    }
    StoreResult result = call(w);
    if (is_write && w.store.answers_to_lose > 0) {
      --w.store.answers_to_lose;
      schedule(w, config::kStoreTimeout, unavailable);
      return;
    }
    schedule(w, one_way, [=](World& at_reply) {
      if (store_reachable(at_reply, zone)) {
        deliver(at_reply, name, generation, core::StoreAnswered{op, result});
      } else {
        schedule(at_reply, config::kStoreTimeout, unavailable);
      }
    });
  });
}

/// An absent key has version 0.
StoreEntry read_entry(const World& world, const StoreKey& key) {
  auto it = world.store.entries.find(key);
  return it == world.store.entries.end() ? StoreEntry{key, Version(0), {}}
                                         : it->second;
}

/// Entries with the prefix that changed after `since`, by version.
std::vector<StoreEntry> entries_since(const World& world,
                                      const StoreKey& prefix, Version since) {
  std::vector<StoreEntry> found;
  for (auto it = world.store.entries.lower_bound(prefix);
       it != world.store.entries.end() &&
       it->first.str().starts_with(prefix.str());
       ++it) {
    if (it->second.version > since) found.push_back(it->second);
  }
  std::sort(found.begin(), found.end(),
            [](const auto& a, const auto& b) { return a.version < b.version; });
  return found;
}

void notify_watchers(World& world, const StoreKey& key) {
  std::vector<Watcher> matching;
  auto matches = [&](const Watcher& watcher) {
    return key.str().starts_with(watcher.prefix.str());
  };
  std::copy_if(world.store.watchers.begin(), world.store.watchers.end(),
               std::back_inserter(matching), matches);
  std::erase_if(world.store.watchers, matches);
  for (const Watcher& watcher : matching) {
    watcher.on_result(
        world, StoreRead{Version(world.store.revision),
                         entries_since(world, watcher.prefix, watcher.since)});
  }
}

StoreResult write(World& world, const StoreKey& key, Version expected,
                  const Record& record) {
  ++world.store.writes;
  StoreEntry current = read_entry(world, key);
  if (current.version != expected) return StoreConflict{current};
  StoreEntry entry{key, Version(++world.store.revision), record};
  world.store.entries[key] = entry;
  check_ownership_write(world, entry);
  notify_watchers(world, key);
  return StoreWritten{entry.version};
}

}  // namespace

void store_get(World& world, const DaemonName& daemon,
               const core::StoreGet& effect) {
  auto call = [key = effect.key](World& w) -> StoreResult {
    ++w.store.reads;
    return StoreRead{Version(w.store.revision), {read_entry(w, key)}};
  };
  call_store(world, daemon, effect.op, call, false);
}

void store_list(World& world, const DaemonName& daemon,
                const core::StoreList& effect) {
  auto call = [prefix = effect.prefix](World& w) -> StoreResult {
    ++w.store.reads;
    return StoreRead{Version(w.store.revision),
                     entries_since(w, prefix, Version(0))};
  };
  call_store(world, daemon, effect.op, call, false);
}

void store_put(World& world, const DaemonName& daemon,
               const core::StorePut& effect) {
  auto call = [effect](World& w) -> StoreResult {
    return write(w, effect.key, effect.expected, effect.record);
  };
  call_store(world, daemon, effect.op, call, true);
}

void store_watch(World& world, const DaemonName& name,
                 const core::StoreWatch& effect) {
  const Daemon& daemon = world.daemons.at(name);
  ZoneName zone = daemon.state.self.zone;
  std::uint64_t generation = daemon.generation;
  StoreOpId op = effect.op;
  Duration one_way = latency(world, zone, world.latencies.store_zone) +
                     world.store.extra_latency;
  auto answer = [=](World& w, StoreResult result) {
    bool lost = !store_reachable(w, zone);
    Duration delay = lost ? Duration(config::kStoreTimeout) : one_way;
    if (lost) result = StoreUnavailable{"watch lost"};
    schedule(w, delay, [=](World& at_reply) {
      deliver(at_reply, name, generation, core::StoreAnswered{op, result});
    });
  };
  if (!store_reachable(world, zone)) {
    answer(world, StoreUnavailable{"timeout"});
    return;
  }
  schedule(world, one_way, [=](World& w) {
    ++w.store.watches;
    std::vector<StoreEntry> changes =
        entries_since(w, effect.prefix, effect.since);
    if (!changes.empty()) {
      answer(w, StoreRead{Version(w.store.revision), changes});
      return;
    }
    std::uint64_t id = w.store.next_watcher++;
    w.store.watchers.push_back({effect.prefix, effect.since, id, answer});
    schedule(w, effect.wait, [id](World& later) {
      auto it = std::find_if(
          later.store.watchers.begin(), later.store.watchers.end(),
          [id](const Watcher& watcher) { return watcher.id == id; });
      if (it == later.store.watchers.end()) return;
      Watcher watcher = *it;
      later.store.watchers.erase(it);
      watcher.on_result(later, StoreRead{Version(later.store.revision), {}});
    });
  });
}

void store_down(World& world) {
  world.store.down = true;
  std::vector<Watcher> watchers = std::move(world.store.watchers);
  world.store.watchers.clear();
  for (const Watcher& watcher : watchers)
    watcher.on_result(world, StoreUnavailable{"outage"});
}

void store_up(World& world) { world.store.down = false; }

void put_declarations(World& world, const Declarations& declarations) {
  world.declarations = declarations;
  DeclarationsRecord record{.declarations = declarations,
                            .applied_by = OperatorName("setup"),
                            .write_id = 1};
  record.write_id = world.store.revision + 1;
  write(world, declarations_key(),
        read_entry(world, declarations_key()).version, record);
}

}  // namespace eelgrasspin::scenario
