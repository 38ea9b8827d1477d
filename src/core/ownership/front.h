#ifndef EELGRASSPIN_CORE_OWNERSHIP_FRONT_H_
#define EELGRASSPIN_CORE_OWNERSHIP_FRONT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ownership/unit.h"
#include "eelgrasspin/config.h"
#include "eelgrasspin/grant.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

/// The front's side of the grant protocol with one backend server: plain data
/// and the timing rules.
namespace eelgrasspin::core::ownership {

/// A unit of the grant set.
struct GrantedUnit {
  Epoch epoch;
  std::uint64_t since_version = 0;  ///< First set version that has it.
  /// No new requests are sent; dropped once none is running.
  bool closing = false;
};

/// A unit removed from the grant set. Kept until the ownership map no longer
/// shows it as being revoked from this server.
struct DroppedUnit {
  Epoch epoch;
  std::uint64_t since_version = 0;  ///< First set version without it.
  TimePoint dropped_at;
  /// Latest time at which the server could still start work on it; not set if
  /// the server never held it from this front.
  std::optional<TimePoint> latest_expiry;
};

/// The front role of one backend server.
struct Front {
  ServerName server;
  FrontEpoch epoch;
  bool checks_grants = true;
  TimePoint since;  ///< When this daemon learned of its role.
  /// When all earlier fronts were known to have stopped; not set until then.
  std::optional<TimePoint> predecessor_stopped;
  bool stale = false;  ///< The server obeys a higher front epoch.
  /// This daemon was paused or cut off for so long that it may have been
  /// replaced; the front is active again only after its assignment has been
  /// read from the store.
  bool unconfirmed = false;
  std::optional<StoreOpId> pending_confirm_read;  ///< Not answered yet.
  TimePoint next_confirm_read;  ///< Earliest time of the next read.

  std::uint64_t sequence = 0;    ///< Of the last order sent.
  bool awaiting_answer = false;  ///< The last order is not answered yet.
  TimePoint last_sent;
  std::uint64_t sent_version = 0;  ///< Set version of the last order.
  std::uint64_t sent_echo = 0;     ///< Echo of the last order.
  /// When the answer echoed by the last order was received.
  std::optional<TimePoint> sent_echo_received;

  std::uint64_t newest_answer_sequence = 0;  ///< 0: none.
  TimePoint newest_answer_received;
  Duration pause_since_answer{0};  ///< Pauses of this daemon since
                                   ///< that answer.
  std::optional<TimePoint> first_answer;
  Incarnation incarnation;  ///< Of the server's process.
  /// Newest set version that the server is known to have received.
  std::uint64_t received_version = 0;
  /// Newest set version that the server is known to have in force.
  std::uint64_t applied_version = 0;
  std::optional<TimePoint> send_until;  ///< Requests may be sent before this.
  /// Upper bound of the grant's expiry: the server starts no work after this,
  /// unless the grant is renewed.
  std::optional<TimePoint> latest_expiry;
  bool unreachable = false;  ///< The last order was not answered.

  std::uint64_t set_version = 0;
  std::map<Unit, GrantedUnit> units;
  std::map<Unit, DroppedUnit> dropped;
  Version map_version;       ///< Ownership map from which `units` was made.
  Version zone_map_version;  ///< Zone map from which `units` was made.

  /// The conditions that the coordinator waits for, as last reported.
  struct ReportedState {
    std::size_t released_count = 0;  ///< Number of released units.
    bool grant_expired = false;
    bool lapsed = false;
    bool holds_grant = false;

    bool operator==(const ReportedState&) const = default;
  };
  ReportedState reported_state;

  /// The first confirmed grant has been recorded on the timeline.
  bool confirm_recorded = false;
  /// The server has lapsed, as last recorded on the timeline.
  bool lapse_recorded = false;
};

/// The next order if one is due: the renewal interval has passed, the set has
/// changed, or an answer has to be echoed for the first grant. Marks the order
/// as sent.
std::optional<GrantOrder> next_order(Front& front, const DaemonName& self,
                                     TimePoint now);

/// Applies the server's reply to the order numbered `sequence`.
void apply_reply(Front& front, std::uint64_t sequence, const GrantReply& reply,
                 TimePoint now);

/// Whether the server has confirmed a grant that has not expired.
bool grant_in_force(const Front& front, TimePoint now);

/// Whether requests for a unit may be sent under a grant in force.
bool may_send(const Front& front, const Unit& unit, Epoch epoch, TimePoint now);

/// Time after which no grant of this or an earlier front allows the server to
/// start work; not set while it cannot be known.
std::optional<TimePoint> latest_grant_expiry(const Front& front);

/// Adds a unit to the grant set, or changes its epoch.
void grant_unit(Front& front, const Unit& unit, Epoch epoch);

/// Removes a unit from the grant set.
void drop_unit(Front& front, const Unit& unit, TimePoint now);

/// Extends every wait for the server's grant to expire by a pause of this
/// daemon: a clock jump looks like a pause and does not prove that time has
/// passed.
void discount_pause(Front& front, Duration pause);

/// Whether the server has no request of a dropped unit running and cannot start
/// one: it has acknowledged the removal, or the grant has expired and the
/// execution limit has passed since.
bool is_released(const Front& front, const Unit& unit, Duration execution_limit,
                 TimePoint now);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_FRONT_H_
