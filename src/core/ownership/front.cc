#include "core/ownership/front.h"

#include <algorithm>

#include "eelgrasspin/result.h"

namespace eelgrasspin::core::ownership {
namespace {

bool order_due(const Front& front, TimePoint now) {
  if (front.stale || front.awaiting_answer) return false;
  if (front.sequence == 0) return true;
  if (now - front.last_sent >= config::kGrantRenewInterval) return true;
  if (front.unreachable) return false;
  bool revocation_pending = front.applied_version < front.received_version;
  if (revocation_pending &&
      now - front.last_sent >= config::kRevocationPollInterval)
    return true;
  bool in_force = front.send_until.has_value() && now < *front.send_until;
  bool first_echo_due =
      !in_force && front.newest_answer_sequence > front.sent_echo;
  return first_echo_due || front.sent_version != front.set_version;
}

void raise_to(std::optional<TimePoint>& bound, TimePoint candidate) {
  bound = bound.has_value() ? std::max(*bound, candidate) : candidate;
}

void accept_answer(Front& front, const GrantAnswer& answer, TimePoint now) {
  bool same_process = front.newest_answer_sequence != 0 &&
                      answer.incarnation == front.incarnation;
  front.incarnation = answer.incarnation;
  front.received_version = answer.set_version;
  front.applied_version = answer.applied_set_version;
  if (same_process && front.sent_echo_received.has_value()) {
    front.send_until =
        *front.sent_echo_received + config::kGrantTerm - config::kLeaseMargin;
  } else {
    front.send_until.reset();
  }
  front.newest_answer_sequence = answer.sequence;
  front.newest_answer_received = now;
  front.pause_since_answer = Duration(0);
  if (!front.first_answer.has_value()) {
    front.first_answer = now;
    // A grant of an earlier front expires within one term of this answer.
    raise_to(front.latest_expiry,
             now + config::kGrantTerm + config::kLeaseMargin);
  }
}

}  // namespace

std::optional<GrantOrder> next_order(Front& front, const DaemonName& self,
                                     TimePoint now) {
  if (!order_due(front, now)) return std::nullopt;
  ++front.sequence;
  front.awaiting_answer = true;
  front.last_sent = now;
  front.sent_version = front.set_version;
  front.sent_echo = front.newest_answer_sequence;
  front.sent_echo_received.reset();
  if (front.newest_answer_sequence != 0) {
    front.sent_echo_received = front.newest_answer_received;
    raise_to(front.latest_expiry,
             front.newest_answer_received + front.pause_since_answer +
                 config::kGrantTerm + config::kLeaseMargin);
  }
  GrantOrder order{.front = self,
                   .front_epoch = front.epoch,
                   .sequence = front.sequence,
                   .echo = front.sent_echo,
                   .term = config::kGrantTerm,
                   .set_version = front.set_version,
                   .carries_set = front.received_version != front.set_version,
                   .want_inventory = front.newest_answer_sequence == 0};
  if (order.carries_set) {
    for (const auto& [unit, granted] : front.units)
      order.slots.push_back({unit.slot, unit.key, granted.epoch});
  }
  return order;
}

void apply_reply(Front& front, std::uint64_t sequence, const GrantReply& reply,
                 TimePoint now) {
  if (sequence != front.sequence || !front.awaiting_answer) return;
  front.awaiting_answer = false;
  front.unreachable = std::holds_alternative<GrantUnreachable>(reply);
  const auto* answer = std::get_if<GrantAnswer>(&reply);
  if (answer != nullptr && answer->front_epoch == front.epoch)
    accept_answer(front, *answer, now);
  if (const auto* stale = std::get_if<GrantStale>(&reply))
    front.stale = stale->highest_epoch > front.epoch;
}

bool grant_in_force(const Front& front, TimePoint now) {
  return !front.stale && front.send_until.has_value() &&
         now < *front.send_until && front.applied_version > 0;
}

bool may_send(const Front& front, const Unit& unit, Epoch epoch,
              TimePoint now) {
  if (!grant_in_force(front, now)) return false;
  auto it = front.units.find(unit);
  return it != front.units.end() && it->second.epoch == epoch &&
         !it->second.closing &&
         it->second.since_version <= front.applied_version;
}

void discount_pause(Front& front, Duration pause) {
  front.pause_since_answer += pause;
  if (front.latest_expiry.has_value()) *front.latest_expiry += pause;
  if (front.predecessor_stopped.has_value())
    *front.predecessor_stopped += pause;
  for (auto& [unit, dropped] : front.dropped) {
    if (dropped.latest_expiry.has_value()) *dropped.latest_expiry += pause;
    dropped.dropped_at += pause;
  }
}

std::optional<TimePoint> latest_grant_expiry(const Front& front) {
  if (front.latest_expiry.has_value()) return front.latest_expiry;
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
  front.units[unit] = {.epoch = epoch, .since_version = front.set_version + 1};
}

void drop_unit(Front& front, const Unit& unit, TimePoint now) {
  auto it = front.units.find(unit);
  if (it == front.units.end()) return;
  front.dropped[unit] = {.epoch = it->second.epoch,
                         .since_version = front.set_version + 1,
                         .dropped_at = now,
                         .latest_expiry = front.latest_expiry};
  front.units.erase(it);
}

bool is_released(const Front& front, const Unit& unit, Duration execution_limit,
                 TimePoint now) {
  if (front.units.contains(unit)) return false;
  auto it = front.dropped.find(unit);
  std::uint64_t needed_version =
      it == front.dropped.end() ? 1 : it->second.since_version;
  bool acknowledged = front.newest_answer_sequence != 0 &&
                      front.applied_version >= needed_version;
  if (acknowledged && unit.key.empty()) return true;
  if (acknowledged) {
    // A request sent by an earlier front may still run under the key's slot.
    return now >= *front.first_answer + execution_limit;
  }
  std::optional<TimePoint> expiry = latest_grant_expiry(front);
  if (it != front.dropped.end() && it->second.latest_expiry.has_value())
    expiry = it->second.latest_expiry;
  return expiry.has_value() && now > *expiry + execution_limit;
}

}  // namespace eelgrasspin::core::ownership
