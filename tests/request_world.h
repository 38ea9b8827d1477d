#ifndef EELGRASSPIN_TESTS_REQUEST_WORLD_H_
#define EELGRASSPIN_TESTS_REQUEST_WORLD_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scenario/checks.h"
#include "scenario/world.h"

/// A deployment on virtual time for tests of the request path: two zones of one
/// region with two daemons each, and one service.
namespace eelgrasspin::fixtures {

inline const ServiceName kService("dispatchbook");
inline const std::vector<DaemonName> kDaemons{
    DaemonName("gongoni-1"), DaemonName("gongoni-2"), DaemonName("marereni-1"),
    DaemonName("marereni-2")};

inline Declarations make_declarations(int servers_per_zone) {
  Declarations all;
  all.deployment = "test";
  ServiceDeclaration service{.name = kService, .key_slots = 16};
  service.deadline = milliseconds(1000);
  service.execution_limit = milliseconds(300);
  service.operations = {
      {"read", "GET", "/dispatches/{key}", ExecutionClass::kRead},
      {"note", "PUT", "/dispatches/{key}", ExecutionClass::kIdempotent},
      {"lodge", "POST", "/dispatches/{key}", ExecutionClass::kAtMostOnce}};
  all.services[kService] = service;
  for (const char* zone : {"gongoni", "marereni"}) {
    all.zones[ZoneName(zone)] = {ZoneName(zone), RegionName("kilifi")};
    for (int i = 1; i <= servers_per_zone; ++i) {
      ServerName name(std::string(zone) + "-book-" + std::to_string(i));
      all.servers[name] = {.name = name,
                           .service = kService,
                           .zone = ZoneName(zone),
                           .address = Endpoint(name.str())};
    }
  }
  return all;
}

/// The started deployment, in which every slot has an owner.
inline scenario::World make_started_world(const Declarations& declarations,
                                          std::uint64_t seed = 1,
                                          core::Guards guards = {}) {
  scenario::World world = scenario::make_world(declarations, seed);
  scenario::put_declarations(world, declarations);
  for (const DaemonName& daemon : kDaemons) {
    ZoneName zone(daemon.str().substr(0, daemon.str().find('-')));
    scenario::add_daemon(world, daemon, zone, guards);
    scenario::start_daemon(world, daemon);
  }
  scenario::run_for(world, seconds(20));
  return world;
}

inline RequestHead make_head(const std::string& method, int key,
                             const std::string& idempotency_key = "",
                             std::uint64_t body_hash = 1) {
  RequestHead head;
  head.service = kService;
  head.method = method;
  head.path = "/dispatches/lorry-" + std::to_string(key);
  head.caller = CallerName("clerk");
  head.idempotency_key = idempotency_key;
  head.body_hash = body_hash;
  return head;
}

/// Outcome and reason of a request, such as "answered" or "not run:
/// quarantined"; "open" if it has not ended.
inline std::string outcome_of(const scenario::World& world,
                              scenario::RequestSerial serial) {
  const scenario::CallerRequest& request = world.requests.at(serial);
  if (!request.outcome) return "open";
  std::string text(to_string(*request.outcome));
  if (request.reason == Reason::kNone) return text;
  return text + ": " + std::string(to_string(request.reason));
}

/// Number of executions under an idempotency key.
inline std::uint64_t executions_of(const scenario::World& world,
                                   const std::string& idempotency_key) {
  std::uint64_t count = 0;
  for (const scenario::Execution& execution : world.executions) {
    const scenario::CallerRequest& request =
        world.requests.at(execution.serial);
    count += request.head.idempotency_key == idempotency_key ? 1 : 0;
  }
  return count;
}

/// Checks the guarantees for the whole run.
inline void expect_no_violations(scenario::World& world) {
  EXPECT_EQ(scenario::check_run(world), std::vector<std::string>());
}

}  // namespace eelgrasspin::fixtures

#endif  // EELGRASSPIN_TESTS_REQUEST_WORLD_H_
