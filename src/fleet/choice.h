#ifndef EELGRASSPIN_FLEET_CHOICE_H_
#define EELGRASSPIN_FLEET_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "eelgrasspin/units.h"
#include "fleet/registry.h"

/// Chooses the server for a request: a free slot nearby first, then the
/// earliest expected finish. Designed for few servers with few slots each, and
/// for daemons that learn of one another's requests with a delay.
namespace eelgrasspin::fleet {

struct Candidate {
  ServerName name;
  Distance distance = Distance::kSameZone;
  std::uint32_t slots = 1;
  std::uint32_t load = 0;     ///< Requests of all daemons at the server.
  Duration service_time{0};   ///< Of one request in one slot.
  double success_rate = 1.0;  ///< Share of requests that succeed.
  /// Requests at once that the server takes well; 0: as many as its slots.
  std::uint32_t concurrency = 0;
  /// Requests beyond these that the request may find there; empty: any request
  /// may find kMaxServerQueue that end within its objective.
  std::optional<std::uint32_t> queue_places = std::nullopt;
};

/// Requests that may run at the server at once: its learned concurrency, within
/// its slots.
std::uint32_t usable_slots(const Candidate& candidate);

/// Time until a slot is expected to be free for one more request.
Duration expected_wait(const Candidate& candidate);
/// expected_wait() plus service time, longer for a server that fails requests.
Duration expected_finish(const Candidate& candidate);
/// Whether the server may be sent one more request: it has a free slot, or its
/// queue is shorter than `queue_places`, or without these shorter than
/// kMaxServerQueue and the answer is expected within the objective.
bool has_room(const Candidate& candidate, Duration objective);

/// Index of the best candidate with a free slot that is no further away than
/// `furthest`, if it is expected to answer within kNearestServerObjectiveShare
/// of the objective.
std::optional<std::size_t> choose_nearby(
    const std::vector<Candidate>& candidates, Distance furthest,
    Duration objective, std::uint64_t tie_breaker);
/// Index of the best candidate with room; empty if none has room. Which one of
/// several equal candidates is chosen depends on `tie_breaker`.
std::optional<std::size_t> choose(const std::vector<Candidate>& candidates,
                                  Duration objective,
                                  std::uint64_t tie_breaker);

/// Time after which a refused caller should retry: when a slot of the least
/// loaded candidate is expected to be free, but at most kMaxRetryAfterShare of
/// `time_left`, which callers honour.
Duration retry_after(const std::vector<Candidate>& candidates,
                     Duration time_left);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_CHOICE_H_
