#include "io/progress.h"

#include <algorithm>
#include <numeric>

namespace eelgrasspin::io {
namespace {

/// When a limit is exceeded, this share of it is freed as well, so that not
/// every byte received next has to choose again.
constexpr std::size_t kFreedPart = 16;

}  // namespace

void start_progress(Progress& progress, TimePoint now) {
  progress = {now, now, 0, false};
}

void record_progress(Progress& progress, std::size_t bytes, TimePoint now) {
  if (now - progress.window_start >= kProgressWindow) {
    progress.slow = is_slow(progress, now);
    progress.window_start = now;
    progress.window_bytes = 0;
  }
  progress.window_bytes += bytes;
  if (bytes > 0) progress.last = now;
}

bool is_slow(const Progress& progress, TimePoint now) {
  if (now - progress.window_start < kProgressWindow) return progress.slow;
  return progress.window_bytes < kMinBytesPerWindow;
}

std::vector<std::size_t> choose_to_end(const std::vector<Holding>& holdings,
                                       std::size_t used,
                                       const HoldingLimits& limits) {
  std::vector<std::size_t> chosen;
  if (used <= limits.limit) return chosen;
  std::vector<std::size_t> order(holdings.size());
  std::iota(order.begin(), order.end(), 0);
  auto is_large = [&](const Holding& holding) {
    return holding.bytes > limits.small;
  };
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const Holding& left = holdings[a];
    const Holding& right = holdings[b];
    if (left.slow != right.slow) return left.slow;
    if (left.slow) return left.bytes > right.bytes;
    if (is_large(left) != is_large(right)) return is_large(left);
    return left.last_progress < right.last_progress;
  });
  for (std::size_t index : order) {
    const Holding& holding = holdings[index];
    std::size_t limit = holding.slow || is_large(holding)
                            ? limits.limit
                            : limits.limit_of_small;
    std::size_t target = chosen.empty() ? limit : limit - limit / kFreedPart;
    if (used <= target) break;
    if (holding.bytes == 0) continue;
    chosen.push_back(index);
    used -= std::min(used, holding.bytes);
  }
  return chosen;
}

}  // namespace eelgrasspin::io
