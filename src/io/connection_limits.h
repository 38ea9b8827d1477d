#ifndef EELGRASSPIN_IO_CONNECTION_LIMITS_H_
#define EELGRASSPIN_IO_CONNECTION_LIMITS_H_

#include <algorithm>
#include <cstddef>

#include "eelgrasspin/config.h"

namespace eelgrasspin::io {

/// Connections of the ports for readiness and for metrics, each.
constexpr std::size_t kSmallPortConnections = 32;
/// Connections to the store, and sockets that are open all the time.
constexpr std::size_t kStoreConnections = 24;

/// How many connections of each kind a daemon has at most.
struct ConnectionLimits {
  std::size_t callers;
  std::size_t servers;  ///< For callers' requests. 0: no limit.
  std::size_t orders;   ///< To servers, for orders. 0: no limit.
};

/// Divides the connections that the process may have; 0: unknown. Each request
/// needs one of a caller and one to a server, orders one to each server.
constexpr ConnectionLimits connection_limits(std::size_t max_connections) {
  if (max_connections == 0) return {config::kMaxCallerConnections, 0, 0};
  constexpr std::size_t kOthers = 2 * kSmallPortConnections + kStoreConnections;
  constexpr std::size_t kFewest = 8;
  std::size_t rest = max_connections - std::min(max_connections, kOthers);
  std::size_t quarter = std::max(rest / 4, kFewest);
  return {std::min(2 * quarter, config::kMaxCallerConnections), quarter,
          quarter};
}

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_CONNECTION_LIMITS_H_
