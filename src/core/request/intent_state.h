#ifndef EELGRASSPIN_CORE_REQUEST_INTENT_STATE_H_
#define EELGRASSPIN_CORE_REQUEST_INTENT_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::core::request {

/// What names an at-most-once operation over all its repeats.
using IntentKey = std::pair<ServiceName, std::string>;

/// How an intent ended, and the request that waits for the ledger to know.
struct EndedIntent {
  Intent intent;
  RequestId withdrawing;  ///< 0 if none waits.
};

/// A message to a zone's ledger writer that has not been answered.
struct LedgerCall {
  ZoneName zone;
  std::vector<RequestId> requests;  ///< In the order of `intents`.
  std::vector<Intent> intents;
  bool outcomes = false;  ///< Tells how intents ended, else asks to record.
  TimePoint sent_at;
  std::uint32_t tries = 0;
};

/// A front's side of the ledger.
struct IntentClient {
  std::map<ZoneName, std::vector<RequestId>> wanted;  ///< For the next batch.
  std::map<ZoneName, std::vector<EndedIntent>>
      ended;  ///< For the next outcomes.
  std::map<ZoneName, TimePoint> last_batch;
  std::map<std::uint64_t, LedgerCall> calls;
  std::map<IntentKey, RequestId> running;  ///< At this front now.
};

/// What the ledger writer knows of the latest intent under a key.
struct IndexedIntent {
  Intent intent;
  bool confirmed = false;
  bool own = false;  ///< In a segment of this zone.
  std::uint64_t segment = 0;
  std::size_t position = 0;
};

/// A batch whose verdicts are not complete.
struct OpenBatch {
  DaemonName daemon;
  Endpoint address;
  std::vector<std::optional<IntentVerdict>> verdicts;
};

/// An intent that waits to be written, and the verdict it decides.
struct WaitingIntent {
  Intent intent;
  std::uint64_t batch = 0;
  std::size_t position = 0;  ///< In its batch.
};

enum class LedgerPhase : std::uint8_t {
  kListing,  ///< Reads every zone's segments.
  kSealing,  ///< Seals what an earlier writer left open, and opens a new one.
  kReady,
};

/// The ledger of a zone that this daemon coordinates.
struct ZoneLedger {
  TermEpoch epoch;
  LedgerPhase phase = LedgerPhase::kListing;
  std::optional<StoreOpId> listing;
  TimePoint list_after;
  std::vector<Version> zone_maps;  ///< As of the last load.
  std::map<std::uint64_t, IntentSegment> segments;
  std::set<std::uint64_t> dirty;  ///< Segments with outcomes not yet written.
  std::uint64_t open_segment = 0;
  std::map<IntentKey, IndexedIntent> index;
  std::map<std::uint64_t, OpenBatch> batches;
  std::vector<WaitingIntent> waiting;
  std::vector<WaitingIntent> committing;  ///< In the write under way.
  TimePoint last_commit;
  TimePoint last_outcome_write;
  TimePoint last_expiry;
};

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_INTENT_STATE_H_
