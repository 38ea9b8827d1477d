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

/// What is checked before a request goes anywhere.
namespace eelgrasspin::core::request {

/// Takes a request in as held, with operation, key, slot and deadline.
OpenRequest& open_request(core::State& state, const RequestArrived& arrived,
                          Now now);

/// Why a request is refused at once; empty if it is admitted.
std::optional<Refusal> check_admission(const core::State& state,
                                       const OpenRequest& request, Now now);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_ADMISSION_H_
