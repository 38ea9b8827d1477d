#include "fleet/store_restoration.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "fleet/reduce.h"
#include "fleet/registry.h"
#include "tests/store_positions.h"

/// What one daemon keeps in force while a restored store is read again.
namespace eelgrasspin::fleet {
namespace {

const ServerName kServer{"s"};

class StoreRestoration : public ::testing::Test {
 protected:
  StoreRestoration() {
    Settings settings;
    settings.self = {DaemonName("self"), Incarnation(1),         ZoneName("z"),
                     RegionName("r"),    Endpoint("10.0.0.1:7"), 100};
    settings.evacuation_time = seconds(5);
    state_ = make_state(settings, now_);
    apply(StoreEraSeen{StoreEra(1)});
    apply(StoreAnswered());
    apply(ServersListed{{server()}, at(100, 1)});
    apply(EvacuationsListed{{}, at(100, 1)});
    for (StoreView view : kStoreViews) apply(ViewListed{view, at(100, 1)});
  }

  static Server server() {
    Server server;
    server.name = kServer;
    server.address = Endpoint("10.1.0.1:9");
    server.service = ServiceName("board");
    server.zone = ZoneName("z");
    server.incarnation = Incarnation(7);
    return server;
  }
  Effects apply(const Event& event) { return reduce(state_, event, now_); }
  void run_for(Duration duration) {
    for (TimePoint end = now_ + duration; now_ < end;) {
      now_ += config::kTickInterval;
      apply(Tick());
    }
  }
  void change(const ServerChange& change, StorePosition as_of) {
    StoreUpdate update;
    update.view = StoreView::kServers;
    update.as_of = as_of;
    update.servers = {change};
    apply(StoreChanged{update});
  }
  Effects restore() { return apply(StoreEraSeen{StoreEra(2)}); }
  void list(std::vector<Server> servers) {
    apply(ServersListed{std::move(servers), at(40, 2)});
    apply(ViewListed{StoreView::kServers, at(40, 2)});
  }
  /// The store answers a watch without changes.
  void answer_watch(StoreView view) {
    StoreUpdate update;
    update.view = view;
    update.as_of = at(60, 2);
    apply(StoreChanged{update});
  }
  const ServerState& known() const { return state_.servers.at(kServer); }
  template <class T>
  static bool contains(const Effects& effects) {
    return std::any_of(effects.begin(), effects.end(), [](const Effect& e) {
      return std::holds_alternative<T>(e);
    });
  }

  TimePoint now_{seconds(100)};
  State state_;
};

TEST_F(StoreRestoration, FirstEraIsNoRestoration) {
  EXPECT_FALSE(state_.restored_at);
  EXPECT_FALSE(contains<ReadStoreAgain>(apply(StoreEraSeen{StoreEra(1)})));
}

TEST_F(StoreRestoration, EverythingIsReadAgainOnce) {
  EXPECT_TRUE(contains<ReadStoreAgain>(restore()));
  EXPECT_FALSE(contains<ReadStoreAgain>(restore()));
  EXPECT_FALSE(contains<ReadStoreAgain>(apply(StoreEraSeen{StoreEra(1)})));
}

TEST_F(StoreRestoration, LowerRevisionsOfALaterEraAreApplied) {
  restore();
  list({server()});
  Server draining = server();
  draining.draining = true;
  change(draining, at(41, 2));
  EXPECT_TRUE(known().leaving);
}

TEST_F(StoreRestoration, AnswersOfAnEarlierEraAreIgnored) {
  restore();
  list({server()});
  change(kServer, at(200, 1));
  EXPECT_TRUE(accepts_work(known()));
}

TEST_F(StoreRestoration, MissingServerIsUsedUntilItCouldHaveReturned) {
  restore();
  list({});
  run_for(milliseconds(1500));
  EXPECT_TRUE(accepts_work(known()));
  run_for(milliseconds(500));
  EXPECT_FALSE(accepts_work(known()));
}

// Guards against requests to a server that left after the copy was taken.
TEST_F(StoreRestoration, ServerThatHasLeftIsNotUsedAgain) {
  Server draining = server();
  draining.draining = true;
  change(draining, at(101, 1));
  restore();
  list({server()});
  EXPECT_FALSE(accepts_work(known()));
  run_for(milliseconds(500));
  change(kServer, at(45, 2));
  run_for(seconds(8));
  EXPECT_FALSE(accepts_work(known()));
}

TEST_F(StoreRestoration, ServerThatIsStillListedLaterIsUsedAgain) {
  change(kServer, at(101, 1));
  restore();
  list({server()});
  EXPECT_FALSE(accepts_work(known()));
  run_for(seconds(8));
  answer_watch(StoreView::kServers);
  run_for(seconds(1));
  EXPECT_TRUE(accepts_work(known()));
}

// Guards against an outdated entry that is taken for confirmed by a daemon that
// has not reached the store since it listed it.
TEST_F(StoreRestoration, DaemonWithoutTheStoreConfirmsNoEntry) {
  change(kServer, at(101, 1));
  restore();
  list({server()});
  run_for(seconds(20));
  EXPECT_FALSE(accepts_work(known()));
}

TEST_F(StoreRestoration, ServerThatWritesItsEntryAgainIsUsedAtOnce) {
  change(kServer, at(101, 1));
  restore();
  list({});
  change(server(), at(41, 2));
  EXPECT_TRUE(accepts_work(known()));
}

// Guards against a limit that is dropped with an outdated entry.
TEST_F(StoreRestoration, EntryOfAnEarlierStartReplacesNothing) {
  Server restarted = server();
  restarted.incarnation = Incarnation(9);
  change(restarted, at(101, 1));
  state_.servers.at(kServer).limit.emplace().rate = {3.5};
  restore();
  list({server()});
  EXPECT_EQ(known().server.incarnation, Incarnation(9));
  EXPECT_TRUE(known().limit);
  change(restarted, at(41, 2));
  EXPECT_TRUE(known().limit);
}

TEST_F(StoreRestoration, EvacuationThatTheStoreHasLostStaysInForce) {
  apply(EvacuationsListed{{ZoneName("z")}, at(101, 1)});
  restore();
  apply(EvacuationsListed{{}, at(40, 2)});
  EXPECT_FALSE(accepts_work(known()));
  run_for(seconds(8));
  EXPECT_FALSE(accepts_work(known()));
  answer_watch(StoreView::kEvacuations);
  run_for(seconds(1));
  EXPECT_TRUE(accepts_work(known()));
}

TEST_F(StoreRestoration, EvacuationThatIsEndedAfterwardsEndsAtOnce) {
  apply(EvacuationsListed{{ZoneName("z")}, at(101, 1)});
  restore();
  apply(EvacuationsListed{{ZoneName("z")}, at(40, 2)});
  StoreUpdate update;
  update.view = StoreView::kEvacuations;
  update.as_of = at(41, 2);
  update.evacuations = {{ZoneName("z"), false}};
  apply(StoreChanged{update});
  EXPECT_TRUE(accepts_work(known()));
}

// Guards against a daemon that follows a relay with another history.
TEST_F(StoreRestoration, RelayOfAnotherEraIsNotFollowed) {
  Heartbeat beat;
  beat.daemon = {DaemonName("relay"), Incarnation(1),         ZoneName("z"),
                 RegionName("r"),     Endpoint("10.0.0.2:7"), 500};
  beat.store_era = StoreEra(1);
  beat.view = Heartbeat::View{at(100, 1), at(100, 1), Duration(0), {}, {}};
  for (std::uint64_t era : {1, 2}) {
    beat.sequence = era;
    beat.store_era = StoreEra(era);
    apply(HeartbeatReceived{beat});
    run_for(config::kTickInterval);
    EXPECT_EQ(state_.watching, era == 2) << era;
  }
}

TEST_F(StoreRestoration, DaemonWithoutErasIsUnderstood) {
  Heartbeat beat;
  beat.daemon = {DaemonName("relay"), Incarnation(1),         ZoneName("z"),
                 RegionName("r"),     Endpoint("10.0.0.2:7"), 500};
  beat.sequence = 1;
  beat.view = Heartbeat::View{at(100), at(100), Duration(0), {}, {}};
  apply(HeartbeatReceived{beat});
  run_for(config::kTickInterval);
  EXPECT_FALSE(state_.watching);
  StoreUpdate update;
  update.view = StoreView::kServers;
  update.base = at(100);
  update.as_of = at(105);
  Server draining = server();
  draining.draining = true;
  update.servers = {draining};
  apply(StoreUpdateReceived{update});
  EXPECT_TRUE(known().leaving);
  EXPECT_EQ(state_.views[StoreView::kServers].as_of, at(105, 1));
}

TEST_F(StoreRestoration, StrikesAreRecordedAgain) {
  state_.strikes[Fingerprint(5)][{kServer, Incarnation(7)}].noticed_at = now_;
  restore();
  apply(StoreAnswered());
  now_ += seconds(2);
  EXPECT_TRUE(contains<ReadQuarantineRecord>(apply(Tick())));
}

}  // namespace
}  // namespace eelgrasspin::fleet
