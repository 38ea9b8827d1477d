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

/// Control messages between daemons. Each may be lost, delayed or doubled; all
/// are safe to receive twice.
namespace eelgrasspin {

/// One unit of ownership at one epoch: a slot, or a key carved out of its slot.
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

/// What the front of one backend server knows about it.
struct FrontReport {
  ServerName server;
  FrontEpoch front_epoch;
  bool holds_grant = false;  ///< The server confirmed a grant of this front and
                             ///< its term has not passed.
  bool lapsed = false;  ///< Attested: no grant of this or an earlier front can
                        ///< be in force any more.
  bool stopped =
      false;  ///< This front has stopped sending and renewing for good.
  std::vector<SlotGrant> released;  ///< Slots whose revocation the server
                                    ///< acknowledged, at the epoch they had.
  double requests_per_second = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::vector<std::pair<SlotId, double>>
      slot_rates;                ///< The busiest slots, requests per second.
  std::vector<HotKey> hot_keys;  ///< The busiest keys.
  bool grant_expired = false;    ///< No grant lets the server start work any
                               ///< more; what it had begun may still run.
  Version map_version;  ///< Ownership map that the front acts on; `lapsed` and
                        ///< `released` hold for units that are not owned in it.

  bool operator==(const FrontReport&) const = default;
};

/// Daemon to its zone's coordinator, each heartbeat interval.
struct Heartbeat {
  DaemonName daemon;
  ZoneName zone;
  Endpoint address;
  Incarnation incarnation;
  TermEpoch coordinator_epoch;  ///< The coordinator it believes in.
  std::uint64_t round = 0;      ///< Echoed by the coordinator.
  Version cache_revision;       ///< Highest store revision seen without a gap.
  bool stopping = false;        ///< Give its roles to others.
  bool reaches_store = false;
  /// Lost members of its roster; it answers none of them any more.
  std::vector<DaemonName> ignored_members;
  std::vector<FrontReport> fronts;
  std::map<ServiceName, DaemonAccount> accounts;

  bool operator==(const Heartbeat&) const = default;
};

/// Coordinator to each daemon of its zone: answer to a heartbeat.
struct HeartbeatAnswer {
  ZoneName zone;
  DaemonName coordinator;
  TermEpoch coordinator_epoch;
  std::uint64_t round = 0;
  Version revision;  ///< The coordinator's own store revision.

  bool operator==(const HeartbeatAnswer&) const = default;
};

/// Changed store values, relayed inside a zone, in order of version.
struct StoreRelay {
  ZoneName zone;
  TermEpoch coordinator_epoch;
  Version since;     ///< The values are complete from here ...
  Version revision;  ///< ... up to here.
  std::vector<StoreEntry> entries;

  bool operator==(const StoreRelay&) const = default;
};

/// Asks any daemon for what it knows of the store; sent by a daemon that starts
/// while the store is down.
struct CacheRequest {
  DaemonName daemon;
  Endpoint address;

  bool operator==(const CacheRequest&) const = default;
};

/// Roster members to each other, each heartbeat interval: "I run".
struct PeerHello {
  DaemonName daemon;
  ZoneName zone;
  Incarnation incarnation;
  std::uint64_t round = 0;  ///< Of the sender.
  std::uint64_t echo = 0;   ///< Newest round received from the receiver; 0:
                            ///< none, or the sender may not vouch for it.

  bool operator==(const PeerHello&) const = default;
};

/// Front to its zone's ledger writer: record these before anything is sent.
struct IntentBatch {
  DaemonName daemon;
  Endpoint address;
  std::uint64_t batch = 0;  ///< No two batches of any daemon share one.
  std::vector<Intent> intents;
  ZoneName zone;  ///< Whose ledger is meant.

  bool operator==(const IntentBatch&) const = default;
};

/// Ledger writer's verdict on each intent of a batch, in order.
struct IntentVerdict {
  bool recorded =
      false;  ///< Newly recorded by this batch: the request may be sent.
  std::optional<Intent> earlier;  ///< A repeat: what is known of the first one.

  bool operator==(const IntentVerdict&) const = default;
};

struct IntentBatchAnswer {
  std::uint64_t batch = 0;
  std::vector<IntentVerdict>
      verdicts;  ///< Empty: not recorded, the store did not confirm.

  bool operator==(const IntentBatchAnswer&) const = default;
};

/// Front to its zone's ledger writer: how recorded intents ended. Answered by
/// an IntentBatchAnswer without verdicts.
struct IntentOutcomes {
  DaemonName daemon;
  std::vector<Intent> intents;
  Endpoint address;
  std::uint64_t batch = 0;
  ZoneName zone;  ///< Whose ledger is meant.

  bool operator==(const IntentOutcomes&) const = default;
};

/// A request was in flight when a server's connections died.
struct StrikeReport {
  DaemonName daemon;
  QuarantineEntry entry;
  std::uint64_t event = 0;  ///< Makes repeats of this message count once.
  ZoneName zone;            ///< Of the daemon; whose list is meant.

  bool operator==(const StrikeReport&) const = default;
};

/// An operator's command passed to the daemon that can answer it.
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
