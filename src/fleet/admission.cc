#include "fleet/admission.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "fleet/config.h"
#include "fleet/duration.h"

namespace eelgrasspin::fleet {
namespace {

std::uint32_t slots_of(const Candidate& candidate) {
  return std::max(1U, usable_slots(candidate));
}

double ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max<Duration::rep>(1, whole.count()));
}

/// Decayed number of refusals from which on capacity counts as short; one
/// refusal counts for a second.
constexpr double kOverloadRefusals = 0.25;

double decayed(const RefusalCount& refusals, TimePoint now) {
  return refusals.count *
         std::exp2(-ratio(now - refusals.at, config::kRefusalHalfLife));
}

/// Number of queue places at which a request still ends within `limit`; agrees
/// with expected_wait().
double places_within(const Candidate& candidate, Duration limit) {
  Duration wait = limit - candidate.service_time;
  if (wait < Duration(0)) return 0;
  return std::max(
      0.0, ratio(wait, candidate.service_time) * slots_of(candidate) + 0.5);
}

/// Queue places for new callers of the objective.
double places_for(const Candidate& candidate, Duration objective,
                  Duration unseen) {
  double all = std::floor(places_within(candidate, objective));
  double seen = std::floor(places_within(candidate, objective - unseen));
  double most = std::max<double>(
      config::kMaxServerQueue,
      std::floor(config::kMaxQueuePlacesPerSlot * slots_of(candidate)));
  return std::min({most, all, std::max<double>(config::kMaxServerQueue, seen)});
}

/// Number `index` of a sequence from 0 to 1, multiples of the golden ratio, of
/// which any few successive numbers are evenly spread.
double evenly_spread(double start, std::uint64_t index) {
  constexpr double kGoldenRatio = 0.6180339887498949;
  double value = start + kGoldenRatio * static_cast<double>(index % 1'000'000);
  return value - std::floor(value);
}

bool leads_to(const Route& route, const ServiceName& service) {
  return std::any_of(route.destinations.begin(), route.destinations.end(),
                     [&service](const Destination& destination) {
                       return destination.service == service &&
                              destination.weight > 0;
                     });
}

}  // namespace

Urgency urgency_at(const Configuration& configuration, const Route& route,
                   const ServiceName& service) {
  Urgency urgency;
  std::set<std::uint32_t> more_urgent;
  for (const Route& other : configuration.routes) {
    if (other.priority >= route.priority || !leads_to(other, service)) continue;
    urgency.shortest_objective =
        more_urgent.empty()
            ? other.objective
            : std::min(urgency.shortest_objective, other.objective);
    more_urgent.insert(other.priority);
  }
  urgency.level = static_cast<std::uint32_t>(more_urgent.size());
  return urgency;
}

CallerHistory caller_history(Duration deadline, Duration longest) {
  CallerHistory history;
  history.retried =
      deadline < scaled(longest, config::kRetryingCallerDeadlineShare);
  if (history.retried) history.elapsed = longest - deadline;
  return history;
}

bool lacks_capacity(const State& state, const ServiceName& service,
                    TimePoint now) {
  auto found = state.refusal_counts.find({service, ServerName()});
  return found != state.refusal_counts.end() &&
         decayed(found->second, now) >= kOverloadRefusals;
}

AdmissionRequest admission_request(const State& state,
                                   const RequestState& request, TimePoint now) {
  bool reserve =
      request.urgency.level > 0 && lacks_capacity(state, request.service, now);
  return {request.route->objective,
          request.deadline - now,
          request.caller,
          reserve ? request.urgency : Urgency(),
          config::kMinKnownLoadAge +
              scaled(config::kMaxKnownLoadAge - config::kMinKnownLoadAge,
                     evenly_spread(0, request.id.value)),
          request.key.has_value()};
}

Duration unseen_wait(const Candidate& candidate, std::uint32_t own_load,
                     Duration age) {
  if (candidate.load == 0) return Duration(0);
  std::uint32_t others = candidate.load - std::min(candidate.load, own_load);
  // At twice the load that a full server can serve, its queue grows by one
  // service rate, so the requests that arrive within the age of a report take
  // that age to serve.
  return scaled(age, static_cast<double>(others) / candidate.load);
}

std::uint32_t queue_places(const AdmissionRequest& request,
                           const Candidate& candidate, std::uint32_t own_load) {
  // A request without a key can go to another server or wait here, and servers
  // of other regions have requests that are not reported: no longer queue.
  Duration unseen = request.keyed
                        ? unseen_wait(candidate, own_load, request.assumed_age)
                        : request.objective;
  double places = places_for(candidate, request.objective, unseen);
  double extra = 0;
  // Once the objective has passed, the answer is late anyhow: precedence would
  // only make others late as well.
  if (request.caller.retried && request.caller.elapsed < request.objective) {
    extra = std::max<double>(
        config::kRetryingCallerExtraQueue,
        std::round(ratio(request.caller.elapsed,
                         request.caller.elapsed + request.time_left) *
                   config::kMaxRetryingCallerShare * slots_of(candidate)));
  }
  if (request.urgency.level > 0) {
    double reserve =
        std::ceil(config::kUrgentReserveShare * slots_of(candidate)) *
        request.urgency.level;
    double urgent =
        places_for(candidate, request.urgency.shortest_objective, unseen);
    places = std::min(places, std::max(0.0, urgent - reserve));
    extra = std::min(extra, reserve - 1);
  }
  double in_time = std::floor(places_within(candidate, request.time_left));
  return static_cast<std::uint32_t>(std::min(places + extra, in_time));
}

Duration time_until_room(const std::vector<Candidate>& candidates) {
  Duration shortest = Duration::max();
  for (const Candidate& candidate : candidates) {
    std::uint32_t room =
        slots_of(candidate) + candidate.queue_places.value_or(0);
    if (candidate.load < room) return Duration(0);
    shortest = std::min(shortest,
                        scaled(candidate.service_time,
                               static_cast<double>(candidate.load + 1 - room) /
                                   slots_of(candidate)));
  }
  return candidates.empty() ? Duration(0) : shortest;
}

double count_refusal(RefusalCount& refusals, TimePoint now) {
  refusals.count = decayed(refusals, now) + 1;
  refusals.at = now;
  return refusals.count;
}

Duration retry_delay(const std::vector<Candidate>& candidates,
                     const RetryDelayInput& input) {
  Duration longest = scaled(std::max(Duration(0), input.time_left),
                            config::kMaxRetryAfterShare);
  constexpr auto kLeast = static_cast<double>(config::kMinRetryAfter.count());
  double served_per_us = 0;
  for (const Candidate& candidate : candidates) {
    served_per_us +=
        slots_of(candidate) / static_cast<double>(std::max<Duration::rep>(
                                  1, candidate.service_time.count()));
  }
  double expected = static_cast<double>(longest.count());
  if (served_per_us > 0) {
    expected = std::min(
        expected, static_cast<double>(time_until_room(candidates).count()) +
                      input.callers / served_per_us);
  }
  // While the objective can still be met, the caller tries again in time for
  // it.
  if (input.elapsed < input.objective) {
    expected = std::min(
        expected,
        static_cast<double>(
            scaled(input.objective, config::kMaxRetryAfterObjectiveShare)
                .count()));
  }
  auto most = static_cast<double>(longest.count());
  double earliest = std::clamp(expected * (1 - config::kRetryAfterSpread),
                               std::min(most, kLeast), most);
  double latest = std::min(
      most, std::max(expected, earliest) * (1 + config::kRetryAfterSpread));
  return Duration(static_cast<Duration::rep>(
      earliest + input.spread * std::max(0.0, latest - earliest)));
}

double next_spread(State& state) {
  std::string name = state.settings.self.name.str();
  double start =
      static_cast<double>(XXH64(name.data(), name.size(), 0) % 1024) / 1024;
  return evenly_spread(start, ++state.refusals);
}

}  // namespace eelgrasspin::fleet
