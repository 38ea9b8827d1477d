#include "fleet/choice.h"

#include <algorithm>

#include "fleet/config.h"
#include "fleet/duration.h"

namespace eelgrasspin::fleet {
namespace {

/// Share of the objective that is added to the expected finish at a server of
/// another region: the links are slow and paid for by volume.
constexpr double kOtherRegionPenaltyShare = 0.25;

struct Best {
  std::size_t index;
  Duration finish;
};

std::optional<Best> best_of(const std::vector<Candidate>& candidates,
                            std::uint64_t tie_breaker, Distance furthest,
                            bool free_slot_only, Duration objective) {
  std::optional<Best> best;
  std::size_t count = candidates.size();
  for (std::size_t offset = 0; offset < count; ++offset) {
    std::size_t index = (offset + tie_breaker) % count;
    const Candidate& candidate = candidates[index];
    if (candidate.distance > furthest || !has_room(candidate, objective))
      continue;
    if (free_slot_only && candidate.load >= usable_slots(candidate)) continue;
    Duration finish = expected_finish(candidate);
    if (candidate.distance == Distance::kOtherRegion) {
      finish += scaled(objective, kOtherRegionPenaltyShare);
    }
    if (!best || finish < best->finish) best = Best{index, finish};
  }
  return best;
}

}  // namespace

std::uint32_t usable_slots(const Candidate& candidate) {
  if (candidate.concurrency == 0) return candidate.slots;
  return std::min(candidate.concurrency, candidate.slots);
}

Duration expected_wait(const Candidate& candidate) {
  std::uint32_t slots = usable_slots(candidate);
  if (candidate.load < slots) return Duration(0);
  double queued_ahead = static_cast<double>(candidate.load - slots) + 0.5;
  return scaled(candidate.service_time, queued_ahead / slots);
}

Duration expected_finish(const Candidate& candidate) {
  Duration finish = expected_wait(candidate) + candidate.service_time;
  return scaled(
      finish, 1.0 / std::max(candidate.success_rate, config::kMinSuccessRate));
}

bool has_room(const Candidate& candidate, Duration objective) {
  std::uint32_t slots = usable_slots(candidate);
  if (candidate.load < slots) return true;
  if (candidate.queue_places)
    return candidate.load < slots + *candidate.queue_places;
  return candidate.load < slots + config::kMaxServerQueue &&
         expected_wait(candidate) + candidate.service_time <= objective;
}

std::optional<std::size_t> choose_nearby(
    const std::vector<Candidate>& candidates, Distance furthest,
    Duration objective, std::uint64_t tie_breaker) {
  auto best = best_of(candidates, tie_breaker, furthest, true, objective);
  Duration limit = scaled(objective, config::kNearestServerObjectiveShare);
  if (!best || best->finish > limit) return std::nullopt;
  return best->index;
}

std::optional<std::size_t> choose(const std::vector<Candidate>& candidates,
                                  Duration objective,
                                  std::uint64_t tie_breaker) {
  for (Distance furthest : {Distance::kSameZone, Distance::kSameRegion}) {
    auto nearby = choose_nearby(candidates, furthest, objective, tie_breaker);
    if (nearby) return nearby;
  }
  auto best = best_of(candidates, tie_breaker, Distance::kOtherRegion, false,
                      objective);
  if (!best) return std::nullopt;
  return best->index;
}

Duration retry_after(const std::vector<Candidate>& candidates,
                     Duration time_left) {
  Duration longest = scaled(time_left, config::kMaxRetryAfterShare);
  Duration earliest = longest;
  for (const Candidate& candidate : candidates) {
    earliest = std::min(earliest, expected_wait(candidate));
  }
  return std::min(longest, std::max(earliest, config::kMinRetryAfter));
}

}  // namespace eelgrasspin::fleet
