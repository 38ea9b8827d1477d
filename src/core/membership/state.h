#ifndef EELGRASSPIN_CORE_MEMBERSHIP_STATE_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/membership/membership.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/units.h"
#include "eelgrasspin/vm_list.h"

/// Store synchronisation, coordinator election, rosters, liveness and front
/// assignment.
namespace eelgrasspin::core::membership {

/// The part of a lease entry that is relayed when it changes. Renewals change
/// only the sequence number and are not relayed.
struct RelayedLease {
  TermEpoch epoch;
  bool released = false;

  bool operator==(const RelayedLease&) const = default;
};

/// How the cache is kept in sync with the store. An op id of 0 means that no
/// call is pending.
struct StoreSync {
  StoreOpId list_op;
  TimePoint list_sent;
  TimePoint next_list;
  bool listed = false;  ///< A full list has been read since the start.
  StoreOpId watch_op;
  TimePoint watch_sent;
  TimePoint next_watch;
  /// When the store last answered this daemon or its coordinator.
  std::optional<TimePoint> last_answer;
  /// The store is down, as last recorded on the timeline.
  bool recorded_down = false;
  TimePoint next_cache_request;
  Version newest_relayed;  ///< Highest version among the entries relayed.
  std::map<ZoneName, RelayedLease> relayed_leases;
  /// Version of the declarations adopted last.
  Version adopted_declarations;
  /// Keys whose stored value cannot be read; the cache keeps the last readable
  /// one.
  std::set<StoreKey> damaged;
};

/// One zone's coordinator lease as observed by this daemon.
struct ObservedLease {
  Version seen_version;                 ///< Latest version of the lease entry.
  std::optional<TimePoint> first_seen;  ///< When that version was first seen.
  StoreOpId read_op;
  TimePoint read_sent;
  TimePoint next_read;
  std::optional<TimePoint> last_read;  ///< Last answered read.
  /// Sending time of the last message to the store or to the zone's coordinator
  /// whose answer confirmed this daemon's membership.
  std::optional<TimePoint> last_confirmed;
  TimePoint last_coordinator_message;  ///< From the zone's coordinator.
  bool held = false;  ///< The stored lease names this process as holder.
  /// This daemon is the coordinator, as last recorded on the timeline.
  bool active = false;
  bool releasing = false;
  TermEpoch epoch;
  TimePoint valid_until;
  TimePoint coordinator_since;  ///< Start of the current coordinator role.
  TimePoint next_renewal;
  DaemonName previous_holder;  ///< Whose expired lease was taken over.
};

/// Another daemon, as known from its messages to this one.
struct Peer {
  Incarnation incarnation;
  Incarnation previous_incarnation;
  TimePoint last_received;  ///< When its last message arrived.
  std::uint64_t round = 0;  ///< Newest round of its hellos.
  /// When this daemon sent the newest round that the peer has echoed.
  std::optional<TimePoint> echoed_round_sent;
  /// Its last heartbeat, without the reports of fronts and the accounts.
  std::optional<Heartbeat> heartbeat;
  TimePoint heartbeat_received;
  TimePoint last_relayed;  ///< When missing entries were last sent to it.
};

/// What is needed to prove that a lost daemon no longer renews grants.
struct LostMember {
  Incarnation incarnation;
  Version listed_version;  ///< First roster version seen that lists it as lost.
  TimePoint lost_since;
  /// When each other member first promised not to answer it.
  std::map<DaemonName, TimePoint> promises;
};

/// What a coordinator keeps for one zone besides its roster.
struct CoordinatedZone {
  Version roster_version;
  /// Roster at `roster_version`, as recorded on the timeline.
  ZoneRoster recorded_roster;
  std::map<DaemonName, LostMember> lost_members;
};

/// One process of a daemon.
struct DaemonInstance {
  DaemonName daemon;
  Incarnation incarnation;

  auto operator<=>(const DaemonInstance&) const = default;
};

/// An active fence command.
struct Fence {
  FenceCommand command;
  TimePoint known_since;
  /// Instances declared dead that have sent no message since `known_since`.
  std::set<DaemonInstance> instances;
};

struct ListedVm {
  VmState state = VmState::kLive;
  TimePoint since;  ///< First time that it was listed with this state.
};

struct SentRound {
  std::uint64_t round = 0;
  TimePoint sent;
};

struct State {
  Version revision;  ///< The cache is complete up to this store revision.
  StoreSync sync;
  std::map<ZoneName, ObservedLease> leases;
  std::map<ZoneName, CoordinatedZone> zones;  ///< Coordinated by this daemon.
  std::map<DaemonName, Peer> peers;
  std::uint64_t round = 0;
  std::deque<SentRound> sent_rounds;  ///< Oldest first.
  TimePoint next_heartbeat;
  TimePoint next_accounts;
  /// Start of this process, or end of its last pause.
  TimePoint running_since;
  std::map<ServerName, FrontReport> front_reports;
  std::map<ServerName, std::set<FrontEpoch>> stopped_fronts;
  std::map<DaemonName, ReceivedAccounts> accounts;
  std::map<ServerName, ServerStatus> wanted_statuses;
  bool roster_due = false;  ///< Something that a roster depends on has changed.
  TimePoint next_roster_update;
  /// Cache generation at the last roster update.
  std::uint64_t roster_generation = 0;
  std::map<CommandId, Fence> fences;
  /// Cache generation when the fence commands were last read.
  std::uint64_t fences_generation = 0;
  TimePoint next_vm_list;
  bool vm_list_pending = false;
  TimePoint vm_list_sent;
  std::map<std::string, ListedVm> vms;
};

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_STATE_H_
