#include "fleet/key_recall.h"

#include <algorithm>

#include "fleet/leases.h"
#include "fleet/leases_p.h"
#include "fleet/log_event.h"
#include "fleet/ownership.h"
#include "fleet/registry.h"

namespace eelgrasspin::fleet {
namespace {

/// Interval of reads of the registry until the store answers one.
constexpr Duration kRegistryReadInterval = milliseconds(500);

/// Adds the servers that may hold keys. The entry of one that cannot reach the
/// store is removed before its grants expire. One that has started again since
/// it was asked is asked again: a late grant may reach its new incarnation.
void add_targets(const State& state, const ServiceName& service, TimePoint now,
                 KeyRecall& recall) {
  for (const auto& [name, server] : state.servers) {
    bool expired = server.removed &&
                   now - server.leaving_since >= longest_hold(state.settings);
    if (server.server.service != service || expired) continue;
    Incarnation incarnation = server.server.incarnation;
    KeyRecall::Target& target = recall.targets[name];
    if (target.incarnation != incarnation) target = {incarnation};
  }
}

/// Whether the registry was read after all servers have had time to register
/// again. Has it read if that is due.
bool knows_all_servers(State& state, KeyRecall& recall, TimePoint now,
                       Effects& effects) {
  auto complete_at = entries_return_by(state);
  if (!complete_at || now < *complete_at) return false;
  const ViewState& servers = state.views[StoreView::kServers];
  if (servers.answered_at >= *complete_at) return true;
  if (now >= recall.next_read) {
    recall.next_read = now + kRegistryReadInterval;
    effects.emplace_back(CatchUp{StoreView::kServers, servers.as_of});
  }
  return false;
}

/// Whether a release may be sent to the server now.
bool may_send(const State& state, const CoordinatorRole& role,
              const ServerName& server, TimePoint now) {
  if (state.next_order >= role.order_limit || is_at_limit(state.orders, true))
    return false;
  auto target = role.targets.find(server);
  if (target == role.targets.end() || !is_silent(target->second)) return true;
  return now >= target->second.next_probe_at &&
         state.orders.probes < config::kMaxProbesInFlight;
}

void send_release(State& state, const ServiceName& service,
                  CoordinatorRole& role, const ServerName& name,
                  KeyRecall::Target& target, TimePoint now, Effects& effects) {
  const ShardKey first(0);
  const ShardKey last(kMaxShardKey);
  Epoch epoch = role.recall->epoch;
  target.pending_order = add_order(state, role,
                                   {service,
                                    true,
                                    {name, target.incarnation},
                                    first,
                                    last,
                                    epoch,
                                    now,
                                    Duration(0)});
  effects.emplace_back(ReleaseKeys{target.pending_order, name,
                                   state.servers.at(name).server.address, first,
                                   last, epoch});
}

void end_recall(CoordinatorRole& role, const ServiceName& service,
                std::string_view reason, TimePoint now, Effects& effects) {
  const KeyRecall& recall = *role.recall;
  auto released =
      std::count_if(recall.targets.begin(), recall.targets.end(),
                    [](const auto& item) { return item.second.released; });
  log_event(effects, "keys_recalled",
            {{"service", service.str()},
             {"epoch", text(recall.epoch.value)},
             {"servers", text(recall.targets.size())},
             {"released", std::to_string(released)},
             {"took", text(now - recall.started_at)},
             {"reason", std::string(reason)}});
  role.recall.reset();
  role.lost_grants_until = now;
  look_at_unconfirmed(role, now);
}

}  // namespace

void start_recall(CoordinatorRole& role, const OwnerMap& map, TimePoint now) {
  Epoch lowest = map.last_epoch;
  for (const KeyRange& range : map.ranges)
    lowest = std::min(lowest, range.epoch);
  role.recall.emplace();
  role.recall->epoch = Epoch(lowest.value - 1);
  role.recall->started_at = now;
}

void send_recalls(State& state, const ServiceName& service, MapState& map,
                  TimePoint now, Effects& effects) {
  CoordinatorRole& role = *map.coordinator_role;
  if (!role.lost_grants_until || now >= *role.lost_grants_until)
    return end_recall(role, service, "expired", now, effects);
  KeyRecall& recall = *role.recall;
  // A server whose entry the store has lost may hold keys as well. Until then,
  // the others go on serving theirs.
  if (!knows_all_servers(state, recall, now, effects)) return;
  add_targets(state, service, now, recall);
  bool all_released = true;
  for (auto& [name, target] : recall.targets) {
    if (target.released) continue;
    all_released = false;
    if (target.pending_order != 0 || now < target.next_order_at ||
        state.servers.count(name) == 0 || !may_send(state, role, name, now)) {
      continue;
    }
    send_release(state, service, role, name, target, now, effects);
  }
  if (all_released) end_recall(role, service, "released", now, effects);
}

void on_recall_ended(CoordinatorRole& role, const Order& order,
                     const OrderEnded& ended, TimePoint now) {
  auto found = role.recall->targets.find(order.server.name);
  if (found == role.recall->targets.end() ||
      found->second.pending_order != ended.order) {
    return;
  }
  KeyRecall::Target& target = found->second;
  target.pending_order = 0;
  target.next_order_at = now + config::kOrderRetryDelay;
  target.released = ended.result == OrderResult::kDone ||
                    ended.result == OrderResult::kOtherServer;
}

}  // namespace eelgrasspin::fleet
