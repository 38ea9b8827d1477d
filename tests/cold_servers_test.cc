#include "fleet/cold_servers.h"

#include "tests/fleet_requests.h"

/// Servers that have just started take a low rate of requests from all daemons
/// together. Load: every daemon has a request for a cold server all the time.
namespace eelgrasspin::fleet {
namespace {

constexpr double kColdRate = 3.4;
constexpr Duration kColdTime = seconds(3);
/// What the platform tolerates within one second: 1.5 times the rate, and 8.
constexpr std::size_t kToleratedPerSecond = 13;

std::shared_ptr<const Configuration> configuration(bool keyed = false) {
  auto made = std::make_shared<Configuration>();
  made->version = 1;
  made->services[kDesk] = {kDesk, keyed, {kColdRate}, kColdTime};
  Route route;
  route.name = "desk";
  route.host = "h";
  route.prefix = "/";
  route.repeatable = true;
  route.objective = seconds(1);
  route.timeout = seconds(2);
  route.attempts = 2;
  route.destinations = {{kDesk, 1}};
  made->routes.push_back(route);
  return made;
}

Server cold_server(std::uint64_t incarnation, Duration warm_up_left) {
  return {ServerName("s"),
          Endpoint("10.1.0.1:9"),
          kDesk,
          ZoneName("z"),
          3,
          Incarnation(incarnation),
          false,
          warm_up_left};
}

/// Daemons that exchange no messages: the rate must hold without any.
class ColdServers : public ::testing::Test {
 protected:
  explicit ColdServers(int daemons = 15) {
    for (int i = 0; i < daemons; ++i) {
      Settings settings;
      settings.self = {DaemonName("d" + std::to_string(i)), Incarnation(1),
                       ZoneName("z"), RegionName("r"),
                       Endpoint("10.0.0." + std::to_string(i + 1) + ":7")};
      settings.regions = {{ZoneName("z"), RegionName("r")}};
      states_.push_back(std::make_unique<State>(make_state(settings, now_)));
    }
    for (auto& state : states_) {
      for (auto& other : states_)
        reduce(*state, DaemonSeen{other->settings.self}, now_);
      reduce(*state, ConfigurationSeen{configuration(), Version(1)}, now_);
    }
  }

  /// Daemons learn of the server up to `spread` apart.
  void announce(const Server& server, Duration spread = Duration(0)) {
    auto count = static_cast<Duration::rep>(states_.size());
    for (std::size_t i = 0; i < states_.size(); ++i) {
      TimePoint at = now_ + spread * static_cast<Duration::rep>(i) / count;
      reduce(*states_[i], ServerSeen{server}, at);
    }
  }

  /// Each daemon asks at each tick whether it may send a request.
  void run_for(Duration duration) {
    for (TimePoint end = now_ + duration; now_ < end;) {
      now_ += config::kTickInterval;
      for (auto& state : states_) {
        ServerState& server = state->servers.at(ServerName("s"));
        if (!may_send_if_cold(*state, server, now_)) continue;
        record_send_to_cold(*state, server, now_);
        if (is_cold(*state, server, now_)) sends_.push_back(now_);
      }
    }
  }

  std::size_t most_within_a_second() const {
    std::size_t most = 0;
    for (TimePoint start : sends_) {
      auto within =
          std::count_if(sends_.begin(), sends_.end(), [start](TimePoint sent) {
            return sent >= start && sent < start + seconds(1);
          });
      most = std::max(most, static_cast<std::size_t>(within));
    }
    return most;
  }

  TimePoint now_{seconds(100)};
  std::vector<std::unique_ptr<State>> states_;
  std::vector<TimePoint> sends_;
};

TEST_F(ColdServers, DaemonsThatDoNotHearEachOtherKeepTheRate) {
  announce(cold_server(1, kColdTime), milliseconds(900));
  run_for(seconds(4));
  EXPECT_LE(most_within_a_second(), kToleratedPerSecond);
  // Most of the rate is used.
  EXPECT_GE(sends_.size(), 7u);
}

TEST_F(ColdServers, RestartCountsAsColdAlthoughTheEntryDoesNotSaySo) {
  announce(cold_server(1, Duration(0)));
  EXPECT_FALSE(
      is_cold(*states_[0], states_[0]->servers.at(ServerName("s")), now_));
  announce(cold_server(2, Duration(0)));
  EXPECT_TRUE(
      is_cold(*states_[0], states_[0]->servers.at(ServerName("s")), now_));
  run_for(seconds(3));
  EXPECT_LE(most_within_a_second(), kToleratedPerSecond);
  now_ += seconds(1);
  EXPECT_FALSE(
      is_cold(*states_[0], states_[0]->servers.at(ServerName("s")), now_));
}

/// The registry shows a restart a second or two after it. A daemon that was
/// refused a connection tells the others.
TEST_F(ColdServers, RefusedConnectionMakesAllDaemonsCautious) {
  announce(cold_server(1, Duration(0)));
  ServerIncarnation server{ServerName("s"), Incarnation(1)};
  on_connection_refused(*states_[0], server, now_);
  auto reports = recent_unreachable_reports(*states_[0], now_);
  ASSERT_EQ(reports.size(), 1u);
  for (auto& state : states_) on_unreachable_reports(*state, reports, now_);
  run_for(seconds(2));
  EXPECT_LE(most_within_a_second(), kToleratedPerSecond);
  EXPECT_GE(sends_.size(), 4u);
  now_ += seconds(1);
  EXPECT_FALSE(
      is_cold(*states_[0], states_[0]->servers.at(ServerName("s")), now_));
}

/// A daemon that has been removed leaves its turns unused, and the others do
/// not send more.
TEST_F(ColdServers, LostDaemonsDoNotRaiseTheRate) {
  announce(cold_server(1, kColdTime));
  states_.erase(states_.begin(), states_.begin() + 7);
  run_for(seconds(4));
  EXPECT_LE(most_within_a_second(), kToleratedPerSecond);
}

TEST_F(ColdServers, ServicesWithoutAColdRateAreSentRequestsAtOnce) {
  for (auto& state : states_) {
    auto warm = std::make_shared<Configuration>(*configuration());
    warm->version = 2;
    warm->services[kDesk] = {kDesk, false};
    reduce(*state, ConfigurationSeen{warm, Version(2)}, now_);
  }
  announce(cold_server(1, kColdTime));
  for (auto& state : states_) {
    EXPECT_TRUE(
        may_send_if_cold(*state, state->servers.at(ServerName("s")), now_));
  }
}

}  // namespace
}  // namespace eelgrasspin::fleet
