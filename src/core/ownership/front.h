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

/// The grant protocol of one backend server as its front runs it: plain data
/// and the rules of time.
namespace eelgrasspin::core::ownership {

/// A unit of the grant set.
struct GrantedUnit {
  Epoch epoch;
  std::uint64_t since_set = 0;  ///< First set version that has it.
  bool closing =
      false;  ///< Nothing new is sent; dropped once nothing is running.
};

/// A unit that was taken out of the grant set, until the map shows no more
/// interest in it.
struct DroppedUnit {
  Epoch epoch;
  std::uint64_t since_set = 0;  ///< First set version without it.
  TimePoint at;
  /// Latest instant at which the server could still start work on it; not set
  /// if it never held it from this front.
  std::optional<TimePoint> hold_until;
};

/// The front role of one backend server.
struct Front {
  ServerName server;
  FrontEpoch epoch;
  bool checks_grants = true;
  TimePoint since;  ///< When this daemon learned of its role.
  /// When the earlier front was known to have stopped; not set until then.
  std::optional<TimePoint> predecessor_stopped;
  bool stale = false;  ///< The server obeys a higher front epoch.
  /// This front was silent for so long that it may have been replaced; it acts
  /// again only after reading its assignment from the store.
  bool unconfirmed = false;
  std::optional<StoreOpId> confirming;  ///< Read under way.
  TimePoint confirm_at;                 ///< Not before, for the next read.

  std::uint64_t sequence = 0;  ///< Of the last order sent.
  bool outstanding = false;    ///< The last order is not answered yet.
  TimePoint last_sent;
  std::uint64_t sent_set = 0;   ///< Set version of the last order.
  std::uint64_t sent_echo = 0;  ///< Echo of the last order.
  /// When the answer echoed by the last order was received.
  std::optional<TimePoint> sent_echo_received;

  std::uint64_t newest_answer = 0;  ///< Sequence; 0: none.
  TimePoint newest_answer_received;
  Duration unobserved{0};  ///< Pauses of this daemon since then.
  std::optional<TimePoint> first_answer;
  Incarnation incarnation;  ///< Of the server's process.
  std::uint64_t known_set =
      0;  ///< Set version that the server is known to have received.
  std::uint64_t applied_set = 0;
  std::optional<TimePoint> send_until;  ///< Requests may be sent before this.
  std::optional<TimePoint>
      hold_until;  ///< The server starts no work after this, unless renewed.
  bool unreachable = false;  ///< The last order had no answer.

  std::uint64_t set_version = 0;
  std::map<Unit, GrantedUnit> units;
  std::map<Unit, DroppedUnit> dropped;
  Version map_version;       ///< Ownership map from which `units` was made.
  Version zone_map_version;  ///< Zone map from which `units` was made.

  /// What the coordinator waits for, as last reported.
  struct News {
    std::size_t released = 0;
    bool grant_expired = false;
    bool lapsed = false;
    bool holds_grant = false;

    bool operator==(const News&) const = default;
  };
  News news;

  // What the time line already has.
  bool confirm_recorded = false;
  bool lapse_recorded = false;
};

/// Next order if one is due: a renewal interval has passed, the set changed, or
/// an answer waits to be echoed for the first grant. Marks it as sent.
std::optional<GrantOrder> next_order(Front& front, const DaemonName& self,
                                     TimePoint now);

/// Takes a reply to the order `sequence`.
void apply_reply(Front& front, std::uint64_t sequence, const GrantReply& reply,
                 TimePoint now);

/// Whether the server has confirmed a grant whose term has not passed.
bool grant_in_force(const Front& front, TimePoint now);

/// Whether requests for a unit may be sent under a grant in force.
bool may_send(const Front& front, const Unit& unit, Epoch epoch, TimePoint now);

/// Instant after which no grant of this or an earlier front lets the server
/// start work; not set while that cannot be known.
std::optional<TimePoint> latest_grant_expiry(const Front& front);

/// Puts a unit into the set, or gives it a new epoch.
void grant_unit(Front& front, const Unit& unit, Epoch epoch);

/// Takes a unit out of the set.
void drop_unit(Front& front, const Unit& unit, TimePoint now);

/// Takes a pause of this daemon out of every wait for the server's grant to
/// lapse: a jump of the clock looks like a pause, and proves no passed time.
void discount_pause(Front& front, Duration pause);

/// Whether the server has nothing of a dropped unit running and cannot start
/// anything of it: acknowledged, or the grant and the execution limit have
/// passed.
bool is_released(const Front& front, const Unit& unit, Duration execution_limit,
                 TimePoint now);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_FRONT_H_
