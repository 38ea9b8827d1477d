#include "core/request/fingerprint.h"

#include <xxhash.h>

#include <string>

namespace eelgrasspin::core::request {
namespace {

std::uint64_t hash_of(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

/// Writes the length first, so that different sequences of parts never give the
/// same text.
void append(std::string& text, const std::string& part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

std::uint64_t crash_fingerprint(const OpenRequest& request) {
  if (request.head.idempotency_key.empty()) return content_fingerprint(request);
  std::string text;
  append(text, request.head.service.str());
  append(text, request.head.idempotency_key);
  return hash_of(text);
}

std::uint64_t content_fingerprint(const OpenRequest& request) {
  std::string text;
  append(text, request.head.service.str());
  append(text, request.operation);
  append(text, request.key.str());
  append(text, std::to_string(request.head.body_hash));
  return hash_of(text);
}

}  // namespace eelgrasspin::core::request
