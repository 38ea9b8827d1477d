#ifndef EELGRASSPIN_CORE_STATE_H_
#define EELGRASSPIN_CORE_STATE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/cache.h"
#include "core/counters.h"
#include "core/membership/state.h"
#include "core/operator/state.h"
#include "core/ownership/state.h"
#include "core/request/state.h"
#include "core/store_writer.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/timeline.h"

namespace eelgrasspin::core {

/// What a daemon knows of itself from its settings.
struct Self {
  DaemonName name;
  ZoneName zone;
  RegionName region;
  Endpoint address;  ///< Port for other daemons.
  std::vector<Endpoint>
      seeds;  ///< Other daemons to ask while the store is down.
  Incarnation incarnation;
};

/// Protections of the promises. All are on in the daemon; tests switch one off
/// to show that their checks can fail.
struct Guards {
  bool fence = true;  ///< Lower epochs are refused.
  bool lease_wait =
      true;  ///< Nobody takes over before a lease has provably lapsed.
  bool revocation_wait = true;      ///< A slot changes owner only after the old
                                    ///< one's revocation or lapse.
  bool settle_lost_answers = true;  ///< A write whose answer was lost is
                                    ///< settled before anything builds on it.
  bool record_intent =
      true;  ///< At-most-once operations are recorded before they are sent.
  bool check_map_version =
      true;  ///< Store values of lower versions are ignored.
  bool check_queue_deadline =
      true;  ///< Requests past their deadline are not sent.
};

struct Timeline {
  std::deque<TimelineEvent>
      events;  ///< At most config::kMaxTimelineEvents, oldest first.
  std::uint64_t next_sequence = 1;
};

/// Everything a daemon decides from.
struct State {
  Self self;
  Guards guards;
  Cache cache;
  StoreWriter writer;
  Counters counters;
  Timeline timeline;
  membership::State membership;
  ownership::State ownership;
  request::State request;
  operators::State operators;
  TimePoint last_event;             ///< Time of the event before this one.
  bool resumed_from_pause = false;  ///< A pause ended with this event.
  Duration pause{0};  ///< How long by this daemon's clock; else 0.
  bool stopping = false;
  std::uint64_t next_store_op = 1;
};

StoreOpId next_store_op(State& state);

/// Adds an event to the time line and to the log. `event` needs kind and what
/// applies; the rest is filled in.
void record(State& state, TimelineEvent event, Now now, Effects& effects);

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_STATE_H_
