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

/// Commands, closures, drain plans, queries and reports.
namespace eelgrasspin::core::operators {

/// An operator's order whose record is being written.
struct PendingOrder {
  OperatorCallId call;
  StoreKey key;
  CommandId id;
};

/// Declarations that are being written.
struct PendingApply {
  OperatorCallId call;
  OperatorName operator_name;
  std::uint64_t write_id = 0;
};

/// A query that other daemons answer a part of.
struct FanOut {
  OperatorCallId call;
  Command command;
  TimePoint deadline;
  std::set<DaemonName> waiting;
  CommandAnswer answer;
};

/// A report whose parts are being read from the store.
struct ReportRead {
  OperatorCallId call;
  ServiceName service;
};

/// Accounts of a zone's daemons, lost ones included; kept by the zone's
/// coordinator.
struct AccountBook {
  bool loaded = false;
  std::optional<StoreOpId> load;
  Version version;  ///< Of the stored record.
  std::map<std::pair<DaemonName, Incarnation>, DaemonAccount> daemons;
  bool changed = false;
  TimePoint next_write;
};

/// A coordinated zone's part in a closure.
struct ZoneClosing {
  Version announced;  ///< Version of the closure when this daemon first saw it.
  std::map<ClosureStep, std::uint64_t> in_flight_at;
  std::optional<StoreOpId> part_read;
  std::optional<Version>
      part_version;  ///< Known once the stored part was read.
  std::optional<ClosurePart> stored;
};

/// When a zone's lease was last seen to change.
struct LeaseSight {
  Version version;
  TimePoint changed;
};

struct State {
  std::vector<PendingOrder> orders;
  std::vector<PendingApply> applies;
  std::map<std::uint64_t, FanOut> fan_outs;
  std::uint64_t next_fan_out = 1;
  std::map<StoreOpId, ReportRead> reports;
  std::map<std::pair<ServiceName, ZoneName>, AccountBook> books;
  std::map<std::pair<std::string, ZoneName>, ZoneClosing>
      closings;  ///< By closure id and coordinated zone.
  std::map<ZoneName, LeaseSight> leases;
};

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_STATE_H_
