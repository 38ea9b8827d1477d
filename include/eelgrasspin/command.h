#ifndef EELGRASSPIN_COMMAND_H_
#define EELGRASSPIN_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/units.h"

/// Parsed form of the operators' queries and commands. The grammar of the text
/// form is in docs/COMMANDS.md.
namespace eelgrasspin {

enum class Subject : std::uint8_t {
  kServices,
  kSlots,
  kKeys,
  kServers,
  kZones,
  kDaemons,
  kRequests,
  kRefusals,
  kQuarantine,
  kClosures,
  kDrains,
  kCommands,
  kTimeline,
  kConfiguration,
  kStore,
};

enum class Comparison : std::uint8_t {
  kEqual,
  kNotEqual,
  kLess,
  kLessOrEqual,
  kGreater,
  kGreaterOrEqual
};

/// One "column = value" condition of a where clause.
struct Condition {
  std::string column;
  Comparison comparison = Comparison::kEqual;
  std::string value;

  bool operator==(const Condition&) const = default;
};

/// show SUBJECT [where C and C ...] [since DURATION] [limit N]
struct ShowCommand {
  Subject subject = Subject::kServices;
  std::vector<Condition> conditions;
  std::optional<Duration> since;
  std::optional<std::uint32_t> limit;

  bool operator==(const ShowCommand&) const = default;
};

/// owner of SERVICE "KEY"
struct OwnerCommand {
  ServiceName service;
  Key key;

  bool operator==(const OwnerCommand&) const = default;
};

/// move SERVICE slot N to SERVER | move SERVICE key "K" to SERVER | move
/// SERVICE slot N to zone ZONE
struct MoveCommand {
  ServiceName service;
  std::optional<SlotId> slot;
  Key key;  ///< If set, the key is carved out of its slot.
  ServerName server;
  ZoneName zone;

  bool operator==(const MoveCommand&) const = default;
};

/// drain server SERVER [within DURATION]
struct DrainCommand {
  ServerName server;
  Duration within = seconds(60);

  bool operator==(const DrainCommand&) const = default;
};

/// undrain server SERVER
struct UndrainCommand {
  ServerName server;

  bool operator==(const UndrainCommand&) const = default;
};

/// close service SERVICE deadline DURATION reason "TEXT"
struct CloseCommand {
  ServiceName service;
  Duration deadline = minutes(10);
  std::string reason;

  bool operator==(const CloseCommand&) const = default;
};

/// cancel closure SERVICE
struct CancelClosureCommand {
  ServiceName service;

  bool operator==(const CancelClosureCommand&) const = default;
};

/// show closure SERVICE
struct ShowClosureCommand {
  ServiceName service;

  bool operator==(const ShowClosureCommand&) const = default;
};

/// report closure SERVICE
struct ReportCommand {
  ServiceName service;

  bool operator==(const ReportCommand&) const = default;
};

/// stop daemon DAEMON
struct StopDaemonCommand {
  DaemonName daemon;

  bool operator==(const StopDaemonCommand&) const = default;
};

/// fence zone ZONE | fence daemon DAEMON: the operator guarantees that its
/// processes are dead.
struct FenceCommand {
  ZoneName zone;
  DaemonName daemon;

  bool operator==(const FenceCommand&) const = default;
};

/// release quarantined FINGERPRINT
struct ReleaseCommand {
  std::uint64_t fingerprint = 0;

  bool operator==(const ReleaseCommand&) const = default;
};

using Command =
    std::variant<ShowCommand, OwnerCommand, MoveCommand, DrainCommand,
                 UndrainCommand, CloseCommand, CancelClosureCommand,
                 ShowClosureCommand, ReportCommand, StopDaemonCommand,
                 FenceCommand, ReleaseCommand>;

/// Text table with named columns.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;

  bool operator==(const Table&) const = default;
};

/// A part of an answer with its own title.
struct Section {
  std::string title;
  Table table;

  bool operator==(const Section&) const = default;
};

/// Answer to a command.
struct CommandAnswer {
  std::optional<Error> error;
  std::string message;  ///< One line for the operator.
  CommandId command;    ///< Empty for queries.
  Version version;      ///< Version of the object written or shown; 0 if none.
  std::vector<Section> sections;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_COMMAND_H_
