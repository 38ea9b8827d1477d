#ifndef EELGRASSPIN_CORE_REQUEST_QUARANTINE_STATE_H_
#define EELGRASSPIN_CORE_REQUEST_QUARANTINE_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core::request {

/// A strike report that is sent several times, because messages may be lost.
struct PendingStrike {
  StrikeReport report;
  TimePoint sent_at;
  std::uint32_t send_count = 0;
};

/// Strikes against one request.
struct Strikes {
  std::uint32_t count = 0;
  WallTime until;  ///< When they expire.
};

struct Quarantine {
  /// Strikes seen by this daemon's own fronts, by fingerprint; they count at
  /// once, before they are in the store.
  std::map<std::uint64_t, Strikes> local_strikes;
  std::map<std::pair<ServerName, std::uint64_t>, TimePoint> last_strike;
  std::vector<PendingStrike> to_report;

  /// Strikes by fingerprint and zone, from the cached lists.
  std::unordered_map<std::uint64_t, std::map<ZoneName, Strikes>> listed;
  std::vector<Version> source_versions;  ///< Of the lists used for `listed`.
  std::uint64_t cache_generation = 0;
  std::set<std::uint64_t> released;

  /// As coordinator: reports that are not in the store yet, by zone.
  std::map<ZoneName, std::vector<StrikeReport>> to_record;
  std::map<ZoneName, std::set<std::uint64_t>> to_release;
  std::map<ZoneName, std::size_t> reports_in_write;  ///< In the pending write.
  std::deque<std::uint64_t> recent_reports;  ///< Ids, to detect repeats.
};

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_QUARANTINE_STATE_H_
