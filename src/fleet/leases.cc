#include "fleet/leases.h"

#include <algorithm>

#include "fleet/duration.h"
#include "fleet/note.h"
#include "fleet/ownership.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

template <class Item>
bool overlaps(const KeyRange& range, const Item& item) {
  return range.first <= item.last && item.first <= range.last;
}

/// The lease of the range that covered these keys before, if their owner and
/// epoch are unchanged.
const Lease* lease_before(const std::map<ShardKey, Lease>& leases,
                          const KeyRange& range) {
  auto next = leases.upper_bound(range.first);
  if (next == leases.begin()) return nullptr;
  const Lease& lease = std::prev(next)->second;
  bool same = lease.owner == range.owner && lease.epoch == range.epoch;
  return same ? &lease : nullptr;
}

std::string keys_text(ShardKey first, ShardKey last) {
  return std::to_string(first.value) + "-" + std::to_string(last.value);
}

std::uint64_t start_order(State& state, Lease& lease, const Order& order) {
  lease.order = state.next_order++;
  lease.releasing = order.release;
  state.orders[lease.order] = order;
  return lease.order;
}

void grant(State& state, const ServiceName& service, const KeyRange& range,
           Lease& lease, TimePoint now, Effects& effects) {
  const ServerState& server = state.servers.at(range.owner.name);
  Duration hold =
      std::min(lease.quiet ? config::kQuietGrantHold : config::kGrantHold,
               state.settings.hold_max);
  std::uint64_t order = start_order(state, lease,
                                    {service, false, range.owner, range.first,
                                     range.last, range.epoch, now, hold});
  effects.emplace_back(GrantKeys{order, range.owner.name, server.server.address,
                                 range.first, range.last, range.epoch, hold,
                                 lease.handover});
  if (!lease.confirmed) {
    note(effects, "grant",
         {{"service", service.str()},
          {"keys", keys_text(range.first, range.last)},
          {"server", range.owner.name.str()},
          {"epoch", text(range.epoch.value)},
          {"handover", lease.handover.empty() ? "no" : "yes"}});
  }
}

void release(State& state, const ServiceName& service, const KeyRange& range,
             Lease& lease, const ServerIncarnation& from,
             const Endpoint& address, TimePoint now, Effects& effects) {
  std::uint64_t order =
      start_order(state, lease,
                  {service, true, from, range.first, range.last, range.epoch,
                   now, Duration(0)});
  effects.emplace_back(ReleaseKeys{order, from.name, address, range.first,
                                   range.last, range.epoch});
  note(effects, "release",
       {{"service", service.str()},
        {"keys", keys_text(range.first, range.last)},
        {"server", from.name.str()},
        {"epoch", text(range.epoch.value)}});
}

/// A grant for some of these keys waits for its answer.
bool grant_under_way(const State& state, const KeyRange& range,
                     const ServerIncarnation& life) {
  return std::any_of(
      state.orders.begin(), state.orders.end(), [&](const auto& item) {
        const Order& order = item.second;
        return !order.release && order.server == life && overlaps(range, order);
      });
}

bool lapsed(const State& state, const Coordination& duty, const KeyRange& range,
            const ServerIncarnation& life, TimePoint now) {
  return !grant_under_way(state, range, life) &&
         std::none_of(duty.holds.begin(), duty.holds.end(),
                      [&](const PossibleHold& hold) {
                        return hold.owner == life && hold.until > now &&
                               overlaps(range, hold);
                      });
}

/// A released life refuses every lower epoch, also in grants that it carries
/// out late.
bool is_free(const State& state, const Coordination& duty,
             const KeyRange& range, const Lease& lease,
             const ServerIncarnation& life, TimePoint now) {
  // A grant meant for an earlier life may have reached the next one, so the end
  // of a life proves nothing of its address.
  return life.name == range.owner.name ||
         lapsed(state, duty, range, life, now) ||
         lease.released.count(life) > 0;
}

/// Takes the keys back from every life that may hold them. True once none does.
bool free_keys(State& state, const ServiceName& service, Coordination& duty,
               const KeyRange& range, Lease& lease, TimePoint now,
               Effects& effects) {
  bool all_free = true;
  for (const ServerIncarnation& life : range.previous_owners) {
    if (is_free(state, duty, range, lease, life, now)) continue;
    all_free = false;
    auto server = state.servers.find(life.name);
    if (lease.order != 0 || now < lease.next_try ||
        lease.released.count(life) > 0 || server == state.servers.end()) {
      continue;
    }
    release(state, service, range, lease, life, server->second.server.address,
            now, effects);
  }
  return all_free;
}

void drive(State& state, const ServiceName& service, Coordination& duty,
           const KeyRange& range, Lease& lease, TimePoint now,
           Effects& effects) {
  if (lease.fenced) return;
  if (!lease.confirmed && !range.previous_owners.empty()) {
    if (!free_keys(state, service, duty, range, lease, now, effects)) return;
    // Nothing is owed by a release that nobody needs any more.
    if (lease.releasing) lease.order = 0;
  }
  if (lease.order != 0 || now < lease.next_try) return;
  if (!is_current(state, range.owner)) return;
  Duration interval =
      lease.quiet ? config::kQuietGrantRenewal : config::kGrantRenewal;
  if (lease.confirmed && now - lease.renewed < interval) return;
  grant(state, service, range, lease, now, effects);
}

Lease* lease_of(MapState& map, const Order& order) {
  if (!map.duty) return nullptr;
  auto found = map.duty->leases.find(order.first);
  if (found == map.duty->leases.end()) return nullptr;
  Lease& lease = found->second;
  return lease.epoch == order.epoch ? &lease : nullptr;
}

/// The server has seen this term's epoch for these keys, so orders of the
/// coordinator before prolong nothing any more.
void end_inheritance(const Settings& settings, Coordination& duty, Lease& lease,
                     const Order& order, TimePoint now) {
  if (!lease.inherited) return;
  for (PossibleHold& hold : duty.holds) {
    if (hold.owner != order.server || hold.first != order.first ||
        hold.last != order.last) {
      continue;
    }
    hold.until = std::min(hold.until, now + longest_hold(settings));
  }
}

void record_health(Coordination& duty, const Order& order, OrderResult result,
                   TimePoint now) {
  bool answered = result == OrderResult::kDone ||
                  result == OrderResult::kFenced ||
                  result == OrderResult::kInvalid;
  OrderHealth& health = duty.health[order.server];
  if (answered) {
    health.failures = 0;
    return;
  }
  // An order without an answer says little: some servers carry it out late.
  if (result == OrderResult::kUnanswered) return;
  if (health.failures++ == 0) health.failing_since = order.sent;
  health.failed = now;
}

void record_grant(const Settings& settings, Coordination& duty,
                  const Order& order, OrderResult result, TimePoint now) {
  bool carried_out = result == OrderResult::kDone;
  bool unanswered = result == OrderResult::kUnanswered;
  if (!carried_out && !unanswered) return;
  TimePoint until = now + lapse_after(settings, order.hold);
  record_hold(duty, {order.first, order.last, order.server, until});
}

void on_granted(Lease& lease, const Order& order, TimePoint now,
                Effects& effects) {
  if (!lease.confirmed) {
    note(effects, "granted",
         {{"service", order.service.str()},
          {"keys", keys_text(order.first, order.last)},
          {"server", order.server.name.str()},
          {"epoch", text(order.epoch.value)},
          {"took", text(now - order.sent)}});
  }
  lease.confirmed = true;
  lease.renewed = order.sent;
  lease.handover.clear();
}

void on_released(Lease& lease, const Order& order, const OrderEnded& ended,
                 TimePoint now, Effects& effects) {
  lease.released.insert(order.server);
  if (!ended.handover.empty()) lease.handover = ended.handover;
  note(effects, "released",
       {{"service", order.service.str()},
        {"keys", keys_text(order.first, order.last)},
        {"server", order.server.name.str()},
        {"epoch", text(order.epoch.value)},
        {"took", text(now - order.sent)}});
}

/// A server that no longer listens and is no longer listed has ended.
bool process_gone(const State& state, const ServerIncarnation& life) {
  auto server = state.servers.find(life.name);
  return server != state.servers.end() && server->second.removed;
}

}  // namespace

Duration lapse_after(const Settings& settings, Duration hold) {
  return scaled(hold, 1.0 + config::kSlowClockShare) + settings.thaw_slack +
         config::kHoldSlack;
}

Duration longest_hold(const Settings& settings) {
  return lapse_after(settings,
                     std::min(config::kQuietGrantHold, settings.hold_max));
}

void record_hold(Coordination& duty, const PossibleHold& hold) {
  for (PossibleHold& known : duty.holds) {
    if (known.owner == hold.owner && known.first == hold.first &&
        known.last == hold.last) {
      known.until = std::max(known.until, hold.until);
      return;
    }
  }
  duty.holds.push_back(hold);
}

bool is_silent(const Coordination& duty, const ServerIncarnation& life,
               TimePoint now) {
  auto found = duty.health.find(life);
  if (found == duty.health.end()) return false;
  const OrderHealth& health = found->second;
  return health.failures >= config::kServerFailures &&
         health.failed - health.failing_since >= config::kServerSilence &&
         now - health.failed < config::kServerPause;
}

void sync_leases(MapState& map) {
  std::map<ShardKey, Lease> before = std::move(map.duty->leases);
  std::map<ShardKey, Lease> leases;
  for (const KeyRange& range : map.map->ranges) {
    Lease lease;
    if (const Lease* old = lease_before(before, range)) {
      lease = *old;
      // An order for other bounds ends on its own account.
      if (before.count(range.first) == 0) lease.order = 0;
    } else {
      lease.owner = range.owner;
      lease.epoch = range.epoch;
      lease.inherited = before.empty();
    }
    leases[range.first] = std::move(lease);
  }
  map.duty->leases = std::move(leases);
}

void drive_leases(State& state, const ServiceName& service, MapState& map,
                  TimePoint now, Effects& effects) {
  if (map.verify) return;
  Coordination& duty = *map.duty;
  std::erase_if(duty.holds,
                [now](const PossibleHold& hold) { return hold.until <= now; });
  for (const KeyRange& range : map.map->ranges) {
    auto lease = duty.leases.find(range.first);
    if (lease == duty.leases.end()) continue;
    // Keys that a map being written takes away are not renewed meanwhile.
    if (map.writing) {
      const KeyRange* next = find_range(*map.writing, range.first);
      if (next == nullptr || next->epoch != range.epoch) continue;
    }
    drive(state, service, duty, range, lease->second, now, effects);
  }
}

bool has_arrived(const MapState& map, const KeyRange& range) {
  if (range.previous_owners.empty() || !map.duty) return false;
  auto lease = map.duty->leases.find(range.first);
  return lease != map.duty->leases.end() && lease->second.confirmed &&
         lease->second.epoch == range.epoch;
}

void on_order_ended(State& state, const OrderEnded& ended, TimePoint now,
                    Effects& effects) {
  auto found = state.orders.find(ended.order);
  if (found == state.orders.end()) return;
  Order order = found->second;
  state.orders.erase(found);
  MapState& map = state.maps[order.service];
  Lease* lease = lease_of(map, order);
  if (lease != nullptr && lease->order == ended.order) {
    lease->order = 0;
    lease->next_try = now;
  }
  if (ended.result != OrderResult::kDone) {
    note(effects, "order_failed",
         {{"service", order.service.str()},
          {"order", order.release ? "release" : "grant"},
          {"keys", keys_text(order.first, order.last)},
          {"server", order.server.name.str()},
          {"epoch", text(order.epoch.value)},
          {"after", text(now - order.sent)},
          {"why", ended.why}});
    if (lease != nullptr) lease->next_try = now + config::kOrderRetry;
  }
  if (map.duty) {
    record_health(*map.duty, order, ended.result, now);
    if (!order.release) {
      record_grant(state.settings, *map.duty, order, ended.result, now);
    }
  }
  if (lease == nullptr) return;
  if (ended.result == OrderResult::kDone && order.release) {
    end_inheritance(state.settings, *map.duty, *lease, order, now);
    on_released(*lease, order, ended, now, effects);
  } else if (ended.result == OrderResult::kDone) {
    if (!lease->confirmed) {
      end_inheritance(state.settings, *map.duty, *lease, order, now);
    }
    on_granted(*lease, order, now, effects);
  } else if (ended.result == OrderResult::kFenced && !order.release) {
    // Another coordinator may have been here: only the store can tell.
    lease->confirmed = false;
    lease->fenced = true;
    effects.emplace_back(ReadMap{order.service});
  } else if (order.release && (ended.result == OrderResult::kOtherServer ||
                               (ended.result == OrderResult::kNoListener &&
                                process_gone(state, order.server)))) {
    lease->released.insert(order.server);
  }
  if (map.duty) drive_leases(state, order.service, map, now, effects);
}

}  // namespace eelgrasspin::fleet
