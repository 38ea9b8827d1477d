#include "core/ownership/sketch.h"

namespace eelgrasspin::core::ownership {
namespace {

/// Keys whose count decays below this are dropped.
constexpr double kMinCount = 0.01;

void increase_count(Sketch& sketch, const Key& key, SketchEntry& entry,
                    double weight) {
  sketch.by_count.erase({entry.count, key});
  entry.count += weight;
  sketch.by_count.emplace(entry.count, key);
}

/// Removes the key with the lowest count and returns that count.
double evict_lowest(Sketch& sketch) {
  auto [count, key] = *sketch.by_count.begin();
  sketch.by_count.erase(sketch.by_count.begin());
  sketch.entries.erase(key);
  return count;
}

}  // namespace

void add_occurrence(Sketch& sketch, const Key& key, double weight) {
  auto it = sketch.entries.find(key);
  if (it != sketch.entries.end()) {
    increase_count(sketch, key, it->second, weight);
    return;
  }
  double error =
      sketch.entries.size() < sketch.capacity ? 0 : evict_lowest(sketch);
  sketch.entries[key] = {.count = error + weight, .error = error};
  sketch.by_count.emplace(error + weight, key);
}

std::vector<CountedKey> top_keys(const Sketch& sketch, std::size_t n) {
  std::vector<CountedKey> keys;
  for (auto it = sketch.by_count.rbegin();
       it != sketch.by_count.rend() && keys.size() < n; ++it) {
    const SketchEntry& entry = sketch.entries.at(it->second);
    keys.push_back({it->second, entry.count, entry.error});
  }
  return keys;
}

void decay(Sketch& sketch, double factor) {
  sketch.by_count.clear();
  std::erase_if(sketch.entries, [factor](const auto& entry) {
    return entry.second.count * factor < kMinCount;
  });
  for (auto& [key, entry] : sketch.entries) {
    entry.count *= factor;
    entry.error *= factor;
    sketch.by_count.emplace(entry.count, key);
  }
}

}  // namespace eelgrasspin::core::ownership
