#include "fleet/store_view.h"

#include <gtest/gtest.h>

#include "fleet/peers.h"
#include "fleet/reduce.h"
#include "tests/store_positions.h"

namespace eelgrasspin::fleet {
namespace {

const DaemonName kRelay{"large"};

/// A daemon of a zone whose relay is another daemon.
class StoreViewTest : public ::testing::Test {
 protected:
  StoreViewTest() {
    Settings settings;
    settings.self = {DaemonName("self"), Incarnation(1),         ZoneName("z"),
                     RegionName("r"),    Endpoint("10.0.0.1:7"), 100};
    state_ = make_state(settings, now_);
    for (StoreView view : kStoreViews) {
      reduce(state_, ViewListed{view, at(10)}, now_);
    }
    reduce(state_, StoreAnswered(), now_);
  }

  Heartbeat heartbeat(StorePosition servers, Duration age) {
    Heartbeat beat;
    beat.daemon = {kRelay,          Incarnation(1),         ZoneName("z"),
                   RegionName("r"), Endpoint("10.0.0.2:7"), 500};
    beat.sequence = ++sequence_;
    beat.view = Heartbeat::View{at(10), servers, age};
    return beat;
  }
  Effects receive(const Heartbeat& beat) {
    return reduce(state_, HeartbeatReceived{beat}, now_);
  }
  Effects tick_for(Duration duration) {
    Effects all;
    for (TimePoint end = now_ + duration; now_ < end;) {
      now_ += config::kTickInterval;
      Effects effects = reduce(state_, Tick(), now_);
      all.insert(all.end(), effects.begin(), effects.end());
    }
    return all;
  }
  StoreUpdate update(StorePosition base, StorePosition as_of) {
    StoreUpdate update;
    update.view = StoreView::kServers;
    update.base = base;
    update.as_of = as_of;
    Server server;
    server.name = ServerName("s");
    server.service = ServiceName("board");
    server.zone = ZoneName("z");
    update.servers.emplace_back(server);
    return update;
  }
  template <class T>
  static std::size_t count(const Effects& effects) {
    return static_cast<std::size_t>(
        std::count_if(effects.begin(), effects.end(), [](const Effect& effect) {
          return std::holds_alternative<T>(effect);
        }));
  }

  TimePoint now_{seconds(100)};
  std::uint64_t sequence_ = 0;
  State state_;
};

TEST_F(StoreViewTest, WatchesWithoutARelay) {
  tick_for(seconds(1));
  EXPECT_TRUE(state_.watching);
}

TEST_F(StoreViewTest, FollowsARelayWhoseCopyIsFresh) {
  receive(heartbeat(at(10), milliseconds(300)));
  Effects effects = tick_for(config::kTickInterval);
  EXPECT_FALSE(state_.watching);
  EXPECT_EQ(count<WatchStore>(effects), 1u);
}

/// A relay that is cut off from the store, frozen or lost must not keep changes
/// from the other daemons for longer than kMaxRelayViewAge.
TEST_F(StoreViewTest, WatchesAgainOnceTheRelaysCopyIsOld) {
  receive(heartbeat(at(10), milliseconds(300)));
  tick_for(milliseconds(200));
  EXPECT_FALSE(state_.watching);
  tick_for(milliseconds(700));
  receive(heartbeat(at(10), milliseconds(1200)));
  tick_for(milliseconds(260));
  EXPECT_TRUE(state_.watching);
}

TEST_F(StoreViewTest, WatchesWhileTheRelayCannotReachTheStore) {
  Heartbeat beat = heartbeat(at(10), Duration(0));
  beat.store_unreachable_for = milliseconds(50);
  receive(beat);
  tick_for(config::kTickInterval);
  EXPECT_TRUE(state_.watching);
}

TEST_F(StoreViewTest, WatchesUntilItsOwnCallsSucceedAgain) {
  now_ += milliseconds(10);
  reduce(state_, StoreFailed{"silent"}, now_);
  receive(heartbeat(at(10), Duration(0)));
  tick_for(config::kTickInterval);
  EXPECT_TRUE(state_.watching);
  reduce(state_, StoreAnswered(), now_);
  tick_for(config::kTickInterval);
  EXPECT_FALSE(state_.watching);
}

// Guards against a store that answers some calls late and counts as lost again
// and again, so that lost entries are waited for without end.
TEST_F(StoreViewTest, SlowCallsBesideAnsweredOnesAreNoOutage) {
  now_ += milliseconds(500);
  reduce(state_, StoreAnswered(), now_);
  now_ += milliseconds(400);
  reduce(state_, StoreFailed{"slow", milliseconds(800)}, now_);
  EXPECT_EQ(store_unreachable_for(state_, now_), Duration(0));
  reduce(state_, StoreAnswered(), now_);
  EXPECT_EQ(state_.outage_ended_at, TimePoint());
  // Nothing has been answered since this call was due.
  now_ += milliseconds(900);
  reduce(state_, StoreFailed{"silent", milliseconds(800)}, now_);
  EXPECT_EQ(store_unreachable_for(state_, now_), milliseconds(900));
}

TEST_F(StoreViewTest, UpdatesWithAKnownBaseAreApplied) {
  receive(heartbeat(at(10), Duration(0)));
  reduce(state_, StoreUpdateReceived{update(at(10), at(15))}, now_);
  EXPECT_EQ(state_.servers.count(ServerName("s")), 1u);
  EXPECT_EQ(state_.views[StoreView::kServers].as_of, at(15));
}

TEST_F(StoreViewTest, UpdatesAfterALostOneAreReadFromTheStore) {
  receive(heartbeat(at(10), Duration(0)));
  tick_for(config::kTickInterval);
  reduce(state_, StoreUpdateReceived{update(at(12), at(15))}, now_);
  EXPECT_EQ(state_.servers.count(ServerName("s")), 0u);
  receive(heartbeat(at(15), Duration(0)));
  Effects effects =
      tick_for(config::kOutdatedViewReadDelay + config::kTickInterval * 2);
  EXPECT_EQ(count<CatchUp>(effects), 1u);
  reduce(state_, StoreChanged{update(StorePosition(), at(16))}, now_);
  EXPECT_EQ(count<CatchUp>(tick_for(milliseconds(400))), 0u);
}

TEST_F(StoreViewTest, EntriesThatExpiredInAnOutageAreKeptForAWhile) {
  receive(heartbeat(at(10), Duration(0)));
  reduce(state_, StoreUpdateReceived{update(at(10), at(15))}, now_);
  StoreUpdate removal = update(at(15), at(18));
  removal.servers = {ServerName("s")};
  removal.since_outage = milliseconds(700);
  reduce(state_, StoreUpdateReceived{removal}, now_);
  EXPECT_FALSE(state_.servers.at(ServerName("s")).removed);
  tick_for(config::kRegistryRecoveryTime - milliseconds(700) +
           config::kTickInterval * 2);
  EXPECT_TRUE(state_.servers.at(ServerName("s")).removed);
}

/// An entry that is missing after an outage counts as removed two seconds after
/// the end of the outage, however late the registry is listed.
TEST_F(StoreViewTest, WaitForLapsedEntriesCountsFromTheStoresReturn) {
  reduce(state_, StoreUpdateReceived{update(at(10), at(15))}, now_);
  now_ += milliseconds(20);
  reduce(state_, StoreFailed{"cut"}, now_);
  now_ += seconds(12);
  reduce(state_, StoreAnswered(), now_);
  TimePoint back = now_;
  tick_for(milliseconds(1200));
  reduce(state_, ServersListed{{}, at(40)}, now_);
  tick_for(config::kRegistryRecoveryTime + config::kTickInterval * 2 -
           (now_ - back));
  EXPECT_TRUE(state_.servers.at(ServerName("s")).removed);
}

TEST_F(StoreViewTest, AnswersOlderThanTheCopyChangeNothing) {
  reduce(state_, StoreUpdateReceived{update(at(10), at(15))}, now_);
  StoreUpdate old = update(StorePosition(), at(14));
  old.servers = {ServerName("s")};
  reduce(state_, StoreChanged{old}, now_);
  reduce(state_, ServersListed{{}, at(14)}, now_);
  EXPECT_FALSE(state_.servers.at(ServerName("s")).removed);
  EXPECT_EQ(state_.views[StoreView::kServers].as_of, at(15));
}

/// A daemon that has followed its relay starts to watch from the revision of
/// its copy. From its own last call it might be too late, as the store drops
/// old changes.
TEST_F(StoreViewTest, WatchingGoesOnFromTheCopy) {
  receive(heartbeat(at(10), Duration(0)));
  tick_for(config::kTickInterval);
  reduce(state_, StoreUpdateReceived{update(at(10), at(15))}, now_);
  Effects effects =
      tick_for(config::kMaxRelayViewAge + config::kTickInterval * 2);
  ASSERT_EQ(count<WatchStore>(effects), 1u);
  for (const Effect& effect : effects) {
    if (const auto* watch = std::get_if<WatchStore>(&effect)) {
      EXPECT_TRUE(watch->on);
      EXPECT_EQ(watch->servers_as_of, at(15));
    }
  }
}

TEST_F(StoreViewTest, TheRelayForwardsChanges) {
  Heartbeat small = heartbeat(at(10), Duration(0));
  small.daemon.capacity = 50;
  small.view.reset();
  receive(small);
  Effects effects =
      reduce(state_, StoreChanged{update(StorePosition(), at(15))}, now_);
  ASSERT_EQ(count<SendStoreUpdate>(effects), 1u);
  for (const Effect& effect : effects) {
    if (const auto* send = std::get_if<SendStoreUpdate>(&effect)) {
      EXPECT_EQ(send->update.base, at(10));
      EXPECT_EQ(send->to, std::vector<Endpoint>{Endpoint("10.0.0.2:7")});
    }
  }
  EXPECT_EQ(
      count<SendStoreUpdate>(reduce(state_, StoreChanged{StoreUpdate{}}, now_)),
      0u);
}

// Guards against a relay that was cut off and sends changes which this daemon
// has applied already.
TEST_F(StoreViewTest, UpdateWithKnownChangesBringsNoServerBack) {
  reduce(state_, StoreUpdateReceived{update(at(10), at(15))}, now_);
  StoreUpdate removal = update(at(15), at(16));
  removal.servers = {ServerName("s")};
  reduce(state_, StoreUpdateReceived{removal}, now_);
  now_ += seconds(1);
  StoreUpdate both = update(at(10), at(17));
  both.servers.emplace_back(ServerName("s"));
  both.since_outage = Duration(0);
  reduce(state_, StoreUpdateReceived{both}, now_);
  EXPECT_TRUE(state_.servers.at(ServerName("s")).leaving);
}

}  // namespace
}  // namespace eelgrasspin::fleet
