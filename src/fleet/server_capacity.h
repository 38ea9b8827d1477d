#ifndef EELGRASSPIN_FLEET_SERVER_CAPACITY_H_
#define EELGRASSPIN_FLEET_SERVER_CAPACITY_H_

#include <cstdint>
#include <optional>

#include "fleet/event.h"
#include "fleet/model.h"

/// How many requests at once a server takes well, learned from the growth of
/// its latencies with its load, from rejections and from what it states itself.
/// See docs/design/0010-server-capacity.md.
namespace eelgrasspin::fleet {

/// Times by load, and how much they vary.
struct MeasuredCurve {
  LoadCurve curve;   ///< Own answers, and those reported to this daemon.
  LoadCurve unsent;  ///< The part of it that no report has contained yet.
  TimePoint curve_at;
  TimePoint unsent_at;
  double variance = 0;  ///< Of logarithms around the mean of their level.
  double variance_count = 0;
};

/// What is known of one server since its start.
struct ServerCapacity {
  MeasuredCurve latencies;
  MeasuredCurve work_times;  ///< As the server states them.

  std::uint32_t learned = 0;  ///< From the curves; 0: as many as the slots.
  TimePoint changed_at;
  Duration probe_interval{0};   ///< 0: the initial one.
  bool raised_last = false;     ///< The last change was upwards.
  std::uint32_t rejection = 0;  ///< Limit after the last rejection; 0: none.
  TimePoint rejected_at;

  std::uint32_t shared = 0;  ///< Learned by the coordinator; 0: the slots.
  std::optional<TimePoint> shared_at;

  /// What the server has stated last, and when.
  std::optional<ServerLoadReport> stated;
  TimePoint stated_at;
  std::uint32_t in_flight_at_statement = 0;  ///< Of this daemon.
  double mean_work_time_ratio = 0;           ///< Moving average; 0: none.

  TimePoint logged_at;
  std::uint32_t logged = 0;  ///< Concurrency in the last log event; 0: none.
};

/// Records an answer. `running` is the number of requests that ran at the
/// server with this one; above the slots, the latency contains waiting and does
/// not count.
void record_answer(ServerCapacity& capacity, Duration latency,
                   std::uint32_t running, std::uint32_t slots, TimePoint now);
/// Records the load that the server has stated in an answer. `in_flight` is the
/// number of this daemon's requests that are still there.
void record_statement(ServerCapacity& capacity, const ServerLoadReport& stated,
                      std::uint32_t in_flight, std::uint32_t slots,
                      TimePoint now);
/// Records that the server has rejected a request because it is full.
void record_rejection(ServerCapacity& capacity, std::uint32_t slots,
                      TimePoint now);
/// Adds answers that another daemon has measured. They are part of this
/// daemon's next report if `forward` is set.
void add_curves(ServerCapacity& capacity, const LoadCurve& latencies,
                const LoadCurve& work_times, bool forward, std::uint32_t slots,
                TimePoint now);
/// Adopts what the coordinator has learned; 0: as many as the slots.
void adopt_shared(ServerCapacity& capacity, std::uint32_t concurrency,
                  TimePoint now);
/// Takes the answers out that no report has contained yet.
LoadCurve take_unsent(MeasuredCurve& measured);
bool has_answers(const LoadCurve& curve);

/// Requests at once that the server takes well: 1 to `slots`.
std::uint32_t concurrency(const ServerCapacity& capacity, std::uint32_t slots,
                          TimePoint now);
/// The same without what the coordinator has learned.
std::uint32_t own_concurrency(const ServerCapacity& capacity,
                              std::uint32_t slots, TimePoint now);

/// Load of the server, given what daemons report: nearer to what the server has
/// stated the fresher that is.
std::uint32_t present_load(const ServerCapacity& capacity,
                           std::uint32_t reported, std::uint32_t in_flight,
                           TimePoint now);
/// Service time, given its average: likewise by the stated work time.
Duration present_service_time(const ServerCapacity& capacity, Duration average,
                              TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_SERVER_CAPACITY_H_
