#include <gtest/gtest.h>

#include "core/request/operations.h"
#include "core/request/requests.h"
#include "tests/fixtures.h"

namespace eelgrasspin {
namespace {

using core::CancelAttempt;
using core::Effects;
using core::RefuseRequest;
using core::RelayAnswer;
using core::SendToFront;
using fixtures::Daemon;
using fixtures::effects_of;
using fixtures::head;
using fixtures::key_in;
using fixtures::kOtherDaemon;
using fixtures::kOtherEndpoint;
using fixtures::kOtherServer;
using fixtures::kOtherZone;
using fixtures::kService;

const Key kOtherZoneKey = key_in(false);

RefuseRequest refused(const Effects& effects) {
  auto found = effects_of<RefuseRequest>(effects);
  EXPECT_EQ(found.size(), 1U);
  return found.empty() ? RefuseRequest{} : found[0];
}

SendToFront forwarded(const Effects& effects) {
  auto found = effects_of<SendToFront>(effects);
  EXPECT_EQ(found.size(), 1U);
  return found.empty() ? SendToFront{} : found[0];
}

TEST(Operations, MatchesPatternsAndDecodesTheKey) {
  std::vector<core::request::OperationPattern> patterns;
  Declarations all = fixtures::declarations();
  for (const Operation& operation : all.services.at(kService).operations)
    patterns.push_back(core::request::compile_operation(operation));
  auto key_of = [&](const char* method, const char* path) {
    auto match = core::request::match_operation(patterns, method, path);
    return match ? match->operation->name + ":" + match->key.str() : "none";
  };
  EXPECT_EQ(key_of("GET", "/dispatches/a%2Db?since=1"), "read:a-b");
  EXPECT_EQ(key_of("PUT", "/dispatches/a-b/note"), "note:a-b");
  EXPECT_EQ(key_of("POST", "/dispatches/a-b"), "lodge:a-b");
  for (const char* path :
       {"/dispatches", "/dispatches/", "/dispatches/a/", "dispatches/a",
        "/dispatches/%2", "/dispatches/%zz", "/dispatches/%00",
        "/dispatches/..", "//dispatches/a", "/dispatches/a/note/b"})
    EXPECT_EQ(key_of("GET", path), "none") << path;
}

TEST(Entry, ForwardsToTheFrontAndRelaysItsAnswer) {
  Daemon daemon;
  SendToFront sent = forwarded(daemon.arrive(1, head("GET", kOtherZoneKey)));
  EXPECT_EQ(sent.front, kOtherEndpoint);
  EXPECT_EQ(sent.server, kOtherServer);
  EXPECT_TRUE(sent.repeatable);
  EXPECT_LT(sent.time_left, milliseconds(1000));
  Effects ended = daemon.end(sent.request, sent.attempt, AttemptAnswered{});
  EXPECT_EQ(effects_of<RelayAnswer>(ended).size(), 1U);
  Effects late = daemon.end(sent.request, sent.attempt, AttemptAnswered{});
  EXPECT_TRUE(effects_of<RelayAnswer>(late).empty());
  EXPECT_EQ(core::request::open_requests(daemon.state), 0U);
}

TEST(Entry, RefusesBadRequestsAsNotRun) {
  Daemon daemon;
  std::uint64_t id = 0;
  auto reason_of = [&](const RequestHead& bad) {
    RefuseRequest refusal = refused(daemon.arrive(++id, bad));
    EXPECT_EQ(refusal.outcome, Outcome::kNotRun);
    return refusal.reason;
  };
  RequestHead bad = head("GET", kOtherZoneKey);
  bad.service = ServiceName("nothing");
  EXPECT_EQ(reason_of(bad), Reason::kUnknownService);
  EXPECT_EQ(reason_of(head("DELETE", kOtherZoneKey)),
            Reason::kUnknownOperation);
  EXPECT_EQ(reason_of(head("POST", kOtherZoneKey)),
            Reason::kIdempotencyKeyMissing);
  EXPECT_EQ(reason_of(head("POST", kOtherZoneKey, std::string(129, 'k'))),
            Reason::kIdempotencyKeyInvalid);
  EXPECT_EQ(reason_of(head("POST", kOtherZoneKey, "a\nb")),
            Reason::kIdempotencyKeyInvalid);
  bad = head("GET", kOtherZoneKey);
  bad.time_left = seconds(301);
  EXPECT_EQ(reason_of(bad), Reason::kBadRequest);
  bad.time_left = seconds(-1);
  EXPECT_EQ(reason_of(bad), Reason::kBadRequest);
  bad = head("GET", kOtherZoneKey);
  bad.hops = config::kMaxHops + 1;
  EXPECT_EQ(reason_of(bad), Reason::kHopLimit);
  bad = head("GET", kOtherZoneKey);
  bad.body_bytes = config::kMaxBodyBytes + 1;
  EXPECT_EQ(reason_of(bad), Reason::kBodyTooLarge);
}

TEST(Entry, RetriesWhatDidNotRunAtTheFrontOfANewerMap) {
  Daemon daemon;
  SendToFront sent =
      forwarded(daemon.arrive(1, head("POST", kOtherZoneKey, "k1")));
  EXPECT_FALSE(sent.repeatable);
  Effects ended = daemon.end(sent.request, sent.attempt,
                             AttemptNotRun{.reason = Reason::kMoved});
  EXPECT_TRUE(effects_of<RefuseRequest>(ended).empty());
  daemon.put_front(kOtherZone, kOtherServer, DaemonName("marereni-2"),
                   Endpoint("127.0.0.1:7003"));
  SendToFront again = forwarded(daemon.run(milliseconds(20)));
  EXPECT_EQ(again.front, Endpoint("127.0.0.1:7003"));
  EXPECT_NE(again.attempt, sent.attempt);
}

TEST(Entry, NeverRetriesAtMostOnceOfUnknownOutcome) {
  Daemon daemon;
  SendToFront sent =
      forwarded(daemon.arrive(1, head("POST", kOtherZoneKey, "k1")));
  RefuseRequest end =
      refused(daemon.end(sent.request, sent.attempt,
                         AttemptUnknown{.reason = Reason::kConnectionLost}));
  EXPECT_EQ(end.outcome, Outcome::kUnknown);
  EXPECT_TRUE(effects_of<SendToFront>(daemon.run(seconds(2))).empty());
}

TEST(Entry, ReadsAreRetriedAndNeverEndAsNotRunAfterwards) {
  Daemon daemon;
  SendToFront sent = forwarded(daemon.arrive(1, head("GET", kOtherZoneKey)));
  daemon.end(sent.request, sent.attempt,
             AttemptUnknown{.reason = Reason::kConnectionLost});
  SendToFront again = forwarded(daemon.run(milliseconds(20)));
  daemon.end(again.request, again.attempt,
             AttemptNotRun{.reason = Reason::kOwnerUnreachable});
  daemon.put_owner(kOtherZone, kOtherServer, 2, SlotPhase::kMoving);
  RefuseRequest end = refused(daemon.run(seconds(2)));
  EXPECT_EQ(end.outcome, Outcome::kUnknown);
}

TEST(Entry, RetriesStopAtTheBudget) {
  Daemon daemon;
  std::uint64_t sends = 0;
  constexpr std::uint64_t kRequests = 1000;
  for (std::uint64_t id = 1; id <= kRequests; ++id) {
    Effects effects = daemon.arrive(id, head("GET", kOtherZoneKey));
    for (int turn = 0; turn < 5; ++turn) {
      for (const SendToFront& sent : effects_of<SendToFront>(effects)) {
        ++sends;
        daemon.end(sent.request, sent.attempt,
                   AttemptUnknown{.reason = Reason::kConnectionLost});
      }
      effects = daemon.run(milliseconds(20));
    }
  }
  EXPECT_LE(sends - kRequests, kRequests / 10 + config::kInitialRetryBudget);
  EXPECT_GE(sends - kRequests, kRequests / 10 - 1);
}

TEST(Entry, HoldsThroughAMoveAndRefusesAtTheDeadline) {
  Daemon daemon;
  daemon.put_owner(kOtherZone, kOtherServer, 2, SlotPhase::kMoving);
  EXPECT_TRUE(
      effects_of<SendToFront>(daemon.arrive(1, head("GET", kOtherZoneKey)))
          .empty());
  daemon.run(milliseconds(300));
  daemon.put_owner(kOtherZone, kOtherServer, 3);
  EXPECT_EQ(forwarded(daemon.run(milliseconds(20))).epoch, Epoch(3));
  daemon.put_owner(kOtherZone, kOtherServer, 4, SlotPhase::kUnassigned);
  daemon.arrive(2, head("GET", kOtherZoneKey));
  Effects effects = daemon.run(milliseconds(1100));
  std::vector<RefuseRequest> ends = effects_of<RefuseRequest>(effects);
  ASSERT_EQ(ends.size(), 2U);
  EXPECT_EQ(ends[0].reason, Reason::kTimeoutAfterSend);
  EXPECT_EQ(ends[0].outcome, Outcome::kUnknown);
  EXPECT_EQ(ends[1].reason, Reason::kNoOwner);
  EXPECT_EQ(ends[1].outcome, Outcome::kNotRun);
  EXPECT_EQ(effects_of<CancelAttempt>(effects).size(), 1U);
}

TEST(Entry, BoundsHeldRequests) {
  Daemon daemon;
  daemon.put_owner(kOtherZone, kOtherServer, 2, SlotPhase::kUnassigned);
  std::size_t refusals = 0;
  for (std::uint64_t id = 1; id <= config::kMaxHeldRequests + 5; ++id)
    refusals +=
        effects_of<RefuseRequest>(daemon.arrive(id, head("GET", kOtherZoneKey)))
            .size();
  EXPECT_EQ(refusals, 5U);
}

TEST(Entry, RefusesAForwardedRequestThatIsNotForItsServers) {
  Daemon daemon;
  ForwardedFrom from{kOtherDaemon, kOtherServer, SlotId(9), Epoch(1)};
  RefuseRequest end =
      refused(daemon.arrive(1, head("GET", kOtherZoneKey), from));
  EXPECT_EQ(end.outcome, Outcome::kNotRun);
  EXPECT_EQ(end.reason, Reason::kMoved);
  EXPECT_EQ(end.newer_epoch, Epoch(1));
}

TEST(Entry, CountsEachCallersRequestOnce) {
  Daemon daemon;
  SendToFront first = forwarded(daemon.arrive(1, head("GET", kOtherZoneKey)));
  daemon.arrive(2, head("GET", kOtherZoneKey));
  daemon.arrive(3, head("DELETE", kOtherZoneKey));
  daemon.end(first.request, first.attempt, AttemptAnswered{});
  daemon.apply(core::RequestCancelled{RequestId(2)});
  daemon.arrive(4, head("GET", kOtherZoneKey));
  DaemonAccount account =
      core::request::accounts(daemon.state, daemon.now()).at(kService);
  std::uint64_t ended = 0;
  for (const auto& reasons : account.counts.by_reason) {
    for (const auto& [reason, count] : reasons) ended += count;
  }
  EXPECT_EQ(account.counts.admitted, 4U);
  EXPECT_EQ(account.counts.in_flight, 1U);
  EXPECT_EQ(ended, 3U);
  EXPECT_EQ(account.samples.size(), 2U);
}

}  // namespace
}  // namespace eelgrasspin
