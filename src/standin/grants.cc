#include "standin/grants.h"

#include <algorithm>

namespace eelgrasspin::standin {
namespace {

constexpr std::size_t kMaxAnswerTimes = 64;

}  // namespace

GrantReply Grants::apply_order(const GrantOrder& order, TimePoint now) {
  if (order.front_epoch < front_epoch_) return GrantStale{front_epoch_};
  if (order.front_epoch > front_epoch_) {
    front_epoch_ = order.front_epoch;
    last_sequence_ = 0;
    answer_times_.clear();
    valid_until_ = TimePoint();
    set_version_ = 0;
    applied_set_version_ = 0;
    if (!granted_.empty()) previous_grants_ = std::move(granted_);
    granted_.clear();
  }
  if (order.sequence > last_sequence_) {
    last_sequence_ = order.sequence;
    auto answered = answer_times_.find(order.echo);
    if (answered != answer_times_.end()) {
      valid_until_ = std::max(valid_until_, answered->second + order.term);
    }
    apply_set(order);
  }
  answer_times_[order.sequence] = now;
  if (answer_times_.size() > kMaxAnswerTimes) {
    answer_times_.erase(answer_times_.begin());
  }
  update_applied();
  GrantAnswer answer{incarnation_, front_epoch_,         order.sequence,
                     set_version_, applied_set_version_, {},
                     running()};
  if (order.want_inventory) {
    answer.inventory = set_version_ > 0 ? granted_ : previous_grants_;
  }
  return answer;
}

void Grants::apply_set(const GrantOrder& order) {
  if (!order.carries_set || order.set_version <= set_version_) return;
  set_version_ = order.set_version;
  granted_ = order.slots;
  std::sort(granted_.begin(), granted_.end());
}

void Grants::update_applied() {
  bool running_without_grant =
      std::any_of(running_.begin(), running_.end(), [&](const auto& item) {
        return !std::binary_search(granted_.begin(), granted_.end(),
                                   item.first);
      });
  if (!running_without_grant) applied_set_version_ = set_version_;
}

void Grants::request_ended(const SlotGrant& unit) {
  auto found = running_.find(unit);
  if (found == running_.end()) return;
  if (--found->second == 0) running_.erase(found);
}

std::uint32_t Grants::running() const {
  std::uint32_t count = 0;
  for (const auto& [unit, count_of_unit] : running_) count += count_of_unit;
  return count;
}

const SlotGrant* Grants::grant_for(SlotId slot, const Key& key) const {
  const SlotGrant* whole = nullptr;
  auto first = std::lower_bound(granted_.begin(), granted_.end(),
                                SlotGrant{slot, Key(), Epoch()});
  for (auto it = first; it != granted_.end() && it->slot == slot; ++it) {
    if (it->key == key && !key.empty()) return &*it;
    if (it->key.empty()) whole = &*it;
  }
  return whole;
}

SlotGrant Grants::unit_of(SlotId slot, const Key& key, Epoch epoch) const {
  const SlotGrant* grant = grant_for(slot, key);
  if (grant != nullptr) return *grant;
  return {slot, Key(), epoch};
}

std::optional<Epoch> Grants::refusal_epoch(SlotId slot, const Key& key,
                                           Epoch epoch, FrontEpoch front,
                                           TimePoint now) const {
  const SlotGrant* grant = grant_for(slot, key);
  if (grant == nullptr) return Epoch();
  if (front != front_epoch_ || grant->epoch != epoch || now >= valid_until_) {
    return grant->epoch;
  }
  return std::nullopt;
}

}  // namespace eelgrasspin::standin
