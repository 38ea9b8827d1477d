#include "core/request/requests.h"

#include "core/request/entry.h"
#include "core/request/front_queue.h"
#include "core/request/lifecycle.h"
#include "core/state.h"

namespace eelgrasspin::core::request {
namespace {

void on_attempt_ended(core::State& state, const AttemptEnded& ended, Now now,
                      Effects& effects) {
  OpenRequest* request = find_open(state, ended.id);
  if (request == nullptr || request->attempt != ended.attempt) return;
  if (request->stage == Stage::kAtServer)
    on_server_attempt_ended(state, *request, ended.result, now, effects);
  else if (request->stage == Stage::kAtFront)
    on_front_attempt_ended(state, *request, ended.result, now, effects);
}

void on_cancelled(core::State& state, const RequestCancelled& cancelled,
                  Now now, Effects& effects) {
  OpenRequest* request = find_open(state, cancelled.id);
  if (request != nullptr) end_cancelled(state, *request, now, effects);
}

/// Takes the steps that a newer map, a grant or the passing of time allows.
void settle(core::State& state, const Event& event, bool routes_changed,
            Now now, Effects& effects) {
  bool tick = std::holds_alternative<Tick>(event);
  bool granted = std::holds_alternative<GrantReplied>(event);
  if (tick) expire_occupancies(state, now);
  if (tick) expire_requests(state, now, effects);
  if (tick || routes_changed)
    dispatch_held(state, routes_changed, now, effects);
  if (tick || routes_changed || granted) pump_all(state, now, effects);
}

}  // namespace

void step(core::State& state, const Event& event, Now now, Effects& effects) {
  bool routes_changed = refresh_routing(state.request.routing, state.cache);
  if (const auto* arrived = std::get_if<RequestArrived>(&event))
    on_arrived(state, *arrived, now, effects);
  else if (const auto* ended = std::get_if<AttemptEnded>(&event))
    on_attempt_ended(state, *ended, now, effects);
  else if (const auto* cancelled = std::get_if<RequestCancelled>(&event))
    on_cancelled(state, *cancelled, now, effects);
  settle(state, event, routes_changed, now, effects);
}

ServerLoad server_load(const core::State& /*state*/,
                       const ServerName& /*server*/, Now /*now*/) {
  return {};
}

std::uint64_t open_requests(const core::State& state) {
  return state.request.open.size();
}

}  // namespace eelgrasspin::core::request
