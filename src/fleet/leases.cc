#include "fleet/leases.h"

#include <algorithm>

#include "fleet/displaced_servers.h"
#include "fleet/duration.h"
#include "fleet/key_recall.h"
#include "fleet/leases_p.h"
#include "fleet/log_event.h"
#include "fleet/ownership.h"
#include "fleet/peers.h"
#include "fleet/registry.h"
#include "fleet/server_notices.h"

namespace eelgrasspin::fleet {
namespace {

template <class Item>
bool overlaps(const KeyRange& range, const Item& item) {
  return range.first <= item.last && item.first <= range.last;
}

/// The lease of the range that contained these keys before; null if their owner
/// or epoch has changed.
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

std::uint64_t start_order(State& state, CoordinatorRole& coordinator_role,
                          Lease& lease, Order order) {
  lease.releasing = order.release;
  lease.pending_order = add_order(state, coordinator_role, std::move(order));
  return lease.pending_order;
}

/// Takes the order out of those without an answer; empty if it is none of them.
std::optional<Order> take_order(PendingOrders& pending, std::uint64_t number) {
  auto found = pending.by_number.find(number);
  if (found == pending.by_number.end()) return std::nullopt;
  Order order = std::move(found->second);
  pending.by_number.erase(found);
  --(order.release ? pending.releases : pending.grants);
  if (order.probe) --pending.probes;
  auto there = pending.by_server.find(order.server.name);
  (order.release ? there->second.releases : there->second.grants).erase(number);
  if (there->second.grants.empty() && there->second.releases.empty())
    pending.by_server.erase(there);
  return order;
}

/// Whether the server has as many grants, or releases, in flight as it may. The
/// two do not wait for each other: a release may take seconds.
bool server_is_busy(const State& state, const ServerName& server, bool silent,
                    bool release) {
  auto there = state.orders.by_server.find(server);
  if (there == state.orders.by_server.end()) return false;
  const PendingOrders::AtServer& orders = there->second;
  // Keys can wait for a release, but a renewal has to come before the end of
  // its grant.
  if (silent)
    return !orders.grants.empty() || (release && !orders.releases.empty());
  return release ? orders.releases.size() >= config::kMaxReleasesPerServer
                 : orders.grants.size() >= config::kMaxGrantsPerServer;
}

/// How many more orders the server takes, at least one.
std::size_t free_places(const State& state, const ServerName& server) {
  auto there = state.orders.by_server.find(server);
  std::size_t grants =
      there == state.orders.by_server.end() ? 0 : there->second.grants.size();
  return config::kMaxGrantsPerServer -
         std::min(grants, config::kMaxGrantsPerServer - 1);
}

/// When to look again at a range whose order may not be sent to the server now;
/// empty if it may.
std::optional<TimePoint> order_delay(const State& state,
                                     CoordinatorRole& coordinator_role,
                                     const ServerName& server, bool release,
                                     ShardKey first, TimePoint now) {
  if (is_at_limit(state.orders, release)) return now + config::kTickInterval;
  OrderTarget& target = coordinator_role.targets[server];
  bool silent = is_silent(target);
  if (server_is_busy(state, server, silent, release)) {
    target.waiting.insert(first);
    return now + config::kWaitingRangeCheckInterval;
  }
  if (!silent) return std::nullopt;
  if (now < target.next_probe_at) return target.next_probe_at;
  if (state.orders.probes >= config::kMaxProbesInFlight)
    return now + config::kSilentServerRetryDelay;
  return std::nullopt;
}

void set_due(CoordinatorRole& coordinator_role, ShardKey first, Lease& lease,
             std::optional<TimePoint> at) {
  if (lease.due_at) coordinator_role.due.erase({*lease.due_at, first});
  lease.due_at = at;
  if (at) coordinator_role.due.insert({*at, first});
}

/// Lets ranges that wait for orders to the server be looked at, as many as it
/// takes orders now.
void wake_waiting(const State& state, CoordinatorRole& coordinator_role,
                  const ServerName& server, TimePoint now) {
  OrderTarget& target = coordinator_role.targets[server];
  bool silent = is_silent(target);
  std::size_t count = silent ? 1 : free_places(state, server);
  TimePoint at = silent ? target.next_probe_at : now;
  while (count > 0 && !target.waiting.empty()) {
    ShardKey first = target.waiting.extract(target.waiting.begin()).value();
    auto lease = coordinator_role.leases.find(first);
    if (lease == coordinator_role.leases.end()) continue;
    if (lease->second.due_at && *lease->second.due_at <= at) continue;
    set_due(coordinator_role, first, lease->second, at);
    --count;
  }
}

void release(State& state, const ServiceName& service,
             CoordinatorRole& coordinator_role, const KeyRange& range,
             Lease& lease, const ServerIncarnation& from,
             const Endpoint& address, TimePoint now, Effects& effects) {
  std::uint64_t order =
      start_order(state, coordinator_role, lease,
                  {service, true, from, range.first, range.last, range.epoch,
                   now, Duration(0)});
  effects.emplace_back(ReleaseKeys{order, from.name, address, range.first,
                                   range.last, range.epoch});
  log_event(effects, "release",
            {{"service", service.str()},
             {"keys", keys_text(range.first, range.last)},
             {"server", from.name.str()},
             {"epoch", text(range.epoch.value)}});
}

/// Whether a grant to the holder for some of these keys has no answer yet.
bool grant_pending(const State& state, const KeyRange& range,
                   const ServerIncarnation& holder) {
  auto there = state.orders.by_server.find(holder.name);
  if (there == state.orders.by_server.end()) return false;
  return std::any_of(there->second.grants.begin(), there->second.grants.end(),
                     [&](std::uint64_t number) {
                       return overlaps(range,
                                       state.orders.by_number.at(number));
                     });
}

/// When the grant expires whether or not the server has started again.
TimePoint expiry(const PossibleGrant& grant) {
  return std::max(grant.until, grant.until_if_restarted);
}

/// When the last grant to the holder for these keys expires; `now` if all have.
/// Those to its earlier incarnations count, as they may have reached this one.
TimePoint grants_end(const State& state,
                     const CoordinatorRole& coordinator_role,
                     const KeyRange& range, const ServerIncarnation& holder,
                     TimePoint now) {
  if (grant_pending(state, range, holder)) return now + config::kTickInterval;
  TimePoint end = now;
  auto possible = coordinator_role.possible_grants.find(holder.name);
  if (possible == coordinator_role.possible_grants.end()) return end;
  auto server = state.servers.find(holder.name);
  for (const PossibleGrant& grant : possible->second) {
    if (!overlaps(range, grant)) continue;
    bool ended_or_restarted =
        server == state.servers.end() || server->second.removed ||
        server->second.server.incarnation != grant.owner.incarnation;
    end = std::max(end, ended_or_restarted ? expiry(grant) : grant.until);
  }
  return end;
}

std::string_view name_of(ReleaseProof proof) {
  switch (proof) {
    case ReleaseProof::kAnswered:
      return "released";
    case ReleaseProof::kAddressReused:
      return "address_reused";
  }
  return "unknown";
}

/// Why the holder can no longer hold keys of the range; empty if it still may.
/// A server that has released them refuses lower epochs, also in grants that
/// arrive late.
std::optional<std::string_view> why_no_longer_holds(
    const State& state, const CoordinatorRole& coordinator_role,
    const KeyRange& range, const Lease& lease, const ServerIncarnation& holder,
    TimePoint now) {
  auto released = lease.released.find(holder);
  if (released != lease.released.end()) return name_of(released->second);
  // A grant to an earlier incarnation may have reached the next one at the same
  // address, so the end of the holder does not prove that the keys are free.
  if (holder.name == range.owner.name) return "same_server";
  if (grants_end(state, coordinator_role, range, holder, now) <= now)
    return "expired";
  return std::nullopt;
}

/// The previous owners of the range and why each no longer holds its keys.
std::string previous_owners_text(const State& state,
                                 const CoordinatorRole& coordinator_role,
                                 const KeyRange& range, const Lease& lease,
                                 TimePoint now) {
  std::string result;
  for (const ServerIncarnation& holder : range.previous_owners) {
    auto why =
        why_no_longer_holds(state, coordinator_role, range, lease, holder, now);
    if (!result.empty()) result += ",";
    result += holder.name.str() + ":" + std::string(why.value_or("holds"));
  }
  return result.empty() ? "-" : result;
}

void grant(State& state, const ServiceName& service,
           CoordinatorRole& coordinator_role, const KeyRange& range,
           Lease& lease, TimePoint now, Effects& effects) {
  const ServerState& server = state.servers.at(range.owner.name);
  Duration hold = std::min(
      lease.low_traffic ? config::kLowTrafficGrantHold : config::kGrantHold,
      state.settings.hold_max);
  std::uint64_t order = start_order(state, coordinator_role, lease,
                                    {service, false, range.owner, range.first,
                                     range.last, range.epoch, now, hold});
  effects.emplace_back(GrantKeys{order, range.owner.name, server.server.address,
                                 range.first, range.last, range.epoch, hold,
                                 lease.handover});
  if (!lease.confirmed) {
    log_event(effects, "grant",
              {{"service", service.str()},
               {"keys", keys_text(range.first, range.last)},
               {"server", range.owner.name.str()},
               {"epoch", text(range.epoch.value)},
               {"handover", lease.handover.empty() ? "no" : "yes"},
               {"previous", previous_owners_text(state, coordinator_role, range,
                                                 lease, now)}});
  }
}

std::optional<TimePoint> earlier(std::optional<TimePoint> left,
                                 std::optional<TimePoint> right) {
  if (!left || !right) return left ? left : right;
  return std::min(*left, *right);
}

/// Sends releases to the previous owners that may hold the keys. Returns when
/// to look at them again; empty once none holds the keys.
std::optional<TimePoint> release_from_previous_owners(
    State& state, const ServiceName& service, CoordinatorRole& coordinator_role,
    const KeyRange& range, Lease& lease, TimePoint now, Effects& effects) {
  std::optional<TimePoint> next;
  for (const ServerIncarnation& holder : range.previous_owners) {
    if (why_no_longer_holds(state, coordinator_role, range, lease, holder, now))
      continue;
    next =
        earlier(next, grants_end(state, coordinator_role, range, holder, now));
    auto server = state.servers.find(holder.name);
    if (lease.pending_order != 0 || server == state.servers.end()) continue;
    // The entry shows where an earlier incarnation was.
    if (server->second.server.incarnation < holder.incarnation) continue;
    if (now < lease.next_order_at) {
      next = earlier(next, lease.next_order_at);
    } else if (auto delay = order_delay(state, coordinator_role, holder.name,
                                        true, range.first, now)) {
      next = earlier(next, delay);
    } else {
      release(state, service, coordinator_role, range, lease, holder,
              server->second.server.address, now, effects);
    }
  }
  return next;
}

/// When the keys of an unconfirmed grant may be given to its owner: others may
/// hold them by grants that the store has lost. Empty if they may be given now.
std::optional<TimePoint> lost_grants_end(
    const CoordinatorRole& coordinator_role, const KeyRange& range,
    const Lease& lease, TimePoint now) {
  const auto& until = coordinator_role.lost_grants_until;
  if (lease.confirmed || !until || now >= *until) return std::nullopt;
  // This may be a renewal; an owner that has lost the keys refuses it.
  if (range.previous_owners.empty() &&
      range.epoch <= coordinator_role.last_epoch_before_loss) {
    return std::nullopt;
  }
  return until;
}

/// Sends the order that is due for the range, if any. Returns when to look at
/// the range again; empty: at the end of its pending order, or once the map has
/// changed.
std::optional<TimePoint> send_due_order(State& state,
                                        const ServiceName& service,
                                        CoordinatorRole& coordinator_role,
                                        const KeyRange& range, Lease& lease,
                                        TimePoint now, Effects& effects) {
  if (lease.fenced) return std::nullopt;
  if (!lease.confirmed && !range.previous_owners.empty()) {
    if (auto held = release_from_previous_owners(
            state, service, coordinator_role, range, lease, now, effects))
      return held;
    // A pending release is no longer needed.
    if (lease.releasing) lease.pending_order = 0;
  }
  if (lease.pending_order != 0) return std::nullopt;
  if (now < lease.next_order_at) return lease.next_order_at;
  if (!is_current(state, range.owner)) return now + config::kOwnerCheckInterval;
  if (auto until = lost_grants_end(coordinator_role, range, lease, now))
    return until;
  Duration interval = lease.low_traffic ? config::kLowTrafficRenewalInterval
                                        : config::kGrantRenewalInterval;
  if (lease.confirmed && now - lease.renewed_at < interval)
    return lease.renewed_at + interval;
  if (auto delay = order_delay(state, coordinator_role, range.owner.name, false,
                               range.first, now))
    return delay;
  grant(state, service, coordinator_role, range, lease, now, effects);
  return std::nullopt;
}

/// Looks at one range for an order that is due.
void visit_range(State& state, const ServiceName& service, MapState& map,
                 ShardKey first, Lease& lease, TimePoint now,
                 Effects& effects) {
  CoordinatorRole& coordinator_role = *map.coordinator_role;
  const KeyRange* range = find_range(*map.map, first);
  if (range == nullptr || range->first != first)
    return set_due(coordinator_role, first, lease, std::nullopt);
  ++state.ranges_visited;
  // Keys whose owner or epoch a pending write changes are not renewed.
  if (map.pending_write) {
    const KeyRange* next = find_range(*map.pending_write, first);
    if (next == nullptr || next->epoch != range->epoch) {
      return set_due(coordinator_role, first, lease,
                     now + config::kTickInterval);
    }
  }
  set_due(coordinator_role, first, lease,
          send_due_order(state, service, coordinator_role, *range, lease, now,
                         effects));
}

Lease* lease_of(MapState& map, const Order& order) {
  if (!map.coordinator_role) return nullptr;
  auto found = map.coordinator_role->leases.find(order.first);
  if (found == map.coordinator_role->leases.end()) return nullptr;
  Lease& lease = found->second;
  return lease.epoch == order.epoch ? &lease : nullptr;
}

/// Time from the arrival of a grant to its certain expiry at the server, whose
/// clock may be slow.
Duration expiry_after_arrival(Duration hold) {
  return scaled(hold, 1.0 / (1.0 - config::kMaxClockLagShare)) +
         config::kHoldExpirySlack;
}

/// The same from the end of an order that may arrive after it.
Duration expiry_after_end(const Settings& settings, Duration hold) {
  return expiry_after_arrival(hold) + settings.max_delivery_delay +
         config::kOrderArrivalSlack;
}

/// The server has seen this term's epoch for these keys, so that orders of the
/// coordinator before can no longer extend a grant, unless its next process
/// takes them.
void shorten_inherited_grants(const Settings& settings,
                              CoordinatorRole& coordinator_role, Lease& lease,
                              const Order& order, TimePoint now) {
  if (!lease.from_earlier_term) return;
  Duration hold = std::min(config::kLowTrafficGrantHold, settings.hold_max);
  for (PossibleGrant& possible :
       coordinator_role.possible_grants[order.server.name]) {
    if (possible.first != order.first || possible.last != order.last) continue;
    possible.until_if_restarted = expiry(possible);
    possible.until = std::min(possible.until, now + expiry_after_arrival(hold));
  }
}

bool is_answer(OrderResult result) {
  return result != OrderResult::kNotSent && result != OrderResult::kUnanswered;
}

/// Records whether the server answers orders.
void record_answer(CoordinatorRole& coordinator_role, const Order& order,
                   OrderResult result, TimePoint now, Effects& effects) {
  OrderTarget& target = coordinator_role.targets[order.server.name];
  bool was_silent = is_silent(target);
  if (is_answer(result)) {
    target.unanswered = 0;
    target.answered_at = now;
  } else if (target.answered_at < order.sent_at) {
    ++target.unanswered;
  }
  target.next_probe_at = now + config::kSilentServerRetryDelay;
  if (is_silent(target) == was_silent) return;
  log_event(effects, "order_target",
            {{"service", order.service.str()},
             {"server", order.server.name.str()},
             {"state", was_silent ? "answers" : "silent"},
             {"waiting", text(target.waiting.size())}});
}

void record_health(CoordinatorRole& coordinator_role, const Order& order,
                   OrderResult result, TimePoint now) {
  bool answered = result == OrderResult::kDone ||
                  result == OrderResult::kFenced ||
                  result == OrderResult::kInvalid;
  OrderHealth& health = coordinator_role.health[order.server];
  if (answered) {
    health.failures = 0;
    return;
  }
  // An order without an answer shows no failure: some servers carry it out
  // late.
  if (result == OrderResult::kUnanswered) return;
  if (health.failures++ == 0) health.failing_since = order.sent_at;
  health.last_failure = now;
}

/// The region of the server that the order was sent to; empty if unknown.
RegionName region_of(const State& state, const Order& order) {
  auto server = state.servers.find(order.server.name);
  if (server == state.servers.end()) return RegionName();
  auto region = state.settings.regions.find(server->second.server.zone);
  return region == state.settings.regions.end() ? RegionName() : region->second;
}

/// Takes note that the path to the server's region delays no orders.
void record_prompt_answer(const State& state, CoordinatorRole& coordinator_role,
                          const Order& order, OrderResult result,
                          TimePoint now) {
  if (!is_answer(result) || now - order.sent_at > config::kPromptOrderAnswer)
    return;
  TimePoint& sent_at = coordinator_role.prompt_answers[region_of(state, order)];
  sent_at = std::max(sent_at, order.sent_at);
}

/// How much longer than usual an order without an answer may be on its way: it
/// waits in the queues of a congested path, also after its sender has given it
/// up. A later order that was answered at once shows that there are none, so
/// that servers which have ended do not make a path look congested.
Duration path_delay(const State& state, const CoordinatorRole& coordinator_role,
                    const Order& order) {
  auto prompt = coordinator_role.prompt_answers.find(region_of(state, order));
  bool congested = prompt == coordinator_role.prompt_answers.end() ||
                   prompt->second < order.sent_at;
  return congested ? config::kCongestedPathDelay : Duration(0);
}

void record_grant(const State& state, CoordinatorRole& coordinator_role,
                  const Order& order, OrderResult result, TimePoint now) {
  // A refusal may be a late answer to another grant, or cover only some keys.
  if (result == OrderResult::kNotSent) return;
  // A grant that was carried out has arrived before its answer.
  TimePoint until =
      now + (result == OrderResult::kDone
                 ? expiry_after_arrival(order.hold)
                 : expiry_after_end(state.settings, order.hold) +
                       path_delay(state, coordinator_role, order));
  record_possible_grant(coordinator_role,
                        {order.first, order.last, order.server, until}, now);
}

void on_granted(Lease& lease, const Order& order, TimePoint now,
                Effects& effects) {
  if (!lease.confirmed) {
    log_event(effects, "granted",
              {{"service", order.service.str()},
               {"keys", keys_text(order.first, order.last)},
               {"server", order.server.name.str()},
               {"epoch", text(order.epoch.value)},
               {"took", text(now - order.sent_at)}});
  }
  lease.confirmed = true;
  lease.renewed_at = order.sent_at;
  lease.handover.clear();
}

/// Another coordinator may have sent orders; the store shows whether one has
/// taken over. Other servers may have forgotten its epochs with a restart, so
/// that no order is sent before.
void on_fenced(MapState& map, Lease& lease, const Order& order, TimePoint now,
               Effects& effects) {
  lease.confirmed = false;
  lease.fenced = true;
  if (map.must_verify) return;
  doubt_map(map, now);
  effects.emplace_back(ReadMap{order.service, now});
}

void on_released(Lease& lease, const Order& order, const OrderEnded& ended,
                 TimePoint now, Effects& effects) {
  lease.released[order.server] = ReleaseProof::kAnswered;
  if (!ended.handover.empty()) lease.handover = ended.handover;
  log_event(effects, "released",
            {{"service", order.service.str()},
             {"keys", keys_text(order.first, order.last)},
             {"server", order.server.name.str()},
             {"epoch", text(order.epoch.value)},
             {"took", text(now - order.sent_at)}});
}

}  // namespace

std::uint64_t add_order(State& state, CoordinatorRole& coordinator_role,
                        Order order) {
  PendingOrders& pending = state.orders;
  std::uint64_t number = state.next_order++;
  order.probe = is_silent(coordinator_role.targets[order.server.name]);
  PendingOrders::AtServer& there = pending.by_server[order.server.name];
  (order.release ? there.releases : there.grants).insert(number);
  ++(order.release ? pending.releases : pending.grants);
  if (order.probe) ++pending.probes;
  pending.by_number[number] = std::move(order);
  return number;
}

bool is_silent(const OrderTarget& target) {
  return target.unanswered >= config::kSilentServerOrders;
}

bool is_at_limit(const PendingOrders& pending, bool release) {
  return release ? pending.releases >= config::kMaxReleasesInFlight
                 : pending.grants >= config::kMaxGrantsInFlight;
}

Duration longest_hold(const Settings& settings) {
  return expiry_after_end(
      settings, std::min(config::kLowTrafficGrantHold, settings.hold_max));
}

Duration longest_hold_of_ended_role(const Settings& settings) {
  return config::kGrantTimeout + longest_hold(settings);
}

void record_possible_grant(CoordinatorRole& coordinator_role,
                           const PossibleGrant& possible, TimePoint now) {
  auto& grants = coordinator_role.possible_grants[possible.owner.name];
  std::erase_if(grants, [now](const PossibleGrant& grant) {
    return expiry(grant) <= now;
  });
  for (PossibleGrant& known : grants) {
    if (known.owner == possible.owner && known.first == possible.first &&
        known.last == possible.last) {
      known.until = std::max(known.until, possible.until);
      return;
    }
  }
  grants.push_back(possible);
}

bool is_unreachable(const CoordinatorRole& coordinator_role,
                    const ServerIncarnation& server, TimePoint now) {
  auto found = coordinator_role.health.find(server);
  if (found == coordinator_role.health.end()) return false;
  const OrderHealth& health = found->second;
  return health.failures >= config::kServerUnreachableFailures &&
         health.last_failure - health.failing_since >=
             config::kServerUnreachableTime &&
         now - health.last_failure < config::kUnreachableServerExclusion;
}

void update_leases(MapState& map) {
  std::map<ShardKey, Lease> before = std::move(map.coordinator_role->leases);
  std::map<ShardKey, Lease> leases;
  std::set<std::pair<TimePoint, ShardKey>> due;
  for (const KeyRange& range : map.map->ranges) {
    Lease lease;
    if (const Lease* old = lease_before(before, range)) {
      lease = *old;
      if (before.count(range.first) == 0) {
        // The pending order is for another range and ends without effect here.
        lease.pending_order = 0;
        lease.due_at = TimePoint();
      }
    } else {
      lease.due_at = TimePoint();
      lease.owner = range.owner;
      lease.epoch = range.epoch;
      lease.from_earlier_term = before.empty();
    }
    if (lease.due_at) due.insert({*lease.due_at, range.first});
    leases[range.first] = std::move(lease);
  }
  map.coordinator_role->leases = std::move(leases);
  map.coordinator_role->due = std::move(due);
}

void look_at_unconfirmed(CoordinatorRole& coordinator_role, TimePoint now) {
  for (auto& [first, lease] : coordinator_role.leases) {
    if (!lease.confirmed && lease.due_at && *lease.due_at > now)
      set_due(coordinator_role, first, lease, now);
  }
}

void set_low_traffic(CoordinatorRole& coordinator_role, ShardKey first,
                     Lease& lease, bool low_traffic, TimePoint now) {
  if (lease.low_traffic == low_traffic) return;
  lease.low_traffic = low_traffic;
  if (lease.due_at) set_due(coordinator_role, first, lease, now);
}

namespace {

/// Drops what is no longer needed: grants that have expired, and records of
/// servers that answer or have gone.
void prune(const State& state, CoordinatorRole& coordinator_role,
           TimePoint now) {
  if (now - coordinator_role.pruned_at < config::kCoordinatorPruneInterval)
    return;
  coordinator_role.pruned_at = now;
  for (auto& [server, grants] : coordinator_role.possible_grants) {
    std::erase_if(grants, [now](const PossibleGrant& grant) {
      return expiry(grant) <= now;
    });
  }
  std::erase_if(coordinator_role.possible_grants,
                [](const auto& item) { return item.second.empty(); });
  std::erase_if(coordinator_role.targets, [&state](const auto& item) {
    const auto& [server, target] = item;
    return target.waiting.empty() &&
           (target.unanswered == 0 || state.servers.count(server) == 0);
  });
  std::erase_if(coordinator_role.health, [now](const auto& item) {
    const OrderHealth& health = item.second;
    return health.failures == 0 ||
           now - health.last_failure >= config::kUnreachableServerExclusion;
  });
}

}  // namespace

void doubt_map(MapState& map, TimePoint now) {
  map.must_verify = true;
  map.doubted_at = now;
}

bool is_isolated(const State& state, const MapState& map, TimePoint now) {
  return now - map.confirmed_at >= config::kIsolationTimeout &&
         hears_no_daemon(state, config::kIsolationTimeout, now);
}

bool may_renew_without_store(const MapState& map, TimePoint now) {
  return now - map.confirmed_at < config::kMaxRenewalWithoutStore;
}

bool may_send_orders(const State& state, const MapState& map, TimePoint now) {
  return !map.must_verify && may_renew_without_store(map, now) &&
         !is_isolated(state, map, now);
}

void send_due_orders(State& state, const ServiceName& service, MapState& map,
                     TimePoint now, Effects& effects) {
  if (!may_send_orders(state, map, now)) return;
  CoordinatorRole& coordinator_role = *map.coordinator_role;
  prune(state, coordinator_role, now);
  if (coordinator_role.recall) send_recalls(state, service, map, now, effects);
  // At a limit, the ranges that have waited longest stay first.
  while (!coordinator_role.due.empty() &&
         coordinator_role.due.begin()->first <= now &&
         state.next_order < coordinator_role.order_limit &&
         !is_at_limit(state.orders, false)) {
    ShardKey first = coordinator_role.due.begin()->second;
    visit_range(state, service, map, first, coordinator_role.leases.at(first),
                now, effects);
  }
}

void allow_orders_of_tick(State& state, CoordinatorRole& coordinator_role) {
  coordinator_role.order_limit = state.next_order + config::kMaxOrdersPerTick;
}

bool is_move_complete(const MapState& map, const KeyRange& range) {
  if (range.previous_owners.empty() || !map.coordinator_role) return false;
  auto lease = map.coordinator_role->leases.find(range.first);
  return lease != map.coordinator_role->leases.end() &&
         lease->second.confirmed && lease->second.epoch == range.epoch;
}

void on_order_ended(State& state, const OrderEnded& ended, TimePoint now,
                    Effects& effects) {
  auto taken = take_order(state.orders, ended.order);
  if (!taken) return;
  const Order& order = *taken;
  if (ended.result == OrderResult::kOtherServer) {
    on_displaced(state, order.server, now, effects);
  } else {
    on_server_notice(state, order.server, ended.notice, now, effects);
  }
  MapState& map = state.maps[order.service];
  Lease* lease = lease_of(map, order);
  if (lease != nullptr && lease->pending_order == ended.order) {
    lease->pending_order = 0;
    lease->next_order_at = now;
  }
  if (ended.result != OrderResult::kDone) {
    log_event(effects, "order_failed",
              {{"service", order.service.str()},
               {"order", order.release ? "release" : "grant"},
               {"keys", keys_text(order.first, order.last)},
               {"server", order.server.name.str()},
               {"epoch", text(order.epoch.value)},
               {"after", text(now - order.sent_at)},
               {"why", ended.why}});
    if (lease != nullptr) lease->next_order_at = now + config::kOrderRetryDelay;
  }
  if (map.coordinator_role) {
    record_answer(*map.coordinator_role, order, ended.result, now, effects);
    wake_waiting(state, *map.coordinator_role, order.server.name, now);
    record_health(*map.coordinator_role, order, ended.result, now);
    record_prompt_answer(state, *map.coordinator_role, order, ended.result,
                         now);
    if (!order.release)
      record_grant(state, *map.coordinator_role, order, ended.result, now);
  }
  if (map.coordinator_role && map.coordinator_role->recall) {
    on_recall_ended(*map.coordinator_role, order, ended, now);
    send_due_orders(state, order.service, map, now, effects);
  }
  if (lease == nullptr) return;
  if (ended.result == OrderResult::kDone && order.release) {
    shorten_inherited_grants(state.settings, *map.coordinator_role, *lease,
                             order, now);
    on_released(*lease, order, ended, now, effects);
  } else if (ended.result == OrderResult::kDone) {
    if (!lease->confirmed) {
      shorten_inherited_grants(state.settings, *map.coordinator_role, *lease,
                               order, now);
    }
    on_granted(*lease, order, now, effects);
  } else if (ended.result == OrderResult::kFenced && !order.release) {
    on_fenced(map, *lease, order, now, effects);
  } else if (order.release && ended.result == OrderResult::kOtherServer) {
    lease->released[order.server] = ReleaseProof::kAddressReused;
  }
  if (!may_send_orders(state, map, now)) {
    set_due(*map.coordinator_role, order.first, *lease, now);
  } else {
    visit_range(state, order.service, map, order.first, *lease, now, effects);
  }
}

}  // namespace eelgrasspin::fleet
