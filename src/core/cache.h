#ifndef EELGRASSPIN_CORE_CACHE_H_
#define EELGRASSPIN_CORE_CACHE_H_

#include <map>
#include <string_view>
#include <variant>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core {

/// A daemon's copy of the store: the last readable value of each key. The
/// version of an entry never regresses.
struct Cache {
  std::map<StoreKey, StoreEntry> entries;
  /// Incremented with each newer entry, so that modules can skip work while
  /// nothing has changed.
  std::uint64_t generation = 0;
};

enum class ApplyResult : std::uint8_t { kApplied, kStale, kDamaged };

/// Stores an entry if its version is higher than the cached one. If its record
/// is damaged, the last good record stays under the new version.
ApplyResult apply(Cache& cache, const StoreEntry& entry);

/// Version of a key; 0 if the key has no record or is not cached.
Version version_of(const Cache& cache, const StoreKey& key);

/// The record of a key; null if it is not cached or is of another type.
template <class R>
const R* find(const Cache& cache, const StoreKey& key) {
  auto it = cache.entries.find(key);
  return it == cache.entries.end() ? nullptr
                                   : std::get_if<R>(&it->second.record);
}

/// The declarations in force; null if none are cached.
const Declarations* declarations(const Cache& cache);
const ServiceDeclaration* service_declaration(const Cache& cache,
                                              const ServiceName& service);
const ServerDeclaration* server_declaration(const Cache& cache,
                                            const ServerName& server);
const ZoneRoster* roster(const Cache& cache, const ZoneName& zone);
const CoordinatorLease* coordinator_lease(const Cache& cache,
                                          const ZoneName& zone);

/// Calls `visit` with each entry whose key starts with `prefix`, in key order.
template <class Visit>
void for_each_prefixed(const Cache& cache, const StoreKey& prefix,
                       Visit visit) {
  for (auto it = cache.entries.lower_bound(prefix);
       it != cache.entries.end() && it->first.str().starts_with(prefix.str());
       ++it) {
    visit(it->second);
  }
}

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_CACHE_H_
