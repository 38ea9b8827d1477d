#ifndef EELGRASSPIN_TESTS_FIXTURES_H_
#define EELGRASSPIN_TESTS_FIXTURES_H_

#include <string>
#include <utility>
#include <vector>

#include "core/ownership/ownership.h"
#include "core/reducer.h"

/// A small deployment for tests of the request path: one service, two zones,
/// one server and one daemon in each.
namespace eelgrasspin::fixtures {

inline const ServiceName kService("dispatchbook");
inline const ZoneName kOwnZone("gongoni");
inline const ZoneName kOtherZone("marereni");
inline const ServerName kOwnServer("dispatchbook-01");
inline const ServerName kOtherServer("dispatchbook-02");
inline const DaemonName kOwnDaemon("gongoni-1");
inline const DaemonName kOtherDaemon("marereni-1");
inline const Endpoint kOwnEndpoint("127.0.0.1:7001");
inline const Endpoint kOtherEndpoint("127.0.0.1:7002");
inline constexpr std::uint32_t kSlots = 16;

inline Declarations declarations() {
  Declarations deployment;
  deployment.zones[kOwnZone] = {kOwnZone, RegionName("kilifi")};
  deployment.zones[kOtherZone] = {kOtherZone, RegionName("kilifi")};
  ServiceDeclaration service{.name = kService, .key_slots = kSlots};
  service.deadline = milliseconds(1000);
  service.execution_limit = milliseconds(200);
  service.queue_limit = 8;
  service.operations = {
      {"read", "GET", "/dispatches/{key}", ExecutionClass::kRead},
      {"note", "PUT", "/dispatches/{key}/note", ExecutionClass::kIdempotent},
      {"lodge", "POST", "/dispatches/{key}", ExecutionClass::kAtMostOnce}};
  deployment.services[kService] = service;
  deployment.servers[kOwnServer] = {.name = kOwnServer,
                                    .service = kService,
                                    .zone = kOwnZone,
                                    .address = Endpoint("127.0.0.1:8001")};
  deployment.servers[kOtherServer] = {.name = kOtherServer,
                                      .service = kService,
                                      .zone = kOtherZone,
                                      .address = Endpoint("127.0.0.1:8002")};
  return deployment;
}

/// The `nth` key whose slot belongs to the own zone, or else to the other one.
inline Key key_in(bool own_zone, int nth = 0) {
  for (int i = 0;; ++i) {
    Key key("lorry-" + std::to_string(i));
    bool low = core::ownership::slot_of(key, kSlots).value < kSlots / 2;
    if (low == own_zone && nth-- == 0) return key;
  }
}

inline RequestHead head(const std::string& method, const Key& key,
                        const std::string& idempotency_key = "") {
  RequestHead head;
  head.service = kService;
  head.method = method;
  head.path = "/dispatches/" + key.str();
  head.caller = CallerName("clerk");
  head.idempotency_key = idempotency_key;
  return head;
}

/// All effects of type E, in order.
template <class E>
std::vector<E> effects_of(const core::Effects& effects) {
  std::vector<E> found;
  for (const core::Effect& effect : effects) {
    if (const auto* match = std::get_if<E>(&effect)) found.push_back(*match);
  }
  return found;
}

/// The own zone's daemon on virtual time, with a cache filled by the test.
class Daemon {
 public:
  Daemon() {
    state.self = {.name = kOwnDaemon,
                  .zone = kOwnZone,
                  .region = RegionName("kilifi"),
                  .address = kOwnEndpoint,
                  .seeds = {},
                  .incarnation = Incarnation(1)};
    put(declarations_key(), DeclarationsRecord{.declarations = declarations()});
    put_zone_map();
    put_owner(kOwnZone, kOwnServer, 1);
    put_owner(kOtherZone, kOtherServer, 1);
    put_front(kOwnZone, kOwnServer, kOwnDaemon, kOwnEndpoint);
    put_front(kOtherZone, kOtherServer, kOtherDaemon, kOtherEndpoint);
  }

  core::Effects apply(const core::Event& event) {
    return core::reduce(state, event, now());
  }

  /// Advances time in ticks and returns the effects of all of them.
  core::Effects run(Duration span) {
    core::Effects all;
    for (Duration end = elapsed + span; elapsed < end;) {
      elapsed += config::kTickInterval;
      core::Effects effects = apply(core::Tick{});
      all.insert(all.end(), effects.begin(), effects.end());
    }
    return all;
  }

  core::Effects arrive(std::uint64_t id, RequestHead request_head,
                       RequestOrigin origin = FromCaller{}) {
    return apply(core::RequestArrived{RequestId(id), std::move(request_head),
                                      std::move(origin)});
  }

  core::Effects end(RequestId id, AttemptId attempt, AttemptResult result) {
    return apply(core::AttemptEnded{id, attempt, result});
  }

  void put(const StoreKey& key, Record record) {
    core::apply(state.cache, {key, Version(++version), std::move(record)});
  }

  void put_zone_map() {
    ZoneMap map{.service = kService, .zones = {kOwnZone, kOtherZone}};
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      map.slots.push_back(i < kSlots / 2 ? 0 : 1);
      map.epochs.push_back(1);
    }
    put(zone_map_key(kService), map);
  }

  /// Makes `server` the owner of the zone's half of the slots.
  void put_owner(const ZoneName& zone, const ServerName& server,
                 std::uint64_t epoch, SlotPhase phase = SlotPhase::kOwned) {
    OwnershipMap map{.service = kService, .zone = zone};
    std::uint32_t first = zone == kOwnZone ? 0 : kSlots / 2;
    for (std::uint32_t i = first; i < first + kSlots / 2; ++i)
      map.slots[SlotId(i)] = {server, Epoch(epoch), phase, {}, {}};
    put(ownership_map_key(kService, zone), map);
  }

  void put_front(const ZoneName& zone, const ServerName& server,
                 const DaemonName& daemon, const Endpoint& port) {
    ZoneRoster roster{.zone = zone};
    roster.fronts[server] = {daemon, port, Incarnation(1), FrontEpoch(1),
                             false};
    put(roster_key(zone), roster);
  }

  Now now() const { return {TimePoint(elapsed), WallTime(elapsed)}; }

  core::State state;
  Duration elapsed = seconds(1);
  std::uint64_t version = 0;
};

}  // namespace eelgrasspin::fixtures

#endif  // EELGRASSPIN_TESTS_FIXTURES_H_
