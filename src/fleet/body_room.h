#ifndef EELGRASSPIN_FLEET_BODY_ROOM_H_
#define EELGRASSPIN_FLEET_BODY_ROOM_H_

#include <cstddef>
#include <cstdint>

#include "eelgrasspin/units.h"

/// Bytes of request bodies in flight: a second dimension of room beside slots,
/// for routes whose requests have large bodies.
namespace eelgrasspin::fleet {

/// Bodies that a server is expected to hold in one slot: about three times the
/// longest photo upload of 360 KB. Servers do not state their memory.
constexpr std::size_t kBodyBytesPerSlot = 1024 * 1024;
/// Of the slowest machine, 10 Mbit/s. The settings do not state the own one.
constexpr std::size_t kLinkBytesPerSecond = 1'250'000;
/// Share of the objective in which the bodies in flight must have passed the
/// link; the rest is for the server's work.
constexpr double kLinkObjectiveShare = 0.5;

/// What a server holds, as far as this daemon knows.
struct BodyLoad {
  std::size_t own_bytes = 0;         ///< In requests of this daemon.
  std::uint32_t other_requests = 0;  ///< Of other daemons.
  double mean_bytes = 0;             ///< Of the service's requests.
  std::uint32_t slots = 1;
};

/// Whether the server may be sent a body of this length. Bodies of other
/// daemons are estimated by their mean. A server without any takes any length.
bool has_body_room(const BodyLoad& load, std::size_t bytes);
/// Whether the own link can pass on a body of this length in time while
/// `in_flight` bytes are on their way. Without any it takes any length.
bool has_link_room(std::size_t in_flight, std::size_t bytes,
                   Duration objective);
/// The mean after one more request; the last hundred or so count.
double next_mean_bytes(double mean, std::size_t bytes);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_BODY_ROOM_H_
