#include "standin/platform.h"

#include <gtest/gtest.h>

#include "io/object_store_http.h"
#include "tests/io_test_util.h"

namespace eelgrasspin {
namespace {

const ZoneName kZone("gongoni");

class PlatformTest : public ::testing::Test {
 protected:
  PlatformTest() : platform_(io_) {
    EXPECT_FALSE(platform_.listen(kAnyPort));
    store_ =
        std::make_unique<io::ObjectStoreHttp>(io_, platform_.bound_endpoint());
  }

  CoordinatorLease lease(std::uint64_t sequence) const {
    return {.zone = kZone,
            .holder = DaemonName("gongoni-1"),
            .address = Endpoint("127.0.0.1:1"),
            .epoch = TermEpoch(3),
            .sequence = sequence};
  }

  template <class Call>
  StoreResult wait_for(Call call) {
    std::optional<StoreResult> result;
    call([&](StoreResult answer) { result = std::move(answer); });
    EXPECT_TRUE(run_until(io_, [&] { return result.has_value(); }));
    return std::move(*result);
  }

  StoreResult write(Version expected, const Record& record) {
    return wait_for([&](auto done) {
      store_->write(key_, expected, record, std::move(done));
    });
  }

  StoreResult read() {
    return wait_for([&](auto done) { store_->read(key_, std::move(done)); });
  }

  boost::asio::io_context io_;
  standin::Platform platform_;
  std::unique_ptr<io::ObjectStoreHttp> store_;
  StoreKey key_ = coordinator_lease_key(kZone);
};

TEST_F(PlatformTest, WritesOnlyOverTheExpectedVersion) {
  auto absent = std::get<StoreRead>(read());
  EXPECT_EQ(absent.entries.at(0).version, Version(0));
  auto written = std::get<StoreWritten>(write(Version(0), lease(1)));
  auto conflict = std::get<StoreConflict>(write(Version(0), lease(2)));
  EXPECT_EQ(conflict.current.version, written.version);
  EXPECT_EQ(std::get<CoordinatorLease>(conflict.current.record), lease(1));
  auto rewritten = std::get<StoreWritten>(write(written.version, lease(2)));
  auto present = std::get<StoreRead>(read());
  EXPECT_EQ(present.entries.at(0).version, rewritten.version);
  EXPECT_EQ(std::get<CoordinatorLease>(present.entries.at(0).record), lease(2));
}

TEST_F(PlatformTest, WatchReturnsChangesAndDeletions) {
  auto written = std::get<StoreWritten>(write(Version(0), lease(1)));
  std::optional<StoreResult> watch_result;
  store_->watch(live_prefix(), written.version, seconds(10),
                [&](StoreResult answer) { watch_result = std::move(answer); });
  run_for(io_, std::chrono::milliseconds(20));
  EXPECT_FALSE(watch_result);
  write(written.version, std::monostate());
  ASSERT_TRUE(run_until(io_, [&] { return watch_result.has_value(); }));
  auto change = std::get<StoreRead>(*watch_result);
  ASSERT_EQ(change.entries.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<std::monostate>(change.entries[0].record));
  EXPECT_GT(change.entries[0].version, written.version);
  auto empty = std::get<StoreRead>(wait_for([&](auto done) {
    store_->watch(live_prefix(), change.revision, milliseconds(10),
                  std::move(done));
  }));
  EXPECT_TRUE(empty.entries.empty());
  EXPECT_EQ(empty.revision, change.revision);
}

TEST_F(PlatformTest, LostAnswersAndOutagesAreUnavailable) {
  platform_.lose_answers(1);
  EXPECT_TRUE(
      std::holds_alternative<StoreUnavailable>(write(Version(0), lease(1))));
  EXPECT_EQ(std::get<StoreRead>(read()).entries.at(0).version, Version(1));
  platform_.set_outage(standin::Outage::kRefusing);
  EXPECT_TRUE(std::holds_alternative<StoreUnavailable>(read()));
  platform_.set_outage(standin::Outage::kSilent);
  EXPECT_TRUE(std::holds_alternative<StoreUnavailable>(read()));
  platform_.set_outage(standin::Outage::kNone);
  EXPECT_TRUE(std::holds_alternative<StoreRead>(read()));
}

TEST_F(PlatformTest, ListsVms) {
  io::VmListHttp list(io_, platform_.bound_endpoint());
  platform_.set_vm("panboard-01", VmState::kLeaving);
  std::optional<Result<std::vector<VmEntry>>> vms;
  list.list([&](auto result) { vms = std::move(result); });
  ASSERT_TRUE(run_until(io_, [&] { return vms.has_value(); }));
  ASSERT_TRUE(ok(*vms));
  ASSERT_EQ(value(*vms).size(), 1U);
  EXPECT_EQ(value(*vms)[0].state, VmState::kLeaving);
}

}  // namespace
}  // namespace eelgrasspin
