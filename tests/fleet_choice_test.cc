#include <gtest/gtest.h>

#include <numeric>

#include "fleet/choice.h"
#include "fleet/config.h"

namespace eelgrasspin::fleet {
namespace {

constexpr Duration kObjective = milliseconds(500);

Candidate server(const char* name, Distance distance, std::uint32_t load,
                 Duration service_time = milliseconds(160)) {
  return {ServerName(name), distance, 2, load, service_time, 1.0};
}

TEST(FleetChoice, FreeSlotNearbyIsPreferredToAFasterServerFarAway) {
  std::vector<Candidate> candidates = {
      server("far", Distance::kOtherRegion, 0, milliseconds(100)),
      server("zone", Distance::kSameZone, 1),
      server("region", Distance::kSameRegion, 0)};
  EXPECT_EQ(choose(candidates, kObjective, 0), 1u);
}

TEST(FleetChoice, RegionIsUsedWhenTheZoneIsFull) {
  std::vector<Candidate> candidates = {
      server("zone", Distance::kSameZone, 2),
      server("region", Distance::kSameRegion, 1),
      server("far", Distance::kOtherRegion, 0)};
  EXPECT_EQ(choose(candidates, kObjective, 0), 1u);
}

TEST(FleetChoice, OtherRegionIsUsedOnlyWhenOwnQueuesAreLong) {
  std::vector<Candidate> candidates = {
      server("region", Distance::kSameRegion, 2),
      server("far", Distance::kOtherRegion, 0)};
  EXPECT_EQ(choose(candidates, kObjective, 0), 0u);
  candidates[0].load = 4;
  EXPECT_EQ(choose(candidates, kObjective, 0), 1u);
}

TEST(FleetChoice, FailingServerIsAvoidedButNotForEver) {
  std::vector<Candidate> candidates = {server("bad", Distance::kSameZone, 0),
                                       server("good", Distance::kSameZone, 1)};
  candidates[0].success_rate = 0.3;
  EXPECT_EQ(choose(candidates, kObjective, 0), 1u);
  candidates[0].success_rate = 0.95;
  candidates[1].load = 4;
  EXPECT_EQ(choose(candidates, kObjective, 0), 0u);
}

TEST(FleetChoice, NoServerIsSentMoreThanItsSlotsAndAShortQueue) {
  std::vector<Candidate> candidates = {
      server("full", Distance::kSameZone, 2 + config::kMaxServerQueue)};
  EXPECT_FALSE(choose(candidates, kObjective, 0));
  EXPECT_FALSE(choose({}, kObjective, 0));
}

TEST(FleetChoice, RetryAfterStaysWithinWhatCallersHonour) {
  std::vector<Candidate> candidates = {server("full", Distance::kSameZone, 20)};
  Duration left = milliseconds(2000);
  EXPECT_EQ(retry_after(candidates, left), milliseconds(600));
  candidates[0].load = 0;
  EXPECT_EQ(retry_after(candidates, left), config::kMinRetryAfter);
  EXPECT_EQ(retry_after({}, left), milliseconds(600));
  EXPECT_EQ(retry_after(candidates, Duration(0)), Duration(0));
}

/// Simulates one request every `gap` on four servers of unequal speed. Returns
/// the share of requests that end within the objective.
template <class Choose>
double on_time_share(Duration gap, Choose choose_one) {
  constexpr std::size_t kRequests = 4000;
  struct Busy {
    std::vector<Duration> slots;
    std::vector<Duration> ends;
    Duration each;
  };
  std::vector<Busy> servers;
  for (Duration each : {milliseconds(230), milliseconds(230), milliseconds(100),
                        milliseconds(100)}) {
    servers.push_back({{Duration(0), Duration(0)}, {}, each});
  }
  std::size_t on_time = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    Duration now = gap * static_cast<std::int64_t>(i);
    std::vector<Candidate> candidates;
    for (Busy& busy : servers) {
      std::erase_if(busy.ends, [now](Duration end) { return end <= now; });
      candidates.push_back({ServerName("s"), Distance::kSameZone, 2,
                            static_cast<std::uint32_t>(busy.ends.size()),
                            busy.each, 1.0});
    }
    std::optional<std::size_t> chosen = choose_one(candidates, i);
    if (!chosen) continue;
    Busy& busy = servers[*chosen];
    auto slot = std::min_element(busy.slots.begin(), busy.slots.end());
    Duration end = std::max(*slot, now) + busy.each;
    *slot = end;
    busy.ends.push_back(end);
    if (end - now <= kObjective) ++on_time;
  }
  return static_cast<double>(on_time) / kRequests;
}

TEST(FleetChoice, OverloadIsServedOnTimeUpToCapacityUnlikeRoundRobin) {
  // Capacity is 57 requests a second; 80 arrive.
  Duration gap = microseconds(12'500);
  double chosen = on_time_share(
      gap, [](const std::vector<Candidate>& candidates, std::size_t i) {
        return choose(candidates, kObjective, i);
      });
  double round_robin = on_time_share(
      gap, [](const std::vector<Candidate>& candidates, std::size_t i) {
        return std::optional<std::size_t>(i % candidates.size());
      });
  EXPECT_GT(chosen, 0.65);  // 57 of 80 are 0.71.
  EXPECT_LT(round_robin, 0.55);
}

}  // namespace
}  // namespace eelgrasspin::fleet
