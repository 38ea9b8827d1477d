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
  Version revision;  ///< Store revision at the time of the read.
  std::vector<StoreEntry> entries;
};

struct StoreWritten {
  Version version;
};

/// The key is not at the expected version; nothing was written. `current` is
/// its present entry.
struct StoreConflict {
  StoreEntry current;
};

/// No answer. A write may have taken effect, or may still take effect later.
struct StoreUnavailable {
  std::string reason;
};

using StoreResult =
    std::variant<StoreRead, StoreWritten, StoreConflict, StoreUnavailable>;

/// The platform's object store. Each call invokes its callback exactly once and
/// counts against the platform's rate limits.
class ObjectStore {
 public:
  using Callback = std::function<void(StoreResult)>;

  virtual ~ObjectStore() = default;
  /// Reads one key; an absent key yields an entry with version 0.
  virtual void read(const StoreKey& key, Callback done) = 0;
  /// Reads all keys that start with `prefix`.
  virtual void list(const StoreKey& prefix, Callback done) = 0;
  /// Writes if the key is at version `expected`; 0 means absent. A monostate
  /// record deletes the key.
  virtual void write(const StoreKey& key, Version expected,
                     const Record& record, Callback done) = 0;
  /// Waits for entries changed after revision `since` and reads them; yields
  /// none if there is no change within `wait`.
  virtual void watch(const StoreKey& prefix, Version since, Duration wait,
                     Callback done) = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_OBJECT_STORE_H_
