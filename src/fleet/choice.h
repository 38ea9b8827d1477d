#ifndef EELGRASSPIN_FLEET_CHOICE_H_
#define EELGRASSPIN_FLEET_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "eelgrasspin/units.h"
#include "fleet/registry.h"

/// Which server a request goes to. Answers to load that few servers with few
/// slots each share between daemons that see one another's requests a moment
/// late: a free slot nearby first, then the earliest expected finish.
namespace eelgrasspin::fleet {

struct Candidate {
  ServerName name;
  Distance distance = Distance::kSameZone;
  std::uint32_t slots = 1;
  std::uint32_t load = 0;     ///< Requests of all daemons at the server.
  Duration service_time{0};   ///< Of one request in one slot.
  double success_rate = 1.0;  ///< Share of useful outcomes.
};

/// Time until a slot is expected to be free for one more request.
Duration expected_wait(const Candidate& candidate);
/// expected_wait() and service, longer for a server that fails requests.
Duration expected_finish(const Candidate& candidate);
/// The server takes one more request: it has a free slot, or queues at most
/// kServerQueue and is expected to answer within the objective.
bool has_room(const Candidate& candidate, Duration objective);

/// Position of the best candidate with room; empty if none has room. `draw`
/// breaks ties.
std::optional<std::size_t> choose(const std::vector<Candidate>& candidates,
                                  Duration objective, std::uint64_t draw);

/// When a refused caller should come back: when the least loaded candidate is
/// expected to have room, within the share of `time_left` that callers honour.
Duration retry_after(const std::vector<Candidate>& candidates,
                     Duration time_left);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_CHOICE_H_
