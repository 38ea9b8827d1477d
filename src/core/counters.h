#ifndef EELGRASSPIN_CORE_COUNTERS_H_
#define EELGRASSPIN_CORE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace eelgrasspin::core {

// Each line: constant, exported name, help.
#define EELGRASSPIN_COUNTERS(X)                                                \
  X(StoreReads, "store_reads_total",                                           \
    "Reads and lists sent to the object store")                                \
  X(StoreWrites, "store_writes_total",                                         \
    "Conditional writes sent to the object store")                             \
  X(StoreWatches, "store_watches_total", "Watches sent to the object store")   \
  X(StoreConflicts, "store_conflicts_total",                                   \
    "Conditional writes refused by version")                                   \
  X(StoreUnavailable, "store_unavailable_total",                               \
    "Store calls without an answer")                                           \
  X(DamagedRecords, "damaged_records_total",                                   \
    "Store values that could not be read")                                     \
  X(Pauses, "pauses_total", "Pauses of the process longer than the threshold") \
  X(PeerMessagesSent, "peer_messages_sent_total",                              \
    "Control messages sent to other daemons")                                  \
  X(PeerMessagesReceived, "peer_messages_received_total",                      \
    "Control messages received")                                               \
  X(GrantOrders, "grant_orders_total", "Grant orders sent to backend servers") \
  X(GrantUnreachable, "grant_unreachable_total",                               \
    "Grant orders without an answer")                                          \
  X(GrantStale, "grant_stale_total",                                           \
    "Grant orders refused for a higher front epoch")                           \
  X(ServerLapses, "server_lapses_total",                                       \
    "Backend servers whose grant was attested as lapsed")                      \
  X(MovesStarted, "moves_started_total",                                       \
    "Moves of a slot or key started by this coordinator")                      \
  X(MovesFinished, "moves_finished_total",                                     \
    "Moves of a slot or key finished by this coordinator")                     \
  X(SlotsRecovered, "slots_recovered_total",                                   \
    "Slots given a new owner after the loss of a server")                      \
  X(CoordinatorTerms, "coordinator_terms_total",                               \
    "Times this daemon became a coordinator")                                  \
  X(FrontTerms, "front_terms_total",                                           \
    "Times this daemon became the front of a server")                          \
  X(Requests, "requests_total", "Requests from callers")                       \
  X(RequestsForwardedIn, "requests_forwarded_in_total",                        \
    "Requests received from other daemons")                                    \
  X(RequestsForwardedOut, "requests_forwarded_out_total",                      \
    "Requests sent to another daemon")                                         \
  X(RequestsToServers, "requests_to_servers_total",                            \
    "Requests sent to backend servers")                                        \
  X(Answered, "requests_answered_total",                                       \
    "Callers' requests that ended answered")                                   \
  X(NotRun, "requests_not_run_total", "Callers' requests that ended not run")  \
  X(Unknown, "requests_unknown_total",                                         \
    "Callers' requests that ended with unknown outcome")                       \
  X(Retries, "retries_total", "Further attempts at a request")                 \
  X(IntentsRecorded, "intents_recorded_total",                                 \
    "Intents confirmed by the store")                                          \
  X(IntentRepeats, "intent_repeats_total",                                     \
    "At-most-once requests seen before")                                       \
  X(Strikes, "strikes_total",                                                  \
    "Requests in flight when a server's connections died")                     \
  X(QuarantineRefusals, "quarantine_refusals_total",                           \
    "Requests refused as quarantined")                                         \
  X(Commands, "operator_commands_total", "Operator commands received")

enum class Counter : std::size_t {
#define EELGRASSPIN_COUNTER_ENUM(constant, name, help) k##constant,
  EELGRASSPIN_COUNTERS(EELGRASSPIN_COUNTER_ENUM)
#undef EELGRASSPIN_COUNTER_ENUM
      kCount
};

/// Counts since the daemon's start.
class Counters {
 public:
  std::uint64_t& operator[](Counter counter) {
    return values_[static_cast<std::size_t>(counter)];
  }
  std::uint64_t operator[](Counter counter) const {
    return values_[static_cast<std::size_t>(counter)];
  }

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Counter::kCount)>
      values_{};
};

struct CounterText {
  std::string_view name;  ///< Without the common prefix "eelgrasspin_".
  std::string_view help;
};

CounterText counter_text(Counter counter);

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_COUNTERS_H_
