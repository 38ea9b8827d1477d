#ifndef EELGRASSPIN_CORE_REQUEST_FINGERPRINT_H_
#define EELGRASSPIN_CORE_REQUEST_FINGERPRINT_H_

#include <cstdint>

#include "core/request/state.h"

namespace eelgrasspin::core::request {

/// Same for a request and its repeats by a caller: of the idempotency key, else
/// of operation, key and body.
std::uint64_t crash_fingerprint(const OpenRequest& request);

/// Of operation, key and body: tells a repeat from another request under the
/// same idempotency key.
std::uint64_t content_fingerprint(const OpenRequest& request);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_FINGERPRINT_H_
