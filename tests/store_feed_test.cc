#include "io/store_feed.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <deque>

namespace eelgrasspin::io {
namespace {

using ::testing::_;
using ::testing::NiceMock;

class MockStore : public FleetStore {
 public:
  MOCK_METHOD(void, list, (ObjectKind, const std::string&, PageCallback),
              (override));
  MOCK_METHOD(void, watch,
              (ObjectKind, Version, Duration, Duration, PageCallback),
              (override));
  MOCK_METHOD(void, read, (ObjectKind, const std::string&, PageCallback),
              (override));
  MOCK_METHOD(void, create_record,
              (const std::string&, const std::string&, ChangeCallback),
              (override));
  MOCK_METHOD(void, replace_record,
              (const std::string&, Version, const std::string&, ChangeCallback),
              (override));
};

struct Watch {
  Version since;
  Duration wait;
  Duration margin;
  FleetStore::PageCallback done;
};

class StoreFeedTest : public ::testing::Test {
 protected:
  StoreFeedTest()
      : feed_(io_, store_, {},
              [this](const fleet::Event& event) { events_.push_back(event); }) {
    ON_CALL(store_, list)
        .WillByDefault([](ObjectKind, const std::string&,
                          const FleetStore::PageCallback& done) {
          done(ObjectPage{{}, false, Version(5), std::nullopt});
        });
    ON_CALL(store_, watch)
        .WillByDefault([this](ObjectKind kind, Version since, Duration wait,
                              Duration margin, FleetStore::PageCallback done) {
          if (kind == ObjectKind::kConfiguration)
            watches_.push_back({since, wait, margin, std::move(done)});
        });
    feed_.start();
  }

  /// Runs until `count` watches have been started.
  void run_until_watches(std::size_t count) {
    for (int i = 0; i < 3000 && watches_.size() < count; ++i) {
      io_.run_for(std::chrono::milliseconds(1));
      io_.restart();
    }
    ASSERT_EQ(watches_.size(), count);
  }

  boost::asio::io_context io_;
  NiceMock<MockStore> store_;
  std::vector<fleet::Event> events_;
  std::deque<Watch> watches_;
  StoreFeed feed_;
};

/// While the store does not answer, watches wait only briefly, so that a
/// stalled watch does not hide its return.
TEST_F(StoreFeedTest, WatchesAreShortWhileTheStoreDoesNotAnswer) {
  run_until_watches(1);
  Duration usual_wait = watches_[0].wait;
  watches_[0].done(StoreFailure{StoreFailureKind::kNoAnswer, "silent"});
  run_until_watches(2);
  EXPECT_LE(watches_[1].wait, milliseconds(100));
  EXPECT_EQ(watches_[1].since, Version(5));
  watches_[1].done(ObjectPage{{}, false, Version(5), std::nullopt});
  run_until_watches(3);
  EXPECT_EQ(watches_[2].wait, usual_wait);
}

/// The answer of a watch that is this late.
ObjectPage late_page(Duration overdue) {
  return {{}, false, Version(5), std::nullopt, overdue};
}
StoreFailure time_out(Duration overdue) {
  return {StoreFailureKind::kNoAnswer, "silent", std::nullopt, overdue};
}

// Guards against a store that answers a second late and is taken for lost as
// long as it does.
TEST_F(StoreFeedTest, WatchesOfASlowStoreHaveMoreTime) {
  run_until_watches(1);
  Duration usual = watches_[0].margin;
  EXPECT_LT(usual, seconds(1));
  watches_[0].done(time_out(usual));
  run_until_watches(2);
  EXPECT_GE(watches_[1].margin, milliseconds(1500));
  watches_[1].done(late_page(seconds(1)));
  run_until_watches(3);
  EXPECT_GE(watches_[2].margin, milliseconds(1500));
  EXPECT_GT(watches_[2].wait, seconds(1)) << "a probe after an answer";
  watches_[2].done(late_page(milliseconds(2)));
  run_until_watches(4);
  EXPECT_EQ(watches_[3].margin, usual);
}

// Guards against a return of the store that is noticed late because the call
// before it waits long.
TEST_F(StoreFeedTest, EveryOtherProbeOfASilentStoreIsShort) {
  run_until_watches(1);
  Duration usual = watches_[0].margin;
  for (std::size_t i = 0; i < 4; ++i) {
    watches_[i].done(time_out(watches_[i].margin));
    run_until_watches(i + 2);
    EXPECT_EQ(watches_[i + 1].margin == usual, i % 2 == 1) << i;
  }
}

/// Changes must be received within three seconds after connections have
/// stalled, so a watch must wait less than that.
TEST_F(StoreFeedTest, WatchesWaitLessThanThreeSeconds) {
  run_until_watches(1);
  EXPECT_LE(watches_[0].wait, milliseconds(2200));
}

// Guards against a catch-up that waits for the end of a watch.
TEST_F(StoreFeedTest, CatchUpAsksAtOnceWhileAWatchWaits) {
  run_until_watches(1);
  Duration wait = watches_[0].wait;
  feed_.catch_up({fleet::StoreView::kConfiguration, {}});
  ASSERT_EQ(watches_.size(), 2U);
  EXPECT_LT(watches_[1].wait, milliseconds(100));
  // The answer of the first one is no longer of use.
  watches_[0].done(ObjectPage{{}, false, Version(6), std::nullopt});
  EXPECT_EQ(watches_.size(), 2U);
  // A second catch-up does not replace the first.
  feed_.catch_up({fleet::StoreView::kConfiguration, {}});
  EXPECT_EQ(watches_.size(), 2U);
  watches_[1].done(ObjectPage{{}, false, Version(6), std::nullopt});
  ASSERT_EQ(watches_.size(), 3U);
  EXPECT_EQ(watches_[2].wait, wait);
}

TEST_F(StoreFeedTest, GoneHistoryIsListedAgain) {
  run_until_watches(1);
  EXPECT_CALL(store_, list(ObjectKind::kConfiguration, _, _))
      .WillOnce([](ObjectKind, const std::string&,
                   const FleetStore::PageCallback& done) {
        done(ObjectPage{{}, false, Version(9), std::nullopt});
      });
  watches_[0].done(StoreFailure{StoreFailureKind::kHistoryGone, "410"});
  run_until_watches(2);
  EXPECT_EQ(watches_[1].since, Version(9));
}

TEST_F(StoreFeedTest, QuarantineRecordIsReadAndWritten) {
  fleet::Strike strike{
      fleet::Fingerprint(7), {ServerName("s"), Incarnation(3)}, seconds(4)};
  std::string text;
  EXPECT_CALL(store_, create_record("quarantine", _, _))
      .WillOnce([&](const std::string&, const std::string& written,
                    const FleetStore::ChangeCallback& done) {
        text = written;
        done(RecordWritten{Version(8), std::nullopt});
      });
  feed_.write_quarantine_record({{strike}, Version()});
  ASSERT_TRUE(
      std::holds_alternative<fleet::QuarantineRecordWritten>(events_.back()));
  EXPECT_CALL(store_, read(ObjectKind::kRecords, "quarantine", _))
      .WillOnce([&](ObjectKind, const std::string& name,
                    const FleetStore::PageCallback& done) {
        StoredObject object{name, Version(8), false, RecordText{text}};
        done(ObjectPage{{object}, false, Version(8), std::nullopt});
      })
      .WillOnce([](ObjectKind, const std::string&,
                   const FleetStore::PageCallback& done) {
        done(StoreFailure{StoreFailureKind::kMissing, "404"});
      })
      .WillOnce([](ObjectKind, const std::string&,
                   const FleetStore::PageCallback& done) {
        done(StoreFailure{StoreFailureKind::kNoAnswer, "silent"});
      });
  auto read = [this] {
    feed_.read_quarantine_record();
    return std::get<fleet::QuarantineRecordRead>(events_.back());
  };
  fleet::QuarantineRecordRead present = read();
  EXPECT_EQ(present.revision, Version(8));
  ASSERT_EQ(present.strikes.size(), 1u);
  EXPECT_EQ(present.strikes[0].server, strike.server);
  EXPECT_TRUE(read().answered);
  EXPECT_FALSE(read().answered);
}

/// Counts the events of a kind, and gives the last one.
template <class T>
std::pair<int, T> last_of(const std::vector<fleet::Event>& events) {
  std::pair<int, T> result{};
  for (const fleet::Event& event : events) {
    if (const auto* found = std::get_if<T>(&event)) {
      ++result.first;
      result.second = *found;
    }
  }
  return result;
}

// Guards against a watch that continues in another history of the store.
TEST_F(StoreFeedTest, ChangesOfALaterEraAreNotAppliedButListed) {
  run_until_watches(1);
  ObjectPage page{{}, false, Version(300), StoreEra(2)};
  watches_[0].done(page);
  auto [seen, era] = last_of<fleet::StoreEraSeen>(events_);
  EXPECT_EQ(seen, 1);
  EXPECT_EQ(era.era, StoreEra(2));
  // The reducer asks for it when the era rises.
  feed_.read_again();
  auto [lists, listed] = last_of<fleet::ServersListed>(events_);
  EXPECT_GE(lists, 2);
  EXPECT_EQ(listed.as_of.era, StoreEra(2));
}

TEST_F(StoreFeedTest, AnswersOfAnEarlierEraAreDropped) {
  run_until_watches(1);
  watches_[0].done(ObjectPage{{}, false, Version(6), StoreEra(2)});
  run_until_watches(2);
  watches_[1].done(ObjectPage{{}, false, Version(400), StoreEra(1)});
  EXPECT_EQ(last_of<fleet::EarlierEraAnswered>(events_).first, 1);
  EXPECT_EQ(last_of<fleet::StoreChanged>(events_).first, 1);
  run_until_watches(3);
  EXPECT_EQ(watches_[2].since, Version(6));
}

TEST_F(StoreFeedTest, CallsInProgressEndWithoutEffectWhenEverythingIsRead) {
  run_until_watches(1);
  feed_.read_again();
  ASSERT_EQ(watches_.size(), 2u);
  watches_[0].done(ObjectPage{{}, false, Version(400), std::nullopt});
  EXPECT_EQ(last_of<fleet::StoreChanged>(events_).first, 0);
}

TEST_F(StoreFeedTest, ARefusalStatesTheEraAsWell) {
  run_until_watches(1);
  watches_[0].done(
      StoreFailure{StoreFailureKind::kRefused, "503", StoreEra(4)});
  EXPECT_EQ(last_of<fleet::StoreEraSeen>(events_).second.era, StoreEra(4));
}

}  // namespace
}  // namespace eelgrasspin::io
