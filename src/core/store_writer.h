#ifndef EELGRASSPIN_CORE_STORE_WRITER_H_
#define EELGRASSPIN_CORE_STORE_WRITER_H_

#include <map>
#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {

struct State;

/// A conditional write whose outcome is not known yet. After a lost answer it
/// is sent again with the same expected version and record, until the store
/// confirms or rejects it.
struct PendingWrite {
  StoreKey key;
  Version expected;
  Record record;
  StoreOpId op;  ///< Of the last send.
  TimePoint first_sent;
  TimePoint retry_at;       ///< Valid while not `outstanding`.
  bool outstanding = true;  ///< An answer to the last send is awaited.
};

/// A write whose outcome is known. The cache already holds what the store has.
struct SettledWrite {
  StoreKey key;
  bool took_effect = false;
  TimePoint first_sent;
};

/// The daemon's conditional writes; at most one is pending for each key.
struct StoreWriter {
  std::map<StoreKey, PendingWrite> pending;
  std::map<StoreOpId, StoreKey> ops;
  std::vector<SettledWrite> settled;  ///< By the current event only.
  std::uint64_t next_write_id = 1;
};

/// A value for a record's write_id; unique over all daemons and incarnations.
std::uint64_t new_write_id(State& state);

bool write_pending(const State& state, const StoreKey& key);

/// Starts to write `record` on condition that the store has version `expected`.
/// Does nothing if a write to the key is pending; check write_pending() first.
void start_write(State& state, const StoreKey& key, Version expected,
                 Record record, Now now, Effects& effects);

/// Stops tracking a write that is no longer wanted. It may still take effect.
void abandon_write(State& state, const StoreKey& key);

/// Handles StoreAnswered for writes, and resends writes whose answer was lost.
void step_store_writer(State& state, const Event& event, Now now,
                       Effects& effects);

/// The write to `key` that settled during this event; null if none did.
const SettledWrite* settled_write(const State& state, const StoreKey& key);

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_STORE_WRITER_H_
