#ifndef EELGRASSPIN_OUTCOME_H_
#define EELGRASSPIN_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace eelgrasspin {

/// How a request ended. Each request has exactly one outcome.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< The caller received the backend server's complete answer.
  kNotRun,    ///< Has certainly not reached a backend server's handler.
  kUnknown,   ///< Sent, but no complete answer was received; may have run.
};

/// Why a request was refused or why its outcome is unknown.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,
  kUnknownService,
  kUnknownOperation,
  kIdempotencyKeyMissing,
  kIdempotencyKeyInvalid,
  kBodyTooLarge,
  kDeadlinePassed,  ///< While queued, before anything was sent.
  kQueueFull,
  kCallerOverShare,
  kNoOwner,
  kOwnerUnreachable,  ///< No connection could be established.
  kMoved,             ///< The slot's owner changed before the request was sent.
  kGrantRefused,      ///< The backend server's grant check refused it.
  kQuarantined,
  kServiceClosed,
  kStopping,
  kHopLimit,
  kIntentNotRecorded,  ///< The store did not confirm the intent.
  kRepeatInProgress,   ///< A request with the same idempotency key is running.
  kRepeatOutcomeUnknown,
  kPushback,  ///< The backend server shed the request.
  kCancelled,
  kTimeoutAfterSend,
  kConnectionLost,
  kTruncatedAnswer,
  kRetryBudgetSpent,
  kServerFailed,
  kRepeatAnswered,  ///< An earlier request with the same idempotency key was
                    ///< answered; this repeat did not run.
  kCount,
};

std::string_view to_string(Outcome outcome);
std::string_view to_string(Reason reason);
/// HTTP status sent to the caller for a refusal or an unknown outcome.
int http_status(Outcome outcome, Reason reason);

/// Whether an operation may be sent again when its answer was not received.
enum class ExecutionClass : std::uint8_t {
  kRead,        ///< Changes nothing; may be sent again.
  kIdempotent,  ///< Has the same effect when sent again.
  kAtMostOnce,  ///< Never sent twice; requires an idempotency key.
};

std::string_view to_string(ExecutionClass execution_class);

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_OUTCOME_H_
