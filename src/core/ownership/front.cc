#include "core/ownership/front.h"

#include <algorithm>

#include "eelgrasspin/result.h"

namespace eelgrasspin::core::ownership {
namespace {

bool order_due(const Front& front, TimePoint now) {
  if (front.stale || front.outstanding) return false;
  if (front.sequence == 0) return true;
  if (now - front.last_sent >= config::kGrantRenewInterval) return true;
  if (front.unreachable) return false;
  bool revoking = front.applied_set < front.known_set;
  if (revoking && now - front.last_sent >= config::kRevocationPollInterval)
    return true;
  bool in_force = front.send_until.has_value() && now < *front.send_until;
  bool first_echo_waits = !in_force && front.newest_answer > front.sent_echo;
  return first_echo_waits || front.sent_set != front.set_version;
}

void raise(std::optional<TimePoint>& bound, TimePoint candidate) {
  bound = bound.has_value() ? std::max(*bound, candidate) : candidate;
}

void take_answer(Front& front, const GrantAnswer& answer, TimePoint now) {
  bool same_process =
      front.newest_answer != 0 && answer.incarnation == front.incarnation;
  front.incarnation = answer.incarnation;
  front.known_set = answer.set_version;
  front.applied_set = answer.applied_set_version;
  if (same_process && front.sent_echo_received.has_value()) {
    front.send_until =
        *front.sent_echo_received + config::kGrantTerm - config::kLeaseMargin;
  } else {
    front.send_until.reset();
  }
  front.newest_answer = answer.sequence;
  front.newest_answer_received = now;
  front.unobserved = Duration(0);
  if (!front.first_answer.has_value()) {
    front.first_answer = now;
    // A grant of an earlier front ends within a term of this answer.
    raise(front.hold_until, now + config::kGrantTerm + config::kLeaseMargin);
  }
}

}  // namespace

std::optional<GrantOrder> next_order(Front& front, const DaemonName& self,
                                     TimePoint now) {
  if (!order_due(front, now)) return std::nullopt;
  ++front.sequence;
  front.outstanding = true;
  front.last_sent = now;
  front.sent_set = front.set_version;
  front.sent_echo = front.newest_answer;
  front.sent_echo_received.reset();
  if (front.newest_answer != 0) {
    front.sent_echo_received = front.newest_answer_received;
    raise(front.hold_until, front.newest_answer_received + front.unobserved +
                                config::kGrantTerm + config::kLeaseMargin);
  }
  GrantOrder order{.front = self,
                   .front_epoch = front.epoch,
                   .sequence = front.sequence,
                   .echo = front.sent_echo,
                   .term = config::kGrantTerm,
                   .set_version = front.set_version,
                   .carries_set = front.known_set != front.set_version,
                   .want_inventory = front.newest_answer == 0};
  if (order.carries_set) {
    for (const auto& [unit, granted] : front.units)
      order.slots.push_back({unit.slot, unit.key, granted.epoch});
  }
  return order;
}

void apply_reply(Front& front, std::uint64_t sequence, const GrantReply& reply,
                 TimePoint now) {
  if (sequence != front.sequence || !front.outstanding) return;
  front.outstanding = false;
  front.unreachable = std::holds_alternative<GrantUnreachable>(reply);
  const auto* answer = std::get_if<GrantAnswer>(&reply);
  if (answer != nullptr && answer->front_epoch == front.epoch)
    take_answer(front, *answer, now);
  if (const auto* stale = std::get_if<GrantStale>(&reply))
    front.stale = stale->highest_epoch > front.epoch;
}

bool grant_in_force(const Front& front, TimePoint now) {
  return !front.stale && front.send_until.has_value() &&
         now < *front.send_until && front.applied_set > 0;
}

bool may_send(const Front& front, const Unit& unit, Epoch epoch,
              TimePoint now) {
  if (!grant_in_force(front, now)) return false;
  auto it = front.units.find(unit);
  return it != front.units.end() && it->second.epoch == epoch &&
         !it->second.closing && it->second.since_set <= front.applied_set;
}

void discount_pause(Front& front, Duration pause) {
  front.unobserved += pause;
  if (front.hold_until.has_value()) *front.hold_until += pause;
  if (front.predecessor_stopped.has_value())
    *front.predecessor_stopped += pause;
  for (auto& [unit, dropped] : front.dropped) {
    if (dropped.hold_until.has_value()) *dropped.hold_until += pause;
    dropped.at += pause;
  }
}

std::optional<TimePoint> latest_grant_expiry(const Front& front) {
  if (front.hold_until.has_value()) return front.hold_until;
  if (!front.predecessor_stopped.has_value()) return std::nullopt;
  return *front.predecessor_stopped + config::kGrantTerm + config::kLeaseMargin;
}

void grant_unit(Front& front, const Unit& unit, Epoch epoch) {
  auto it = front.units.find(unit);
  if (it != front.units.end() && it->second.epoch == epoch) {
    it->second.closing = false;
    return;
  }
  front.dropped.erase(unit);
  front.units[unit] = {.epoch = epoch, .since_set = front.set_version + 1};
}

void drop_unit(Front& front, const Unit& unit, TimePoint now) {
  auto it = front.units.find(unit);
  if (it == front.units.end()) return;
  front.dropped[unit] = {.epoch = it->second.epoch,
                         .since_set = front.set_version + 1,
                         .at = now,
                         .hold_until = front.hold_until};
  front.units.erase(it);
}

bool is_released(const Front& front, const Unit& unit, Duration execution_limit,
                 TimePoint now) {
  if (front.units.contains(unit)) return false;
  auto it = front.dropped.find(unit);
  std::uint64_t needed = it == front.dropped.end() ? 1 : it->second.since_set;
  bool acknowledged = front.newest_answer != 0 && front.applied_set >= needed;
  if (acknowledged && unit.key.empty()) return true;
  if (acknowledged) {
    // A request of an earlier front may run under the key's slot.
    return now >= *front.first_answer + execution_limit;
  }
  std::optional<TimePoint> hold = latest_grant_expiry(front);
  if (it != front.dropped.end() && it->second.hold_until.has_value())
    hold = it->second.hold_until;
  return hold.has_value() && now > *hold + execution_limit;
}

}  // namespace eelgrasspin::core::ownership
