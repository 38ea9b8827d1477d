#ifndef EELGRASSPIN_BACKEND_SERVER_CONTROL_H_
#define EELGRASSPIN_BACKEND_SERVER_CONTROL_H_

#include <functional>

#include "eelgrasspin/grant.h"
#include "eelgrasspin/ids.h"

namespace eelgrasspin {

/// Sends grant orders to backend servers.
class BackendServerControl {
 public:
  using Callback = std::function<void(GrantReply)>;

  virtual ~BackendServerControl() = default;
  /// Calls `done` exactly once, at the latest after config::kGrantCallTimeout
  /// with GrantUnreachable.
  virtual void order(const ServerName& server, const Endpoint& address,
                     const GrantOrder& order, Callback done) = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_BACKEND_SERVER_CONTROL_H_
