#include <gtest/gtest.h>

#include "core/request/requests.h"
#include "tests/request_world.h"

namespace eelgrasspin {
namespace {

using fixtures::expect_no_violations;
using fixtures::kDaemons;
using fixtures::make_declarations;
using fixtures::make_head;
using fixtures::make_started_world;
using fixtures::outcome_of;
using scenario::RequestSerial;
using scenario::run_for;
using scenario::send_request;
using scenario::World;

std::uint32_t crashes(const World& world) {
  std::uint32_t sum = 0;
  for (const auto& [name, server] : world.servers) sum += server.crashes;
  return sum;
}

/// Sends a request that crashes its server once a second, through all daemons
/// in turn; crashed servers restart after two seconds. Returns the last
/// request.
RequestSerial resend_crashing_request(World& world, const RequestHead& head,
                                      int count) {
  RequestSerial last = 0;
  for (int i = 0; i < count; ++i) {
    last = send_request(world, kDaemons[i % kDaemons.size()], head, true);
    run_for(world, seconds(1));
    for (const auto& [name, server] : world.servers) {
      if (server.alive) continue;
      schedule(world, seconds(2), [name = name](World& w) {
        if (!w.servers.at(name).alive) restart_server(w, name);
      });
    }
  }
  return last;
}

TEST(Quarantine, ACrashRequestTakesDownAtMostTwoServers) {
  for (const char* method : {"GET", "PUT", "POST"}) {
    World world = make_started_world(make_declarations(3));
    RequestHead head = make_head(method, 1, "poison");
    RequestSerial last = resend_crashing_request(world, head, 60);
    EXPECT_LE(crashes(world), 2U) << method;
    EXPECT_NE(outcome_of(world, last), "answered") << method;
    std::printf("%s: %u servers down, last end %s\n", method, crashes(world),
                outcome_of(world, last).c_str());
    expect_no_violations(world);
  }
}

TEST(Quarantine, LastsUntilAnOperatorReleasesIt) {
  World world = make_started_world(make_declarations(3));
  RequestHead head = make_head("PUT", 1);
  RequestSerial last = resend_crashing_request(world, head, 20);
  EXPECT_EQ(outcome_of(world, last), "not run: quarantined");
  RequestSerial other =
      send_request(world, kDaemons[0], make_head("PUT", 1, "", 2));
  run_for(world, seconds(2));
  EXPECT_EQ(outcome_of(world, other), "answered");
  std::uint64_t fingerprint = 0;
  for (const DaemonName& daemon : kDaemons) {
    const auto& listed =
        world.daemons.at(daemon).state.request.quarantine.listed;
    ASSERT_EQ(listed.size(), 1U);
    fingerprint = listed.begin()->first;
  }
  for (const DaemonName& daemon : kDaemons)
    core::request::request_release(world.daemons.at(daemon).state, fingerprint);
  run_for(world, seconds(3));
  RequestSerial harmless = send_request(world, kDaemons[3], head);
  run_for(world, seconds(2));
  EXPECT_EQ(outcome_of(world, harmless), "answered");
}

TEST(Quarantine, OneServerLossDoesNotQuarantineItsBusiestRead) {
  World world = make_started_world(make_declarations(2));
  for (auto& [name, server] : world.servers)
    server.service_time = milliseconds(50);
  for (int i = 0; i < 6; ++i)
    send_request(world, kDaemons[0], make_head("GET", 1));
  run_for(world, milliseconds(20));
  for (auto& [name, server] : world.servers) {
    if (!server.running.empty()) crash_server(world, name);
  }
  run_for(world, seconds(15));
  RequestSerial read = send_request(world, kDaemons[0], make_head("GET", 1));
  run_for(world, seconds(2));
  EXPECT_EQ(outcome_of(world, read), "answered");
}

}  // namespace
}  // namespace eelgrasspin
