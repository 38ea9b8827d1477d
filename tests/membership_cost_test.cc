#include <gtest/gtest.h>

#include <functional>
#include <iostream>

#include "codec/message_json.h"
#include "tests/membership_cluster.h"

namespace eelgrasspin::core::membership {
namespace {

constexpr int kIdleSeconds = 20;

Declarations make_declarations(int zones, int servers_per_zone) {
  Declarations all;
  for (int z = 0; z < zones; ++z) {
    ZoneName zone("zone-" + std::to_string(z));
    all.zones[zone] = {zone, RegionName("region-" + std::to_string(z / 2))};
    for (int s = 0; s < servers_per_zone; ++s) {
      ServerName server(zone.str() + "-server-" + std::to_string(s));
      all.servers[server] = {.name = server, .zone = zone};
    }
  }
  return all;
}

/// Rates of an idle deployment, per second.
struct Cost {
  double writes = 0;
  double reads = 0;
  /// Of the busiest daemon that is not a coordinator.
  double member_messages = 0;
  double member_bytes = 0;
  double coordinator_messages = 0;
  double coordinator_bytes = 0;
};

Cost idle_cost(int zones, int daemons_per_zone) {
  Cluster cluster;
  Declarations declared = make_declarations(zones, 7);
  cluster.put(declarations_key(), DeclarationsRecord{.declarations = declared});
  for (int z = 0; z < zones; ++z) {
    std::string zone = "zone-" + std::to_string(z);
    for (int d = 0; d < daemons_per_zone; ++d)
      cluster.add(zone + "-" + std::to_string(d), zone,
                  "region-" + std::to_string(z / 2));
  }
  cluster.start_all();
  cluster.run(seconds(8));
  std::map<DaemonName, std::pair<double, double>> sent;
  cluster.on_send = [&](const DaemonName& from, const PeerMessage& message) {
    auto& [messages, bytes] = sent[from];
    messages += 1;
    bytes += static_cast<double>(codec::encode_message(message).size());
  };
  cluster.reads = 0;
  cluster.writes = 0;
  cluster.run(seconds(kIdleSeconds));
  Cost cost{.writes = static_cast<double>(cluster.writes) / kIdleSeconds,
            .reads = static_cast<double>(cluster.reads) / kIdleSeconds};
  for (auto& [name, node] : cluster.nodes()) {
    bool coordinator =
        !coordinated_zones(node.state, cluster.now_at(node)).empty();
    double messages = sent[name].first / kIdleSeconds;
    double bytes = sent[name].second / kIdleSeconds;
    double& max_messages =
        coordinator ? cost.coordinator_messages : cost.member_messages;
    double& max_bytes =
        coordinator ? cost.coordinator_bytes : cost.member_bytes;
    max_messages = std::max(max_messages, messages);
    max_bytes = std::max(max_bytes, bytes);
  }
  std::cout << zones << " zones x " << daemons_per_zone << " daemons: store "
            << cost.writes << " writes/s, " << cost.reads << " reads/s; member "
            << cost.member_messages << " messages/s, " << cost.member_bytes
            << " B/s; coordinator " << cost.coordinator_messages
            << " messages/s, " << cost.coordinator_bytes << " B/s\n";
  return cost;
}

TEST(MembershipCostTest, TwelveDaemonsInSixZonesStayWithinTheStoreBudget) {
  Cost cost = idle_cost(6, 2);
  EXPECT_LT(cost.writes, 20);
  EXPECT_LT(cost.reads, 50);
}

TEST(MembershipCostTest, AMembersCostDoesNotGrowWithTheFleet) {
  Cost small = idle_cost(2, 8);
  Cost more_zones = idle_cost(6, 8);
  Cost large_zones = idle_cost(2, 32);
  for (const Cost& cost : {more_zones, large_zones}) {
    EXPECT_LE(cost.member_messages, small.member_messages * 1.05);
    EXPECT_LE(cost.member_bytes, small.member_bytes * 1.10);
    EXPECT_LT(cost.member_bytes, 6000);
  }
  EXPECT_LE(more_zones.coordinator_messages, small.coordinator_messages * 1.05);
}

TEST(MembershipCostTest, StoreCallsGrowWithZonesNotDaemons) {
  Cost few = idle_cost(4, 2);
  Cost many = idle_cost(4, 16);
  EXPECT_LE(many.writes, few.writes * 1.05);
  EXPECT_LE(many.reads, few.reads * 1.05);
}

/// "a" coordinates zone-0 and "b" is in the same region; then a fault is
/// injected into "a". Returns the longest time until "b" is the front of every
/// server of zone-0, over several phases of the fault.
Duration longest_takeover(const std::string& label,
                          const std::string& zone_of_b,
                          const std::function<void(Cluster&)>& fault) {
  Duration longest{0};
  for (int phase = 0; phase < 10; ++phase) {
    Cluster cluster;
    cluster.put(declarations_key(),
                DeclarationsRecord{.declarations = make_declarations(2, 7)});
    cluster.add("a", "zone-0", "region-0");
    cluster.add("b", zone_of_b, "region-0");
    cluster.start("a");
    cluster.run(seconds(1));
    cluster.start("b");
    cluster.run(seconds(5) + milliseconds(60) * phase);
    Duration start = cluster.now();
    fault(cluster);
    auto all_at_b = [&] {
      for (const auto& [server, front] : cluster.stored_roster("zone-0").fronts)
        if (front.daemon != DaemonName("b")) return false;
      return true;
    };
    while (!all_at_b() && cluster.now() - start < seconds(20))
      cluster.run(milliseconds(10));
    longest = std::max(longest, cluster.now() - start);
  }
  std::cout << label << ": " << to_ms(longest) << " ms\n";
  return longest;
}

TEST(MembershipCostTest, FrontsAreTakenOverInTime) {
  EXPECT_LT(longest_takeover("coordinator and front killed", "zone-0",
                             [](Cluster& c) { c.kill("a"); }),
            seconds(4));
  EXPECT_LT(longest_takeover("coordinator and front paused", "zone-0",
                             [](Cluster& c) { c.pause("a"); }),
            seconds(4));
  EXPECT_LT(longest_takeover("coordinator stopped in good order", "zone-0",
                             [](Cluster& c) { c.stop("a"); }),
            seconds(1));
  EXPECT_LT(longest_takeover("only daemon of the zone killed", "zone-1",
                             [](Cluster& c) { c.kill("a"); }),
            seconds(8));
}

}  // namespace
}  // namespace eelgrasspin::core::membership
