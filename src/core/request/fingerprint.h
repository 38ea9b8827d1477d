#ifndef EELGRASSPIN_CORE_REQUEST_FINGERPRINT_H_
#define EELGRASSPIN_CORE_REQUEST_FINGERPRINT_H_

#include <cstdint>

#include "core/request/state.h"

namespace eelgrasspin::core::request {

/// Identifies a request and its repeats in the quarantine: hash of the
/// idempotency key if there is one, else the content fingerprint.
std::uint64_t crash_fingerprint(const OpenRequest& request);

/// Hash of operation, key and body: distinguishes a repeat from a different
/// request with the same idempotency key.
std::uint64_t content_fingerprint(const OpenRequest& request);

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_FINGERPRINT_H_
