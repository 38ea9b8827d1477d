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

/// The life of requests: routing, queues, retries, at-most-once, quarantine,
/// accounts.
namespace eelgrasspin::core::request {

/// Where an open request is.
enum class Stage : std::uint8_t {
  kHeld,         ///< At its entry, without a usable owner.
  kQueued,       ///< In the queue of a backend server's front.
  kAtServer,     ///< Sent to the backend server.
  kAtFront,      ///< Sent to the daemon that is the owner's front.
  kWithdrawing,  ///< Left its queue; the ledger is told that it did not run.
};

/// How far the record of an at-most-once intent is.
enum class IntentPhase : std::uint8_t {
  kNotNeeded,
  kWanted,    ///< Waits for the next batch.
  kAsked,     ///< In a batch whose verdict is awaited.
  kRecorded,  ///< Confirmed by the store.
};

/// A request that has not ended.
struct OpenRequest {
  RequestId id;
  RequestHead head;
  bool from_caller = true;
  ServerName named_server;  ///< Set for a forwarded one: the server it is for.
  /// Service whose book counts it; empty for services that are not declared,
  /// so that callers cannot make the books grow.
  ServiceName book;
  std::string operation;
  ExecutionClass execution_class = ExecutionClass::kAtMostOnce;
  Key key;
  SlotId slot;
  std::uint64_t fingerprint = 0;
  TimePoint arrived;
  TimePoint deadline;
  Stage stage = Stage::kHeld;
  ServerName server;  ///< Of the queue or of the attempt under way.
  AttemptId attempt;  ///< Under way.
  std::uint32_t attempts = 0;
  bool maybe_ran = false;  ///< An earlier attempt ended unknown.
  TimePoint sent_at;       ///< Of the attempt under way.
  TimePoint try_after;     ///< Held: earliest next look without a newer map.
  Reason last_refusal = Reason::kNone;  ///< Why the last attempt did not run.
  IntentPhase intent = IntentPhase::kNotNeeded;
  std::uint64_t ticket = 0;  ///< Of its recorded intent.
};

/// One request that a backend server may be working on.
struct Occupancy {
  SlotId slot;
  Key key;
  bool carved_out = false;  ///< Sent under the key's own ownership.
  TimePoint sent_at;
  /// Set once the answer is no longer awaited: the server has given up by then.
  std::optional<TimePoint> until;
};

/// Queue of the front of one backend server.
struct FrontQueue {
  std::map<CallerName, std::deque<RequestId>> waiting;  ///< In arrival order.
  CallerName last_served;
  std::uint32_t size = 0;
  std::map<AttemptId, Occupancy> occupied;
  TimePoint paused_until;  ///< After a refused connection.
  Duration mean_work{0};   ///< Moving average from send to answer.
  LoadCounts load;
};

/// Counts and retry budget of one service at this entry.
struct ServiceBook {
  OutcomeCounts counts;
  std::deque<RefusalSample> samples;  ///< Newest last.
  std::uint64_t retry_credit = 0;     ///< In percent of one retry.
};

struct State {
  RoutingTable routing;
  std::map<RequestId, OpenRequest> open;
  std::uint64_t held = 0;
  std::map<ServerName, FrontQueue> queues;
  std::map<ServiceName, ServiceBook> books;
  std::uint64_t next_attempt = 1;
  IntentClient intents;
  std::map<ZoneName, ZoneLedger> ledgers;
  Quarantine quarantine;
  /// Messages of this daemon to itself, handled within the same event.
  std::vector<PeerMessage> to_self;
};

}  // namespace eelgrasspin::core::request

#endif  // EELGRASSPIN_CORE_REQUEST_STATE_H_
