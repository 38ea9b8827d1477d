#ifndef EELGRASSPIN_CORE_OWNERSHIP_SKETCH_H_
#define EELGRASSPIN_CORE_OWNERSHIP_SKETCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "eelgrasspin/ids.h"

/// The most frequent keys of a stream in bounded memory, by the Space-Saving
/// algorithm of Metwally, Agrawal and El Abbadi. A count is never below the
/// true one, and exceeds it by at most its error.
namespace eelgrasspin::core::ownership {

struct SketchEntry {
  double count = 0;
  double error = 0;  ///< Count inherited from the key that it replaced.
};

struct Sketch {
  std::size_t capacity = 128;  ///< Maximum number of keys.
  std::map<Key, SketchEntry> entries;
  std::set<std::pair<double, Key>> by_count;
};

struct CountedKey {
  Key key;
  double count = 0;
  double error = 0;

  bool operator==(const CountedKey&) const = default;
};

/// Adds an occurrence of a key, counted with `weight`.
void add_occurrence(Sketch& sketch, const Key& key, double weight = 1);

/// The `n` keys with the highest counts, highest first.
std::vector<CountedKey> top_keys(const Sketch& sketch, std::size_t n);

/// Multiplies all counts by `factor`, in (0, 1], so that old occurrences weigh
/// less.
void decay(Sketch& sketch, double factor);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_SKETCH_H_
