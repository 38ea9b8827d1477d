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

/// Identifies an at-most-once operation and its repeats: service and
/// idempotency key.
using IntentKey = std::pair<ServiceName, std::string>;

/// The outcome of an intent, to be sent to the ledger writer.
struct EndedIntent {
  Intent intent;
  RequestId
      withdrawn_request;  ///< Waits for the ledger's answer; 0 if none does.
};

/// An unanswered message to a zone's ledger writer: intents to record, or the
/// outcomes of intents.
struct LedgerCall {
  ZoneName zone;
  std::vector<RequestId> requests;  ///< In the order of `intents`.
  std::vector<Intent> intents;
  bool has_outcomes = false;  ///< Else it has intents to record.
  TimePoint sent_at;
  std::uint32_t attempts = 0;
};

/// A front's side of the ledger.
struct IntentClient {
  std::map<ZoneName, std::vector<RequestId>> unsent;  ///< For the next batch.
  std::map<ZoneName, std::vector<EndedIntent>>
      ended;  ///< For the next outcome message.
  std::map<ZoneName, TimePoint> last_batch;
  std::map<std::uint64_t, LedgerCall> calls;
  std::map<IntentKey, RequestId> running;  ///< Open at this front.
};

/// The latest intent with a given key, in the ledger writer's index.
struct IndexedIntent {
  Intent intent;
  bool confirmed = false;    ///< In the store.
  bool in_own_zone = false;  ///< In a segment of this ledger's zone.
  std::uint64_t segment = 0;
  std::size_t position = 0;  ///< In the segment.
};

/// A front's batch of intents that still lacks verdicts.
struct OpenBatch {
  DaemonName daemon;
  Endpoint address;
  std::vector<std::optional<IntentVerdict>> verdicts;
};

/// An intent to be written, and where its verdict goes.
struct WaitingIntent {
  Intent intent;
  std::uint64_t batch = 0;
  std::size_t position = 0;  ///< In its batch.
};

enum class LedgerPhase : std::uint8_t {
  kListing,  ///< Reads the segments of all zones.
  kSealing,  ///< Seals what earlier writers left open, and opens a new segment.
  kReady,    ///< Records intents.
};

/// The ledger of a zone that this daemon coordinates.
struct ZoneLedger {
  TermEpoch epoch;
  LedgerPhase phase = LedgerPhase::kListing;
  std::optional<StoreOpId> listing;
  TimePoint list_after;            ///< After a failed listing: earliest retry.
  std::vector<Version> zone_maps;  ///< Versions at the last load.
  std::map<std::uint64_t, IntentSegment> segments;
  std::set<std::uint64_t> dirty;  ///< Segments with outcomes not yet written.
  std::uint64_t open_segment = 0;
  std::map<IntentKey, IndexedIntent> index;
  std::map<std::uint64_t, OpenBatch> batches;
  std::vector<WaitingIntent> waiting;
  std::vector<WaitingIntent> committing;  ///< In the pending write.
  TimePoint last_commit;
  TimePoint last_outcome_write;
  TimePoint last_expiry;
};

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_INTENT_STATE_H_
