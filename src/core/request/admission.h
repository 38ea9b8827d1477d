#ifndef EELGRASSPIN_CORE_REQUEST_ADMISSION_H_
#define EELGRASSPIN_CORE_REQUEST_ADMISSION_H_

#include <optional>

#include "core/event.h"
#include "core/request/lifecycle.h"
#include "core/request/state.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core {
struct State;
}

/// Registration of arriving requests, and the checks before they are routed.
namespace eelgrasspin::core::request {

/// Registers an arriving request as held, and resolves its operation, key, slot
/// and deadline.
OpenRequest& open_request(core::State& state, const RequestArrived& arrived,
                          Now now);

/// The refusal of a request that cannot be admitted; empty if it can.
std::optional<Refusal> check_admission(const core::State& state,
                                       const OpenRequest& request, Now now);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_ADMISSION_H_
