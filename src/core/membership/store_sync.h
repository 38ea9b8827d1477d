#ifndef EELGRASSPIN_CORE_MEMBERSHIP_STORE_SYNC_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_STORE_SYNC_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

/// Keeps the cache in sync with the store: every daemon lists the store once at
/// the start, coordinators watch it and relay changes to the other daemons.
namespace eelgrasspin::core::membership {

void step_store_sync(core::State& state, const Event& event, Now now,
                     Effects& effects);

/// Records that the store has answered this daemon or its coordinator.
void mark_store_up(core::State& state, Now now, Effects& effects);

/// Applies one store entry to the cache; a damaged one is recorded on the
/// timeline.
ApplyResult apply_entry(core::State& state, const StoreEntry& entry, Now now,
                        Effects& effects);

/// Sends every cached entry newer than `since`, in order of version.
void send_missing_entries(core::State& state, const Endpoint& to, Version since,
                          Effects& effects);

/// Notifies a zone's members that its coordinator has changed or released its
/// lease.
void announce_coordinator(core::State& state, const ZoneName& zone,
                          Effects& effects);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_STORE_SYNC_H_
