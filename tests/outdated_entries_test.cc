#include <gtest/gtest.h>

#include "fleet/store_restoration.h"
#include "tests/fleet_requests.h"

/// Entries of the registry that an earlier life of a server has left.
namespace eelgrasspin::fleet {
namespace {

class OutdatedEntries : public FleetRequests {
 protected:
  Server life(const char* name, std::uint64_t incarnation) {
    return {ServerName(name),
            Endpoint("10.1.0." + std::to_string(incarnation) + ":1"),
            kBooking,
            ZoneName("z"),
            2,
            Incarnation(incarnation),
            false,
            Duration(0)};
  }
  void list(const char* name, std::uint64_t incarnation) {
    apply(ServerSeen{life(name, incarnation)});
  }
  /// Address of the server that gets the next request, which is answered.
  Endpoint next_address() {
    std::size_t before = sends_.size();
    request(++last_request_, "/once/x");
    if (sends_.size() == before) return Endpoint();
    end(AttemptResult::kAnswered, 200);
    return sends_.back().address;
  }

  std::uint64_t last_request_ = 0;
};

TEST_F(OutdatedEntries, LateEntryOfAnEarlierLifeDoesNotReplaceTheLaterOne) {
  configure();
  list("s1", 7);
  list("s1", 5);
  EXPECT_EQ(next_address(), life("s1", 7).address);
  pass(seconds(1));
  list("s1", 7);
  pass(seconds(10));
  EXPECT_EQ(next_address(), life("s1", 7).address);
}

TEST_F(OutdatedEntries, ListWithAnEarlierLifeDoesNotReplaceTheLaterOne) {
  configure();
  apply(ServersListed{{life("s1", 7)}, StorePosition{StoreEra(), Version(3)}});
  apply(ServersListed{{life("s1", 5)}, StorePosition{StoreEra(), Version(4)}});
  EXPECT_EQ(next_address(), life("s1", 7).address);
}

TEST_F(OutdatedEntries, LifeWithALowerNumberIsUsedOnceItsEntryHasStood) {
  configure();
  list("s1", 7);
  list("s1", 5);
  pass(outdated_entries_time(state_.settings) / 2);
  list("s1", 5);
  pass(outdated_entries_time(state_.settings) / 2 + config::kTickInterval);
  EXPECT_EQ(next_address(), life("s1", 5).address);
}

/// This daemon coordinates the booking service; the registry lists an earlier
/// life of the previous owner of all keys.
class OutdatedHolder : public OutdatedEntries {
 protected:
  OutdatedHolder() {
    booking_is_keyed_ = true;
    configure();
    apply(StoreAnswered());
    OwnerMap map;
    map.service = kBooking;
    map.coordinator = DaemonName("other");
    map.term = TermEpoch(1);
    map.last_epoch = Epoch(2);
    map.ranges = {{ShardKey(0),
                   ShardKey(kMaxShardKey),
                   {ServerName("s2"), Incarnation(8)},
                   Epoch(2),
                   {{ServerName("s1"), Incarnation(7)}}}};
    apply(MapSeen{map, Version(1)});
    map.coordinator = state_.settings.self.name;
    map.coordinator_incarnation = state_.settings.self.incarnation;
    map.term = TermEpoch(2);
    map_ = map;
  }

  /// Starts the role; returns the releases and grants of the first second.
  Effects start_role() {
    Effects orders;
    auto collect = [&orders](const Effects& effects) {
      for (const Effect& effect : effects) {
        if (std::holds_alternative<ReleaseKeys>(effect) ||
            std::holds_alternative<GrantKeys>(effect)) {
          orders.push_back(effect);
        }
      }
    };
    collect(apply(MapSeen{map_, Version(2), StoreEra(), now_}));
    for (int i = 0; i < 50; ++i) {
      now_ += config::kTickInterval;
      collect(apply(Tick()));
    }
    return orders;
  }

  OwnerMap map_;
};

TEST_F(OutdatedHolder, IsNotAskedAtTheAddressOfItsEarlierLife) {
  list("s1", 5);
  list("s2", 8);
  EXPECT_TRUE(start_role().empty());
}

TEST_F(OutdatedHolder, IsAskedAtItsOwnAddress) {
  list("s1", 7);
  list("s2", 8);
  Effects orders = start_role();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<ReleaseKeys>(orders[0]).address, life("s1", 7).address);
}

TEST_F(OutdatedHolder, OrderThatAnotherServerAnswersEndsItsRequests) {
  list("s1", 7);
  list("s2", 8);
  Effects orders = start_role();
  ASSERT_EQ(orders.size(), 1u);
  OrderEnded ended;
  ended.order = std::get<ReleaseKeys>(orders[0]).order;
  ended.result = OrderResult::kOtherServer;
  apply(ended);
  EXPECT_TRUE(state_.servers.at(ServerName("s1")).displaced);
  EXPECT_FALSE(state_.servers.at(ServerName("s2")).displaced);
}

}  // namespace
}  // namespace eelgrasspin::fleet
