#ifndef EELGRASSPIN_IO_REQUEST_FINGERPRINT_H_
#define EELGRASSPIN_IO_REQUEST_FINGERPRINT_H_

#include "fleet/model.h"
#include "io/http_types.h"

namespace eelgrasspin::io {

/// Hash of the caller's IP address, the method, the path and the body. A
/// repetition may have another query.
fleet::Fingerprint request_fingerprint(const HttpRequest& request);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_REQUEST_FINGERPRINT_H_
