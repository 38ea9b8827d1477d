#ifndef EELGRASSPIN_CORE_REQUEST_ROUTING_H_
#define EELGRASSPIN_CORE_REQUEST_ROUTING_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/cache.h"
#include "core/request/operations.h"
#include "eelgrasspin/declarations.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core::request {

/// Recorded owner of a slot, or of a key with an owner of its own.
struct Owner {
  ServerName server;
  Epoch epoch;
  SlotPhase phase = SlotPhase::kUnassigned;
};

/// The front of a backend server.
struct FrontAddress {
  DaemonName daemon;
  Endpoint endpoint;
};

/// Routing data of one service.
struct ServiceRoutes {
  ServiceDeclaration declaration;
  std::vector<OperationPattern> operations;
  std::vector<Owner> slots;
  std::unordered_map<Key, Owner> overrides;  ///< Keys with their own owner.
  std::vector<Version>
      source_versions;  ///< Versions of the values it was built from.
};

/// Owners and fronts by service, slot and server; rebuilt from the cache.
struct RoutingTable {
  std::map<ServiceName, ServiceRoutes> services;
  std::unordered_map<ServerName, FrontAddress> fronts;
  std::vector<Version> front_source_versions;
  std::uint64_t cache_generation = 0;
  bool built = false;
  bool declarations_known = false;
};

/// Rebuilds the parts whose source values in the cache have changed. True if
/// any route may differ.
bool refresh_routing(RoutingTable& table, const Cache& cache);

const ServiceRoutes* find_service(const RoutingTable& table,
                                  const ServiceName& service);

struct Route {
  const Owner* owner = nullptr;  ///< Null: no owner is recorded.
  bool is_override = false;      ///< The key has an owner of its own.
};

Route find_route(const ServiceRoutes& routes, SlotId slot, const Key& key);
const FrontAddress* find_front(const RoutingTable& table,
                               const ServerName& server);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_ROUTING_H_
