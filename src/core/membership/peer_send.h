#ifndef EELGRASSPIN_CORE_MEMBERSHIP_PEER_SEND_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_PEER_SEND_H_

#include <utility>

#include "core/effect.h"
#include "core/state.h"

namespace eelgrasspin::core::membership {

/// Sends a control message to another daemon and counts it.
inline void send_peer(core::State& state, const Endpoint& to,
                      PeerMessage message, Effects& effects) {
  ++state.counters[Counter::kPeerMessagesSent];
  effects.push_back(SendPeer{to, std::move(message)});
}

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_PEER_SEND_H_
