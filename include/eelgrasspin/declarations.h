#ifndef EELGRASSPIN_DECLARATIONS_H_
#define EELGRASSPIN_DECLARATIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "eelgrasspin/config.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin {

/// What other availability zones do with the slots of an isolated zone.
enum class IsolationPolicy : std::uint8_t { kKeep, kYield };
/// How at-most-once operations are handled while their zone cannot reach the
/// store.
enum class StoreDownPolicy : std::uint8_t { kRefuse, kFrontLedger };

/// One declared operation of a service.
struct Operation {
  std::string name;
  std::string method;  ///< HTTP method in upper case.
  std::string path;    ///< Pattern below the service's prefix, such as
                       ///< "/pans/{key}/readings"; {key} is the routing key.
  ExecutionClass execution_class = ExecutionClass::kAtMostOnce;
};

/// Placement policy. A move is made if the weighted reduction of the imbalance
/// exceeds the weighted costs of the move; only the ratio of the weights
/// matters.
struct PlacementWeights {
  double imbalance = 1;    ///< Of the servers' load.
  double churn = 1;        ///< Of moving a unit at all.
  double unavailable = 1;  ///< Of the time in which a unit has no owner.
  std::uint32_t moves_per_minute = 64;
};

struct ServiceDeclaration {
  ServiceName name;
  std::uint32_t key_slots =
      config::kDefaultKeySlots;  ///< A power of two; cannot be changed later.
  Duration deadline = config::kDefaultDeadline;
  /// A backend server aborts a request that runs for longer.
  Duration execution_limit = config::kDefaultExecutionLimit;
  std::uint32_t queue_limit =
      config::kDefaultQueueLimit;  ///< Per backend server.
  IsolationPolicy on_isolation = IsolationPolicy::kKeep;
  /// With kYield: time without the store after which a zone yields its slots.
  Duration yield_after = minutes(10);
  StoreDownPolicy when_store_down = StoreDownPolicy::kRefuse;
  PlacementWeights weights;
  std::vector<Operation> operations;
};

struct ZoneDeclaration {
  ZoneName name;
  RegionName region;
};

struct ServerDeclaration {
  ServerName name;
  ServiceName service;
  ZoneName zone;
  Endpoint address;
  std::uint32_t concurrency = 2;  ///< Maximum number of requests run at once.
  std::uint32_t connections =
      130;  ///< Maximum number of connections from all daemons together.
  Duration connection_interval =
      milliseconds(1);  ///< Minimum time between two new connections.
  bool checks_grants = true;
};

/// Everything that the operators declare; accepted as a whole or not at all.
struct Declarations {
  std::string deployment;
  std::uint32_t schema = 1;
  std::map<ZoneName, ZoneDeclaration> zones;
  std::map<ServiceName, ServiceDeclaration> services;
  std::map<ServerName, ServerDeclaration> servers;
  std::string source;  ///< The INI text as accepted.
};

/// Servers of one service in one zone, ordered by name.
std::vector<const ServerDeclaration*> servers_of(
    const Declarations& declarations, const ServiceName& service,
    const ZoneName& zone);

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_DECLARATIONS_H_
