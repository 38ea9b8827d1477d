#ifndef EELGRASSPIN_OUTCOME_H_
#define EELGRASSPIN_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace eelgrasspin {

/// How a request ended. Each request has exactly one.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< The caller was given the backend server's whole answer.
  kNotRun,    ///< Provably never reached a backend server's handler.
  kUnknown,   ///< Sent, but no whole answer was seen; it may have run.
};

/// Why a request was refused or its outcome is unknown.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,
  kUnknownService,
  kUnknownOperation,
  kIdempotencyKeyMissing,
  kIdempotencyKeyInvalid,
  kBodyTooLarge,
  kDeadlinePassed,  ///< In a queue, before anything was sent.
  kQueueFull,
  kCallerOverShare,
  kNoOwner,
  kOwnerUnreachable,  ///< No connection could be made.
  kMoved,             ///< The slot's owner changed before the request was sent.
  kGrantRefused,      ///< The backend server's own check refused it.
  kQuarantined,
  kServiceClosed,
  kStopping,
  kHopLimit,
  kIntentNotRecorded,  ///< The store did not confirm the intent.
  kRepeatInProgress,   ///< The same idempotency key is running now.
  kRepeatOutcomeUnknown,
  kPushback,  ///< The backend server shed it.
  kCancelled,
  kTimeoutAfterSend,
  kConnectionLost,
  kTruncatedAnswer,
  kRetryBudgetSpent,
  kServerFailed,
  kRepeatAnswered,  ///< The operation was answered before, under the same
                    ///< idempotency key; this repeat did not run.
  kCount,
};

std::string_view to_string(Outcome outcome);
std::string_view to_string(Reason reason);
/// HTTP status told to the caller for a refusal or unknown outcome.
int http_status(Outcome outcome, Reason reason);

/// What may be done with an operation when its answer was not seen.
enum class ExecutionClass : std::uint8_t {
  kRead,        ///< Changes nothing; may be sent again.
  kIdempotent,  ///< May be sent again with the same effect.
  kAtMostOnce,  ///< Never sent twice; needs an idempotency key.
};

std::string_view to_string(ExecutionClass execution_class);

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_OUTCOME_H_
