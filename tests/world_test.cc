#include "scenario/world.h"

#include <gtest/gtest.h>

#include "scenario/checks.h"
#include "scenario/world_p.h"

namespace eelgrasspin::scenario {
namespace {

Declarations declare_two_zones() {
  Declarations declarations;
  declarations.deployment = "test";
  const ServiceName service("panboard");
  for (const char* zone : {"gongoni", "marereni"})
    declarations.zones[ZoneName(zone)] = {ZoneName(zone), RegionName("kilifi")};
  declarations.services[service] = {.name = service, .key_slots = 16};
  declarations.services[service].operations = {
      {"reading", "PUT", "/pans/{key}", ExecutionClass::kIdempotent}};
  int number = 0;
  for (const char* zone : {"gongoni", "gongoni", "marereni"}) {
    ServerName name("panboard-" + std::to_string(++number));
    declarations.servers[name] = {.name = name,
                                  .service = service,
                                  .zone = ZoneName(zone),
                                  .address = Endpoint(name.str())};
  }
  return declarations;
}

TEST(WorldTest, ServerObeysTheGrantProtocol) {
  World world = make_world(declare_two_zones(), 1);
  const DaemonName front("gongoni-1");
  add_daemon(world, front, ZoneName("gongoni"));
  const ServerName server("panboard-1");
  core::SendGrant order{
      server,
      Endpoint("panboard-1"),
      {.front = front, .front_epoch = FrontEpoch(2), .sequence = 1}};
  order.order.term = seconds(2);
  order.order.set_version = 1;
  order.order.carries_set = true;
  order.order.slots = {{SlotId(3), Key(), Epoch(1)}};
  execute_effect(world, front, order);
  run_for(world, milliseconds(10));
  EXPECT_EQ(world.servers.at(server).highest_epoch, FrontEpoch(2));
  EXPECT_LT(world.servers.at(server).grant_expiry, world.now)
      << "an order without an echo grants nothing";
  order.order.sequence = 2;
  order.order.echo = 1;
  execute_effect(world, front, order);
  run_for(world, milliseconds(10));
  EXPECT_GT(world.servers.at(server).grant_expiry, world.now);
  freeze_server(world, server);
  order.order.sequence = 3;
  order.order.echo = 2;
  execute_effect(world, front, order);
  run_for(world, seconds(10));
  thaw_server(world, server);
  EXPECT_LT(world.servers.at(server).grant_expiry, world.now)
      << "a renewal that arrived late extends nothing";
}

}  // namespace
}  // namespace eelgrasspin::scenario
