#include "tests/admission_play.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>

namespace eelgrasspin::fleet {
namespace {

constexpr Duration kPlayTime = seconds(12);

std::function<double(Duration)> constant(double rate) {
  return [rate](Duration) { return rate; };
}
/// `usual`, but `burst` from the third to the seventh second.
std::function<double(Duration)> with_burst(double usual, double burst) {
  return [usual, burst](Duration time) {
    return time >= seconds(3) && time < seconds(7) ? burst : usual;
  };
}

struct Load {
  std::string name;
  AdmissionPlay::Options options;
  std::vector<PlayKind> kinds;
};

Duration work(std::uint32_t slots) {
  return slots == 3 ? milliseconds(240) : milliseconds(480);
}
/// Requests per second of 12 servers.
double capacity(std::uint32_t slots) {
  return 12.0 * slots * 1e6 / static_cast<double>(work(slots).count());
}
PlayKind lookups(std::uint32_t slots, const ServiceName& service) {
  if (slots == 3) {
    return {"lookup",           service, 1, true, work(3), milliseconds(1000),
            milliseconds(2500), {},      0};
  }
  return {"lookup",           service, 1, true, work(6), milliseconds(1500),
          milliseconds(6000), {},      0};
}
PlayKind urgent(std::uint32_t slots) {
  return {"urgent",
          kKeyedService,
          0,
          false,
          work(slots),
          milliseconds(1200),
          milliseconds(slots == 3 ? 3000 : 5000),
          {},
          0};
}

Load burst(std::uint32_t slots, const ServiceName& service) {
  PlayKind kind = lookups(slots, service);
  kind.rate = with_burst(0.6 * capacity(slots), 1.5 * capacity(slots));
  return {"burst " + service.str(), {slots}, {kind}};
}
Load hot_key(std::uint32_t slots) {
  PlayKind kind = lookups(slots, kKeyedService);
  kind.rate = constant(0.5 * capacity(slots));
  kind.hot_share = 0.25;
  return {"hot key", {slots}, {kind}};
}
Load mix(std::uint32_t slots) {
  PlayKind usual = lookups(slots, kKeyedService);
  PlayKind first = urgent(slots);
  usual.rate = constant(1.1 * capacity(slots));
  first.rate = constant(0.35 * capacity(slots));
  return {"mix", {slots}, {usual, first}};
}

/// Means over the seeds.
struct Figures {
  double in_time = 0;
  double served = 0;
  double refusals = 0;  ///< Per caller.
  double worst_zone = 0;
  double zone_gap = 0;  ///< Between the best and the worst zone.
  double rejections = 0;
};

constexpr std::uint32_t kSeeds = 8;
/// Differences of means between plays that say nothing.
constexpr double kNoise = 0.03;

/// The figures of each kind.
std::map<std::string, Figures> play(const Load& load, bool admission_control) {
  std::map<std::string, Figures> figures;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    AdmissionPlay::Options options = load.options;
    options.admission_control = admission_control;
    options.seed = seed;
    AdmissionPlay one(options, load.kinds);
    one.run(kPlayTime);
    for (const PlayKind& kind : load.kinds) {
      const PlayResult& result = one.result(kind.name);
      Figures& sum = figures[kind.name];
      sum.in_time += result.in_time_share() / kSeeds;
      sum.served += result.served_share() / kSeeds;
      sum.refusals += result.refusals_per_caller() / kSeeds;
      sum.worst_zone += result.worst_zone() / kSeeds;
      sum.zone_gap += (result.best_zone() - result.worst_zone()) / kSeeds;
      sum.rejections += static_cast<double>(one.rejections()) / kSeeds;
    }
  }
  for (const auto& [kind, mean] : figures) {
    std::printf(
        "%-12s %u slots%s %-7s %s: in time %.3f served %.3f refusals %.2f "
        "worst zone %.3f gap %.3f rejections %.0f\n",
        load.name.c_str(), load.options.slots,
        load.options.split ? " split" : "", kind.c_str(),
        admission_control ? "new" : "old", mean.in_time, mean.served,
        mean.refusals, mean.worst_zone, mean.zone_gap, mean.rejections);
  }
  return figures;
}

struct Comparison {
  std::map<std::string, Figures> before;
  std::map<std::string, Figures> after;
};
Comparison compare(const Load& load) {
  return {play(load, false), play(load, true)};
}

class AdmissionPlays : public ::testing::TestWithParam<std::uint32_t> {};
INSTANTIATE_TEST_SUITE_P(Slots, AdmissionPlays, ::testing::Values(3U, 6U));

/// Load: 1.5 times the capacity for 4 s, from callers of one kind. Refused
/// callers returned together and found the servers full again.
TEST_P(AdmissionPlays, BurstOfKeyedRequestsIsRefusedLessOften) {
  for (const ServiceName& service : {kFreeService, kKeyedService}) {
    Comparison both = compare(burst(GetParam(), service));
    const Figures& before = both.before.at("lookup");
    const Figures& after = both.after.at("lookup");
    EXPECT_GE(after.in_time, before.in_time - kNoise) << service.str();
    EXPECT_GE(after.served, before.served - kNoise) << service.str();
    EXPECT_LE(after.refusals, before.refusals + 0.1) << service.str();
    EXPECT_GE(after.worst_zone, before.worst_zone - kNoise) << service.str();
    // Without keys a request waits for room in its daemon.
    if (service == kKeyedService) {
      EXPECT_LE(after.refusals, 0.85 * before.refusals);
    }
  }
}

/// Load: 1.2 times the capacity; all servers are in one zone. Callers of other
/// zones must not be served worse than before.
TEST_P(AdmissionPlays, ZonesWithoutServersAreServedNoWorse) {
  for (const ServiceName& service : {kFreeService, kKeyedService}) {
    Load load = burst(GetParam(), service);
    load.name = "far " + service.str();
    load.options.servers_in_zone = 0;
    load.kinds[0].rate = constant(1.2 * capacity(GetParam()));
    Comparison both = compare(load);
    EXPECT_GE(both.after.at("lookup").worst_zone,
              both.before.at("lookup").worst_zone - kNoise);
    EXPECT_LE(both.after.at("lookup").zone_gap,
              both.before.at("lookup").zone_gap + kNoise);
    if (service == kKeyedService) {
      EXPECT_GE(both.after.at("lookup").in_time,
                both.before.at("lookup").in_time);
    }
  }
}

/// Load: one key that its owner can serve two thirds of, others at half of the
/// capacity. Callers of the key were told to return at once.
TEST_P(AdmissionPlays, HotKeyIsRefusedHalfAsOftenAndServedNoWorse) {
  Comparison both = compare(hot_key(GetParam()));
  const Figures& before = both.before.at("lookup");
  const Figures& after = both.after.at("lookup");
  EXPECT_GE(after.in_time, before.in_time - kNoise);
  EXPECT_GE(after.served, before.served - kNoise);
  EXPECT_LE(after.refusals, 0.6 * before.refusals);
  EXPECT_GE(after.worst_zone, before.worst_zone - kNoise);
}

/// Load: two kinds of different priority at 1.45 times the capacity. The urgent
/// one was served no better than the other.
TEST_P(AdmissionPlays, UrgentKindIsServedFirst) {
  Comparison both = compare(mix(GetParam()));
  const Figures& before = both.before.at("urgent");
  const Figures& after = both.after.at("urgent");
  EXPECT_GE(after.in_time, before.in_time + 0.3);
  EXPECT_GE(after.served, 0.97);
  EXPECT_LE(after.refusals, 0.3 * before.refusals);
  EXPECT_GE(after.worst_zone, before.worst_zone + 0.3);
  EXPECT_LE(after.rejections, 0.25 * before.rejections);
  // The other kind loses less than the urgent one gains.
  EXPECT_GE(both.after.at("lookup").in_time,
            both.before.at("lookup").in_time - kNoise);
  EXPECT_GE(both.after.at("lookup").served,
            both.before.at("lookup").served - 0.15);
}

/// Failure: half of the daemons do not hear of the requests of the others, so
/// that each sees half of the load. The bound still holds for what it sees.
TEST_P(AdmissionPlays, HalfOfTheDaemonsUnheardDoesNoMoreHarmThanBefore) {
  Load load = mix(GetParam());
  load.options.split = true;
  Comparison both = compare(load);
  const Figures& before = both.before.at("urgent");
  const Figures& after = both.after.at("urgent");
  EXPECT_GE(after.in_time, before.in_time);
  EXPECT_GE(after.served, before.served + 0.05);
  EXPECT_LE(after.refusals, 0.5 * before.refusals);
  EXPECT_LE(after.rejections, 0.5 * before.rejections);
}

/// No overload: the reducers decide as without admission.
TEST_P(AdmissionPlays, WithoutOverloadNothingChanges) {
  Load load = mix(GetParam());
  for (PlayKind& kind : load.kinds)
    kind.rate = constant(0.1 * capacity(GetParam()));
  Comparison both = compare(load);
  for (const char* kind : {"lookup", "urgent"}) {
    EXPECT_EQ(both.after.at(kind).in_time, both.before.at(kind).in_time);
    EXPECT_EQ(both.after.at(kind).served, both.before.at(kind).served);
    EXPECT_EQ(both.after.at(kind).refusals, 0);
  }
}

}  // namespace
}  // namespace eelgrasspin::fleet
