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
/// Between two heartbeats to daemons of the own zone, if load changed.
inline constexpr Duration kLoadChangeHeartbeatInterval = milliseconds(60);
/// Between two heartbeats to daemons of the own zone, whatever changed; and of
/// a coordinator to its region.
inline constexpr Duration kRegularHeartbeatInterval = milliseconds(200);
/// Between two heartbeats of a coordinator to other regions: bytes between
/// regions are paid for.
inline constexpr Duration kOtherRegionHeartbeatInterval = milliseconds(500);
/// Between two bundles of a zone's heartbeats to another zone of the region.
inline constexpr Duration kOwnRegionBatchInterval = milliseconds(80);
/// The same to a zone of another region.
inline constexpr Duration kOtherRegionBatchInterval = milliseconds(500);
/// Silence after which a daemon of the own zone, or a coordinator of the own
/// region, is not counted as alive: five heartbeats.
inline constexpr Duration kDaemonTimeout = milliseconds(1000);
/// The same for a coordinator of another region: three heartbeats and a half.
inline constexpr Duration kOtherRegionDaemonTimeout = milliseconds(1750);
/// Added to both for daemons whose heartbeats are passed on: their zone takes
/// kDaemonTimeout to replace a lost relay.
inline constexpr Duration kRelayedTimeoutExtension = milliseconds(750);
/// A daemon that has just started tells every other one itself for this long.
inline constexpr Duration kStartAnnouncementTime = seconds(3);
/// Between two reports of heat to a coordinator, or to the zone's relay.
inline constexpr Duration kKeyLoadReportInterval = milliseconds(600);
/// A report older than this no longer counts: three intervals.
inline constexpr Duration kMaxKeyLoadReportAge = milliseconds(1800);
/// A daemon names its zone and address in every so many heartbeats.
inline constexpr std::uint64_t kHeartbeatsPerFullRecord = 8;
/// ... and in every one for this long after its start.
inline constexpr Duration kFullRecordsAfterStart = seconds(8);
/// A map that is older than another daemon's for this long is read from the
/// store.
inline constexpr Duration kOutdatedMapReadDelay = milliseconds(150);
/// A coordinator whose map the store has not confirmed for this long reads it.
inline constexpr Duration kMapCheckInterval = seconds(3);
/// Silence after which a daemon is forgotten.
inline constexpr Duration kDaemonRetention = seconds(60);
/// Time after a start in which other daemons are listened for before a first
/// map is created.
inline constexpr Duration kElectionStartDelay = milliseconds(500);
/// A first map is created once no server of the service has joined for this
/// long: those that start together register within some hundred milliseconds.
inline constexpr Duration kFirstMapJoinDelay = milliseconds(700);
/// Without an answer of the store for this long a coordinator lets another
/// daemon take over.
inline constexpr Duration kCoordinatorStoreTimeout = milliseconds(2500);

// Grants.
/// Time for which keys with traffic are granted: it bounds how long they are
/// without an owner after a crash.
inline constexpr Duration kGrantHold = milliseconds(3500);
/// Between two renewals: two may fail before the hold lapses.
inline constexpr Duration kGrantRenewalInterval = milliseconds(1000);
/// The same for keys with little traffic: renewals are paid for by volume.
inline constexpr Duration kLowTrafficGrantHold = seconds(8);
inline constexpr Duration kLowTrafficRenewalInterval = milliseconds(2500);
/// Requests a second, over a range, from which on it counts as having traffic.
inline constexpr double kLowTrafficRequestsPerSecond = 1.0;
/// A server to which no connection could be made for this long, and this often
/// in a row, loses its keys although it is still listed.
inline constexpr Duration kServerUnreachableTime = milliseconds(1000);
inline constexpr std::uint32_t kServerUnreachableFailures = 2;
/// It is given no keys for this long after its last failure.
inline constexpr Duration kUnreachableServerExclusion = seconds(20);
/// At most this share of a service's servers is judged so: beyond it the
/// coordinator's own path is the likelier cause.
inline constexpr double kMaxUnreachableServerShare = 0.5;
/// Wait for the answer to a grant or a renewal.
inline constexpr Duration kGrantTimeout = milliseconds(400);
/// Wait for the answer to a release, which comes when running work has ended.
inline constexpr Duration kReleaseTimeout = seconds(3);
/// Pause before an order that failed is sent again.
inline constexpr Duration kOrderRetryDelay = milliseconds(150);
/// A server's clock may run this much slow, as a share of the hold.
inline constexpr double kMaxClockLagShare = 0.02;
/// Added to a hold before it counts as lapsed: scheduling and delivery.
inline constexpr Duration kHoldExpirySlack = milliseconds(400);
/// A coordinator that has not heard the store for this long stops renewing.
inline constexpr Duration kMaxRenewalWithoutStore = seconds(15);

// Placement of keys.
/// Between two looks at the load of the servers.
inline constexpr Duration kPlacementInterval = milliseconds(600);
/// Keys whose heat a daemon reports, the hottest first.
inline constexpr std::size_t kMaxReportedKeys = 48;
/// The same of a zone's relay, which reports for all daemons of its zone: the
/// report still fits one datagram.
inline constexpr std::size_t kMaxRelayReportedKeys = 512;
/// Time in which a key's reported heat falls to half.
inline constexpr Duration kKeyLoadHalfLife = milliseconds(2500);
/// Load of a server against its share above which it gives keys away.
inline constexpr double kOverloadRatio = 1.3;
/// Requests a second, over the whole service, below which nothing moves.
inline constexpr double kMinRebalanceRequestsPerSecond = 4.0;
/// Moves that one look may order in a small fleet ...
inline constexpr std::size_t kBaseMovesPerRound = 6;
/// ... and in a large one: one for each so many servers.
inline constexpr std::size_t kServersPerMove = 8;
/// Keys that moved stay where they are for this long.
inline constexpr Duration kMoveCooldown = milliseconds(2500);
/// Ranges of a small service above which no range is split any more: each is
/// renewed by a call of its own.
inline constexpr std::size_t kBaseMaxRanges = 160;
/// The same for a large one, by server.
inline constexpr std::size_t kRangesPerServer = 4;
/// Share of a service's load that is assumed to lie evenly on all keys.
inline constexpr double kEvenLoadShare = 0.15;

// Requests.
/// Deadline of a request that names none.
inline constexpr Duration kDefaultDeadline = seconds(5);
/// Requests that a server is sent beyond its slots.
inline constexpr std::uint32_t kMaxServerQueue = 3;
/// Service time assumed of a service before the first answer.
inline constexpr Duration kInitialServiceTime = milliseconds(200);
/// Weight of one answer in the running mean of a server's service time.
inline constexpr double kServiceTimeSampleWeight = 0.15;
/// Weight of one outcome in a server's running success rate.
inline constexpr double kOutcomeSampleWeight = 0.2;
/// Least success rate that is assumed, so that a failing server is tried again.
inline constexpr double kMinSuccessRate = 0.05;
/// Time in which the memory of a server's failures halves.
inline constexpr Duration kFailureHalfLife = seconds(2);
/// Time after a failed connection in which a server is not chosen.
inline constexpr Duration kConnectBackoff = milliseconds(500);
/// Pause before a keyed request is sent again to an owner that did not hold
/// the key yet.
inline constexpr Duration kOwnerRetryDelay = milliseconds(120);
/// Longest Retry-After, as a share of the time that a caller has left: callers
/// ignore longer ones.
inline constexpr double kMaxRetryAfterShare = 0.3;
inline constexpr Duration kMinRetryAfter = milliseconds(100);
/// A repeatable request is sent to another server when its answer takes this
/// many times the expected time: the longest runs that users name for their
/// services take five times the usual one.
inline constexpr double kResponseTimeoutFactor = 6.0;
/// ... or sooner, so that this many times the expected time are left for it ...
inline constexpr double kResendTimeFactor = 1.5;
/// ... but not before this many times.
inline constexpr double kMinResponseTimeoutFactor = 3.0;
/// The same for a keyed request, which only its owner can serve: on another
/// connection, in case the first one has gone silent.
inline constexpr double kOwnerResponseTimeoutFactor = 5.0;
/// Share of the objective that a request waits here for a free server.
inline constexpr double kMaxWaitObjectiveShare = 0.3;
/// Requests beyond its slots and kMaxServerQueue that a server is sent for
/// callers who come back after a refusal.
inline constexpr std::uint32_t kRetryingCallerExtraQueue = 1;
/// A deadline below this share of the longest one seen on a route shows that
/// the caller has come back.
inline constexpr double kRetryingCallerDeadlineShare = 0.97;
/// Share of the objective within which the nearest server is preferred to a
/// faster one further away.
inline constexpr double kNearestServerObjectiveShare = 0.75;
/// Connection attempts for one request.
inline constexpr std::uint32_t kMaxConnectAttempts = 3;

// Requests that crash servers.
/// Servers that a request may crash before it is held back everywhere.
inline constexpr std::uint32_t kQuarantineStrikes = 2;
inline constexpr Duration kQuarantineTime = seconds(60);
/// A connection that broke this long before its server is seen to have ended
/// counts as broken by that.
inline constexpr Duration kCrashWindow = seconds(5);
/// A strike is repeated in heartbeats for this long.
inline constexpr Duration kStrikeAnnouncementTime = seconds(2);
inline constexpr std::size_t kMaxInterruptedRequests = 256;

// Registry of backend servers.
/// After an outage of the store, entries that lapsed in it may return for this
/// long before they count as gone: the platform names about two seconds.
inline constexpr Duration kRegistryRecoveryTime = milliseconds(1800);

// Copies of the store.
/// Longest wait of a watch that only this daemon depends on: a connection that
/// has gone silent is noticed after it, within the time in which a leaving
/// server has to be known of.
inline constexpr Duration kWatchWait = seconds(2);
/// The same of a zone's relay: the others notice by its age that it has lost
/// the store, and still learn of a leaving server in time.
inline constexpr Duration kRelayWatchWait = seconds(1);
/// Age of the relay's copy from which on a daemon watches the store itself: a
/// wait, the pause between two watches, and two round trips.
inline constexpr Duration kMaxRelayViewAge = milliseconds(1400);
/// A copy that is older than the relay's for this long is brought up to date
/// from the store: the relay's message was lost.
inline constexpr Duration kOutdatedViewReadDelay = milliseconds(150);

// Graceful stop.
/// After a stop is ordered, connections are still served for this long.
inline constexpr Duration kStopLinger = milliseconds(2500);

}  // namespace eelgrasspin::fleet::config

#endif  // EELGRASSPIN_FLEET_CONFIG_H_
