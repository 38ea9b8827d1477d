#ifndef EELGRASSPIN_STANDIN_GRANTS_H_
#define EELGRASSPIN_STANDIN_GRANTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "eelgrasspin/grant.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::standin {

/// A backend server's side of the grant protocol: include/eelgrasspin/grant.h.
class Grants {
 public:
  explicit Grants(Incarnation incarnation) : incarnation_(incarnation) {}

  /// Applies an order. `now` is when the answer is sent; a later order that
  /// echoes it extends the grants from then on.
  GrantReply apply_order(const GrantOrder& order, TimePoint now);

  /// Empty if a request with this unit, epoch and front may start now.
  /// Otherwise the epoch granted for the unit, or 0 if none is.
  std::optional<Epoch> refusal_epoch(SlotId slot, const Key& key, Epoch epoch,
                                     FrontEpoch front, TimePoint now) const;
  /// Records that a request started. A revocation of its unit is applied only
  /// after request_ended.
  void request_started(const SlotGrant& unit) { ++running_[unit]; }
  void request_ended(const SlotGrant& unit);
  /// The unit that covers a key: the key itself if carved out, else its slot.
  /// `epoch` is used if no unit is granted.
  SlotGrant unit_of(SlotId slot, const Key& key, Epoch epoch) const;
  std::uint32_t running() const;  ///< Requests that run now.

 private:
  const SlotGrant* grant_for(SlotId slot, const Key& key) const;
  void apply_set(const GrantOrder& order);
  void update_applied();

  Incarnation incarnation_;
  FrontEpoch front_epoch_;
  std::uint64_t last_sequence_ = 0;
  std::map<std::uint64_t, TimePoint> answer_times_;  ///< By sequence.
  TimePoint valid_until_;
  std::uint64_t set_version_ = 0;
  std::uint64_t applied_set_version_ = 0;
  std::vector<SlotGrant> granted_;              ///< Sorted.
  std::vector<SlotGrant> previous_grants_;      ///< Under earlier fronts.
  std::map<SlotGrant, std::uint32_t> running_;  ///< Requests by unit.
};

}  // namespace eelgrasspin::standin

#endif  // EELGRASSPIN_STANDIN_GRANTS_H_
