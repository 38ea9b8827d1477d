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

/// This daemon's identity, from its settings and its start.
struct Self {
  DaemonName name;
  ZoneName zone;
  RegionName region;
  Endpoint address;  ///< Where other daemons connect.
  std::vector<Endpoint>
      seeds;  ///< Other daemons to contact while the store is down.
  Incarnation incarnation;
};

/// Safety mechanisms behind the system's guarantees. The daemon enables all of
/// them; tests disable one to show that their checks detect the violation.
struct Guards {
  bool fence = true;  ///< Lower epochs are refused.
  bool lease_wait =
      true;  ///< No daemon takes over before a lease has provably expired.
  bool revocation_wait = true;      ///< A slot changes owner only after the old
                                    ///< grant was revoked or has expired.
  bool settle_lost_answers = true;  ///< A write whose answer was lost is sent
                                    ///< again; nothing builds on it until its
                                    ///< outcome is known.
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

/// The complete state of a daemon's decision core.
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
  bool resumed_from_pause = false;  ///< This event ends a pause.
  Duration pause{0};                ///< Its length by the local clock; else 0.
  bool stopping = false;
  std::uint64_t next_store_op = 1;
};

StoreOpId next_store_op(State& state);

/// Adds an event to the timeline and to the log. The caller sets `kind` and
/// the fields that apply to it; time, sequence, daemon and revision are filled
/// in here, and so is an empty zone.
void record(State& state, TimelineEvent event, Now now, Effects& effects);

}  // namespace eelgrasspin::core

#endif  // EELGRASSPIN_CORE_STATE_H_
