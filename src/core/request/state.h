#ifndef EELGRASSPIN_CORE_REQUEST_STATE_H_
#define EELGRASSPIN_CORE_REQUEST_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/request/intent_state.h"
#include "core/request/load.h"
#include "core/request/quarantine_state.h"
#include "core/request/routing.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/request.h"
#include "eelgrasspin/units.h"

/// State of the request path: routing, queues, retries, at-most-once intents,
/// quarantine and accounts.
namespace eelgrasspin::core::request {

/// The stage of an open request.
enum class Stage : std::uint8_t {
  kHeld,         ///< At its entry: no usable owner yet, or awaiting a retry.
  kQueued,       ///< In the queue of a backend server's front.
  kAtServer,     ///< Sent to the backend server.
  kAtFront,      ///< Sent to the daemon that is the owner's front.
  kWithdrawing,  ///< Left its queue unsent; waits until its ledger has recorded
                 ///< that it did not run.
};

/// Progress of recording an at-most-once intent.
enum class IntentPhase : std::uint8_t {
  kNotNeeded,
  kPending,    ///< Waits for the next batch.
  kSubmitted,  ///< In a batch whose verdict is awaited.
  kRecorded,   ///< In the store.
};

/// A request that has not ended.
struct OpenRequest {
  RequestId id;
  RequestHead head;
  bool from_caller = true;
  ServerName target_server;  ///< Set if forwarded: the server it is for.
  /// Service under which it is counted; empty if the service is not declared,
  /// so that callers cannot make the statistics grow.
  ServiceName stats_service;
  std::string operation;
  ExecutionClass execution_class = ExecutionClass::kAtMostOnce;
  Key key;
  SlotId slot;
  std::uint64_t fingerprint = 0;  ///< crash_fingerprint() of the request.
  TimePoint arrived;
  TimePoint deadline;
  Stage stage = Stage::kHeld;
  ServerName server;  ///< Of the queue or of the attempt under way.
  AttemptId attempt;  ///< Under way.
  std::uint32_t attempts = 0;
  bool maybe_ran = false;  ///< An earlier attempt ended unknown.
  TimePoint sent_at;       ///< Of the attempt under way.
  TimePoint try_after;  ///< While held: earliest dispatch without a newer map.
  Reason last_refusal = Reason::kNone;  ///< Why the last attempt did not run.
  IntentPhase intent = IntentPhase::kNotNeeded;
  std::uint64_t intent_id = 0;  ///< Unique id of its intent.
};

/// An attempt that the backend server may still be executing.
struct SentAttempt {
  SlotId slot;
  Key key;
  bool is_override =
      false;  ///< Sent under the key's own record, not its slot's.
  TimePoint sent_at;
  /// Set once the answer is no longer awaited: end of the execution limit, when
  /// the server has stopped working on it.
  std::optional<TimePoint> counted_until;
};

/// A front's queue for one backend server.
struct FrontQueue {
  std::map<CallerName, std::deque<RequestId>> waiting;  ///< In arrival order.
  CallerName last_served;
  std::uint32_t size = 0;
  std::map<AttemptId, SentAttempt> sent_attempts;
  TimePoint paused_until;         ///< Nothing is sent before then.
  Duration mean_service_time{0};  ///< Moving average, from send to answer.
  LoadCounts load;
};

/// Counts and retry budget of one service for the requests that entered here.
struct ServiceStats {
  OutcomeCounts counts;
  std::deque<RefusalSample> samples;       ///< Newest last.
  std::uint64_t retry_credit_percent = 0;  ///< 100 allow one retry.
};

struct State {
  RoutingTable routing;
  std::map<RequestId, OpenRequest> open;
  std::uint64_t held = 0;  ///< Number of open requests in Stage::kHeld.
  std::map<ServerName, FrontQueue> queues;
  std::map<ServiceName, ServiceStats> service_stats;
  std::uint64_t next_attempt = 1;
  IntentClient intents;
  std::map<ZoneName, ZoneLedger> ledgers;
  Quarantine quarantine;
  /// Messages from this daemon to itself, handled within the same event.
  std::vector<PeerMessage> messages_to_self;
};

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_STATE_H_
