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
inline constexpr Duration kCoordinatorTerm = milliseconds(2000);
inline constexpr Duration kCoordinatorRenewInterval = milliseconds(600);
/// Allowance for two clocks running at different rates, on every lease.
inline constexpr Duration kLeaseMargin = milliseconds(100);
/// Silence of the coordinator after which a daemon of its zone reads the lease
/// itself.
inline constexpr Duration kCoordinatorSilence = milliseconds(1000);
inline constexpr Duration kLeaseReadInterval = milliseconds(500);
/// Extra wait before a daemon of another zone of the region stands for an empty
/// zone's coordinator.
inline constexpr Duration kForeignCandidateDelay = milliseconds(3000);

// Membership inside a zone.
inline constexpr Duration kHeartbeatInterval = milliseconds(500);
inline constexpr Duration kDaemonLostAfter = milliseconds(1500);
/// A front that hears neither the store nor any other daemon of its roster
/// stops renewing after this.
inline constexpr Duration kLoneFrontAfter = milliseconds(3000);

// Grants.
inline constexpr Duration kGrantTerm = milliseconds(2000);
inline constexpr Duration kGrantRenewInterval = milliseconds(500);
inline constexpr Duration kGrantCallTimeout = milliseconds(400);

// Store access.
inline constexpr Duration kStoreTimeout = milliseconds(1000);
inline constexpr Duration kStoreRetryInterval = milliseconds(250);
inline constexpr Duration kStoreWatchTimeout = seconds(20);
inline constexpr std::size_t kStoreValueMaxBytes = 1'000'000;
inline constexpr Duration kVmListInterval = seconds(5);

// Slots.
inline constexpr std::uint32_t kDefaultKeySlots = 1024;
inline constexpr std::uint32_t kMaxKeySlots = 65'536;
inline constexpr std::size_t kMaxKeyOverrides = 256;

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
inline constexpr Duration kRetryPause = milliseconds(50);
/// Retries that a service's budget holds at the start and at most.
inline constexpr std::uint32_t kRetryBudgetStart = 10;
inline constexpr std::uint32_t kRetryBudgetMax = 100;
/// Requests that one entry holds while their keys have no usable owner.
inline constexpr std::size_t kMaxHeldRequests = 4096;
/// A forwarded request's deadline is this much before its entry's, so that the
/// front's own verdict arrives in time.
inline constexpr Duration kForwardMargin = milliseconds(40);
/// Retry-After of a request refused because a queue is full.
inline constexpr Duration kShedRetryAfter = milliseconds(500);
inline constexpr std::size_t kRefusalSamples = 16;
inline constexpr std::uint32_t kQuarantineStrikes = 2;
inline constexpr Duration kQuarantineTime = minutes(10);
inline constexpr Duration kIntentRetention = minutes(10);
inline constexpr Duration kIntentCommitInterval = milliseconds(5);
inline constexpr std::size_t kIntentSegmentEntries = 512;

// Callers' connections.
inline constexpr std::size_t kMaxCallerConnections = 4096;
/// Longest time from a request's first byte to its last.
inline constexpr Duration kReceiveLimit = seconds(10);
inline constexpr Duration kIdleConnectionLimit = seconds(75);
/// Bodies of requests not yet ended, together.
inline constexpr std::size_t kMaxHeldBodyBytes = 96 * 1024 * 1024;

// Connections to backend servers.
inline constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;
/// An idle connection younger than this counts as just shown to be alive.
inline constexpr Duration kVerifiedConnectionAge = milliseconds(100);
/// An idle connection older than this is replaced before use.
inline constexpr Duration kReusableConnectionAge = seconds(2);

// Streams between daemons.
inline constexpr Duration kPingInterval = milliseconds(500);
inline constexpr Duration kPingTimeout = milliseconds(400);
inline constexpr Duration kConnectTimeout = milliseconds(500);

// Operators.
inline constexpr Duration kAccountInterval = seconds(5);
/// A zone whose coordinator has not renewed for this long is passed over by a
/// closure whose deadline has passed.
inline constexpr Duration kZoneSilentAfter = seconds(10);
/// An order whose record is not confirmed by then is answered as unknown.
inline constexpr Duration kOrderConfirmLimit = seconds(4);
inline constexpr Duration kFanOutLimit = milliseconds(1500);
/// Finished commands kept in the store.
inline constexpr std::size_t kMaxFinishedCommands = 256;
inline constexpr std::size_t kTimelineEvents = 4096;
inline constexpr Duration kGracefulStopLimit = seconds(30);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_H_
