#ifndef EELGRASSPIN_RECORDS_H_
#define EELGRASSPIN_RECORDS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/declarations.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/units.h"

/// Values kept in the object store, and functions that build their keys.
namespace eelgrasspin {

/// "live/zone/<zone>/lease": the coordinator of a zone. The holder counts the
/// lease term from before it sent the write.
struct CoordinatorLease {
  ZoneName zone;
  DaemonName holder;
  Endpoint address;  ///< The holder's port for other daemons.
  TermEpoch epoch;
  std::uint64_t sequence = 0;  ///< Increases by one with each renewal.
  bool released = false;       ///< Released by its holder; may be claimed at
                               ///< once.

  bool operator==(const CoordinatorLease&) const = default;
};

struct RosterMember {
  DaemonName daemon;
  Endpoint address;
  Incarnation incarnation;
  /// It has confirmed a roster with other members, so its fronts stop when they
  /// are isolated for config::kIsolatedFrontTimeout.
  bool acknowledged = false;

  bool operator==(const RosterMember&) const = default;
};

/// An earlier front of a backend server that is not known to have stopped.
struct FrontPredecessor {
  DaemonName daemon;
  Incarnation incarnation;
  FrontEpoch epoch;

  bool operator==(const FrontPredecessor&) const = default;
};

/// The daemon that is the front of a backend server.
struct FrontAssignment {
  DaemonName daemon;
  Endpoint address;
  Incarnation incarnation;
  FrontEpoch epoch;
  /// The earlier front is not yet known to have stopped; the new one must not
  /// send to a server that does not check grants.
  bool awaiting_predecessor = false;
  std::vector<FrontPredecessor> predecessors;

  bool operator==(const FrontAssignment&) const = default;
};

enum class ServerStatus : std::uint8_t { kActive, kDraining, kDrained, kLost };

/// "live/zone/<zone>/roster": members and fronts of a zone; written only by its
/// coordinator.
struct ZoneRoster {
  ZoneName zone;
  TermEpoch coordinator_epoch;
  std::uint64_t write_id = 0;  ///< Of the last write; shows whether a write
                               ///< with a lost answer took effect.
  std::vector<RosterMember> members;
  /// Removed after missed heartbeats and not known to have stopped.
  std::vector<RosterMember> lost;
  std::map<ServerName, FrontAssignment> fronts;
  std::map<ServerName, ServerStatus>
      statuses;         ///< Servers not listed are active.
  bool fenced = false;  ///< An operator declared the zone's processes dead.

  bool operator==(const ZoneRoster&) const = default;
};

/// "live/service/<service>/zones": the zone responsible for each slot.
struct ZoneMap {
  ServiceName service;
  std::uint64_t write_id = 0;
  std::vector<ZoneName> zones;       ///< Zones that `slots` refers to.
  std::vector<std::uint16_t> slots;  ///< Index into `zones`, by slot.
  std::vector<std::uint64_t>
      epochs;  ///< Zone epoch by slot; increases by one with each change.

  bool operator==(const ZoneMap&) const = default;
};

enum class SlotPhase : std::uint8_t {
  kOwned,       ///< `owner` may be granted `epoch`.
  kMoving,      ///< `owner` is being revoked; `target` gets `epoch` next.
  kUnassigned,  ///< No owner; waiting for a usable server.
  kReleasing,   ///< `owner` is being revoked; the slot moves to `target_zone`.
  kHandedOver,  ///< No owner in this zone; `target_zone` may take the slot.
  kClosed,      ///< The service is closed; permanently without owner.
};

/// Ownership of one slot, or of one key carved out of its slot.
struct SlotRecord {
  ServerName owner;
  Epoch epoch;
  SlotPhase phase = SlotPhase::kUnassigned;
  ServerName target;
  ZoneName target_zone;

  bool operator==(const SlotRecord&) const = default;
};

/// "live/own/<service>/<zone>": owners of the service's slots in one zone;
/// written only by that zone's coordinator.
struct OwnershipMap {
  ServiceName service;
  ZoneName zone;
  TermEpoch coordinator_epoch;
  std::uint64_t write_id = 0;
  std::vector<std::uint64_t>
      recent_write_ids;  ///< Newest last; shows whether a write with a lost
                         ///< answer took effect.
  std::map<SlotId, SlotRecord> slots;
  std::map<Key, SlotRecord> overrides;  ///< Keys carved out of their slots.

  bool operator==(const OwnershipMap&) const = default;
};

/// State of an at-most-once operation according to the ledger.
enum class IntentState : std::uint8_t {
  kIntended,
  kAnswered,
  kNotRun,
  kUnknown
};

struct Intent {
  ServiceName service;
  SlotId slot;
  std::string idempotency_key;
  std::uint64_t fingerprint = 0;  ///< Hash of operation, key and body; a repeat
                                  ///< with a different one is refused.
  IntentState state = IntentState::kIntended;
  std::uint16_t status = 0;  ///< HTTP status of the answer, if answered.
  WallTime recorded;
  /// Unique; a repeat of the request has another one.
  std::uint64_t intent_id = 0;

  bool operator==(const Intent&) const = default;
};

/// "kept/intent/<zone>/<number>": a segment of a zone's intent ledger; sealed
/// when full, deleted after the retention period.
struct IntentSegment {
  ZoneName zone;
  std::uint64_t number = 0;
  TermEpoch coordinator_epoch;
  std::uint64_t write_id = 0;
  bool sealed = false;
  std::vector<Intent> intents;

  bool operator==(const IntentSegment&) const = default;
};

struct QuarantineEntry {
  std::uint64_t fingerprint = 0;
  ServiceName service;
  std::string operation;
  Key key;
  std::uint32_t strikes = 0;
  WallTime until;

  bool operator==(const QuarantineEntry&) const = default;
};

/// "live/quarantine/<zone>": requests suspected of crashing backend servers, as
/// observed in one zone.
struct QuarantineList {
  ZoneName zone;
  std::uint64_t write_id = 0;
  std::vector<QuarantineEntry> entries;
  std::vector<std::uint64_t>
      released;  ///< Fingerprints that an operator has released.

  bool operator==(const QuarantineList&) const = default;
};

/// Request counts of one service by outcome and reason, since the daemon's
/// start.
struct OutcomeCounts {
  std::array<std::map<Reason, std::uint64_t>, 3>
      by_reason;  ///< Indexed by Outcome.
  std::uint64_t admitted = 0;
  std::uint64_t in_flight = 0;

  bool operator==(const OutcomeCounts&) const = default;
};

struct RefusalSample {
  WallTime when;
  std::string operation;
  Key key;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;

  bool operator==(const RefusalSample&) const = default;
};

/// Request counts and refusal samples of one service on one daemon.
struct DaemonAccount {
  DaemonName daemon;
  Incarnation incarnation;
  WallTime as_of;
  OutcomeCounts counts;
  std::vector<RefusalSample> samples;  ///< The most recent ones.

  bool operator==(const DaemonAccount&) const = default;
};

/// "kept/account/<service>/<zone>": accounts of a zone's daemons, written by
/// its coordinator.
struct ZoneAccount {
  ServiceName service;
  ZoneName zone;
  std::uint64_t write_id = 0;
  std::vector<DaemonAccount> daemons;

  bool operator==(const ZoneAccount&) const = default;
};

enum class ClosureStep : std::uint8_t {
  kAnnounced,
  kAdmissionStopped,
  kDrained,
  kRevoked,
  kSealed,
  kCancelled,
};

/// Ownership of a range of slots, or of a carved-out key, during a period; for
/// the closure report.
struct OwnershipSpan {
  SlotId first_slot;
  SlotId last_slot;
  Key key;  ///< Set for a key carved out of its slot.
  ServerName server;
  Epoch epoch;
  WallTime from;
  std::optional<WallTime> until;

  bool operator==(const OwnershipSpan&) const = default;
};

/// "kept/history/<service>/<zone>": ownership of slots over time, written by
/// the zone's coordinator.
struct OwnershipHistory {
  ServiceName service;
  ZoneName zone;
  std::uint64_t write_id = 0;
  std::uint64_t dropped_spans =
      0;  ///< Number of oldest spans dropped to stay within the value limit.
  std::vector<OwnershipSpan> spans;

  bool operator==(const OwnershipHistory&) const = default;
};

/// "kept/closure-part/<service>/<zone>": progress of a closure in one zone, and
/// that zone's part of the report.
struct ClosurePart {
  ServiceName service;
  ZoneName zone;
  std::string closure;  ///< Id of the closure.
  std::uint64_t write_id = 0;
  ClosureStep step = ClosureStep::kAnnounced;
  WallTime reached;
  std::map<ClosureStep, std::uint64_t>
      in_flight_at;  ///< Requests in flight when each step was reached.
  std::uint64_t slots_owned = 0;  ///< Number of units that still have an owner.
  std::vector<DaemonName>
      not_reported;  ///< Daemons whose account is older than the step.
  std::vector<DaemonAccount> accounts;
  std::vector<OwnershipSpan> ownership;

  bool operator==(const ClosurePart&) const = default;
};

/// "live/closure/<service>": the order to close a service, and its progress.
struct Closure {
  ServiceName service;
  std::string id;
  OperatorName ordered_by;
  std::string reason;
  WallTime ordered;
  WallTime deadline;
  ClosureStep step = ClosureStep::kAnnounced;
  std::uint64_t write_id = 0;
  std::map<ZoneName, ClosureStep>
      zones;  ///< Step of each zone when `step` was written.
  std::vector<ZoneName> not_reported;  ///< Zones skipped because they did not
                                       ///< answer by the deadline.
  std::map<std::string, std::string>
      part_hashes;   ///< Once sealed: XXH3 128-bit hash in hex, by part name.
  std::string seal;  ///< Once sealed: hash of the whole report.
  WallTime sealed_at;

  bool operator==(const Closure&) const = default;
};

enum class CommandState : std::uint8_t {
  kPending,
  kRunning,
  kDone,
  kRefused,
  kLostToConflict
};

/// "live/command/<id>": an operator's order, its state and its result.
struct CommandRecord {
  CommandId id;
  OperatorName ordered_by;
  WallTime ordered;
  std::string text;  ///< As entered by the operator.
  Command command;   ///< Parsed form of `text`.
  Version base;      ///< Version of the object on which the operator based the
                     ///< order; 0 if none was given.
  CommandState state = CommandState::kPending;
  std::string result;  ///< Why it was refused, or which command won.
  WallTime finished;
  std::uint64_t write_id = 0;

  bool operator==(const CommandRecord&) const = default;
};

/// "live/drain/<server>": an order to take a server out of service.
struct DrainPlan {
  std::string id;
  ServerName server;
  OperatorName ordered_by;
  WallTime ordered;
  Duration within{0};
  bool cancelled = false;
  std::uint64_t write_id = 0;

  bool operator==(const DrainPlan&) const = default;
};

/// A value that this version cannot read. The last readable value remains in
/// force.
struct DamagedRecord {
  std::string reason;

  bool operator==(const DamagedRecord&) const = default;
};

/// "live/declarations": the accepted declarations of the operators.
struct DeclarationsRecord {
  Declarations declarations;
  OperatorName applied_by;
  WallTime applied;
  std::uint64_t write_id = 0;

  bool operator==(const DeclarationsRecord& other) const {
    return write_id == other.write_id &&
           declarations.source == other.declarations.source;
  }
};

using Record =
    std::variant<std::monostate, DamagedRecord, DeclarationsRecord,
                 CoordinatorLease, ZoneRoster, ZoneMap, OwnershipMap,
                 IntentSegment, QuarantineList, ZoneAccount, OwnershipHistory,
                 ClosurePart, Closure, CommandRecord, DrainPlan>;

/// A key of the store with its value. `version` 0 and a monostate record mean
/// that the key is absent.
struct StoreEntry {
  StoreKey key;
  Version version;
  Record record;
};

bool operator==(const StoreEntry& left, const StoreEntry& right);

// Values below "live/" are cached by every daemon; those below "kept/" are read
// when needed.

StoreKey live_prefix();
StoreKey declarations_key();
StoreKey coordinator_lease_key(const ZoneName& zone);
StoreKey roster_key(const ZoneName& zone);
/// Prefix of a zone's lease and roster.
StoreKey zone_prefix(const ZoneName& zone);
StoreKey zone_map_key(const ServiceName& service);
StoreKey ownership_map_key(const ServiceName& service, const ZoneName& zone);
StoreKey ownership_history_key(const ServiceName& service,
                               const ZoneName& zone);
StoreKey intent_segment_key(const ZoneName& zone, std::uint64_t number);
StoreKey intent_prefix(const ZoneName& zone);
StoreKey quarantine_key(const ZoneName& zone);
StoreKey account_key(const ServiceName& service, const ZoneName& zone);
StoreKey closure_key(const ServiceName& service);
StoreKey closure_part_key(const ServiceName& service, const ZoneName& zone);
StoreKey command_key(const CommandId& id);
StoreKey drain_key(const ServerName& server);

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_RECORDS_H_
