#ifndef EELGRASSPIN_FLEET_REQUESTS_P_H_
#define EELGRASSPIN_FLEET_REQUESTS_P_H_

#include <algorithm>
#include <optional>
#include <string_view>
#include <vector>

#include "fleet/choice.h"
#include "fleet/state.h"

/// Steps of a request that answers.cc, attempts.cc, dispatch.cc and requests.cc
/// share.
namespace eelgrasspin::fleet {

inline constexpr int kNotFound = 404;
inline constexpr int kBadRequest = 400;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
inline constexpr int kServerError = 500;
/// An answer that a server sends at the route's timeout may still arrive this
/// long after it.
inline constexpr Duration kTimeoutGrace = milliseconds(120);

/// The server of the request's last attempt.
inline ServerIncarnation server_of(const RequestState& request) {
  return {request.server, request.server_incarnation};
}
/// Whether the server's limit has left no room for the request.
inline bool denied_by(const RequestState& request, const ServerName& server) {
  return std::find(request.denied_by.begin(), request.denied_by.end(),
                   server) != request.denied_by.end();
}
/// Time until the request's deadline.
inline Duration time_left(const RequestState& request, TimePoint now) {
  return request.deadline - now;
}

// Answers, in answers.cc. Each erases the request.
/// Ends a request with an answer of this daemon. `retry_delay` 0: the answer
/// has no Retry-After header.
void answer(State& state, RequestState& request, int status,
            Duration retry_delay, std::string_view reason, TimePoint now,
            Effects& effects);
/// Ends a request by forwarding a server's answer.
void relay(State& state, RequestState& request,
           const std::shared_ptr<const ServerAnswer>& from_server, int status,
           std::string_view reason, TimePoint now, Effects& effects);
/// Ends a request that no server can take. Says "not run" only if that is
/// certain.
void refuse(State& state, RequestState& request, std::string_view reason,
            TimePoint now, Effects& effects);
/// Logs the end of a request.
void log_request_end(const RequestState& request, int status,
                     std::string_view reason, TimePoint now, Effects& effects);

// Sends, in dispatch.cc.
/// Servers of the request's service that may be sent it.
std::vector<Candidate> all_candidates(const State& state,
                                      const RequestState& request,
                                      TimePoint now);
/// The earliest end of the Retry-After times of the servers that could take the
/// request. Empty if no such time is running.
std::optional<TimePoint> backoff_end(const State& state,
                                     const RequestState& request,
                                     TimePoint now);
/// Time at which a request is ended here even if its server has not answered.
TimePoint give_up_time(const RequestState& request);
/// Sends the request if a server can take it now, else leaves it waiting or
/// refuses it. May erase the request.
void dispatch(State& state, RequestState& request, TimePoint now,
              Effects& effects);
/// Calls dispatch() for waiting requests in their order. Once a request has
/// found every server of its service full, the later ones of that service are
/// not tried.
void dispatch_waiting(State& state, const std::vector<RequestId>& ids,
                      TimePoint now, Effects& effects);
/// Sends a repeatable request again, to another server or on another connection
/// to its owner, if it has exceeded its response timeout and a server has room.
void resend_slow_request(State& state, RequestState& request, TimePoint now,
                         Effects& effects);

// Attempts, in attempts.cc.
/// Removes the current attempt, however it ended.
void end_attempt(State& state, RequestState& request);
/// Ends a request whose deadline has passed.
void expire(State& state, RequestState& request, TimePoint now,
            Effects& effects);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REQUESTS_P_H_
