#include "core/state.h"

#include <utility>

namespace eelgrasspin::core {

StoreOpId next_store_op(State& state) {
  return StoreOpId(state.next_store_op++);
}

void record(State& state, TimelineEvent event, Now now, Effects& effects) {
  event.when = now.wall;
  event.sequence = state.timeline.next_sequence++;
  event.daemon = state.self.name;
  if (event.zone.empty()) event.zone = state.self.zone;
  event.revision = state.membership.revision;
  state.timeline.events.push_back(event);
  if (state.timeline.events.size() > config::kMaxTimelineEvents)
    state.timeline.events.pop_front();
  effects.push_back(LogEvent{std::move(event)});
}

}  // namespace eelgrasspin::core
