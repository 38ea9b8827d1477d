#include <benchmark/benchmark.h>

#include <string>

#include "scenario/matrix.h"

namespace eelgrasspin::scenario {
namespace {

Declarations make_declarations(int zones, int servers_per_zone,
                               std::uint32_t slots) {
  Declarations declarations;
  ServiceName service("panboard");
  declarations.services[service] = {.name = service, .key_slots = slots};
  declarations.services[service].operations = {
      {"reading", "PUT", "/pans/{key}", ExecutionClass::kIdempotent}};
  for (int zone = 0; zone < zones; ++zone) {
    ZoneName name("zone-" + std::to_string(zone));
    declarations.zones[name] = {name, RegionName("kilifi")};
    for (int i = 0; i < servers_per_zone; ++i) {
      ServerName server(name.str() + "-s" + std::to_string(i));
      declarations.servers[server] = {
          .name = server, .service = service, .zone = name};
      declarations.servers[server].address = Endpoint(server.str());
    }
  }
  return declarations;
}

/// Cost of a tick of the daemon that coordinates its zone.
void BM_CoordinatorTick(benchmark::State& state) {
  World world = start_deployment(
      make_declarations(static_cast<int>(state.range(0)),
                        static_cast<int>(state.range(1)),
                        static_cast<std::uint32_t>(state.range(2))),
      1);
  Daemon& daemon = world.daemons.at(DaemonName("zone-0-1"));
  Now now = now_of(world, daemon);
  for (auto _ : state) {
    now.mono += microseconds(1);
    benchmark::DoNotOptimize(core::reduce(daemon.state, core::Tick{}, now));
  }
}

/// Cost of a caller's request that is forwarded or queued, then cancelled.
void BM_Request(benchmark::State& state) {
  World world = start_deployment(
      make_declarations(static_cast<int>(state.range(0)),
                        static_cast<int>(state.range(1)),
                        static_cast<std::uint32_t>(state.range(2))),
      1);
  Daemon& daemon = world.daemons.at(DaemonName("zone-0-1"));
  Now now = now_of(world, daemon);
  RequestHead head;
  head.service = ServiceName("panboard");
  head.method = "PUT";
  head.caller = CallerName("foreman");
  std::uint64_t id = 1'000'000;
  for (auto _ : state) {
    RequestId request(++id);
    head.path = "/pans/pan-" + std::to_string(id % 512);
    benchmark::DoNotOptimize(core::reduce(
        daemon.state, core::RequestArrived{request, head, FromCaller{}}, now));
    benchmark::DoNotOptimize(
        core::reduce(daemon.state, core::RequestCancelled{request}, now));
  }
}

/// Arguments: zones, servers per zone, key slots.
void sizes(benchmark::internal::Benchmark* bench) {
  bench->Args({2, 4, 256})->Args({2, 16, 256})->Args({2, 64, 256});
  bench->Args({2, 4, 1024})->Args({2, 4, 4096})->Args({2, 4, 16384});
  bench->Args({4, 4, 256})->Args({8, 4, 256});
  bench->Iterations(2000)->Unit(benchmark::kMicrosecond);
}

BENCHMARK(BM_CoordinatorTick)->Apply(sizes);
BENCHMARK(BM_Request)->Apply(sizes);

}  // namespace
}  // namespace eelgrasspin::scenario
