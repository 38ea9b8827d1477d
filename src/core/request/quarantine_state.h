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

/// A strike report that is sent several times, as messages may be lost.
struct PendingStrike {
  StrikeReport report;
  TimePoint sent_at;
  std::uint32_t tries = 0;
};

struct Strikes {
  std::uint32_t count = 0;
  WallTime until;
};

struct Quarantine {
  /// What this daemon's own fronts saw; not waiting for the store.
  std::map<std::uint64_t, Strikes> seen_here;
  std::map<std::pair<ServerName, std::uint64_t>, TimePoint> last_strike;
  std::vector<PendingStrike> to_report;

  /// Strikes by zone, from the cached lists.
  std::unordered_map<std::uint64_t, std::map<ZoneName, Strikes>> listed;
  std::vector<Version> sources;
  std::uint64_t cache_generation = 0;
  std::set<std::uint64_t> released;

  /// As coordinator: reports that are not in the store yet, by zone.
  std::map<ZoneName, std::vector<StrikeReport>> to_record;
  std::map<ZoneName, std::set<std::uint64_t>> to_release;
  std::map<ZoneName, std::size_t> recording;  ///< Reports in the write.
  std::deque<std::uint64_t> known_events;
};

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_QUARANTINE_STATE_H_
