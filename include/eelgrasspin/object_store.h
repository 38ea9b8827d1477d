#ifndef EELGRASSPIN_OBJECT_STORE_H_
#define EELGRASSPIN_OBJECT_STORE_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin {

struct StoreRead {
  Version revision;  ///< Of the store when it was read.
  std::vector<StoreEntry> entries;
};

struct StoreWritten {
  Version version;
};

/// The expected version is not the current one; nothing was written. `current`
/// is what is there.
struct StoreConflict {
  StoreEntry current;
};

/// No answer. Attention: a write may have taken effect, or may still take
/// effect later.
struct StoreUnavailable {
  std::string reason;
};

using StoreResult =
    std::variant<StoreRead, StoreWritten, StoreConflict, StoreUnavailable>;

/// The platform's object store. Each call answers exactly once and counts
/// against the platform's rates.
class ObjectStore {
 public:
  using Callback = std::function<void(StoreResult)>;

  virtual ~ObjectStore() = default;
  /// Reads one key; an absent one gives an entry with version 0.
  virtual void read(const StoreKey& key, Callback done) = 0;
  /// Reads every key that starts with `prefix`.
  virtual void list(const StoreKey& prefix, Callback done) = 0;
  /// Writes if the key is still at version `expected` (0: absent). A monostate
  /// record deletes the key.
  virtual void write(const StoreKey& key, Version expected,
                     const Record& record, Callback done) = 0;
  /// Answers with the entries changed after `since`, or empty after `wait`.
  virtual void watch(const StoreKey& prefix, Version since, Duration wait,
                     Callback done) = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_OBJECT_STORE_H_
