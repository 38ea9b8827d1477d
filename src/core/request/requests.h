#ifndef EELGRASSPIN_CORE_REQUEST_REQUESTS_H_
#define EELGRASSPIN_CORE_REQUEST_REQUESTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

namespace eelgrasspin::core::request {

/// Handles an event in the request path.
void step(core::State& state, const Event& event, Now now, Effects& effects);

/// Number of attempts that may be running at a server: for `key`, or if it is
/// empty for the slot without the keys that have an owner of their own.
std::uint32_t running(const core::State& state, const ServerName& server,
                      SlotId slot, const Key& key);
/// Number of attempts that may be running at a server.
std::uint32_t running(const core::State& state, const ServerName& server);
/// Number of requests that wait in the front's queue for a server.
std::uint32_t queued(const core::State& state, const ServerName& server);

/// Load of a server as its front sees it: its busiest slots and keys.
struct ServerLoad {
  double requests_per_second = 0;
  std::vector<std::pair<SlotId, double>> slot_rates;
  std::vector<HotKey> hot_keys;
};
ServerLoad server_load(const core::State& state, const ServerName& server,
                       Now now);

/// This daemon's account of each service.
std::map<ServiceName, DaemonAccount> accounts(const core::State& state,
                                              Now now);

/// Requests the release of a fingerprint in the zones that this daemon
/// coordinates. Idempotent.
void request_release(core::State& state, std::uint64_t fingerprint);

/// An open request as shown to operators.
struct OpenRequestRow {
  ServiceName service;
  Key key;
  std::string operation;
  CallerName caller;
  std::string stage;
  Duration age{0};
  ServerName server;  ///< Empty while it has none.
};
/// The oldest open requests, at most `limit`.
std::vector<OpenRequestRow> open_request_list(const core::State& state, Now now,
                                              std::size_t limit);

/// Number of open requests, from callers and forwarded.
std::uint64_t open_requests(const core::State& state);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_REQUESTS_H_
