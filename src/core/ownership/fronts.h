#ifndef EELGRASSPIN_CORE_OWNERSHIP_FRONTS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_FRONTS_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// The fronts held by this daemon: which servers, what they are granted, when
/// orders go out.
namespace eelgrasspin::core::ownership {

/// Takes up new front roles and gives up old ones, as the rosters say.
void sync_fronts(core::State& state, Now now, Effects& effects);

/// Notes that this daemon was silent for so long that its fronts may have been
/// replaced.
void note_silence(core::State& state, Now now);

/// Reads the rosters anew for fronts that may have been replaced, and takes the
/// answers.
void confirm_fronts(core::State& state, const Event& event, Now now,
                    Effects& effects);

/// Takes a server's reply.
void on_grant_reply(core::State& state, const GrantReplied& reply, Now now,
                    Effects& effects);

/// Brings the grant sets up to date with the ownership maps and sends the
/// orders that are due.
void drive_fronts(core::State& state, Now now, Effects& effects);

/// Whether a front may renew grants and send requests.
bool may_act(const core::State& state, const Front& front, Now now);

/// Whether no grant of this or an earlier front can be in force and nothing
/// started under one can be running.
bool is_lapsed(const core::State& state, const Front& front, Now now);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_FRONTS_H_
