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

/// A backend server's side of the grant protocol.
class Grants {
 public:
  explicit Grants(Incarnation incarnation) : incarnation_(incarnation) {}

  /// `now` is when the answer is sent; terms count from it.
  GrantReply obey(const GrantOrder& order, TimePoint now);

  /// Empty if a request of this unit, epoch and front may start now; else the
  /// epoch known for the unit.
  std::optional<Epoch> refused(SlotId slot, const Key& key, Epoch epoch,
                               FrontEpoch front, TimePoint now) const;
  /// A request of a unit started or ended; revocations wait for the end.
  void started(const SlotGrant& unit) { ++running_[unit]; }
  void ended(const SlotGrant& unit);
  /// The unit that covers a key: carved out, or its whole slot.
  SlotGrant unit_of(SlotId slot, const Key& key, Epoch epoch) const;
  std::uint32_t running() const;

 private:
  const SlotGrant* grant_for(SlotId slot, const Key& key) const;
  void take_set(const GrantOrder& order);
  void update_applied();

  Incarnation incarnation_;
  FrontEpoch front_epoch_;
  std::uint64_t last_sequence_ = 0;
  std::map<std::uint64_t, TimePoint> answer_times_;
  TimePoint valid_until_;
  std::uint64_t set_version_ = 0;
  std::uint64_t applied_set_version_ = 0;
  std::vector<SlotGrant> held_;
  std::vector<SlotGrant> inventory_;  ///< Held under earlier fronts.
  std::map<SlotGrant, std::uint32_t> running_;
};

}  // namespace eelgrasspin::standin

#endif  // EELGRASSPIN_STANDIN_GRANTS_H_
