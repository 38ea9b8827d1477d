#include "core/request/load.h"

#include <algorithm>

#include "core/request/requests.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

constexpr Duration kDecayInterval = seconds(1);
/// Each count is multiplied by this at each kDecayInterval; at a constant rate
/// per interval it converges to rate / (1 - kDecayFactor).
constexpr double kDecayFactor = 0.9;
constexpr double kMinCount = 0.01;
constexpr std::size_t kMaxReportedSlots = 16;
constexpr std::size_t kMaxReportedKeys = 16;

}  // namespace

void count_load(LoadCounts& load, SlotId slot, const Key& key, Now now) {
  decay_load(load, now);
  load.slots[slot] += 1;
  ownership::add_occurrence(load.keys, key);
}

void decay_load(LoadCounts& load, Now now) {
  if (load.decayed_at == TimePoint()) load.decayed_at = now.mono;
  while (now.mono - load.decayed_at >= kDecayInterval) {
    load.decayed_at += kDecayInterval;
    if (load.slots.empty()) load.decayed_at = now.mono;
    for (auto& [slot, count] : load.slots) count *= kDecayFactor;
    std::erase_if(load.slots,
                  [](const auto& item) { return item.second < kMinCount; });
    ownership::decay(load.keys, kDecayFactor);
  }
}

double rate_of(double count) { return count * (1 - kDecayFactor); }

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
  if (load.slot_rates.size() > kMaxReportedSlots)
    load.slot_rates.resize(kMaxReportedSlots);
  for (const auto& item : ownership::top_keys(counts.keys, kMaxReportedKeys))
    load.hot_keys.push_back({item.key, rate_of(item.count)});
  return load;
}

}  // namespace eelgrasspin::core::request
