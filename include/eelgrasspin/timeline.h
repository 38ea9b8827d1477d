#ifndef EELGRASSPIN_TIMELINE_H_
#define EELGRASSPIN_TIMELINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin {

enum class TimelineKind : std::uint8_t {
  kDaemonStarted,
  kDaemonStopping,
  kPauseDetected,
  kStoreDown,
  kStoreUp,
  kDamagedRecord,
  kDeclarationsAdopted,
  kCoordinatorGained,
  kCoordinatorLost,
  kMemberJoined,
  kMemberLost,
  kFrontAssigned,
  kFrontGained,
  kFrontStopped,
  kGrantConfirmed,
  kGrantStale,
  kServerUnreachable,
  kServerLapsed,
  kServerReturned,
  kMoveStarted,
  kSlotsReleased,
  kMoveFinished,
  kRecovery,
  kDrainStarted,
  kDrainFinished,
  kZoneHandover,
  kClosureStep,
  kCommandAccepted,
  kCommandFinished,
  kCommandRefused,
  kQuarantined,
  kQuarantineReleased,
  kIsolationYield,
  kFenced,
  kCount,
};

std::string_view to_string(TimelineKind kind);

/// One event on a daemon's timeline. Fields that do not apply are empty.
struct TimelineEvent {
  WallTime when;
  std::uint64_t sequence = 0;  ///< Unique within one run of the daemon.
  DaemonName daemon;
  ZoneName zone;
  TimelineKind kind = TimelineKind::kDaemonStarted;
  ServiceName service;
  ServerName server;
  std::optional<SlotId> slot;
  std::uint64_t epoch = 0;
  Version revision;   ///< Store revision known to the daemon at that time;
                      ///< orders events of different daemons.
  std::string cause;  ///< Such as a command id or a lost member.
  std::string detail;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TIMELINE_H_
