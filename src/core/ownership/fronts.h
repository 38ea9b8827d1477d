#ifndef EELGRASSPIN_CORE_OWNERSHIP_FRONTS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_FRONTS_H_

#include "core/effect.h"
#include "core/event.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// The front roles of this daemon: which servers it fronts, what they are
/// granted and when grant orders are sent.
namespace eelgrasspin::core::ownership {

/// Starts and ends front roles according to the rosters.
void sync_fronts(core::State& state, Now now, Effects& effects);

/// Marks all fronts as unconfirmed if this daemon was paused or cut off for so
/// long that they may have been replaced.
void mark_unconfirmed_fronts(core::State& state, Now now);

/// Reads the rosters of unconfirmed fronts from the store and handles the
/// answers.
void confirm_fronts(core::State& state, const Event& event, Now now,
                    Effects& effects);

/// Handles a server's reply to a grant order.
void on_grant_reply(core::State& state, const GrantReplied& reply, Now now,
                    Effects& effects);

/// Updates the grant sets from the ownership maps and sends the grant orders
/// that are due.
void update_fronts(core::State& state, Now now, Effects& effects);

/// Whether a front may renew grants and send requests.
bool may_act(const core::State& state, const Front& front, Now now);

/// Whether no grant of this or an earlier front can be in force and no request
/// started under one can still be running.
bool is_lapsed(const core::State& state, const Front& front, Now now);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_FRONTS_H_
