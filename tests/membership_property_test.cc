#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

#include "core/ownership/ownership.h"
#include "tests/membership_cluster.h"

namespace eelgrasspin::core::membership {
namespace {

enum class Fault {
  kNone,
  kPause,
  kStoreCut,
  kLostWriteAnswers,
  kMessageLoss,
  kIsolation,
  kRestart
};

struct Step {
  Fault fault = Fault::kNone;
  int node = 0;
  int duration_tenths = 0;  ///< Duration of the fault, in 100 ms.
};

void showValue(const Step& step, std::ostream& out) {  // NOLINT: RapidCheck's
  out << static_cast<int>(step.fault) << '@' << step.node << '*'
      << step.duration_tenths;
}

rc::Gen<Step> step_generator() {
  return rc::gen::build<Step>(
      rc::gen::set(
          &Step::fault,
          rc::gen::element(Fault::kNone, Fault::kPause, Fault::kStoreCut,
                           Fault::kLostWriteAnswers, Fault::kMessageLoss,
                           Fault::kIsolation, Fault::kRestart)),
      rc::gen::set(&Step::node, rc::gen::inRange(0, 4)),
      rc::gen::set(&Step::duration_tenths, rc::gen::inRange(1, 40)));
}

const std::vector<std::string> kNames{"a", "b", "c", "m"};

void run_step(Cluster& cluster, const Step& step, std::mt19937& random) {
  const std::string& name = kNames[static_cast<std::size_t>(step.node)];
  Node& node = cluster.at(name);
  switch (step.fault) {
    case Fault::kNone:
      break;
    case Fault::kPause:
      cluster.pause(name);
      break;
    case Fault::kStoreCut:
      node.store_reachable = false;
      break;
    case Fault::kLostWriteAnswers:
      node.lose_write_answers = true;
      break;
    case Fault::kMessageLoss:
      cluster.loses_message = [&random] { return random() % 10 < 7; };
      break;
    case Fault::kIsolation:
      cluster.isolate(name);
      break;
    case Fault::kRestart:
      cluster.kill(name);
      break;
  }
  cluster.run(milliseconds(100) * step.duration_tenths);
  cluster.loses_message = nullptr;
  node.lose_write_answers = false;
  cluster.reconnect(name);
  if (node.paused) cluster.resume(name);
  if (!node.running) cluster.start(name);
}

Declarations two_zones() {
  Declarations all;
  for (const char* zone : {"gongoni", "marereni"}) {
    all.zones[ZoneName(zone)] = {ZoneName(zone), RegionName("kilifi")};
    ServerName server(std::string("server-") + zone);
    all.servers[server] = {
        .name = server, .zone = ZoneName(zone), .checks_grants = false};
  }
  return all;
}

const std::vector<std::string> kZones{"gongoni", "marereni"};

/// Counts the daemons that act as coordinator of a zone or as front of a server
/// at the same time during a schedule of faults.
struct Observer {
  explicit Observer(Cluster& observed) : cluster(observed) {}

  void check() {
    for (const std::string& zone : kZones)
      max_coordinators =
          std::max(max_coordinators, cluster.coordinators_of(zone).size());
    for (const std::string& zone : kZones) check_fronts(zone);
  }

  /// A front whose grant could still be in force counts as active.
  void check_fronts(const std::string& zone) {
    ServerName server("server-" + zone);
    std::size_t active = 0;
    for (auto& [name, node] : cluster.nodes()) {
      auto key = std::pair(server, name);
      if (!node.running || has_stopped(node, server)) last_active.erase(key);
      if (node.running && is_active(node, server, zone))
        last_active[key] = cluster.now();
      auto last = last_active.find(key);
      bool in_force = last != last_active.end() &&
                      cluster.now() - last->second <= config::kGrantTerm;
      active += in_force ? 1 : 0;
    }
    max_fronts = std::max(max_fronts, active);
  }

  /// Whether the daemon reports, as to its coordinator, that its front role has
  /// ended for good. It sends nothing to the server after that.
  bool has_stopped(const Node& node, const ServerName& server) const {
    bool stopped = false;
    for (const FrontReport& report :
         core::ownership::front_reports(node.state, cluster.now_at(node))) {
      if (report.server != server) continue;
      if (!report.stopped) return false;
      stopped = true;
    }
    return stopped;
  }

  bool is_active(const Node& node, const ServerName& server,
                 const std::string& zone) const {
    const ZoneRoster* zone_roster = roster(node.state.cache, ZoneName(zone));
    if (zone_roster == nullptr || !zone_roster->fronts.contains(server))
      return false;
    const FrontAssignment& front = zone_roster->fronts.at(server);
    return front.daemon == node.state.self.name &&
           front.incarnation == node.state.self.incarnation &&
           !front.awaiting_predecessor &&
           may_renew_grants(node.state, cluster.now_at(node));
  }

  Cluster& cluster;
  std::map<std::pair<ServerName, DaemonName>, Duration> last_active;
  std::size_t max_coordinators = 0;
  std::size_t max_fronts = 0;
};

Observer run_schedule(Cluster& cluster, const std::vector<Step>& steps,
                      const Guards& guards) {
  std::mt19937 random(1);
  cluster.put(declarations_key(),
              DeclarationsRecord{.declarations = two_zones()});
  double rate = 0.98;
  for (const std::string& name : kNames) {
    Node& node = cluster.add(name, name == "m" ? kZones[1] : kZones[0]);
    node.clock_rate = rate;
    node.state.guards = guards;
    rate += 0.04 / 3;
  }
  Observer observer(cluster);
  cluster.after_step = [&observer] { observer.check(); };
  cluster.start_all();
  for (const Step& step : steps) run_step(cluster, step, random);
  cluster.after_step = nullptr;
  return observer;
}

TEST(MembershipPropertyTest, OneCoordinatorOfAZoneAndOneFrontOfAServer) {
  bool holds = rc::check("one coordinator, one front", [] {
    auto steps = *rc::gen::container<std::vector<Step>>(step_generator());
    Cluster cluster;
    Observer seen = run_schedule(cluster, steps, Guards{});
    RC_ASSERT(seen.max_coordinators <= 1U);
    RC_ASSERT(seen.max_fronts <= 1U);
  });
  EXPECT_TRUE(holds);
}

/// Runs random schedules until `matches` is true for one.
bool find_schedule(const Guards& guards, bool (*matches)(const Observer&)) {
  constexpr int kRuns = 100;
  constexpr int kSteps = 20;
  std::mt19937 random(7);
  for (int run = 0; run < kRuns; ++run) {
    std::vector<Step> steps;
    steps.reserve(kSteps);
    for (int i = 0; i < kSteps; ++i) {
      steps.push_back({static_cast<Fault>(random() % 7),
                       static_cast<int>(random() % kNames.size()),
                       static_cast<int>(1 + random() % 39)});
    }
    Cluster cluster;
    if (matches(run_schedule(cluster, steps, guards))) return true;
  }
  return false;
}

TEST(MembershipPropertyTest, WithoutTheLeaseWaitTwoCoordinatorsAreFound) {
  Guards guards;
  guards.lease_wait = false;
  EXPECT_TRUE(find_schedule(
      guards, [](const Observer& seen) { return seen.max_coordinators > 1; }));
}

TEST(MembershipPropertyTest, WithoutTheWaitForPredecessorsTwoFrontsAreFound) {
  Guards guards;
  guards.revocation_wait = false;
  EXPECT_TRUE(find_schedule(
      guards, [](const Observer& seen) { return seen.max_fronts > 1; }));
}

}  // namespace
}  // namespace eelgrasspin::core::membership
