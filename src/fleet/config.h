#ifndef EELGRASSPIN_FLEET_CONFIG_H_
#define EELGRASSPIN_FLEET_CONFIG_H_

#include <cstddef>
#include <cstdint>

#include "eelgrasspin/units.h"

/// Limits and defaults of fleet routing.
namespace eelgrasspin::fleet::config {

/// Time between two ticks of the reducer.
inline constexpr Duration kTickInterval = milliseconds(20);

// Heartbeats between daemons.
/// Minimum time between two heartbeats to daemons of the own zone while the
/// load changes.
inline constexpr Duration kLoadChangeHeartbeatInterval = milliseconds(60);
/// The same minimum time is at least this long for each daemon of the zone, so
/// that the rate of heartbeats received in a zone is bounded.
inline constexpr Duration kLoadChangeIntervalPerDaemon = milliseconds(6);
/// Interval at which the loads of daemons that have timed out are dropped.
inline constexpr Duration kLoadExpiryInterval = milliseconds(100);
/// Interval of heartbeat batches that list all daemons of the zone; the others
/// hold the relay's heartbeat and the loads of the zone.
inline constexpr Duration kZoneMembersInterval = milliseconds(500);
/// Interval at which the relay of the own zone is determined anew, unless the
/// present one is lost.
inline constexpr Duration kRelayCheckInterval = milliseconds(100);
/// Interval of heartbeats to daemons of the own zone if the load does not
/// change, and of heartbeats of a coordinator to its whole region.
inline constexpr Duration kRegularHeartbeatInterval = milliseconds(200);
/// Interval of heartbeats of a coordinator to other regions; long because
/// traffic between regions is paid for by volume.
inline constexpr Duration kOtherRegionHeartbeatInterval = milliseconds(500);
/// Interval of the heartbeat batches that a zone's relay sends to the other
/// zones of its region.
inline constexpr Duration kOwnRegionBatchInterval = milliseconds(80);
/// Interval of the heartbeat batches that a zone's relay sends to zones of
/// other regions.
inline constexpr Duration kOtherRegionBatchInterval = milliseconds(500);
/// Time without a heartbeat after which a daemon of the own zone, or a
/// coordinator of the own region, is not considered alive: five intervals.
inline constexpr Duration kDaemonTimeout = milliseconds(1000);
/// Time without a heartbeat after which a coordinator of another region is not
/// considered alive: three and a half intervals.
inline constexpr Duration kOtherRegionDaemonTimeout = milliseconds(1750);
/// Added to the daemon timeout if a relay forwards the daemon's heartbeats: its
/// zone takes kDaemonTimeout to replace a relay that has failed.
inline constexpr Duration kRelayedTimeoutExtension = milliseconds(750);
/// Time after its start in which a daemon sends heartbeats to every other
/// daemon directly.
inline constexpr Duration kStartAnnouncementTime = seconds(3);
/// Interval of key load reports to a coordinator, or to the zone's relay.
inline constexpr Duration kKeyLoadReportInterval = milliseconds(600);
/// Age from which on a key load report is ignored: three intervals.
inline constexpr Duration kMaxKeyLoadReportAge = milliseconds(1800);
/// One in this many heartbeats carries the daemon's whole record, with zone,
/// region, address and capacity.
inline constexpr std::uint64_t kHeartbeatsPerFullRecord = 8;
/// Time after its start in which every heartbeat of a daemon carries its whole
/// record.
inline constexpr Duration kFullRecordsAfterStart = seconds(8);
/// An owner map that has been older than another daemon's for this long is read
/// from the store.
inline constexpr Duration kOutdatedMapReadDelay = milliseconds(150);
/// Time without a confirmation of its map by the store after which a
/// coordinator reads the map again.
inline constexpr Duration kMapCheckInterval = seconds(3);
/// Time without a heartbeat after which the record of a daemon is dropped.
inline constexpr Duration kDaemonRetention = seconds(60);
/// Time after its start in which a daemon only collects heartbeats, before it
/// may create a first map.
inline constexpr Duration kElectionStartDelay = milliseconds(500);
/// A first map is created once no server of the service has joined for this
/// long: servers that start together register within a few hundred
/// milliseconds.
inline constexpr Duration kFirstMapJoinDelay = milliseconds(700);
/// Time without an answer of the store after which a coordinator lets another
/// daemon take over.
inline constexpr Duration kCoordinatorStoreTimeout = milliseconds(2500);

// Grants.
/// Duration of a grant for keys with traffic. It bounds how long the keys are
/// without an owner after a crash.
inline constexpr Duration kGrantHold = milliseconds(3500);
/// Interval of renewals of a grant for keys with traffic: two may fail before
/// the grant expires.
inline constexpr Duration kGrantRenewalInterval = milliseconds(1000);
/// Duration of a grant for keys with little traffic; longer because renewals
/// are paid for by volume.
inline constexpr Duration kLowTrafficGrantHold = seconds(8);
/// Interval of renewals of a grant for keys with little traffic.
inline constexpr Duration kLowTrafficRenewalInterval = milliseconds(2500);
/// Request rate of a key range below which it counts as having little traffic.
inline constexpr double kLowTrafficRequestsPerSecond = 1.0;
/// A server loses its keys, although it is still listed, if no connection to it
/// could be made for at least this long and kServerUnreachableFailures times in
/// a row.
inline constexpr Duration kServerUnreachableTime = milliseconds(1000);
/// Consecutive failed connections from which on a server may count as
/// unreachable.
inline constexpr std::uint32_t kServerUnreachableFailures = 2;
/// Time after its last failed connection in which an unreachable server is
/// assigned no keys.
inline constexpr Duration kUnreachableServerExclusion = seconds(20);
/// Largest share of a service's servers that may count as unreachable: beyond
/// it the coordinator's own network path is the likelier cause.
inline constexpr double kMaxUnreachableServerShare = 0.5;
/// Response timeout of a grant or a renewal.
inline constexpr Duration kGrantTimeout = milliseconds(400);
/// Response timeout of a release, which is answered when running requests have
/// ended.
inline constexpr Duration kReleaseTimeout = seconds(3);
/// Delay before a failed order is sent again.
inline constexpr Duration kOrderRetryDelay = milliseconds(150);
/// Delay before a coordinator looks again at keys whose owner is not listed.
inline constexpr Duration kOwnerCheckInterval = milliseconds(100);
/// Interval at which a coordinator drops outdated records of grants and
/// servers.
inline constexpr Duration kCoordinatorPruneInterval = milliseconds(1000);
/// A range whose order waits for the end of another one is looked at this often
/// in any case.
inline constexpr Duration kWaitingRangeCheckInterval = milliseconds(1000);
/// Orders sent since its last answer that have ended without one, from which on
/// a server counts as silent: it gets one grant and one release at a time, so
/// that the number of orders depends on the servers and not on their ranges.
inline constexpr std::uint32_t kSilentServerOrders = 2;
/// Delay from the end of an unanswered order to a silent server to the next.
inline constexpr Duration kSilentServerRetryDelay = milliseconds(250);
/// Orders in flight at one server: the others wait until one has ended.
inline constexpr std::size_t kMaxGrantsPerServer = 16;
/// More than grants, as a release is answered when running requests have ended.
inline constexpr std::size_t kMaxReleasesPerServer = 64;
/// Orders that a coordinator sends in one tick, so that renewals which are due
/// together do not hold up the event loop.
inline constexpr std::size_t kMaxOrdersPerTick = 32;
/// Orders in flight of one coordinator. Each may need a connection of its own.
inline constexpr std::size_t kMaxGrantsInFlight = 256;
inline constexpr std::size_t kMaxReleasesInFlight = 256;
/// Those of them that are to silent servers.
inline constexpr std::size_t kMaxProbesInFlight = 96;
/// Share of a grant's duration by which a server's clock may run slow.
inline constexpr double kMaxClockLagShare = 0.02;
/// Added to a grant's duration before the grant counts as expired: the server's
/// timers fire late.
inline constexpr Duration kHoldExpirySlack = milliseconds(100);
/// Added to it if the grant was not answered, for delays of scheduling and
/// delivery.
inline constexpr Duration kOrderArrivalSlack = milliseconds(300);
/// An order that is answered within this time shows that the path to the
/// region of its server is not congested.
inline constexpr Duration kPromptOrderAnswer = milliseconds(150);
/// Added for a grant without an answer if the path is congested: requests fill
/// the queues of a link for as long as their callers wait for answers.
inline constexpr Duration kCongestedPathDelay = seconds(5);
/// Time without an answer of the store after which a coordinator stops renewing
/// grants.
inline constexpr Duration kMaxRenewalWithoutStore = seconds(15);
/// Time without a heartbeat of any daemon, and without an answer of the store
/// about the map, after which a coordinator sends no orders: less than
/// kDaemonTimeout, by the time that an order is on its way.
inline constexpr Duration kIsolationTimeout = milliseconds(700);
/// Time without a heartbeat after which it asks the store: more than an
/// interval between regions.
inline constexpr Duration kIsolationCheckDelay = milliseconds(550);

// Placement of keys.
/// Interval of placement rounds, which compare the load of the servers.
inline constexpr Duration kPlacementInterval = milliseconds(600);
/// Keys in a key load report of one daemon, the most loaded ones.
inline constexpr std::size_t kMaxReportedKeys = 48;
/// Keys in a key load report of a zone's relay, which covers all daemons of its
/// zone; the report still fits one datagram.
inline constexpr std::size_t kMaxRelayReportedKeys = 512;
/// Half-life of the decayed count of a key's requests.
inline constexpr Duration kKeyLoadHalfLife = milliseconds(2500);
/// Ratio of a server's load to its fair share above which keys are moved away
/// from it.
inline constexpr double kOverloadRatio = 1.3;
/// Request rate of the whole service below which no keys are moved.
inline constexpr double kMinRebalanceRequestsPerSecond = 4.0;
/// Number of moves that one placement round may order in a service of few
/// servers.
inline constexpr std::size_t kBaseMovesPerRound = 6;
/// In a service of many servers, a placement round may order one move per this
/// many servers.
inline constexpr std::size_t kServersPerMove = 8;
/// Time in which keys that have moved are not moved again.
inline constexpr Duration kMoveCooldown = milliseconds(2500);
// Placement while a server of the service is overloaded.
/// Requests beyond its slots from which on a server counts as overloaded: one
/// place short of a full queue.
inline constexpr std::uint32_t kOverloadQueue = 2;
/// A server is idle up to this share of its slots. Without idle servers there
/// is nothing to move keys to.
inline constexpr double kIdleSlotShare = 0.5;
/// Interval of the check for overloaded servers.
inline constexpr Duration kOverloadCheckInterval = milliseconds(100);
/// Time for which a service counts as overloaded after its last overloaded
/// server; longer than loads take to arrive from other regions.
inline constexpr Duration kOverloadLinger = milliseconds(1000);
/// Interval of placement rounds of an overloaded service. With 100 ms, 2 % more
/// requests were served in the simulation of fleet_hot_keys_test, but each
/// round costs the coordinator processor time and a write to the store.
inline constexpr Duration kHotPlacementInterval = milliseconds(200);
/// Interval of key load reports of an overloaded service within a region.
inline constexpr Duration kHotReportInterval = milliseconds(200);
/// Keys in such a report to another region, where traffic is paid for by
/// volume: half as many as in an ordinary one.
inline constexpr std::size_t kMaxOtherRegionHotKeys = 256;
/// Half-life of the count of a key's recent requests, by which the keys of an
/// overloaded service are placed.
inline constexpr Duration kRecentKeyLoadHalfLife = milliseconds(500);
/// Moves that one placement round of an overloaded service may order, for a
/// service of few servers.
inline constexpr std::size_t kBaseHotMovesPerRound = 12;
/// In a service of many servers, such a round may order one move per this many
/// servers.
inline constexpr std::size_t kServersPerHotMove = 3;
/// Number of ranges, as a share of max_ranges(), from which on ranges without
/// traffic are joined.
inline constexpr double kJoinRangesShare = 0.5;

/// Number of ranges above which no range is split, for a service of few
/// servers: each range is renewed by a call of its own.
inline constexpr std::size_t kBaseMaxRanges = 160;
/// Number of ranges per server above which no range is split, for a service of
/// many servers.
inline constexpr std::size_t kRangesPerServer = 4;
/// Share of a service's load that is assumed to be spread evenly over all keys.
inline constexpr double kEvenLoadShare = 0.15;

// Requests.
/// Deadline of a request that names none.
inline constexpr Duration kDefaultDeadline = seconds(5);
/// Requests beyond its slots that may be queued at a server.
inline constexpr std::uint32_t kMaxServerQueue = 3;
/// Service time that is assumed until a service has answered a request.
inline constexpr Duration kInitialServiceTime = milliseconds(200);
/// Weight of one answer in the moving average of a server's service time.
inline constexpr double kServiceTimeSampleWeight = 0.15;
/// Weight of one outcome in the moving average of a server's success rate.
inline constexpr double kOutcomeSampleWeight = 0.2;
/// Lower bound of the assumed success rate, so that a failing server is still
/// tried from time to time.
inline constexpr double kMinSuccessRate = 0.05;
/// Half-life of a server's recorded failures.
inline constexpr Duration kFailureHalfLife = seconds(2);
/// Time after a failed connection in which a server is not chosen.
inline constexpr Duration kConnectBackoff = milliseconds(500);
/// Delay before a keyed request is sent again to an owner that did not hold the
/// key yet.
inline constexpr Duration kOwnerRetryDelay = milliseconds(120);
/// Upper bound of Retry-After, as a share of the caller's remaining time:
/// callers ignore longer values.
inline constexpr double kMaxRetryAfterShare = 0.3;
/// Lower bound of Retry-After.
inline constexpr Duration kMinRetryAfter = milliseconds(100);
/// A repeatable request is sent to another server when it has taken this many
/// times the expected time. Users state that the longest requests of a service
/// take up to five times as long as usual.
inline constexpr double kResponseTimeoutFactor = 6.0;
/// It is sent again earlier if otherwise less than this many times the expected
/// time would remain until the deadline.
inline constexpr double kResendTimeFactor = 1.5;
/// It is never sent again before this many times the expected time.
inline constexpr double kMinResponseTimeoutFactor = 3.0;
/// A keyed request, which only its owner can serve, is sent to the same server
/// on another connection after this many times the expected time, in case the
/// first connection is dead.
inline constexpr double kOwnerResponseTimeoutFactor = 5.0;
/// Longest wait of a request for a free server, as a share of the route's
/// objective.
inline constexpr double kMaxWaitObjectiveShare = 0.3;
/// Requests beyond its slots and kMaxServerQueue that may be queued at a server
/// for callers that retry after a refusal.
inline constexpr std::uint32_t kRetryingCallerExtraQueue = 1;
/// Queue places of a server per slot, however much time a request has: more
/// gave fewer refusals but more late answers, and none more in time.
inline constexpr double kMaxQueuePlacesPerSlot = 1.0;
/// Age of the loads known of other daemons: of the own zone, and of other
/// regions.
inline constexpr Duration kMinKnownLoadAge = kLoadChangeHeartbeatInterval;
inline constexpr Duration kMaxKnownLoadAge = kOtherRegionBatchInterval;
/// Queue places per slot that requests leave to each more urgent priority. A
/// third served fewer requests of either priority in time.
inline constexpr double kUrgentReserveShare = 0.5;
/// Queue places per slot that only callers who retry after a refusal may use,
/// times the share of their time that they have used up.
inline constexpr double kMaxRetryingCallerShare = 0.5;
/// Upper bound of Retry-After, as a share of the route's objective, for callers
/// whose objective has not passed: later ones return too late for it.
inline constexpr double kMaxRetryAfterObjectiveShare = 0.2;
/// Half-life of the count of refusals by full servers: most refused callers
/// have come back by then.
inline constexpr Duration kRefusalHalfLife = milliseconds(500);
/// Share of Retry-After by which it varies, so that refused callers do not
/// return together.
inline constexpr double kRetryAfterSpread = 0.5;
/// A deadline below this share of the longest one seen on the route shows that
/// the caller retries after a refusal.
inline constexpr double kRetryingCallerDeadlineShare = 0.97;
/// The nearest server is preferred to a faster one further away if it is
/// expected to answer within this share of the objective.
inline constexpr double kNearestServerObjectiveShare = 0.75;
/// Maximum number of failed connection attempts for one request.
inline constexpr std::uint32_t kMaxConnectAttempts = 3;

// Requests that crash servers.
/// Number of servers that a request has to crash before all daemons refuse it.
inline constexpr std::uint32_t kQuarantineStrikes = 2;
/// Time for which a strike counts.
inline constexpr Duration kQuarantineTime = minutes(10);
/// Longest time between the end of a request's attempt and the notice that its
/// server has ended for which the request is taken for the cause of the crash.
/// Outages of the store do not count.
inline constexpr Duration kCrashWindow = seconds(5);
/// Time for which attempts at a crashed server that end late are taken for the
/// cause of the crash; longer than requests last.
inline constexpr Duration kCrashedServerRetention = seconds(30);
/// Time for which heartbeats repeat a new strike.
inline constexpr Duration kStrikeAnnouncementTime = seconds(2);
/// Interval at which heartbeats repeat the strikes of requests in quarantine,
/// for daemons that have started or were cut off. Time limits hold for such a
/// daemon three seconds later.
inline constexpr Duration kStrikeRepeatInterval = seconds(2);
/// Time for which each repetition lasts: at least one heartbeat to each daemon.
inline constexpr Duration kStrikeRepeatTime =
    kOtherRegionBatchInterval + kTickInterval;
/// Maximum number of strikes in one heartbeat.
inline constexpr std::size_t kMaxAnnouncedStrikes = 256;
/// Maximum number of strikes in the store's record of requests in quarantine;
/// the newest are kept.
inline constexpr std::size_t kMaxRecordedStrikes = 1024;
/// Delay before the record is tried again after a conflict or a failure.
inline constexpr Duration kQuarantineRecordRetryDelay = milliseconds(500);
/// Maximum number of interrupted requests that are remembered; the oldest are
/// dropped first.
inline constexpr std::size_t kMaxInterruptedRequests = 256;

// Notices in the answers of servers.
/// Longest Retry-After of a server that is observed; longer ones are taken for
/// mistakes.
inline constexpr Duration kMaxServerBackoff = seconds(600);
/// Time for which heartbeats repeat that a server is leaving.
inline constexpr Duration kLeavingReportTime = seconds(2);

// Servers whose address another server has.
/// Time for which heartbeats repeat that a server has been displaced.
inline constexpr Duration kDisplacedReportTime = seconds(2);
/// Maximum number of such servers in one heartbeat; the newest are reported.
inline constexpr std::size_t kMaxDisplacedReports = 64;

// Servers that have just started.
/// Time after a refused connection in which a server may have started again
/// without the registry showing it: servers register within a second, and the
/// registry is read another second later.
inline constexpr Duration kRestartSuspicionTime = milliseconds(2500);
/// Time for which heartbeats repeat that a server has refused a connection.
inline constexpr Duration kRestartReportTime = milliseconds(600);
/// Maximum number of such servers in one heartbeat.
inline constexpr std::size_t kMaxRestartReports = 64;

// Limits that servers state.
/// Window of the demand for a limited server.
inline constexpr Duration kDemandWindow = seconds(1);
/// Window in which the requests sent to a limited server are counted. Nothing
/// more is sent while they exceed the limit.
inline constexpr Duration kLimitCountWindow = seconds(3);
/// Interval at which the admitted shares are updated.
inline constexpr Duration kLimitUpdateInterval = milliseconds(100);
/// Share of a limit that is used; the rest is a margin for demand that is
/// reported late.
inline constexpr double kLimitUseShare = 0.85;
/// Time after which a limit that no answer has stated again is dropped.
inline constexpr Duration kLimitLifetime = seconds(30);
/// Interval of limits and demand in heartbeats to the own zone.
inline constexpr Duration kLimitReportInterval = milliseconds(200);
/// Age from which on reported demand is ignored: three intervals of batches
/// between regions.
inline constexpr Duration kMaxLimitReportAge = milliseconds(1500);
/// Time for which heartbeats repeat a limit that an answer has stated.
inline constexpr Duration kLimitReportTime = seconds(2);

// Learned concurrency of servers.
/// Half-life of latencies in the lower half of a server's slots. With 6 s, busy
/// servers had no latency at low load to compare with.
inline constexpr Duration kLowLoadHalfLife = seconds(20);
/// Half-life of latencies in the upper half, by which a server that has become
/// fast again is noticed.
inline constexpr Duration kHighLoadHalfLife = seconds(3);
/// Answers, decayed, on each side of a limit that are needed to judge it.
inline constexpr double kMinCurveAnswers = 4.0;
/// Standard errors by which latencies have to grow for a first limit, beyond
/// the growth that is worth the further requests. 3.5 found too few limits.
inline constexpr double kFirstLimitErrors = 2.5;
/// Likewise to keep or lower a limit.
inline constexpr double kKeepLimitErrors = 0.5;
/// Answers with extreme latencies count as this ratio to their level's mean:
/// 1 to 3 % of requests take 3 to 7 times as long as usual.
inline constexpr double kMaxLatencyRatio = 2.5;
/// Interval of steps upwards where answers above the limit show no slow-down.
inline constexpr Duration kRaiseInterval = milliseconds(700);
/// Interval of steps upwards where no answers show what happens above the
/// limit. Doubles with each step that had to be taken back.
inline constexpr Duration kProbeInterval = milliseconds(1500);
inline constexpr Duration kMaxProbeInterval = seconds(6);
/// Factor of the limit on a rejection, at most once per kRejectionInterval, and
/// not below this share of the slots: a server rejects only when it is full.
inline constexpr double kRejectionFactor = 0.7;
inline constexpr double kRejectionFloorShare = 0.5;
inline constexpr Duration kRejectionInterval = milliseconds(300);
/// Time per step upwards after the last rejection. With 700 ms, fewer requests
/// were answered in time than without limits after rejections.
inline constexpr Duration kRejectionRecovery = milliseconds(250);
/// Age from which on what the coordinator has learned is ignored: three
/// intervals of its reports, and a relay's delay.
inline constexpr Duration kMaxSharedCapacityAge = milliseconds(2500);
/// Half-life of the influence of a load that a server has stated itself.
inline constexpr Duration kStatedLoadHalfLife = milliseconds(250);
/// Age from which on a stated load is ignored.
inline constexpr Duration kMaxStatedLoadAge = seconds(1);
/// Minimum time between two log events about the concurrency of a server.
inline constexpr Duration kCapacityLogInterval = seconds(1);

// Registry of backend servers.
/// Time after an outage of the store in which entries that expired during it
/// may return before their servers count as gone: the platform states about two
/// seconds.
inline constexpr Duration kRegistryRecoveryTime = milliseconds(1800);
/// The same for a recall of keys, which must not overlook a server that may
/// hold some: the platform's two seconds, and a margin.
inline constexpr Duration kEntryReturnTime = milliseconds(2200);
/// Check-in intervals of silence after which the registry drops an entry.
inline constexpr std::int64_t kEntryExpiryCheckIns = 3;
/// Added to terms and epochs by a coordinator whose map the store has lost. It
/// exceeds the numbers that the store can have lost, so that none is given out
/// twice.
inline constexpr std::uint64_t kEpochsPerLoss = std::uint64_t{1} << 20;
/// Terms and epochs of each era of the store: more than all coordinators of one
/// era can add. Those of a later era are higher, whoever gives them out.
inline constexpr std::uint64_t kEpochsPerEra = 16 * kEpochsPerLoss;

// Copies of the store.
/// Longest wait of a store watch that only this daemon depends on. A dead
/// connection is noticed after it, which has to be within the time in which
/// daemons must learn that a server is leaving.
inline constexpr Duration kWatchWait = seconds(2);
/// Longest wait of a store watch of a zone's relay. Other daemons notice by the
/// age of its copy that it has lost the store, and still learn in time that a
/// server is leaving.
inline constexpr Duration kRelayWatchWait = seconds(1);
/// Longest wait of a watch of the evacuations. They are rare, and a dead
/// connection is still noticed within the time that the operator allows.
inline constexpr Duration kEvacuationWatchWait = seconds(3);
/// Age of the relay's copy above which a daemon watches the store itself: one
/// watch, the pause between two watches, and two round trips.
inline constexpr Duration kMaxRelayViewAge = milliseconds(1400);
/// A copy that has been older than the relay's for this long is refreshed from
/// the store, because the relay's message was lost.
inline constexpr Duration kOutdatedViewReadDelay = milliseconds(150);

// Graceful stop.
/// Time after the order to stop in which the daemon still accepts connections.
inline constexpr Duration kStopLinger = milliseconds(2500);
/// Time before the process is killed at which requests without an answer are
/// ended here.
inline constexpr Duration kStopAnswerMargin = milliseconds(250);

}  // namespace eelgrasspin::fleet::config

#endif  // EELGRASSPIN_FLEET_CONFIG_H_
