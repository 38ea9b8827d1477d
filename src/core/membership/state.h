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

/// What decides whether a lease entry is worth relaying: all but its sequence.
struct LeaseTerm {
  TermEpoch epoch;
  bool released = false;

  bool operator==(const LeaseTerm&) const = default;
};

/// How the cache follows the store. An op id of 0 means that none is under way.
struct StoreSync {
  StoreOpId list_op;
  TimePoint list_sent;
  TimePoint next_list;
  bool listed = false;  ///< Since this daemon's start.
  StoreOpId watch_op;
  TimePoint watch_sent;
  TimePoint next_watch;
  std::optional<TimePoint> heard;  ///< Last answer of the store.
  bool down = false;               ///< As last recorded.
  TimePoint next_cache_request;
  Version last_change;  ///< Of the entries relayed, the newest version.
  std::map<ZoneName, LeaseTerm> relayed_leases;
  Version declarations;        ///< Version adopted last.
  std::set<StoreKey> damaged;  ///< Cached with an earlier value.
};

/// One zone's coordinator lease as this daemon sees it.
struct ZoneLease {
  Version seen;                         ///< Version of the lease entry ...
  std::optional<TimePoint> first_seen;  ///< ... and when it was first seen.
  StoreOpId read_op;
  TimePoint read_sent;
  TimePoint next_read;
  std::optional<TimePoint> last_read;  ///< Last answered read.
  /// Sending time of the last message to the store, or to the zone's
  /// coordinator, whose answer showed this daemon's place in the roster.
  std::optional<TimePoint> evidence;
  TimePoint heard;      ///< Last message of the zone's coordinator.
  bool held = false;    ///< The store names this daemon's run.
  bool active = false;  ///< As last recorded on the time line.
  bool releasing = false;
  TermEpoch epoch;
  TimePoint valid_until;
  TimePoint since;  ///< Coordinator without interruption from here.
  TimePoint next_renewal;
  DaemonName earlier_holder;  ///< Whose lapsed lease was taken over.
};

/// Another daemon, as heard by this one.
struct Peer {
  Incarnation incarnation;
  Incarnation earlier_incarnation;
  TimePoint heard;
  std::uint64_t round = 0;  ///< Newest round of its hellos.
  std::optional<TimePoint>
      echo_sent;  ///< When this daemon sent the newest round that it echoed.
  std::optional<Heartbeat> heartbeat;  ///< Without fronts and accounts.
  TimePoint heartbeat_heard;
  TimePoint relayed_at;  ///< Last time that missing entries were sent to it.
};

/// A lost daemon's way to the proof that it renews no grants any more.
struct LossWatch {
  Incarnation incarnation;
  Version version;  ///< Of the roster that lists it as lost.
  TimePoint noted;
  std::map<DaemonName, TimePoint> promised;  ///< When each other member first
                                             ///< promised not to answer it.
};

/// What a coordinator keeps of one zone beyond its roster.
struct ZoneWatch {
  Version roster_version;
  ZoneRoster noted;  ///< Roster at that version, for the time line.
  std::map<DaemonName, LossWatch> losses;
};

/// One run of a daemon.
struct DaemonRun {
  DaemonName daemon;
  Incarnation incarnation;

  auto operator<=>(const DaemonRun&) const = default;
};

/// A fence command under way.
struct Fence {
  FenceCommand command;
  TimePoint noted;
  std::set<DaemonRun> runs;  ///< Vouched to be dead, and not heard since.
};

struct ListedVm {
  VmState state = VmState::kLive;
  TimePoint since;  ///< First listing with this state.
};

struct SentRound {
  std::uint64_t round = 0;
  TimePoint sent;
};

struct State {
  Version revision;  ///< The cache is complete up to this store revision.
  StoreSync sync;
  std::map<ZoneName, ZoneLease> leases;
  std::map<ZoneName, ZoneWatch> zones;  ///< Of the zones coordinated.
  std::map<DaemonName, Peer> peers;
  std::uint64_t round = 0;
  std::deque<SentRound> rounds;  ///< Oldest first.
  TimePoint next_heartbeat;
  TimePoint next_accounts;
  TimePoint resumed;  ///< Start of this run, or end of the last pause.
  std::map<ServerName, FrontReport> front_reports;
  std::map<ServerName, std::set<FrontEpoch>> stopped_fronts;
  std::map<DaemonName, ReceivedAccounts> accounts;
  std::map<ServerName, ServerStatus> wanted_statuses;
  bool roster_due = false;  ///< Something a roster depends on has changed.
  TimePoint next_roster;
  std::uint64_t roster_generation = 0;  ///< Of the cache at the last look.
  std::map<CommandId, Fence> fences;
  std::uint64_t fences_generation = 0;  ///< Of the cache when last looked up.
  TimePoint next_vm_list;
  bool vm_list_under_way = false;
  TimePoint vm_list_sent;
  std::map<std::string, ListedVm> vms;
};

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_STATE_H_
