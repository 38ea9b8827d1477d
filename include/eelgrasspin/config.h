#ifndef EELGRASSPIN_CONFIG_H_
#define EELGRASSPIN_CONFIG_H_

#include <cstddef>
#include <cstdint>

#include "eelgrasspin/units.h"

/// Every limit and default of the project.
namespace eelgrasspin::config {

// Decision core.
inline constexpr Duration kTickInterval = milliseconds(20);
/// A gap between two events above this is treated as a pause of the process:
/// leases are checked before anything else.
inline constexpr Duration kPauseThreshold = milliseconds(400);

// Coordinator lease, in the store.
inline constexpr Duration kCoordinatorLeaseTerm = milliseconds(2000);
inline constexpr Duration kCoordinatorRenewInterval = milliseconds(500);
/// Allowance for two clocks running at different rates, on every lease.
inline constexpr Duration kLeaseMargin = milliseconds(100);
/// Silence of the coordinator after which a daemon of its zone reads the lease
/// itself.
inline constexpr Duration kCoordinatorTimeout = milliseconds(1000);
inline constexpr Duration kLeaseReadInterval = milliseconds(500);
/// Extra wait before a daemon of another zone of the region stands for an empty
/// zone's coordinator.
inline constexpr Duration kOtherZoneCandidateDelay = milliseconds(3000);
/// Wait between the claims of two candidates of a zone, by their rank.
inline constexpr Duration kClaimStagger = milliseconds(50);
/// Candidates of a zone that read its lease at the full rate; later ranks read
/// less often.
inline constexpr std::uint32_t kLeaseReadersAtFullRate = 4;

// Membership inside a zone.
inline constexpr Duration kHeartbeatInterval = milliseconds(500);
/// Least time between two heartbeats when a front has news.
inline constexpr Duration kUrgentHeartbeatInterval = milliseconds(40);
inline constexpr Duration kDaemonLostAfter = milliseconds(1500);
/// A front that hears neither the store nor any other daemon of its roster
/// stops renewing after this.
inline constexpr Duration kIsolatedFrontTimeout = milliseconds(3000);
/// From the last promise not to answer a lost front until its grants count as
/// lapsed: the lone-front wait, the term and an allowance for clock rates.
inline constexpr Duration kIsolatedFrontLapseDelay = milliseconds(5200);
/// Roster members that a daemon exchanges hellos with, half on each side of it
/// in the order of names.
inline constexpr std::uint32_t kHelloNeighbours = 4;
/// Longest time between two looks of a coordinator at its roster.
inline constexpr Duration kRosterCheckInterval = milliseconds(100);
/// Silence after which a daemon forgets another one.
inline constexpr Duration kPeerRetention = minutes(2);
/// Rounds of heartbeats whose sending times are kept.
inline constexpr std::size_t kMaxHeartbeatRounds = 16;

// Grants.
inline constexpr Duration kGrantTerm = milliseconds(2000);
inline constexpr Duration kGrantRenewInterval = milliseconds(500);
inline constexpr Duration kGrantCallTimeout = milliseconds(400);
/// Interval of orders while a backend server still works on what was revoked.
inline constexpr Duration kRevocationPollInterval = milliseconds(50);

// Store access.
inline constexpr Duration kStoreTimeout = milliseconds(1000);
inline constexpr Duration kStoreRetryInterval = milliseconds(250);
inline constexpr Duration kStoreWatchTimeout = seconds(20);
/// Silence of the store after which it counts as not heard.
inline constexpr Duration kStoreUnreachableAfter = milliseconds(2500);
/// Least time between two watches of a coordinator, unless it wrote itself.
inline constexpr Duration kMinWatchInterval = milliseconds(250);
/// Time between two full lists of a daemon that no coordinator relays to.
inline constexpr Duration kUnrelayedListInterval = seconds(3);
inline constexpr std::size_t kMaxRelayEntries = 64;
inline constexpr std::size_t kStoreValueMaxBytes = 1'000'000;
inline constexpr Duration kVmListInterval = seconds(5);

// Slots.
inline constexpr std::uint32_t kDefaultKeySlots = 1024;
inline constexpr std::uint32_t kMaxKeySlots = 65'536;
inline constexpr std::size_t kMaxKeyOverrides = 256;

// Placement.
inline constexpr Duration kPlacementInterval = seconds(5);
/// Span over which fronts average the rates that they report.
inline constexpr Duration kRateWindow = seconds(10);
/// A unit that moved stays where it is for this long.
inline constexpr Duration kMoveCooldown = seconds(60);
/// A server that came back takes its full share of load after this.
inline constexpr Duration kColdStartRamp = seconds(30);
/// Level of load, against the mean, above which a server gives load away ...
inline constexpr double kOverloadStartRatio = 1.25;
/// ... until it is at most at this level.
inline constexpr double kOverloadStopRatio = 1.10;
/// Level below which a server is given load.
inline constexpr double kUnderloadRatio = 0.60;
/// Cost of moving one slot, in units of the imbalance measure.
inline constexpr double kSlotMoveCost = 0.0005;
/// Cost of moving one carved-out key, in units of the imbalance measure.
inline constexpr double kKeyMoveCost = 0.00002;
/// Carved-out keys that are not among their server's busiest for this long go
/// back to their slots.
inline constexpr Duration kColdKeyAfter = seconds(120);

// Requests.
inline constexpr Duration kDefaultDeadline = seconds(5);
inline constexpr Duration kMaxDeadline = seconds(300);
inline constexpr Duration kDefaultExecutionLimit = seconds(1);
inline constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;
inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
inline constexpr std::uint32_t kMaxHops = 4;
inline constexpr std::uint32_t kDefaultQueueLimit = 64;
/// Share of requests that may be sent again, in percent.
inline constexpr std::uint32_t kRetryBudgetPercent = 10;
inline constexpr std::uint32_t kMaxAttempts = 4;
inline constexpr Duration kRetryDelay = milliseconds(50);
/// Retries that a service's budget holds at the start and at most.
inline constexpr std::uint32_t kInitialRetryBudget = 10;
inline constexpr std::uint32_t kMaxRetryBudget = 100;
/// Requests that one entry holds while their keys have no usable owner.
inline constexpr std::size_t kMaxHeldRequests = 4096;
/// A forwarded request's deadline is this much before its entry's, so that the
/// front's own verdict arrives in time.
inline constexpr Duration kForwardMargin = milliseconds(40);
/// Retry-After of a request refused because a queue is full.
inline constexpr Duration kShedRetryAfter = milliseconds(500);
inline constexpr std::size_t kMaxRefusalSamples = 16;
inline constexpr std::uint32_t kQuarantineStrikes = 2;
inline constexpr Duration kQuarantineTime = minutes(10);
/// Deaths of one server's connections within this count once for a request.
inline constexpr Duration kStrikeWindow = milliseconds(500);
inline constexpr Duration kStrikeResendInterval = milliseconds(250);
inline constexpr std::uint32_t kMaxStrikeSends = 4;
inline constexpr std::size_t kMaxQuarantineEntries = 1024;
inline constexpr Duration kIntentRetention = minutes(10);
inline constexpr Duration kIntentCommitInterval = milliseconds(5);
inline constexpr std::size_t kMaxIntentSegmentEntries = 512;
/// Outcomes of intents are written together, at most this often.
inline constexpr Duration kIntentOutcomeInterval = milliseconds(200);
/// A message to the ledger writer is sent again after this.
inline constexpr Duration kIntentResendInterval = milliseconds(250);
/// Outcomes are told this often before a front gives up; repeats are then told
/// "unknown".
inline constexpr std::uint32_t kMaxIntentOutcomeSends = 8;
inline constexpr Duration kIntentExpiryInterval = seconds(10);

// Callers' connections.
inline constexpr std::size_t kMaxCallerConnections = 4096;
/// Longest time from a request's first byte to its last.
inline constexpr Duration kRequestReceiveTimeout = seconds(10);
inline constexpr Duration kIdleConnectionTimeout = seconds(75);
/// Bodies of requests not yet ended, together.
inline constexpr std::size_t kMaxHeldBodyBytes = 96 * 1024 * 1024;

// Connections to backend servers.
inline constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;
/// An idle connection younger than this counts as just shown to be alive.
inline constexpr Duration kMaxOnceOnlyReuseAge = milliseconds(100);
/// An idle connection older than this is replaced before use.
inline constexpr Duration kMaxConnectionReuseAge = seconds(2);

// Streams between daemons.
inline constexpr Duration kPingInterval = milliseconds(500);
inline constexpr Duration kPingTimeout = milliseconds(400);
inline constexpr Duration kConnectTimeout = milliseconds(500);

// Operators.
inline constexpr Duration kAccountInterval = seconds(5);
/// A zone whose coordinator has not renewed for this long is passed over by a
/// closure whose deadline has passed.
inline constexpr Duration kClosureZoneTimeout = seconds(10);
/// An order whose record is not confirmed by then is answered as unknown.
inline constexpr Duration kOrderConfirmTimeout = seconds(4);
inline constexpr Duration kFanOutTimeout = milliseconds(1500);
/// Finished commands kept in the store.
inline constexpr std::size_t kMaxFinishedCommands = 256;
inline constexpr std::size_t kMaxTimelineEvents = 4096;
inline constexpr Duration kGracefulStopTimeout = seconds(30);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_H_
