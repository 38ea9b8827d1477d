#ifndef EELGRASSPIN_PEER_MESSAGE_H_
#define EELGRASSPIN_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/units.h"

/// Control messages between daemons. Each may be lost, delayed or duplicated;
/// receiving one twice has no further effect.
namespace eelgrasspin {

/// A unit of ownership at an epoch: a slot, or a key carved out of its slot.
struct SlotGrant {
  SlotId slot;
  Key key;  ///< Empty for the whole slot.
  Epoch epoch;

  auto operator<=>(const SlotGrant&) const = default;
};

struct HotKey {
  Key key;
  double rate = 0;  ///< Requests per second.

  bool operator==(const HotKey&) const = default;
};

/// State of one backend server as known to its front.
struct FrontReport {
  ServerName server;
  FrontEpoch front_epoch;
  bool holds_grant = false;  ///< The server confirmed a grant of this front
                             ///< that has not expired.
  bool lapsed = false;  ///< Attests that no grant of this or an earlier front
                        ///< can be in force any more.
  bool stopped =
      false;  ///< This front has permanently stopped sending and renewing.
  std::vector<SlotGrant> released;  ///< Units whose revocation the server
                                    ///< acknowledged, with their last epoch.
  double requests_per_second = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::vector<std::pair<SlotId, double>>
      slot_rates;                ///< Busiest slots with requests per second.
  std::vector<HotKey> hot_keys;  ///< Busiest keys.
  /// The server does not answer and no grant allows it to start requests;
  /// started ones may still run.
  bool grant_expired = false;
  Version map_version;  ///< Ownership map used by the front; `lapsed` and
                        ///< `released` apply to units not owned in that map.

  bool operator==(const FrontReport&) const = default;
};

/// Sent by a daemon to its zone's coordinator in each heartbeat interval.
struct Heartbeat {
  DaemonName daemon;
  ZoneName zone;
  Endpoint address;
  Incarnation incarnation;
  TermEpoch coordinator_epoch;  ///< Latest coordinator term known to it.
  std::uint64_t round = 0;      ///< Echoed by the coordinator.
  Version cache_revision;       ///< Its cache is complete up to here.
  bool stopping = false;        ///< Its roles are to be given to others.
  bool reaches_store = false;
  /// Lost members of its roster, none of which it answers any more.
  std::vector<DaemonName> ignored_members;
  std::vector<FrontReport> fronts;
  std::map<ServiceName, DaemonAccount> accounts;

  bool operator==(const Heartbeat&) const = default;
};

/// The coordinator's answer to a heartbeat.
struct HeartbeatAnswer {
  ZoneName zone;
  DaemonName coordinator;
  TermEpoch coordinator_epoch;
  std::uint64_t round = 0;
  Version revision;  ///< Store revision known to the coordinator.

  bool operator==(const HeartbeatAnswer&) const = default;
};

/// Changed store entries in order of version, relayed by a coordinator within
/// its zone.
struct StoreRelay {
  ZoneName zone;
  TermEpoch coordinator_epoch;
  /// `entries` contains every change after `since`, up to and including
  /// `revision`.
  Version since;
  Version revision;
  std::vector<StoreEntry> entries;

  bool operator==(const StoreRelay&) const = default;
};

/// Asks a daemon for its cached store entries; sent by a daemon that starts
/// while the store is down.
struct CacheRequest {
  DaemonName daemon;
  Endpoint address;

  bool operator==(const CacheRequest&) const = default;
};

/// Exchanged by roster members in each heartbeat interval to show that they are
/// running.
struct PeerHello {
  DaemonName daemon;
  ZoneName zone;
  Incarnation incarnation;
  std::uint64_t round = 0;  ///< Of the sender.
  std::uint64_t echo = 0;   ///< Newest round received from the receiver; 0 if
                            ///< none, or if the sender is stopping.

  bool operator==(const PeerHello&) const = default;
};

/// Sent by a front to its zone's ledger writer: intents to record before their
/// requests are sent.
struct IntentBatch {
  DaemonName daemon;
  Endpoint address;
  std::uint64_t batch = 0;  ///< Unique among all batches of all daemons.
  std::vector<Intent> intents;
  ZoneName zone;  ///< Zone of the ledger.

  bool operator==(const IntentBatch&) const = default;
};

/// The ledger writer's verdict on one intent of a batch.
struct IntentVerdict {
  bool recorded =
      false;  ///< Newly recorded by this batch; the request may be sent.
  std::optional<Intent> earlier;  ///< If a repeat, the first recorded intent.

  bool operator==(const IntentVerdict&) const = default;
};

struct IntentBatchAnswer {
  std::uint64_t batch = 0;
  std::vector<IntentVerdict>
      verdicts;  ///< In the order of the batch; empty if the store did not
                 ///< confirm the write.

  bool operator==(const IntentBatchAnswer&) const = default;
};

/// Sent by a front to its zone's ledger writer: outcomes of recorded intents.
/// Answered by an IntentBatchAnswer without verdicts.
struct IntentOutcomes {
  DaemonName daemon;
  std::vector<Intent> intents;
  Endpoint address;
  std::uint64_t batch = 0;
  ZoneName zone;  ///< Zone of the ledger.

  bool operator==(const IntentOutcomes&) const = default;
};

/// Reports a request that was in flight when a server's connections were lost.
struct StrikeReport {
  DaemonName daemon;
  QuarantineEntry entry;
  std::uint64_t report_id = 0;  ///< Identifies the report, so that duplicates
                                ///< count once.
  ZoneName zone;  ///< Zone of the daemon and of the quarantine list.

  bool operator==(const StrikeReport&) const = default;
};

/// An operator's command, forwarded to the daemon that can answer it.
struct CommandCall {
  std::uint64_t call = 0;
  DaemonName from;
  Endpoint address;
  OperatorName ordered_by;
  CommandId id;
  std::string text;
  Command command;

  bool operator==(const CommandCall&) const = default;
};

struct CommandCallAnswer {
  std::uint64_t call = 0;
  DaemonName from;
  CommandAnswer answer;

  bool operator==(const CommandCallAnswer& other) const {
    return call == other.call && from == other.from;
  }
};

using PeerMessage =
    std::variant<Heartbeat, HeartbeatAnswer, StoreRelay, CacheRequest,
                 PeerHello, IntentBatch, IntentBatchAnswer, IntentOutcomes,
                 StrikeReport, CommandCall, CommandCallAnswer>;

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_PEER_MESSAGE_H_
