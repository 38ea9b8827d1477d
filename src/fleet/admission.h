#ifndef EELGRASSPIN_FLEET_ADMISSION_H_
#define EELGRASSPIN_FLEET_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fleet/choice.h"
#include "fleet/state.h"

/// Decides who gets the capacity of servers that are full. Free slots are open
/// to every request; admission divides only the queue places beyond them, so
/// that it changes nothing without overload and leaves no slot idle under it.
/// Designed for loads of other daemons that are 60 to 500 ms old.
namespace eelgrasspin::fleet {

/// What admission needs to know of a request.
struct AdmissionRequest {
  Duration objective{0};
  Duration time_left{0};  ///< Until its deadline.
  CallerHistory caller;
  Urgency urgency;
  /// Age of the loads known of other daemons; differs between requests, so that
  /// not every daemon fills the same gap.
  Duration assumed_age{0};
  bool keyed = false;  ///< Only the owner can serve it.
};

/// How urgent requests of the route are at the service.
Urgency urgency_at(const Configuration& configuration, const Route& route,
                   const ServiceName& service);
/// What the deadline of a request shows of its caller. `longest` is the longest
/// deadline seen on the route.
CallerHistory caller_history(Duration deadline, Duration longest);

/// Whether this daemon has recently refused requests of the service for lack of
/// capacity. Only then is a reserve left to more urgent routes: a queue that is
/// full for a moment is no overload.
bool lacks_capacity(const State& state, const ServiceName& service,
                    TimePoint now);
AdmissionRequest admission_request(const State& state,
                                   const RequestState& request, TimePoint now);

/// Time that requests of other daemons that are not known yet may add to the
/// wait at a full server. `own_load` is this daemon's part of the load.
Duration unseen_wait(const Candidate& candidate, std::uint32_t own_load,
                     Duration age);
/// Requests beyond its slots that the server may have for the request to be
/// sent there.
std::uint32_t queue_places(const AdmissionRequest& request,
                           const Candidate& candidate, std::uint32_t own_load);
/// Sets Candidate::queue_places.
inline void set_queue_places(Candidate& candidate,
                             const AdmissionRequest& request,
                             std::uint32_t own_load) {
  candidate.queue_places = queue_places(request, candidate, own_load);
}

/// Time until one of the candidates is expected to have room for one more
/// request.
Duration time_until_room(const std::vector<Candidate>& candidates);
/// Counts a refusal and returns how many callers are expected to come back for
/// the same capacity, this one included.
double count_refusal(RefusalCount& refusals, TimePoint now);

/// What the Retry-After of a refused request depends on.
struct RetryDelayInput {
  Duration time_left{0};  ///< Until the caller's deadline.
  Duration objective{0};  ///< Of the route.
  Duration elapsed{0};    ///< Since the caller's first attempt.
  double callers = 1;  ///< Refused callers of all daemons, this one included.
  double spread = 0;   ///< Position within the interval, from 0 to 1.
};
/// Time after which a caller refused by full servers should try again: when the
/// backlog of the candidates and the refused callers before it are expected to
/// have been served, at most kMaxRetryAfterShare of its remaining time.
Duration retry_delay(const std::vector<Candidate>& candidates,
                     const RetryDelayInput& input);
/// The next number from 0 to 1 of a sequence that is evenly spread over any few
/// successive values and differs between daemons.
double next_spread(State& state);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_ADMISSION_H_
