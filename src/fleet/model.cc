#include "fleet/model.h"

#include <algorithm>

namespace eelgrasspin::fleet {
namespace {

bool overlap(const KeyRange& left, const KeyRange& right) {
  return left.first <= right.last && right.first <= left.last;
}

bool covers_all(const std::vector<KeyRange>& ranges) {
  std::uint32_t expected = 0;
  for (const KeyRange& range : ranges) {
    if (range.first.value != expected) return false;
    expected = range.last.value + 1;
  }
  return expected == kMaxShardKey + 1;
}

}  // namespace

const KeyRange* find_range(const OwnerMap& map, ShardKey key) {
  auto next = std::upper_bound(map.ranges.begin(), map.ranges.end(), key,
                               [](ShardKey wanted, const KeyRange& range) {
                                 return wanted < range.first;
                               });
  if (next == map.ranges.begin()) return nullptr;
  const KeyRange& range = *std::prev(next);
  return key <= range.last ? &range : nullptr;
}

MapChange change_between(const OwnerMap& before, StorePosition base,
                         const OwnerMap& after, StorePosition position) {
  MapChange change;
  change.service = after.service;
  change.base = base;
  change.position = position;
  change.coordinator = after.coordinator;
  change.coordinator_incarnation = after.coordinator_incarnation;
  change.term = after.term;
  change.last_epoch = after.last_epoch;
  change.replaced_coordinators = after.replaced_coordinators;
  change.grants_lost = after.grants_lost;
  for (const KeyRange& range : after.ranges) {
    const KeyRange* old = find_range(before, range.first);
    if (old == nullptr || *old != range) change.ranges.push_back(range);
  }
  return change;
}

std::optional<OwnerMap> apply_change(const OwnerMap& map,
                                     const MapChange& change) {
  OwnerMap next = map;
  next.coordinator = change.coordinator;
  next.coordinator_incarnation = change.coordinator_incarnation;
  next.term = change.term;
  next.last_epoch = change.last_epoch;
  next.replaced_coordinators = change.replaced_coordinators;
  next.era = change.position.era;
  next.grants_lost = change.grants_lost;
  std::erase_if(next.ranges, [&](const KeyRange& range) {
    return std::any_of(
        change.ranges.begin(), change.ranges.end(),
        [&](const KeyRange& changed) { return overlap(range, changed); });
  });
  next.ranges.insert(next.ranges.end(), change.ranges.begin(),
                     change.ranges.end());
  std::sort(next.ranges.begin(), next.ranges.end(),
            [](const KeyRange& left, const KeyRange& right) {
              return left.first < right.first;
            });
  if (!covers_all(next.ranges)) return std::nullopt;
  return next;
}

}  // namespace eelgrasspin::fleet
