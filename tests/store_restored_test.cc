#include "tests/platform_processes.h"

/// The real program beside a store that comes back from an older copy.
namespace eelgrasspin::platform {
namespace {

/// Changes that the store loses.
constexpr int kLostChanges = 64;
/// Time in which a confirmed change has to be in force.
constexpr Duration kChangeTime = seconds(4);
/// Time in which all keys have to be served again after a loss of power.
constexpr Duration kRecoveryTime = seconds(5);
/// No grant lasts longer.
constexpr Duration kLongestGrant = seconds(9);
/// The same as kRecoveryTime, beside a slow store.
constexpr Duration kSlowRecoveryTime = seconds(15);
/// How long a store may be slow before its watches are given more time.
constexpr Duration kSlowStoreTime = seconds(8);
/// Time in which the daemons' watches end and tell them the latest revision.
constexpr Duration kWatchTime = milliseconds(2500);

class StoreRestored : public PlatformProcesses {
 protected:
  /// Makes changes that concern no daemon.
  void change_store(int count) {
    for (int i = 0; i < count; ++i) store_.put("notes", "note", "{}");
  }
  void wait(Duration duration) {
    run_until([] { return false; }, duration);
  }
  void kill_all() {
    for (Process& process : processes_) stop(process, SIGKILL);
    processes_.clear();
  }
  /// The operator and the servers write their objects again, as they do after
  /// a restoration.
  void write_again() {
    store_.put(kConfigKind, kActiveConfigName, kConfiguration);
    for (const auto& board : boards_) list(*board, "board");
    for (const auto& book : books_) list(*book, "book");
  }
  /// Restores a copy that lacks kLostChanges changes. The store refuses calls
  /// before and after, and has made `changes` changes when it is back.
  void restore(int changes) {
    store_.take_copy();
    change_store(kLostChanges);
    wait(kWatchTime);
    store_.down = true;
    wait(milliseconds(400));
    store_.restore_copy();
    write_again();
    add_route("/early/");
    change_store(changes);
    wait(milliseconds(600));
    store_.down = false;
  }
  void add_route(const std::string& prefix) {
    json::object added = json::parse(kConfiguration).as_object();
    added["version"] = ++version_;
    json::array& rules =
        added["listeners"].as_array()[0].as_object()["rules"].as_array();
    json::object rule = rules[1].as_object();
    rule["name"] = prefix;
    rule["kind"] = "safe";
    rule["match"] = json::object{{"prefix", prefix}};
    rules.push_back(rule);
    store_.put(kConfigKind, kActiveConfigName, json::serialize(added));
  }
  int status_of(const Process& process, const std::string& path) {
    return status(callers(process),
                  {"GET",
                   path,
                   {{"Host", "h"},
                    {kRequestIdHeader, "r" + std::to_string(++requests_)},
                    {kDeadlineMsHeader, "2000"}},
                   "",
                   {}});
  }
  /// Starts two daemons and waits until they serve all keys.
  void start_fleet(int first_number) {
    // processes_ must not grow while its elements are referred to.
    processes_.reserve(8);
    for (int i = 0; i < 2; ++i) {
      Process& process = start(first_number + i, more_settings_);
      ASSERT_TRUE(become_ready(process));
    }
    ASSERT_TRUE(run_until(
        [&] { return all_keys_served(callers(processes_[0]), "start"); }));
    wait(seconds(1));
  }
  void expect_changes_in_force() {
    wait(kChangeTime);
    for (const Process& process : processes_)
      EXPECT_EQ(status_of(process, "/early/x"), 200) << process.ip;
    add_route("/n/");
    store_.remove(kServersKind, boards_[0]->name());
    wait(kChangeTime);
    std::size_t ran = boards_[0]->ran.size();
    for (const Process& process : processes_) {
      EXPECT_EQ(status_of(process, "/n/x"), 200) << process.ip;
      EXPECT_TRUE(run_until(
          [&] { return all_keys_served(callers(process), process.ip); },
          seconds(6)))
          << process.ip;
    }
    EXPECT_EQ(boards_[0]->ran.size(), ran) << "requests at a removed server";
  }

  /// Counts grants of keys that another server holds.
  void watch_owners() {
    for (const auto& board : boards_) {
      board->on_grant = [this, granted = board.get()](std::uint32_t first,
                                                      std::uint32_t last,
                                                      std::uint64_t) {
        for (const auto& other : boards_) {
          if (other.get() == granted) continue;
          for (std::uint32_t key = first; key <= last; ++key) {
            if (!other->holds(key)) continue;
            ++grants_of_held_keys_;
            return;
          }
        }
      };
    }
  }

  /// Of all daemons that are started from now on.
  std::string more_settings_;
  int grants_of_held_keys_ = 0;
  int version_ = 100;
  int requests_ = 0;
};

// Guards against a watch that continues in another history of the store.
TEST_F(StoreRestored, ChangesAreInForceWhenRevisionsHavePassedTheOldOnes) {
  start_fleet(31);
  restore(kLostChanges + 20);
  expect_changes_in_force();
}

// Guards against changes that are dropped as older than lost ones.
TEST_F(StoreRestored, ChangesAreInForceWhileRevisionsStayBelowTheOldOnes) {
  start_fleet(33);
  restore(0);
  expect_changes_in_force();
}

TEST_F(StoreRestored, ChangesAreInForceAfterTwoRestorations) {
  start_fleet(35);
  restore(0);
  wait(seconds(1));
  restore(kLostChanges + 20);
  expect_changes_in_force();
}

// Guards against two owners after a restart from nothing but the copy.
TEST_F(StoreRestored, RestartedDaemonsGrantNoKeysThatAreHeld) {
  start_fleet(39);
  watch_owners();
  store_.take_copy();
  list(*boards_[0], "board", "draining");
  ASSERT_TRUE(run_until([&] {
    std::size_t before = boards_[0]->ran.size();
    return all_keys_served(callers(processes_[0]), "moved") &&
           boards_[0]->ran.size() == before;
  }));
  store_.down = true;
  kill_all();
  store_.restore_copy();
  wait(milliseconds(300));
  store_.down = false;
  for (int i = 0; i < 2; ++i) {
    Process& process = start(39 + i);
    ASSERT_TRUE(become_ready(process));
  }
  for (const Process& process : processes_) {
    EXPECT_TRUE(
        run_until([&] { return all_keys_served(callers(process), process.ip); },
                  seconds(40)))
        << process.ip;
  }
  EXPECT_EQ(grants_of_held_keys_, 0);
}

/// The copy is older than the first owner map, so that the store loses the only
/// one. With both values of self.bootstrap, which must not matter.
class FirstMapRestored : public StoreRestored,
                         public ::testing::WithParamInterface<bool> {
 protected:
  FirstMapRestored() {
    more_settings_ =
        std::string("self.bootstrap=") + (GetParam() ? "true\n" : "false\n");
  }
  /// A server joins after the first map, so that the next one has other owners.
  void add_board() {
    boards_.push_back(std::make_unique<ServerStandin>(io_, "i-board2", true));
    list(*boards_.back(), "board");
    ASSERT_TRUE(run_until([&] {
      return all_keys_served(callers(processes_[0]), "joined") &&
             !boards_.back()->ran.empty();
    }));
  }
  /// All daemons lose power meanwhile. The entry of a server is written again
  /// `late` after the others'.
  void lose_map_and_start(int first_number, Duration late) {
    store_.down = true;
    kill_all();
    store_.restore_copy();
    wait(milliseconds(300));
    store_.down = false;
    write_again();
    if (late.count() > 0) store_.remove(kServersKind, boards_[0]->name());
    for (int i = 0; i < 2; ++i) start(first_number + i, more_settings_);
    if (late.count() == 0) return;
    wait(late);
    list(*boards_[0], "board");
  }
  /// Expects that no key is without service for as long as kRecoveryTime.
  void expect_always_served(const Process& process, Duration duration) {
    TimePoint served_at = io::steady_now();
    Duration longest{0};
    for (TimePoint end = served_at + duration; io::steady_now() < end;) {
      bool served = all_keys_served(callers(process), "always");
      longest = std::max(longest, io::steady_now() - served_at);
      if (served) served_at = io::steady_now();
      wait(milliseconds(50));
    }
    EXPECT_LT(longest, kRecoveryTime);
  }
  void expect_served_within(Duration limit) {
    for (const Process& process : processes_) {
      EXPECT_TRUE(run_until(
          [&] { return all_keys_served(callers(process), process.ip); }, limit))
          << process.ip;
    }
    EXPECT_EQ(grants_of_held_keys_, 0);
  }
};

// Guards against two owners after a loss of the only map, and against a recall
// that cannot read the registry and lets all grants expire.
TEST_P(FirstMapRestored, KeysAreRecalledAndServedAgain) {
  store_.take_copy();
  start_fleet(75);
  add_board();
  watch_owners();
  lose_map_and_start(75, Duration(0));
  expect_served_within(kRecoveryTime);
}

// Guards against a holder that is overlooked because the settings still state
// the first start of the whole system.
TEST_P(FirstMapRestored, ServersThatRegisterLateKeepNoKeysOfOthers) {
  store_.take_copy();
  start_fleet(81);
  add_board();
  watch_owners();
  lose_map_and_start(81, milliseconds(1500));
  expect_served_within(kRecoveryTime);
}

// Guards against a successor that waits until all grants have expired, although
// it can ask the servers.
TEST_P(FirstMapRestored, PausedDaemonsGoOnBesideAnAddedOne) {
  store_.take_copy();
  start_fleet(83);
  add_board();
  watch_owners();
  wait(kLongestGrant);
  for (const Process& process : processes_) ::kill(process.pid, SIGSTOP);
  store_.down = true;
  wait(milliseconds(300));
  store_.restore_copy();
  write_again();
  store_.down = false;
  Process& added = start(85, more_settings_);
  wait(milliseconds(400));
  for (const Process& process : processes_) ::kill(process.pid, SIGCONT);
  expect_always_served(added, kLongestGrant + seconds(3));
  EXPECT_EQ(grants_of_held_keys_, 0);
}

// Guards against the same beside a store that is slow on watches.
TEST_P(FirstMapRestored, KeysAreRecalledBesideASlowStore) {
  store_.take_copy();
  start_fleet(79);
  add_board();
  watch_owners();
  store_.watch_delay = seconds(1);
  lose_map_and_start(79, Duration(0));
  expect_served_within(kSlowRecoveryTime);
}

INSTANTIATE_TEST_SUITE_P(Bootstrap, FirstMapRestored, ::testing::Bool());

// Guards against a store that is slow on watches and is taken for lost, so that
// no change comes into force.
TEST_F(StoreRestored, ChangesOfASlowStoreAreInForce) {
  start_fleet(77);
  store_.watch_delay = seconds(1);
  wait(kSlowStoreTime);
  add_route("/slow/");
  wait(kChangeTime);
  for (const Process& process : processes_)
    EXPECT_EQ(status_of(process, "/slow/x"), 200) << process.ip;
}

TEST_F(StoreRestored, StoreThatStatesNoEraIsServedAsBefore) {
  store_.era.reset();
  start_fleet(37);
  add_route("/early/");
  expect_changes_in_force();
}

}  // namespace
}  // namespace eelgrasspin::platform
