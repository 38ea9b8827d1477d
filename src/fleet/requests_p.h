#ifndef EELGRASSPIN_FLEET_REQUESTS_P_H_
#define EELGRASSPIN_FLEET_REQUESTS_P_H_

#include <string_view>
#include <vector>

#include "fleet/choice.h"
#include "fleet/state.h"

/// Steps of a request that its files share.
namespace eelgrasspin::fleet {

inline constexpr int kNotFound = 404;
inline constexpr int kBadRequest = 400;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
inline constexpr int kServerError = 500;
/// The answer of a server at the route's time-out may still arrive this long
/// after it.
inline constexpr Duration kTimeoutGrace = milliseconds(120);

/// Until the request's deadline.
inline Duration time_left(const RequestState& request, TimePoint now) {
  return request.deadline - now;
}

// Ends, in answers.cc. Each leaves the request erased.
/// Ends a request with an answer of our own.
void answer(State& state, RequestState& request, int status, Duration after,
            std::string_view reason, TimePoint now, Effects& effects);
/// Passes a server's answer on.
void relay(State& state, RequestState& request,
           const std::shared_ptr<const ServerAnswer>& from_server, int status,
           std::string_view reason, TimePoint now, Effects& effects);
/// Ends a request that no server can take: "not run" only where that is known.
void refuse(State& state, RequestState& request, std::string_view reason,
            TimePoint now, Effects& effects);
void note_end(const RequestState& request, int status, std::string_view reason,
              TimePoint now, Effects& effects);

// Sends, in dispatch.cc.
/// Servers of the service that accept work.
std::vector<Candidate> all_candidates(const State& state,
                                      const ServiceName& service,
                                      TimePoint now);
/// When a request is ended here although its server has not answered.
TimePoint give_up_time(const RequestState& request);
/// Sends the request if a server can take it now, else leaves it waiting or
/// refuses it. The request may be gone afterwards.
void dispatch(State& state, RequestState& request, TimePoint now,
              Effects& effects);
/// Sends a repeatable request to another server when the first one takes far
/// longer than expected, if one has room for it.
void resend_slow_request(State& state, RequestState& request, TimePoint now,
                         Effects& effects);

// Attempts, in attempts.cc.
/// The attempt under way is over, however it ended.
void end_attempt(State& state, RequestState& request);
/// The request's time is up.
void expire(State& state, RequestState& request, TimePoint now,
            Effects& effects);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REQUESTS_P_H_
