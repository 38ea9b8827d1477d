#include <algorithm>

#include "codec/compact_map_p.h"
#include "eelgrasspin/config.h"

namespace eelgrasspin::codec {
namespace {

using Column = std::vector<std::uint64_t>;

/// A run-length encoded column: each item is a number, or [number, count] for a
/// run of equal numbers.
struct RunLengthColumn {
  Column values;
};

/// Delta encoding, which keeps the numbers short; the first number is kept as
/// it is.
Column to_differences(const Column& sequence) {
  Column differences;
  differences.reserve(sequence.size());
  std::uint64_t previous = 0;
  for (std::uint64_t value : sequence) {
    differences.push_back(value - previous);
    previous = value;
  }
  return differences;
}

Column from_differences(const Column& differences) {
  Column values;
  values.reserve(differences.size());
  std::uint64_t sum = 0;
  for (std::uint64_t difference : differences) {
    sum += difference;
    values.push_back(sum);
  }
  return values;
}

/// Combination of owner, phase and target, shared by many slots. Owner and
/// targets are indexes into the server and zone tables.
struct Assignment {
  std::uint64_t owner = 0;
  SlotPhase phase = SlotPhase::kUnassigned;
  std::uint64_t target = 0;
  std::uint64_t target_zone = 0;

  auto operator<=>(const Assignment&) const = default;
};

/// Assigns an index to each distinct value, in order of first use.
template <class T>
class IndexTable {
 public:
  std::uint64_t index_of(const T& value) {
    auto [it, inserted] = indexes_.try_emplace(value, values_.size());
    if (inserted) values_.push_back(value);
    return it->second;
  }
  const std::vector<T>& values() const { return values_; }

 private:
  std::map<T, std::uint64_t> indexes_;
  std::vector<T> values_;
};

template <class T>
const T* element_or_null(const std::vector<T>& table, std::uint64_t index) {
  return index < table.size() ? &table[index] : nullptr;
}

}  // namespace

template <>
inline constexpr bool kWrittenAsArray<Assignment> = true;

template <class A>
void fields(A& a, ConstIfWriting<A, Assignment>& v) {
  a("owner", v.owner);
  a("phase", v.phase);
  a("target", v.target);
  a("target_zone", v.target_zone);
}

template <>
struct Json<RunLengthColumn> {
  static json::value encode(const RunLengthColumn& runs) {
    json::array array;
    const Column& values = runs.values;
    for (std::size_t i = 0; i < values.size();) {
      std::size_t end = i + 1;
      while (end < values.size() && values[end] == values[i]) ++end;
      if (end - i == 1) {
        array.push_back(values[i]);
      } else {
        array.push_back(json::array{values[i], end - i});
      }
      i = end;
    }
    return array;
  }

  static void decode(const json::value& value, RunLengthColumn& out,
                     Failure& failure) {
    const json::array* array = value.if_array();
    if (array == nullptr) return failure.set("not an array");
    for (const json::value& item : *array) {
      std::pair<std::uint64_t, std::uint64_t> run{0, 1};
      if (item.is_array()) {
        from_json(item, run, failure);
      } else {
        from_json(item, run.first, failure);
      }
      if (failure.failed()) return;
      if (run.second > config::kMaxKeySlots - out.values.size()) {
        return failure.set("more slots than a service can have");
      }
      out.values.insert(out.values.end(), run.second, run.first);
    }
  }
};

namespace {

/// Column form of an OwnershipMap's slots: `slots` is delta-encoded, and
/// `epochs` are relative to `least_epoch`.
struct SlotColumns {
  std::vector<ServerName> servers;
  std::vector<ZoneName> zones;
  std::vector<Assignment> assignments;
  std::uint64_t least_epoch = 0;
  RunLengthColumn slots;
  RunLengthColumn assignment_indexes;
  RunLengthColumn epochs;
};

SlotColumns to_columns(const std::map<SlotId, SlotRecord>& slots) {
  SlotColumns columns;
  IndexTable<ServerName> servers;
  IndexTable<ZoneName> zones;
  IndexTable<Assignment> assignments;
  if (!slots.empty()) columns.least_epoch = slots.begin()->second.epoch.value;
  for (const auto& [slot, record] : slots) {
    columns.least_epoch = std::min(columns.least_epoch, record.epoch.value);
  }
  Column ids;
  for (const auto& [slot, record] : slots) {
    Assignment assignment{servers.index_of(record.owner), record.phase,
                          servers.index_of(record.target),
                          zones.index_of(record.target_zone)};
    ids.push_back(slot.value);
    columns.assignment_indexes.values.push_back(
        assignments.index_of(assignment));
    columns.epochs.values.push_back(record.epoch.value - columns.least_epoch);
  }
  columns.slots.values = to_differences(ids);
  columns.servers = servers.values();
  columns.zones = zones.values();
  columns.assignments = assignments.values();
  return columns;
}

bool from_columns(const SlotColumns& columns,
                  std::map<SlotId, SlotRecord>& slots) {
  Column ids = from_differences(columns.slots.values);
  if (columns.assignment_indexes.values.size() != ids.size()) return false;
  if (columns.epochs.values.size() != ids.size()) return false;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (ids[i] >= config::kMaxKeySlots) return false;
    const Assignment* assignment = element_or_null(
        columns.assignments, columns.assignment_indexes.values[i]);
    if (assignment == nullptr) return false;
    const ServerName* owner =
        element_or_null(columns.servers, assignment->owner);
    const ServerName* target =
        element_or_null(columns.servers, assignment->target);
    const ZoneName* zone =
        element_or_null(columns.zones, assignment->target_zone);
    if (owner == nullptr || target == nullptr || zone == nullptr) return false;
    Epoch epoch(columns.least_epoch + columns.epochs.values[i]);
    SlotId slot(static_cast<std::uint32_t>(ids[i]));
    slots.emplace_hint(
        slots.end(), slot,
        SlotRecord{*owner, epoch, assignment->phase, *target, *zone});
  }
  return slots.size() == ids.size();
}

}  // namespace

template <class A>
void fields(A& a, ConstIfWriting<A, SlotColumns>& v) {
  a("servers", v.servers);
  a("zones", v.zones);
  a("holdings", v.assignments);
  a("least_epoch", v.least_epoch);
  a("slots", v.slots);
  a("holding_of", v.assignment_indexes);
  a("epochs", v.epochs);
}

namespace {

template <class A>
void header_fields(A& a, ConstIfWriting<A, OwnershipMap>& v) {
  a("service", v.service);
  a("zone", v.zone);
  a("coordinator_epoch", v.coordinator_epoch);
  a("write_id", v.write_id);
  a("recent_write_ids", v.recent_write_ids);
  a("overrides", v.overrides);
}

template <class A>
void header_fields(A& a, ConstIfWriting<A, ZoneMap>& v) {
  a("service", v.service);
  a("write_id", v.write_id);
  a("zones", v.zones);
}

/// Reports columns that are inconsistent with each other: reading a field as
/// this type always fails.
struct ColumnMismatch {};

}  // namespace

template <>
struct Json<ColumnMismatch> {
  static void decode(const json::value&, ColumnMismatch&, Failure& failure) {
    failure.set("columns do not fit together");
  }
};

void fields(ObjectWriter& a, const OwnershipMap& map) {
  header_fields(a, map);
  a("columns", to_columns(map.slots));
}

void fields(ObjectReader& a, OwnershipMap& map) {
  header_fields(a, map);
  SlotColumns columns;
  a("columns", columns);
  ColumnMismatch mismatch;
  if (!from_columns(columns, map.slots)) a("columns", mismatch);
}

void fields(ObjectWriter& a, const ZoneMap& map) {
  header_fields(a, map);
  a("slots", RunLengthColumn{Column(map.slots.begin(), map.slots.end())});
  a("epochs", RunLengthColumn{map.epochs});
}

void fields(ObjectReader& a, ZoneMap& map) {
  header_fields(a, map);
  RunLengthColumn slots;
  RunLengthColumn epochs;
  a("slots", slots);
  a("epochs", epochs);
  ColumnMismatch mismatch;
  bool fits = slots.values.size() == epochs.values.size();
  for (std::uint64_t zone : slots.values) fits &= zone < map.zones.size();
  if (!fits) a("slots", mismatch);
  map.slots.assign(slots.values.begin(), slots.values.end());
  map.epochs = epochs.values;
}

}  // namespace eelgrasspin::codec
