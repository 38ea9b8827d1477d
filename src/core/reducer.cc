#include "core/reducer.h"

#include <variant>

#include "core/membership/membership.h"
#include "core/operator/operators.h"
#include "core/ownership/ownership.h"
#include "core/request/requests.h"

namespace eelgrasspin::core {
namespace {

void note_time(State& state, const Event& event, Now now, Effects& effects) {
  bool first = std::holds_alternative<Started>(event);
  Duration gap = first ? Duration(0) : now.mono - state.last_event;
  state.resumed_from_pause = gap > config::kPauseThreshold;
  state.pause = state.resumed_from_pause ? gap : Duration(0);
  state.last_event = now.mono;
  if (!state.resumed_from_pause) return;
  ++state.counters[Counter::kPauses];
  record(state, {.kind = TimelineKind::kPauseDetected}, now, effects);
}

void note_start(State& state, const Event& event, Now now, Effects& effects) {
  if (const auto* started = std::get_if<Started>(&event)) {
    state.self.incarnation = started->incarnation;
    record(state, {.kind = TimelineKind::kDaemonStarted}, now, effects);
  } else if (std::holds_alternative<StopOrdered>(event) && !state.stopping) {
    state.stopping = true;
    record(state, {.kind = TimelineKind::kDaemonStopping}, now, effects);
  }
}

/// Whether a known roster still waits to hear that a front of this daemon has
/// stopped.
bool awaited_as_front(const State& state) {
  bool awaited = false;
  for_each_prefixed(state.cache, live_prefix(), [&](const StoreEntry& entry) {
    const auto* roster = std::get_if<ZoneRoster>(&entry.record);
    if (roster == nullptr) return;
    for (const auto& [server, front] : roster->fronts) {
      awaited |= front.daemon == state.self.name;
      for (const FrontPredecessor& before : front.predecessors) {
        awaited |= before.daemon == state.self.name;
      }
    }
  });
  return awaited;
}

/// Whether a stopping daemon has ended its requests and handed over its roles.
bool stop_complete(const State& state, Now now) {
  return state.stopping && request::open_requests(state) == 0 &&
         membership::coordinated_zones(state, now).empty() &&
         ownership::fronted_servers(state).empty() && !awaited_as_front(state);
}

}  // namespace

Effects reduce(State& state, const Event& event, Now now) {
  Effects effects;
  note_time(state, event, now, effects);
  note_start(state, event, now, effects);
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
