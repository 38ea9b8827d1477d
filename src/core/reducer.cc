#include "core/reducer.h"

#include <variant>

#include "core/membership/membership.h"
#include "core/operator/operators.h"
#include "core/ownership/ownership.h"
#include "core/request/requests.h"

namespace eelgrasspin::core {
namespace {

void detect_pause(State& state, const Event& event, Now now, Effects& effects) {
  bool is_start = std::holds_alternative<Started>(event);
  Duration since_last_event =
      is_start ? Duration(0) : now.mono - state.last_event;
  state.resumed_from_pause = since_last_event > config::kPauseThreshold;
  state.pause = state.resumed_from_pause ? since_last_event : Duration(0);
  state.last_event = now.mono;
  if (!state.resumed_from_pause) return;
  ++state.counters[Counter::kPauses];
  record(state, {.kind = TimelineKind::kPauseDetected}, now, effects);
}

void record_start_or_stop(State& state, const Event& event, Now now,
                          Effects& effects) {
  if (const auto* started = std::get_if<Started>(&event)) {
    state.self.incarnation = started->incarnation;
    record(state, {.kind = TimelineKind::kDaemonStarted}, now, effects);
  } else if (std::holds_alternative<StopOrdered>(event) && !state.stopping) {
    state.stopping = true;
    record(state, {.kind = TimelineKind::kDaemonStopping}, now, effects);
  }
}

/// Whether a cached roster still lists this daemon as a front or as the
/// predecessor of one.
bool is_listed_as_front(const State& state) {
  bool listed = false;
  for_each_prefixed(state.cache, live_prefix(), [&](const StoreEntry& entry) {
    const auto* roster = std::get_if<ZoneRoster>(&entry.record);
    if (roster == nullptr) return;
    for (const auto& [server, front] : roster->fronts) {
      listed |= front.daemon == state.self.name;
      for (const FrontPredecessor& predecessor : front.predecessors) {
        listed |= predecessor.daemon == state.self.name;
      }
    }
  });
  return listed;
}

/// Whether a stopping daemon has ended its requests and given up its roles.
bool stop_complete(const State& state, Now now) {
  return state.stopping && request::open_requests(state) == 0 &&
         membership::coordinated_zones(state, now).empty() &&
         ownership::fronted_servers(state).empty() &&
         !is_listed_as_front(state);
}

}  // namespace

Effects reduce(State& state, const Event& event, Now now) {
  Effects effects;
  detect_pause(state, event, now, effects);
  record_start_or_stop(state, event, now, effects);
  step_store_writer(state, event, now, effects);
  membership::step(state, event, now, effects);
  ownership::step(state, event, now, effects);
  request::step(state, event, now, effects);
  operators::step(state, event, now, effects);
  if (std::holds_alternative<Tick>(event) && stop_complete(state, now)) {
    effects.emplace_back(ExitProcess{});
  }
  return effects;
}

}  // namespace eelgrasspin::core
