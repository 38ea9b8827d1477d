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

void step(core::State& state, const Event& event, Now now, Effects& effects);

/// Requests sent to a server for a slot (`key` empty) or a carved-out key, and
/// not ended yet.
std::uint32_t running(const core::State& state, const ServerName& server,
                      SlotId slot, const Key& key);
/// Requests sent to a server and not ended yet.
std::uint32_t running(const core::State& state, const ServerName& server);
std::uint32_t queued(const core::State& state, const ServerName& server);

/// Load of a server as its front sees it.
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

/// Lifts a quarantine in the zones this daemon coordinates. Repeats are
/// harmless.
void order_release(core::State& state, std::uint64_t fingerprint);

/// An open request, for operators.
struct OpenRequestRow {
  ServiceName service;
  Key key;
  std::string operation;
  CallerName caller;
  std::string stage;
  Duration age{0};
  ServerName server;  ///< Empty while it has none.
};
/// The oldest open requests.
std::vector<OpenRequestRow> open_request_list(const core::State& state, Now now,
                                              std::size_t limit);

/// Requests of any kind that have not ended.
std::uint64_t open_requests(const core::State& state);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_REQUESTS_H_
