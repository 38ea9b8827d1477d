#ifndef EELGRASSPIN_CORE_MEMBERSHIP_STORE_SYNC_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_STORE_SYNC_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

/// Keeps the cache in step with the store: one list at the start, one watch of
/// each coordinator, relays to everyone else.
namespace eelgrasspin::core::membership {

void step_sync(core::State& state, const Event& event, Now now,
               Effects& effects);

/// Notes that the store answers, to this daemon or to its coordinator.
void note_store_up(core::State& state, Now now, Effects& effects);

/// Takes one store value over; notes damaged ones on the time line.
ApplyResult apply_entry(core::State& state, const StoreEntry& entry, Now now,
                        Effects& effects);

/// Sends every cached entry newer than `since`, in order of version.
void send_missing(core::State& state, const Endpoint& to, Version since,
                  Effects& effects);

/// Tells the members of a zone that its coordinator is new, or has gone.
void announce_coordinator(core::State& state, const ZoneName& zone,
                          Effects& effects);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_STORE_SYNC_H_
