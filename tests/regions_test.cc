#include "fleet/regions.h"

#include "tests/fleet_requests.h"
#include "tests/fleet_world.h"

/// Routes that only some regions may serve.
namespace eelgrasspin::fleet {
namespace {

/// The daemon is in region "r", zone "z"; zone "far" is in region "other".
class Regions : public FleetRequests {
 protected:
  void configure_regions(std::vector<RegionName> allowed,
                         std::uint64_t version = 1) {
    Route desk = route("/safe/", kDesk, true);
    Route booking = route("/once/", kBooking, false);
    desk.allowed_regions = allowed;
    booking.allowed_regions = std::move(allowed);
    configure({desk, booking}, version);
  }
  void keyed_request(std::uint64_t id) {
    apply(RequestReceived{RequestId(id), "label", "h", "/once/x", ShardKey(7),
                          seconds(2), Fingerprint(id)});
  }
};

TEST_F(Regions, RequestIsSentToAnAllowedRegionAlthoughANearServerIsFree) {
  configure_regions({RegionName("other")});
  add("near", kDesk);
  add("there", kDesk, "far");
  request(1, "/safe/x");
  ASSERT_EQ(sends_.size(), 1u);
  EXPECT_EQ(sends_[0].server, ServerName("there"));
}

TEST_F(Regions, RetryStaysInTheAllowedRegions) {
  configure_regions({RegionName("other")});
  add("near", kDesk);
  add("there", kDesk, "far");
  request(1, "/safe/x");
  end(AttemptResult::kNotRun, 503);
  pass(seconds(3));
  EXPECT_EQ(sends_.size(), 1u);
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
}

TEST_F(Regions, WithoutAnAllowedServerTheRequestIsRefusedAtOnce) {
  configure_regions({RegionName("other")});
  add("near", kDesk);
  request(1, "/safe/x");
  EXPECT_TRUE(sends_.empty());
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
}

TEST_F(Regions, ZoneOfAnUnknownRegionIsNotAllowed) {
  configure_regions({RegionName("r"), RegionName("other")});
  add("lost", kDesk, "nowhere");
  request(1, "/safe/x");
  EXPECT_TRUE(sends_.empty());
  EXPECT_EQ(answers_.size(), 1u);
}

TEST_F(Regions, KeyedRequestIsRefusedAtOnceIfItsOwnerIsElsewhere) {
  booking_is_keyed_ = true;
  configure_regions({RegionName("other")});
  add("near", kBooking);
  own("near", 1);
  keyed_request(1);
  EXPECT_TRUE(sends_.empty());
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].status, 503);
  EXPECT_EQ(answers_[0].reason, "owner_region");
}

/// A request keeps the configuration that it arrived under, a later one gets
/// the new one.
TEST_F(Regions, ChangeOfTheRegionsBindsTheNextRequest) {
  configure_regions({});
  add("near", kDesk);
  add("there", kDesk, "far");
  request(1, "/safe/x");
  configure_regions({RegionName("other")}, 2);
  request(2, "/safe/x");
  ASSERT_EQ(sends_.size(), 2u);
  EXPECT_EQ(sends_[0].server, ServerName("near"));
  EXPECT_EQ(sends_[1].server, ServerName("there"));
}

/// Zones z and z1 are in region "r", z2 in region "s".
class RegionsOfOwners : public ::testing::Test {
 protected:
  RegionsOfOwners() {
    for (std::size_t zone = 0; zone < 3; ++zone)
      regions_[FleetWorld::zone(zone)] = RegionName(zone < 2 ? "r" : "s");
    world_.set_regions(regions_);
    for (std::size_t i = 0; i < world_.servers().size(); ++i)
      world_.set_zone(i, FleetWorld::zone(i % 3));
  }
  std::set<ZoneName> owners() {
    std::set<ZoneName> zones;
    for (const KeyRange& range : world_.stored_map()->ranges) {
      for (const FakeServer& server : world_.servers()) {
        if (server.entry.name == range.owner.name)
          zones.insert(server.entry.zone);
      }
    }
    return zones;
  }

  FleetWorld world_{3, 6, 4, 3};
  std::map<ZoneName, RegionName> regions_;
};

TEST_F(RegionsOfOwners, KeysAreOwnedWhereAllRoutesMayBeServed) {
  world_.run_for(seconds(8));
  EXPECT_EQ(owners().size(), 3u);
  world_.allow_regions({RegionName("s")});
  world_.run_for(seconds(8));
  EXPECT_EQ(owners(), std::set<ZoneName>{FleetWorld::zone(2)});
  EXPECT_TRUE(world_.all_held());
  EXPECT_TRUE(world_.violations.empty());
}

/// No owner could serve such routes, and keys must not be left without one.
TEST_F(RegionsOfOwners, RegionsWithoutServersLeaveTheOwners) {
  world_.run_for(seconds(8));
  world_.allow_regions({RegionName("elsewhere")});
  world_.run_for(seconds(8));
  EXPECT_EQ(owners().size(), 3u);
  EXPECT_TRUE(world_.all_held());
}

}  // namespace
}  // namespace eelgrasspin::fleet
