#ifndef EELGRASSPIN_FLEET_REQUESTS_H_
#define EELGRASSPIN_FLEET_REQUESTS_H_

#include "fleet/state.h"

/// Callers' requests, from arrival to answer.
namespace eelgrasspin::fleet {

void on_request(State& state, const RequestReceived& received, TimePoint now,
                Effects& effects);
void on_caller_left(State& state, const CallerLeft& left, TimePoint now,
                    Effects& effects);
void on_attempt_ended(State& state, const AttemptEnded& ended, TimePoint now,
                      Effects& effects);
/// Brings forward the deadlines of open requests, so that each is answered
/// before a daemon that has been ordered to stop is killed.
void on_stop_ordered(State& state);
/// Ends requests whose deadline has passed, resends slow ones, and tries to
/// send those that wait.
void tick_requests(State& state, TimePoint now, Effects& effects);
/// Tries to send each waiting request to a server, the most urgent first.
void retry_waiting(State& state, TimePoint now, Effects& effects);

/// The matching route with the longest prefix; null if none matches.
const Route* find_route(const Configuration& configuration,
                        std::string_view host, std::string_view path);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_REQUESTS_H_
