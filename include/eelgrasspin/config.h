#ifndef EELGRASSPIN_CONFIG_H_
#define EELGRASSPIN_CONFIG_H_

#include <cstddef>
#include <cstdint>

#include "eelgrasspin/units.h"

/// Limits and defaults of the project.
namespace eelgrasspin::config {

// Decision core.
inline constexpr Duration kTickInterval = milliseconds(20);
/// A longer gap between two events is treated as a pause of the process: leases
/// are checked before anything else.
inline constexpr Duration kPauseThreshold = milliseconds(400);

// Coordinator lease, in the store.
inline constexpr Duration kCoordinatorLeaseTerm = milliseconds(2000);
inline constexpr Duration kCoordinatorRenewInterval = milliseconds(500);
/// Safety margin on every lease, for clocks that run at different rates.
inline constexpr Duration kLeaseMargin = milliseconds(100);
/// A daemon reads its zone's lease from the store itself after this time
/// without a message from the coordinator.
inline constexpr Duration kCoordinatorTimeout = milliseconds(1000);
inline constexpr Duration kLeaseReadInterval = milliseconds(500);
/// Extra wait before a daemon of another zone in the region is a candidate for
/// coordinator of a zone without daemons.
inline constexpr Duration kOtherZoneCandidateDelay = milliseconds(3000);
/// Delay per rank of the candidates of a zone, so that they do not claim its
/// lease at once.
inline constexpr Duration kClaimStagger = milliseconds(50);
/// Number of candidates of a zone that read its lease at the full rate; lower
/// ranked ones read it less often.
inline constexpr std::uint32_t kLeaseReadersAtFullRate = 4;

// Membership inside a zone.
inline constexpr Duration kHeartbeatInterval = milliseconds(500);
/// Minimum time between two heartbeats when a front has a change to report.
inline constexpr Duration kUrgentHeartbeatInterval = milliseconds(40);
/// A daemon is removed from its roster after this time without a heartbeat.
inline constexpr Duration kDaemonLostAfter = milliseconds(1500);
/// A front stops renewing grants after this time without contact to the store
/// or to any other daemon of its roster.
inline constexpr Duration kIsolatedFrontTimeout = milliseconds(3000);
/// A lost front's grants count as lapsed this long after the last member
/// promised not to answer it: kIsolatedFrontTimeout, the grant term and a
/// margin for clock rates.
inline constexpr Duration kIsolatedFrontLapseDelay = milliseconds(5200);
/// Number of roster members with which a daemon exchanges hellos, half on each
/// side of it in the ring ordered by name.
inline constexpr std::uint32_t kHelloNeighbours = 4;
/// Maximum time between two checks of the roster by its coordinator.
inline constexpr Duration kRosterCheckInterval = milliseconds(100);
/// A daemon forgets another one after this time without a message from it.
inline constexpr Duration kPeerRetention = minutes(2);
/// Number of heartbeat rounds whose send times are kept.
inline constexpr std::size_t kMaxHeartbeatRounds = 16;

// Grants.
inline constexpr Duration kGrantTerm = milliseconds(2000);
inline constexpr Duration kGrantRenewInterval = milliseconds(500);
inline constexpr Duration kGrantCallTimeout = milliseconds(400);
/// Interval between orders while a backend server still runs requests on
/// revoked slots.
inline constexpr Duration kRevocationPollInterval = milliseconds(50);

// Store access.
inline constexpr Duration kStoreTimeout = milliseconds(1000);
inline constexpr Duration kStoreRetryInterval = milliseconds(250);
inline constexpr Duration kStoreWatchTimeout = seconds(20);
/// The store counts as unreachable after this time without an answer.
inline constexpr Duration kStoreUnreachableAfter = milliseconds(2500);
/// Minimum time between two watch calls of a coordinator, unless it has written
/// to the store itself.
inline constexpr Duration kMinWatchInterval = milliseconds(250);
/// Interval between full lists by a daemon that receives no relay from a
/// coordinator.
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
/// Time over which fronts average the rates that they report.
inline constexpr Duration kRateWindow = seconds(10);
/// A unit is not moved again for this long after a move.
inline constexpr Duration kMoveCooldown = seconds(60);
/// Time over which a returned server ramps up to its full share of load.
inline constexpr Duration kColdStartRamp = seconds(30);
/// Load relative to the mean above which units are moved off a server.
inline constexpr double kOverloadStartRatio = 1.25;
/// Load relative to the mean at which moving units off a server stops.
inline constexpr double kOverloadStopRatio = 1.10;
/// Load relative to the mean below which units are moved to a server.
inline constexpr double kUnderloadRatio = 0.60;
/// Cost of moving one slot, in units of imbalance().
inline constexpr double kSlotMoveCost = 0.0005;
/// Cost of moving one carved-out key, in units of imbalance().
inline constexpr double kKeyMoveCost = 0.00002;
/// A carved-out key is merged into its slot when it has not been among its
/// server's busiest keys for this long.
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
/// Maximum share of requests that may be retried, in percent.
inline constexpr std::uint32_t kRetryBudgetPercent = 10;
inline constexpr std::uint32_t kMaxAttempts = 4;
inline constexpr Duration kRetryDelay = milliseconds(50);
/// Retries that a service's retry budget allows at the start, and the maximum
/// that it accumulates.
inline constexpr std::uint32_t kInitialRetryBudget = 10;
inline constexpr std::uint32_t kMaxRetryBudget = 100;
/// Maximum number of requests that one entry holds while their keys have no
/// usable owner.
inline constexpr std::size_t kMaxHeldRequests = 4096;
/// A forwarded request's deadline is this much earlier than at its entry, so
/// that the front's answer arrives in time.
inline constexpr Duration kForwardMargin = milliseconds(40);
/// Retry-After of requests shed because of full queues or missing owners.
inline constexpr Duration kShedRetryAfter = milliseconds(500);
inline constexpr std::size_t kMaxRefusalSamples = 16;
inline constexpr std::uint32_t kQuarantineStrikes = 2;
inline constexpr Duration kQuarantineTime = minutes(10);
/// Connection losses of one server within this time count as one strike against
/// a request.
inline constexpr Duration kStrikeWindow = milliseconds(500);
inline constexpr Duration kStrikeResendInterval = milliseconds(250);
inline constexpr std::uint32_t kMaxStrikeSends = 4;
inline constexpr std::size_t kMaxQuarantineEntries = 1024;
inline constexpr Duration kIntentRetention = minutes(10);
inline constexpr Duration kIntentCommitInterval = milliseconds(5);
inline constexpr std::size_t kMaxIntentSegmentEntries = 512;
/// Minimum time between two writes of intent outcomes, which are written in
/// batches.
inline constexpr Duration kIntentOutcomeInterval = milliseconds(200);
/// A message to the ledger writer is resent after this time without an answer.
inline constexpr Duration kIntentResendInterval = milliseconds(250);
/// Number of times that a front sends intent outcomes before it gives up; a
/// repeat of the request is then answered with the outcome "unknown".
inline constexpr std::uint32_t kMaxIntentOutcomeSends = 8;
inline constexpr Duration kIntentExpiryInterval = seconds(10);

// Callers' connections.
inline constexpr std::size_t kMaxCallerConnections = 4096;
/// Maximum time between a request's first and last byte.
inline constexpr Duration kRequestReceiveTimeout = seconds(10);
inline constexpr Duration kIdleConnectionTimeout = seconds(75);
/// Maximum total size of the bodies of open requests.
inline constexpr std::size_t kMaxHeldBodyBytes = 96 * 1024 * 1024;

// Connections to backend servers.
inline constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;
/// Limit of all answers together that a pool of connections is reading. Beyond
/// it, answers larger than kMinAnswerBytes fail.
inline constexpr std::size_t kMaxPoolAnswerBytes = 32 * 1024 * 1024;
inline constexpr std::size_t kMinAnswerBytes = 64 * 1024;
/// A request that is not repeatable reuses an idle connection only if the
/// connection's last answer is at most this old.
inline constexpr Duration kMaxNonRepeatableReuseAge = milliseconds(100);
/// No request reuses an idle connection whose last answer is older than this.
inline constexpr Duration kMaxConnectionReuseAge = seconds(2);

// Streams between daemons.
inline constexpr Duration kPingInterval = milliseconds(500);
inline constexpr Duration kPingTimeout = milliseconds(400);
inline constexpr Duration kConnectTimeout = milliseconds(500);

// Operators.
inline constexpr Duration kAccountInterval = seconds(5);
/// After its deadline, a closure skips a zone whose coordinator lease has not
/// been renewed for this long.
inline constexpr Duration kClosureZoneTimeout = seconds(10);
/// An order whose record the store has not confirmed after this time is
/// answered as unknown.
inline constexpr Duration kOrderConfirmTimeout = seconds(4);
inline constexpr Duration kFanOutTimeout = milliseconds(1500);
/// Maximum number of finished commands kept in the store.
inline constexpr std::size_t kMaxFinishedCommands = 256;
inline constexpr std::size_t kMaxTimelineEvents = 4096;
inline constexpr Duration kGracefulStopTimeout = seconds(30);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_H_
