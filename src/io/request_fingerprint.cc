#include "io/request_fingerprint.h"

#include <xxhash.h>

#include "io/endpoint.h"

namespace eelgrasspin::io {

fleet::Fingerprint request_fingerprint(const HttpRequest& request) {
  std::string text = ip_address_of(request.remote) + ' ' + request.method + ' ';
  text += path_of(request.target);
  text += ' ';
  text += request.body;
  return fleet::Fingerprint(XXH64(text.data(), text.size(), 0));
}

}  // namespace eelgrasspin::io
