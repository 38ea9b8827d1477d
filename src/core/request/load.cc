#include "core/request/load.h"

#include <algorithm>

#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

constexpr Duration kAgeInterval = seconds(1);
/// Kept of a count at each interval; a steady rate settles at rate / (1 - it).
constexpr double kKept = 0.9;
constexpr double kForgottenBelow = 0.01;
constexpr std::size_t kReportedSlots = 16;
constexpr std::size_t kReportedKeys = 16;

}  // namespace

void count_load(LoadCounts& load, SlotId slot, const Key& key, Now now) {
  age_load(load, now);
  load.slots[slot] += 1;
  ownership::add_occurrence(load.keys, key);
}

void age_load(LoadCounts& load, Now now) {
  if (load.decayed_at == TimePoint()) load.decayed_at = now.mono;
  while (now.mono - load.decayed_at >= kAgeInterval) {
    load.decayed_at += kAgeInterval;
    if (load.slots.empty()) load.decayed_at = now.mono;
    for (auto& [slot, count] : load.slots) count *= kKept;
    std::erase_if(load.slots, [](const auto& item) {
      return item.second < kForgottenBelow;
    });
    ownership::decay(load.keys, kKept);
  }
}

double rate_of(double count) { return count * (1 - kKept); }

ServerLoad server_load(const core::State& state, const ServerName& server,
                       Now /*now*/) {
  ServerLoad load;
  auto it = state.request.queues.find(server);
  if (it == state.request.queues.end()) return load;
  const LoadCounts& counts = it->second.load;
  for (const auto& [slot, count] : counts.slots) {
    load.requests_per_second += rate_of(count);
    load.slot_rates.emplace_back(slot, rate_of(count));
  }
  std::sort(load.slot_rates.begin(), load.slot_rates.end(),
            [](const auto& a, const auto& b) {
              return a.second != b.second ? a.second > b.second
                                          : a.first < b.first;
            });
  if (load.slot_rates.size() > kReportedSlots)
    load.slot_rates.resize(kReportedSlots);
  for (const auto& item : ownership::top_keys(counts.keys, kReportedKeys))
    load.hot_keys.push_back({item.key, rate_of(item.count)});
  return load;
}

}  // namespace eelgrasspin::core::request
