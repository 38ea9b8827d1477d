#include "core/cache.h"

namespace eelgrasspin::core {

ApplyResult apply(Cache& cache, const StoreEntry& entry) {
  StoreEntry& known = cache.entries[entry.key];
  known.key = entry.key;
  if (entry.version <= known.version) return ApplyResult::kStale;
  known.version = entry.version;
  ++cache.generation;
  if (std::holds_alternative<DamagedRecord>(entry.record)) {
    bool absent = std::holds_alternative<std::monostate>(known.record);
    if (absent) known.record = entry.record;
    return ApplyResult::kDamaged;
  }
  known.record = entry.record;
  return ApplyResult::kApplied;
}

Version version_of(const Cache& cache, const StoreKey& key) {
  auto it = cache.entries.find(key);
  bool absent = it == cache.entries.end() ||
                std::holds_alternative<std::monostate>(it->second.record);
  return absent ? Version(0) : it->second.version;
}

const Declarations* declarations(const Cache& cache) {
  static const StoreKey kKey = declarations_key();
  const auto* record = find<DeclarationsRecord>(cache, kKey);
  return record == nullptr ? nullptr : &record->declarations;
}

const ServiceDeclaration* service_declaration(const Cache& cache,
                                              const ServiceName& service) {
  const Declarations* all_declared = declarations(cache);
  if (all_declared == nullptr) return nullptr;
  auto it = all_declared->services.find(service);
  return it == all_declared->services.end() ? nullptr : &it->second;
}

const ServerDeclaration* server_declaration(const Cache& cache,
                                            const ServerName& server) {
  const Declarations* all_declared = declarations(cache);
  if (all_declared == nullptr) return nullptr;
  auto it = all_declared->servers.find(server);
  return it == all_declared->servers.end() ? nullptr : &it->second;
}

const ZoneRoster* roster(const Cache& cache, const ZoneName& zone) {
  return find<ZoneRoster>(cache, roster_key(zone));
}

const CoordinatorLease* coordinator_lease(const Cache& cache,
                                          const ZoneName& zone) {
  return find<CoordinatorLease>(cache, coordinator_lease_key(zone));
}

}  // namespace eelgrasspin::core
