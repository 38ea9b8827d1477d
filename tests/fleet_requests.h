#ifndef EELGRASSPIN_TESTS_FLEET_REQUESTS_H_
#define EELGRASSPIN_TESTS_FLEET_REQUESTS_H_

#include <gtest/gtest.h>

#include "fleet/reduce.h"

/// One daemon's reducer with a few servers; a test ends the attempts that the
/// daemon makes.
namespace eelgrasspin::fleet {

inline const ServiceName kDesk{"desk"};
inline const ServiceName kBooking{"booking"};

class FleetRequests : public ::testing::Test {
 protected:
  FleetRequests() {
    Settings settings;
    settings.self = {DaemonName("d"), Incarnation(1), ZoneName("z"),
                     RegionName("r"), Endpoint("10.0.0.1:7")};
    settings.regions = {{ZoneName("z"), RegionName("r")},
                        {ZoneName("far"), RegionName("other")}};
    // It has been up for long enough to have its share of the retry slack.
    state_ = make_state(settings, now_ - settings.retry_window);
  }

  Route route(const char* prefix, const ServiceName& service, bool repeatable) {
    Route made;
    made.name = prefix;
    made.host = "h";
    made.prefix = prefix;
    made.repeatable = repeatable;
    made.objective = milliseconds(500);
    made.timeout = seconds(1);
    made.attempts = 2;
    made.destinations = {{service, 1}};
    return made;
  }

  void configure(std::vector<Route> routes = {}, std::uint64_t version = 1) {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->services[kDesk] = {kDesk, false};
    configuration->services[kBooking] = {kBooking, booking_is_keyed_};
    configuration->routes =
        routes.empty() ? std::vector<Route>{route("/safe/", kDesk, true),
                                            route("/once/", kBooking, false)}
                       : std::move(routes);
    apply(ConfigurationSeen{configuration, Version(version)});
  }

  void add(const char* name, const ServiceName& service,
           const char* zone = "z") {
    apply(ServerSeen{{ServerName(name),
                      Endpoint(std::string("10.1.0.1:") + name), service,
                      ZoneName(zone), 2, Incarnation(1), false, Duration(0)}});
  }

  /// Makes the server the owner of all keys of the booking service.
  void own(const char* server, std::uint64_t revision) {
    OwnerMap map;
    map.service = kBooking;
    map.coordinator = DaemonName("other");
    map.last_epoch = Epoch(revision);
    map.ranges = {{ShardKey(0),
                   ShardKey(kMaxShardKey),
                   {ServerName(server), Incarnation(1)},
                   Epoch(revision),
                   {}}};
    apply(MapSeen{map, Version(revision)});
  }

  Effects apply(const Event& event) {
    Effects effects = reduce(state_, event, now_);
    for (const Effect& effect : effects) {
      if (const auto* send = std::get_if<SendAttempt>(&effect)) {
        sends_.push_back(*send);
      }
      if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        answers_.push_back(*answer);
      }
      if (const auto* relay = std::get_if<RelayAnswer>(&effect)) {
        relays_.push_back(*relay);
      }
      if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        cancels_.push_back(*cancel);
      }
    }
    return effects;
  }

  void request(std::uint64_t id, const char* path,
               Duration deadline = seconds(2), std::uint64_t fingerprint = 0) {
    apply(RequestReceived{RequestId(id), "label", "h", path, std::nullopt,
                          deadline,
                          Fingerprint(fingerprint == 0 ? id : fingerprint)});
  }
  void end(AttemptResult result, int status = 0) {
    AttemptEnded ended;
    ended.id = sends_.back().id;
    ended.result = result;
    ended.status = status;
    if (result == AttemptResult::kAnswered) ended.answer = answer_;
    apply(ended);
  }
  void pass(Duration duration) {
    TimePoint until = now_ + duration;
    while (now_ < until) {
      now_ += config::kTickInterval;
      apply(Tick());
    }
  }

  TimePoint now_{seconds(100)};
  State state_;
  bool booking_is_keyed_ = false;
  /// An answer is opaque to the reducer, so any address will do.
  int token_ = 0;
  std::shared_ptr<const ServerAnswer> answer_{
      std::make_shared<int>(), reinterpret_cast<const ServerAnswer*>(&token_)};
  std::vector<SendAttempt> sends_;
  std::vector<AnswerCaller> answers_;
  std::vector<RelayAnswer> relays_;
  std::vector<CancelAttempt> cancels_;
};

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_TESTS_FLEET_REQUESTS_H_
