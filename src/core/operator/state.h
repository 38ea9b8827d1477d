#ifndef EELGRASSPIN_CORE_OPERATOR_STATE_H_
#define EELGRASSPIN_CORE_OPERATOR_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/units.h"

/// State of operators' commands, closures, queries and reports.
namespace eelgrasspin::core::operators {

/// An operator's command whose record is being written.
struct PendingCommand {
  OperatorCallId call;
  StoreKey key;
  CommandId id;
};

/// An operator's declarations that are being written.
struct PendingApply {
  OperatorCallId call;
  OperatorName operator_name;
  std::uint64_t write_id = 0;
};

/// A query that is waiting for the answers of other daemons.
struct FanOut {
  OperatorCallId call;
  Command command;
  TimePoint deadline;
  std::set<DaemonName> unanswered;
  CommandAnswer answer;  ///< Its one section holds the rows received so far.
};

/// A report whose closure parts are being read from the store.
struct PendingReport {
  OperatorCallId call;
  ServiceName service;
};

/// A service's accounts by the daemons of a zone, lost daemons included; the
/// zone's coordinator keeps them in the store.
struct AccountSet {
  bool loaded = false;
  std::optional<StoreOpId> load;  ///< The pending read.
  Version version;                ///< Of the stored record.
  std::map<std::pair<DaemonName, Incarnation>, DaemonAccount> daemons;
  bool changed = false;  ///< Since the last write.
  TimePoint next_write;
};

/// Progress of a closure in a zone that this daemon coordinates.
struct ZoneClosureProgress {
  Version announced;  ///< Version of the closure when this daemon first saw it.
  std::map<ClosureStep, std::uint64_t> in_flight_at;  ///< Requests by step.
  std::optional<StoreOpId> part_read;                 ///< The pending read.
  std::optional<Version> part_version;  ///< Set once the stored part was read.
  std::optional<ClosurePart> stored;
};

/// The latest version of a zone's coordinator lease, and when it was first
/// seen.
struct LeaseObservation {
  Version version;
  TimePoint first_seen;
};

struct State {
  std::vector<PendingCommand> pending_commands;
  std::vector<PendingApply> pending_applies;
  std::map<std::uint64_t, FanOut> fan_outs;
  std::uint64_t next_fan_out = 1;
  std::map<StoreOpId, PendingReport> pending_reports;
  std::map<std::pair<ServiceName, ZoneName>, AccountSet> account_sets;
  std::map<std::pair<std::string, ZoneName>, ZoneClosureProgress>
      zone_closures;  ///< By closure id and coordinated zone.
  std::map<ZoneName, LeaseObservation> leases;
};

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_STATE_H_
