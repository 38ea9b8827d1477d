#include "io/log_rate_limiter.h"

namespace eelgrasspin::io {
namespace {
constexpr Duration kWindow = seconds(1);
}  // namespace

bool LogRateLimiter::allow(std::string_view kind, TimePoint now) {
  auto found = windows_.find(kind);
  if (found == windows_.end()) {
    found = windows_.emplace(std::string(kind), Window{now}).first;
  }
  Window& window = found->second;
  if (now - window.start >= kWindow) {
    window.start = now;
    window.written = 0;
  }
  if (window.written >= lines_per_second_) {
    ++window.dropped;
    return false;
  }
  ++window.written;
  return true;
}

std::vector<std::pair<std::string, std::uint64_t>> LogRateLimiter::take_dropped(
    TimePoint now) {
  std::vector<std::pair<std::string, std::uint64_t>> result;
  for (auto& [kind, window] : windows_) {
    if (window.dropped == 0 || now - window.start < kWindow) continue;
    result.emplace_back(kind, window.dropped);
    window.dropped = 0;
  }
  return result;
}

}  // namespace eelgrasspin::io
