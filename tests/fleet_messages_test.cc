#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "codec/fleet_json.h"
#include "tests/store_positions.h"

namespace eelgrasspin::codec {
namespace {

fleet::StoreUpdate update_of_servers() {
  fleet::StoreUpdate update;
  update.base = fleet::at(7);
  update.as_of = fleet::at(12);
  fleet::Server server{ServerName("s1"),
                       Endpoint("10.1.0.1:9"),
                       ServiceName("board"),
                       ZoneName("z"),
                       2,
                       Incarnation(1'768'982'855'592),
                       true,
                       milliseconds(1500)};
  update.servers = {server, ServerName("s2"), server};
  return update;
}

fleet::StoreUpdate update_of_configuration() {
  auto configuration = std::make_shared<fleet::Configuration>();
  configuration->version = 9;
  configuration->services[ServiceName("board")] = {
      ServiceName("board"), true, {3.4}, seconds(3)};
  fleet::Route route;
  route.name = "readings";
  route.host = "h";
  route.prefix = "/k/";
  route.repeatable = true;
  route.priority = 2;
  route.objective = milliseconds(500);
  route.timeout = milliseconds(1000);
  route.attempts = 2;
  route.destinations = {{ServiceName("board"), 3}, {ServiceName("book"), 1}};
  route.allowed_regions = {RegionName("r"), RegionName("s")};
  configuration->routes = {route};
  configuration->limits = {16'384, 1'000'000, seconds(3), seconds(15)};
  fleet::StoreUpdate update;
  update.view = fleet::StoreView::kConfiguration;
  update.as_of = fleet::at(12);
  update.configuration = configuration;
  update.configuration_revision = Version(11);
  return update;
}

fleet::StoreUpdate read_back(const fleet::StoreUpdate& update) {
  auto decoded = decode_datagram(encode_store_update(update));
  EXPECT_TRUE(ok(decoded));
  return std::get<fleet::StoreUpdate>(value(decoded));
}

TEST(FleetMessages, ServersKeepTheOrderOfTheirChanges) {
  fleet::StoreUpdate read = read_back(update_of_servers());
  EXPECT_EQ(read.view, fleet::StoreView::kServers);
  EXPECT_EQ(read.base, fleet::at(7));
  EXPECT_EQ(read.as_of, fleet::at(12));
  ASSERT_EQ(read.servers.size(), 3u);
  const auto& server = std::get<fleet::Server>(read.servers[0]);
  EXPECT_EQ(server.name, ServerName("s1"));
  EXPECT_EQ(server.address, Endpoint("10.1.0.1:9"));
  EXPECT_EQ(server.incarnation, Incarnation(1'768'982'855'592));
  EXPECT_TRUE(server.draining);
  EXPECT_EQ(server.warm_up_left, milliseconds(1500));
  EXPECT_EQ(std::get<ServerName>(read.servers[1]), ServerName("s2"));
}

TEST(FleetMessages, ConfigurationsAreReadBackComplete) {
  fleet::StoreUpdate read = read_back(update_of_configuration());
  ASSERT_TRUE(read.configuration);
  EXPECT_EQ(read.configuration_revision, Version(11));
  EXPECT_EQ(read.configuration->version, 9u);
  ASSERT_EQ(read.configuration->routes.size(), 1u);
  const fleet::Route& route = read.configuration->routes[0];
  EXPECT_EQ(route.prefix, "/k/");
  EXPECT_TRUE(route.repeatable);
  EXPECT_EQ(route.objective, milliseconds(500));
  EXPECT_EQ(route.timeout, seconds(1));
  EXPECT_EQ(route.attempts, 2u);
  ASSERT_EQ(route.destinations.size(), 2u);
  EXPECT_EQ(route.destinations[0].weight, 3u);
  EXPECT_EQ(route.allowed_regions,
            (std::vector<RegionName>{RegionName("r"), RegionName("s")}));
  const fleet::Service& board =
      read.configuration->services.at(ServiceName("board"));
  EXPECT_EQ(board.cold_rate.per_second, 3.4);
  EXPECT_EQ(board.cold_time, seconds(3));
  EXPECT_TRUE(read.configuration->services.at(ServiceName("board")).keyed);
  EXPECT_EQ(read.configuration->limits.idle_timeout, seconds(15));
}

// Guards against a daemon that reads the store through its relay and does not
// know which requests have large bodies.
TEST(FleetMessages, RoutesOfUploadsAreReadBack) {
  fleet::StoreUpdate update = update_of_configuration();
  auto configuration =
      std::make_shared<fleet::Configuration>(*update.configuration);
  configuration->routes.push_back(configuration->routes[0]);
  configuration->routes[1].upload = true;
  update.configuration = configuration;
  fleet::StoreUpdate read = read_back(update);
  EXPECT_FALSE(read.configuration->routes[0].upload);
  EXPECT_TRUE(read.configuration->routes[1].upload);
}

TEST(FleetMessages, BatchesKeepAgesAndViews) {
  fleet::HeartbeatBatch batch;
  batch.forward_within_zone = true;
  fleet::Heartbeat heartbeat;
  heartbeat.daemon = {DaemonName("d1"), Incarnation(5),         ZoneName("z"),
                      RegionName("r"),  Endpoint("10.0.0.1:7"), 500};
  heartbeat.age = milliseconds(120);
  heartbeat.view =
      fleet::Heartbeat::View{fleet::at(3), fleet::at(4), milliseconds(250)};
  batch.heartbeats = {heartbeat, heartbeat};
  auto decoded = decode_datagram(encode_heartbeat_batch(batch));
  ASSERT_TRUE(ok(decoded));
  const auto& read = std::get<fleet::HeartbeatBatch>(value(decoded));
  EXPECT_TRUE(read.forward_within_zone);
  ASSERT_EQ(read.heartbeats.size(), 2u);
  EXPECT_EQ(read.heartbeats[1].daemon, heartbeat.daemon);
  EXPECT_EQ(read.heartbeats[1].age, milliseconds(120));
  ASSERT_TRUE(read.heartbeats[1].view.has_value());
  EXPECT_EQ(read.heartbeats[1].view->servers, fleet::at(4));
}

/// Mutated messages neither crash the decoder nor yield values that could not
/// come from the store.
RC_GTEST_PROP(FleetMessagesFuzz, MutatedUpdatesAreReadOrRefused, ()) {
  bool servers = *rc::gen::arbitrary<bool>();
  std::string text = encode_store_update(servers ? update_of_servers()
                                                 : update_of_configuration());
  auto places = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, 100'000));
  for (std::size_t place : places) {
    text[place % text.size()] = static_cast<char>(place % 127);
  }
  auto decoded = decode_datagram(text);
  if (!ok(decoded)) return;
  const auto* update = std::get_if<fleet::StoreUpdate>(&value(decoded));
  if (update == nullptr) return;
  for (const auto& change : update->servers) {
    const auto* server = std::get_if<fleet::Server>(&change);
    if (server != nullptr) RC_ASSERT(server->slots > 0u);
  }
  if (!update->configuration) return;
  for (const fleet::Route& route : update->configuration->routes) {
    RC_ASSERT(!route.destinations.empty());
    RC_ASSERT(route.attempts > 0u);
    RC_ASSERT(route.timeout.count() > 0);
  }
}

TEST(FleetMessages, EvacuationsAndReportedServersAreKept) {
  fleet::Heartbeat heartbeat;
  heartbeat.daemon.name = DaemonName("d");
  heartbeat.view = fleet::Heartbeat::View{
      fleet::at(3), fleet::at(4), seconds(1), fleet::at(5), {ZoneName("z")}};
  heartbeat.unreachable_servers = {{ServerName("s"), Incarnation(7)}};
  heartbeat.displaced_servers = {{ServerName("t"), Incarnation(8)}};
  auto read = decode_datagram(encode_heartbeat(heartbeat));
  ASSERT_TRUE(ok(read));
  const auto& got = std::get<fleet::Heartbeat>(value(read));
  ASSERT_TRUE(got.view);
  EXPECT_EQ(got.view->evacuations, fleet::at(5));
  EXPECT_EQ(got.view->evacuated_zones, heartbeat.view->evacuated_zones);
  EXPECT_EQ(got.unreachable_servers, heartbeat.unreachable_servers);
  EXPECT_EQ(got.displaced_servers, heartbeat.displaced_servers);
}

TEST(FleetMessages, StrikesKeepTheirAge) {
  fleet::Heartbeat heartbeat;
  heartbeat.daemon.name = DaemonName("d");
  heartbeat.strikes = {{fleet::Fingerprint(7),
                        {ServerName("s"), Incarnation(3)},
                        milliseconds(4500)}};
  std::string text = encode_heartbeat(heartbeat);
  auto decoded = decode_datagram(text);
  ASSERT_TRUE(ok(decoded));
  fleet::Strike strike = std::get<fleet::Heartbeat>(value(decoded)).strikes[0];
  EXPECT_EQ(strike.request, fleet::Fingerprint(7));
  EXPECT_EQ(strike.server.incarnation, Incarnation(3));
  EXPECT_EQ(strike.age, milliseconds(4500));
  auto age = text.find(",4500]");
  ASSERT_NE(age, std::string::npos);
  auto earlier_version = decode_datagram(text.erase(age, 5));
  ASSERT_TRUE(ok(earlier_version));
  EXPECT_EQ(
      std::get<fleet::Heartbeat>(value(earlier_version)).strikes[0].server,
      strike.server);
}

TEST(FleetMessages, RecordOfStrikesTellsAgesByTheWallClock) {
  WallTime written(seconds(1'768'982'855));
  std::vector<fleet::Strike> strikes = {
      {fleet::Fingerprint(7), {ServerName("s"), Incarnation(3)}, seconds(4)}};
  std::string text = encode_strikes(strikes, written);
  auto later = decode_strikes(text, written + seconds(30));
  ASSERT_TRUE(ok(later));
  EXPECT_EQ(value(later)[0].age, seconds(34));
  auto clock_set_back = decode_strikes(text, written - seconds(30));
  ASSERT_TRUE(ok(clock_set_back));
  EXPECT_EQ(value(clock_set_back)[0].age, seconds(0));
  EXPECT_FALSE(ok(decode_strikes(R"({"strikes":[[7]]})", written)));
}

TEST(FleetMessages, LimitsAndTheirWithdrawalAreKept) {
  fleet::LimitReport stated;
  stated.server = {ServerName("s"), Incarnation(3)};
  stated.limit = fleet::RequestRate{2.5};
  stated.age = milliseconds(300);
  stated.demand = {7};
  stated.sent = 6;
  fleet::LimitReport withdrawn = stated;
  withdrawn.limit.reset();
  fleet::HeartbeatBatch batch;
  batch.zone = ZoneName("z");
  batch.limits = {stated, withdrawn};
  auto decoded = decode_datagram(encode_heartbeat_batch(batch));
  ASSERT_TRUE(ok(decoded));
  auto read = std::get<fleet::HeartbeatBatch>(value(decoded)).limits;
  ASSERT_EQ(read.size(), 2u);
  EXPECT_EQ(read[0].server, stated.server);
  EXPECT_EQ(read[0].limit, stated.limit);
  EXPECT_EQ(read[0].age, stated.age);
  EXPECT_EQ(read[0].demand, stated.demand);
  EXPECT_EQ(read[0].sent, stated.sent);
  EXPECT_FALSE(read[1].limit);
}

/// Guards against a limit of a server's last start that is taken for one of the
/// present start, and against answers that lose their number of requests.
TEST(FleetMessages, WhatWasLearnedOfServersIsKept) {
  fleet::Heartbeat heartbeat;
  heartbeat.daemon.name = DaemonName("d1");
  heartbeat.has_full_record = false;
  fleet::Heartbeat::MeasuredServiceTime plain{ServerName("s1"), 2.5,
                                              milliseconds(160)};
  fleet::Heartbeat::MeasuredServiceTime limited{
      ServerName("s2"), 0, milliseconds(160), Incarnation(7), 3};
  fleet::Heartbeat::MeasuredServiceTime measured{
      ServerName("s3"), 1, milliseconds(160), Incarnation(8)};
  measured.latencies.levels[0] = {2, std::log(120.0)};
  measured.latencies.levels[2] = {1.5, std::log(480.0)};
  measured.work_times.levels[1] = {1, std::log(50.0)};
  heartbeat.key_load_reports = {
      {ServiceName("b"), {}, {plain, limited, measured}}};
  std::string text = encode_heartbeat(heartbeat);
  // Earlier versions read this form.
  EXPECT_NE(text.find(R"(["s1",250,160])"), std::string::npos) << text;
  auto decoded = decode_datagram(text);
  ASSERT_TRUE(ok(decoded));
  const auto& read = std::get<fleet::Heartbeat>(value(decoded))
                         .key_load_reports.at(0)
                         .service_times;
  ASSERT_EQ(read.size(), 3u);
  EXPECT_EQ(read[0].concurrency, 0u);
  EXPECT_EQ(read[0].latencies, fleet::LoadCurve());
  EXPECT_EQ(read[1].incarnation, Incarnation(7));
  EXPECT_EQ(read[1].concurrency, 3u);
  EXPECT_EQ(read[2].incarnation, Incarnation(8));
  EXPECT_NEAR(read[2].latencies.levels[2].answer_count, 1.5, 0.01);
  EXPECT_NEAR(read[2].latencies.levels[2].mean_log, std::log(480.0), 0.001);
  EXPECT_EQ(read[2].latencies.levels[1].answer_count, 0);
  EXPECT_NEAR(read[2].work_times.levels[1].mean_log, std::log(50.0), 0.001);
}

fleet::OwnerMap map_of_one_range() {
  fleet::OwnerMap map;
  map.service = ServiceName("board");
  map.ranges = {{fleet::ShardKey(0),
                 fleet::ShardKey(fleet::kMaxShardKey),
                 {ServerName("s"), Incarnation(1)},
                 Epoch(1),
                 {}}};
  return map;
}

TEST(FleetMessages, ErasOfPositionsAreKept) {
  fleet::Heartbeat heartbeat;
  heartbeat.daemon.name = DaemonName("d");
  heartbeat.store_era = StoreEra(3);
  heartbeat.view =
      fleet::Heartbeat::View{fleet::at(3, 3), fleet::at(4, 3), seconds(1)};
  heartbeat.terms = {
      {ServiceName("a"), TermEpoch(5), seconds(1), fleet::at(9, 2),
       TermEpoch(0)},
      {ServiceName("b"), TermEpoch(6), seconds(0), fleet::at(10, 3), {}}};
  auto read = decode_datagram(encode_heartbeat(heartbeat));
  ASSERT_TRUE(ok(read));
  const auto& got = std::get<fleet::Heartbeat>(value(read));
  EXPECT_EQ(got.store_era, StoreEra(3));
  EXPECT_EQ(got.view->servers, fleet::at(4, 3));
  EXPECT_EQ(got.terms[0].position, fleet::at(9, 2));
  EXPECT_EQ(got.terms[0].coordinated, TermEpoch(0));
  EXPECT_EQ(got.terms[1].position, fleet::at(10, 3));
  EXPECT_FALSE(got.terms[1].coordinated);

  fleet::StoreUpdate update = update_of_servers();
  update.states_era = true;
  update.base = fleet::at(7, 2);
  update.as_of = fleet::at(12, 3);
  read = decode_datagram(encode_store_update(update));
  ASSERT_TRUE(ok(read));
  EXPECT_TRUE(std::get<fleet::StoreUpdate>(value(read)).states_era);
  EXPECT_EQ(std::get<fleet::StoreUpdate>(value(read)).base, update.base);
  EXPECT_EQ(std::get<fleet::StoreUpdate>(value(read)).as_of, update.as_of);

  fleet::OwnerMap map = map_of_one_range();
  map.grants_lost = true;
  auto change =
      fleet::change_between(map, fleet::at(20, 2), map, fleet::at(8, 3));
  change.states_era = true;
  read = decode_datagram(encode_map_change(change));
  ASSERT_TRUE(ok(read));
  const auto& got_change = std::get<fleet::MapChange>(value(read));
  EXPECT_EQ(got_change.base, change.base);
  EXPECT_EQ(got_change.position, change.position);
  EXPECT_TRUE(got_change.grants_lost);
}

// Guards against messages of a daemon that knows no eras being refused, or
// taken for those of the first one.
TEST(FleetMessages, ErasMayBeUnstated) {
  fleet::Heartbeat heartbeat;
  heartbeat.daemon.name = DaemonName("d");
  heartbeat.terms = {
      {ServiceName("a"), TermEpoch(5), seconds(1), fleet::at(9), {}}};
  std::string text = encode_heartbeat(heartbeat);
  EXPECT_EQ(text.find("era"), std::string::npos);
  auto read = decode_datagram(text);
  ASSERT_TRUE(ok(read));
  EXPECT_FALSE(std::get<fleet::Heartbeat>(value(read)).store_era);

  read = decode_datagram(encode_store_update(update_of_servers()));
  ASSERT_TRUE(ok(read));
  EXPECT_FALSE(std::get<fleet::StoreUpdate>(value(read)).states_era);

  std::string record = encode_owner_map(map_of_one_range());
  const std::string era = ",\"era\":0";
  ASSERT_NE(record.find(era), std::string::npos);
  record.erase(record.find(era), era.size());
  auto map = decode_owner_map(record, StoreEra(4));
  ASSERT_TRUE(ok(map));
  EXPECT_EQ(value(map).era, StoreEra(4));
}

}  // namespace
}  // namespace eelgrasspin::codec
