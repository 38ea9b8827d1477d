#include "fleet/admission.h"

#include <gtest/gtest.h>

#include <set>

#include "fleet/config.h"
#include "fleet/duration.h"

/// Decisions of admission at one server. Each test names the load it answers.
namespace eelgrasspin::fleet {
namespace {

Candidate server(std::uint32_t slots, std::uint32_t load,
                 Duration service_time) {
  return {ServerName("s"), Distance::kSameZone, slots, load, service_time, 1.0};
}

AdmissionRequest request(Duration objective) {
  AdmissionRequest made;
  made.objective = objective;
  made.time_left = seconds(6);
  made.assumed_age = config::kMinKnownLoadAge;
  made.keyed = true;
  return made;
}

TEST(Admission, FreeSlotsAreOpenToTheLeastUrgentRequest) {
  AdmissionRequest late = request(milliseconds(100));
  late.urgency = {3, milliseconds(100)};
  late.time_left = milliseconds(10);
  Candidate candidate = server(6, 5, milliseconds(480));
  set_queue_places(candidate, late, 0);
  EXPECT_EQ(candidate.queue_places, 0u);
  EXPECT_TRUE(has_room(candidate, late.objective));
}

/// Load: a full server of 6 slots. With one bound for all, a request with much
/// slack was refused though it would have ended in time.
TEST(Admission, QueueIsAsLongAsTheObjectiveAllows) {
  Candidate full = server(6, 6, milliseconds(480));
  EXPECT_EQ(queue_places(request(milliseconds(1500)), full, 0), 6u);
  EXPECT_EQ(queue_places(request(milliseconds(600)), full, 0), 2u);
  EXPECT_EQ(queue_places(request(milliseconds(400)), full, 0), 0u);
}

/// Load: other daemons fill the same gap before their requests are known. With
/// no regard to the age of the loads, answers are late.
TEST(Admission, OldLoadsShortenTheQueueButNotThatOfASingleDaemon) {
  Candidate full = server(6, 6, milliseconds(480));
  AdmissionRequest tight = request(milliseconds(1000));
  tight.assumed_age = milliseconds(160);
  EXPECT_EQ(queue_places(tight, full, 6), 6u);
  EXPECT_EQ(queue_places(tight, full, 0), 5u);
  tight.assumed_age = config::kMaxKnownLoadAge;
  EXPECT_EQ(queue_places(tight, full, 0), config::kMaxServerQueue);
  EXPECT_EQ(unseen_wait(full, 3, milliseconds(160)), milliseconds(80));
}

/// Load: a burst of requests without keys. Longer queues at servers whose
/// requests are not all reported gave more rejections by servers.
TEST(Admission, QueueStaysShortWhereAnotherServerCanTakeTheRequest) {
  Candidate full = server(6, 6, milliseconds(480));
  AdmissionRequest usual = request(milliseconds(1500));
  usual.keyed = false;
  EXPECT_EQ(queue_places(usual, full, 0), config::kMaxServerQueue);
}

/// A server of 2 slots has the places that all requests had before.
TEST(Admission, SmallServersKeepTheirQueue) {
  for (std::uint32_t load = 0; load < 8; ++load) {
    Candidate plain = server(2, load, milliseconds(200));
    Candidate candidate = plain;
    set_queue_places(candidate, request(milliseconds(500)), 0);
    EXPECT_EQ(has_room(candidate, milliseconds(500)),
              has_room(plain, milliseconds(500)))
        << load;
  }
}

TEST(Admission, QueueEndsWhereTheCallersDeadlineWouldPass) {
  AdmissionRequest late = request(milliseconds(1500));
  late.time_left = milliseconds(650);
  EXPECT_EQ(queue_places(late, server(6, 6, milliseconds(480)), 0), 2u);
}

/// Load: two priorities on one service. Without a reserve the urgent ones find
/// the places taken.
TEST(Admission, LessUrgentRequestsLeaveAReserveToUrgentOnes) {
  Candidate full = server(6, 6, milliseconds(300));
  AdmissionRequest usual = request(milliseconds(1500));
  std::uint32_t alone = queue_places(usual, full, 0);
  usual.urgency = {1, milliseconds(1200)};
  std::uint32_t urgent = queue_places(request(milliseconds(1200)), full, 0);
  EXPECT_EQ(alone, 6u);
  EXPECT_EQ(urgent, 6u);
  EXPECT_EQ(queue_places(usual, full, 0), 3u);
  // The reserve counts from what the urgent ones can use.
  usual.urgency = {1, milliseconds(380)};
  EXPECT_EQ(queue_places(usual, full, 0), 0u);
}

TEST(Admission, ReturningCallersPrecedeNewOnesButTakeNoReserve) {
  Candidate full = server(6, 6, milliseconds(300));
  AdmissionRequest fresh = request(milliseconds(1500));
  AdmissionRequest returned = fresh;
  returned.caller = {true, milliseconds(150)};
  EXPECT_EQ(queue_places(returned, full, 0), queue_places(fresh, full, 0) + 1);
  returned.caller.elapsed = milliseconds(1300);
  returned.time_left = milliseconds(1300);
  EXPECT_EQ(queue_places(returned, full, 0), queue_places(fresh, full, 0) + 2);
  // Its answer is late in any case.
  returned.caller.elapsed = milliseconds(1600);
  EXPECT_EQ(queue_places(returned, full, 0), queue_places(fresh, full, 0));
  returned.caller.elapsed = milliseconds(1300);
  returned.urgency = {1, milliseconds(1200)};
  EXPECT_LT(queue_places(returned, full, 0),
            queue_places(request(milliseconds(1200)), full, 0));
}

/// Load: a server whose queue is full for a moment, without overload. A reserve
/// refused the less urgent request though nobody needed the place.
TEST(Admission, ReserveIsLeftOnlyWhileRequestsAreRefused) {
  State state;
  Route route;
  RequestState waiting;
  waiting.route = &route;
  waiting.service = ServiceName("a");
  waiting.urgency = {1, seconds(1)};
  TimePoint now{seconds(100)};
  EXPECT_EQ(admission_request(state, waiting, now).urgency.level, 0u);
  count_refusal(state.refusal_counts[{waiting.service, ServerName()}], now);
  EXPECT_EQ(admission_request(state, waiting, now).urgency.level, 1u);
  EXPECT_EQ(admission_request(state, waiting, now + seconds(2)).urgency.level,
            0u);
}

TEST(Admission, OnlyRoutesToTheSameServiceAreMoreUrgent) {
  Configuration configuration;
  auto add = [&](std::uint32_t priority, const char* service, Duration aim) {
    Route route;
    route.priority = priority;
    route.objective = aim;
    route.destinations = {{ServiceName(service), 1}};
    configuration.routes.push_back(route);
  };
  add(2, "a", seconds(2));
  add(1, "a", seconds(3));
  add(0, "a", seconds(1));
  add(0, "b", milliseconds(500));
  Urgency urgency =
      urgency_at(configuration, configuration.routes[0], ServiceName("a"));
  EXPECT_EQ(urgency.level, 2u);
  EXPECT_EQ(urgency.shortest_objective, seconds(1));
  EXPECT_EQ(urgency_at(configuration, configuration.routes[2], ServiceName("a"))
                .level,
            0u);
  configuration.routes[2].destinations[0].weight = 0;
  EXPECT_EQ(urgency_at(configuration, configuration.routes[0], ServiceName("a"))
                .level,
            1u);
}

TEST(Admission, ElapsedTimeIsTheMissingPartOfTheDeadline) {
  EXPECT_FALSE(caller_history(seconds(6), seconds(6)).retried);
  CallerHistory history = caller_history(seconds(4), seconds(6));
  EXPECT_TRUE(history.retried);
  EXPECT_EQ(history.elapsed, seconds(2));
}

TEST(Admission, RetryAfterFollowsTheBacklogAndEarlierRefusals) {
  Candidate full = server(6, 6, milliseconds(480));
  full.queue_places = 0;
  RetryDelayInput input;
  input.time_left = seconds(6);
  input.elapsed = seconds(2);
  input.objective = milliseconds(1500);
  input.spread = 0.5;
  Duration one = retry_delay({full}, input);
  input.callers = 10;
  Duration ten = retry_delay({full}, input);
  full.load = 12;
  Duration deep = retry_delay({full}, input);
  EXPECT_LT(one, ten);
  EXPECT_LT(ten, deep);
  input.callers = 1000;
  EXPECT_LE(retry_delay({full}, input), milliseconds(1800));
  input.elapsed = Duration(0);
  EXPECT_LE(retry_delay({full}, input), milliseconds(450));
  input.time_left = milliseconds(100);
  EXPECT_LE(retry_delay({full}, input), milliseconds(30));
  input.time_left = Duration(0);
  EXPECT_EQ(retry_delay({full}, input), Duration(0));
}

/// Load: callers refused in one moment. With one Retry-After for all they
/// return in one moment as well.
TEST(Admission, RefusedCallersReturnSpreadOverAnInterval) {
  Candidate full = server(3, 6, milliseconds(240));
  full.queue_places = 3;
  for (double callers : {1.0, 20.0, 1000.0}) {
    State state;
    state.settings.self.name = DaemonName("d");
    std::set<std::int64_t> tenths;
    Duration shortest = Duration::max();
    Duration longest{0};
    RetryDelayInput input;
    input.time_left = milliseconds(2500);
    input.objective = seconds(1);
    input.callers = callers;
    for (int i = 0; i < 20; ++i) {
      input.spread = next_spread(state);
      Duration delay = retry_delay({full}, input);
      shortest = std::min(shortest, delay);
      longest = std::max(longest, delay);
      tenths.insert(static_cast<std::int64_t>(input.spread * 10));
    }
    EXPECT_EQ(tenths.size(), 10u);
    EXPECT_GE(longest - shortest, milliseconds(40)) << callers;
    EXPECT_GE(shortest, config::kMinRetryAfter);
    EXPECT_LE(longest, scaled(input.time_left, config::kMaxRetryAfterShare));
  }
}

TEST(Admission, RefusalCountDecays) {
  RefusalCount refusals;
  TimePoint now{seconds(100)};
  EXPECT_NEAR(count_refusal(refusals, now), 1, 1e-6);
  EXPECT_NEAR(count_refusal(refusals, now), 2, 1e-6);
  EXPECT_NEAR(count_refusal(refusals, now + config::kRefusalHalfLife), 2, 1e-6);
}

}  // namespace
}  // namespace eelgrasspin::fleet
