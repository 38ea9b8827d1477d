#include <algorithm>

#include "codec/compact_map_p.h"
#include "eelgrasspin/config.h"

namespace eelgrasspin::codec {
namespace {

using Column = std::vector<std::uint64_t>;

/// A column of numbers: each item is a number, or [number, count] for a run.
struct Runs {
  Column values;
};

/// Differences to the number before, to keep the digits few; the first is to 0.
Column to_differences(const Column& rising) {
  Column differences;
  differences.reserve(rising.size());
  std::uint64_t before = 0;
  for (std::uint64_t value : rising) {
    differences.push_back(value - before);
    before = value;
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

/// One combination of owner, phase and target; many slots share each.
struct Holding {
  std::uint64_t owner = 0;
  SlotPhase phase = SlotPhase::kUnassigned;
  std::uint64_t target = 0;
  std::uint64_t target_zone = 0;

  auto operator<=>(const Holding&) const = default;
};

/// Gives each distinct value an index, in order of first use.
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
const T* at(const std::vector<T>& table, std::uint64_t index) {
  return index < table.size() ? &table[index] : nullptr;
}

}  // namespace

template <>
inline constexpr bool kAsRow<Holding> = true;

template <class A>
void fields(A& a, Like<A, Holding>& v) {
  a("owner", v.owner);
  a("phase", v.phase);
  a("target", v.target);
  a("target_zone", v.target_zone);
}

template <>
struct Json<Runs> {
  static json::value put(const Runs& runs) {
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

  static void take(const json::value& value, Runs& out, Failure& failure) {
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

/// Columns of an OwnershipMap's slots.
struct SlotColumns {
  std::vector<ServerName> servers;
  std::vector<ZoneName> zones;
  std::vector<Holding> holdings;
  std::uint64_t least_epoch = 0;
  Runs slots;
  Runs holding_of;
  Runs epochs;
};

SlotColumns to_columns(const std::map<SlotId, SlotRecord>& slots) {
  SlotColumns columns;
  IndexTable<ServerName> servers;
  IndexTable<ZoneName> zones;
  IndexTable<Holding> holdings;
  if (!slots.empty()) columns.least_epoch = slots.begin()->second.epoch.value;
  for (const auto& [slot, record] : slots) {
    columns.least_epoch = std::min(columns.least_epoch, record.epoch.value);
  }
  Column ids;
  for (const auto& [slot, record] : slots) {
    Holding holding{servers.index_of(record.owner), record.phase,
                    servers.index_of(record.target),
                    zones.index_of(record.target_zone)};
    ids.push_back(slot.value);
    columns.holding_of.values.push_back(holdings.index_of(holding));
    columns.epochs.values.push_back(record.epoch.value - columns.least_epoch);
  }
  columns.slots.values = to_differences(ids);
  columns.servers = servers.values();
  columns.zones = zones.values();
  columns.holdings = holdings.values();
  return columns;
}

bool from_columns(const SlotColumns& columns,
                  std::map<SlotId, SlotRecord>& slots) {
  Column ids = from_differences(columns.slots.values);
  if (columns.holding_of.values.size() != ids.size()) return false;
  if (columns.epochs.values.size() != ids.size()) return false;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (ids[i] >= config::kMaxKeySlots) return false;
    const Holding* holding = at(columns.holdings, columns.holding_of.values[i]);
    if (holding == nullptr) return false;
    const ServerName* owner = at(columns.servers, holding->owner);
    const ServerName* target = at(columns.servers, holding->target);
    const ZoneName* zone = at(columns.zones, holding->target_zone);
    if (owner == nullptr || target == nullptr || zone == nullptr) return false;
    Epoch epoch(columns.least_epoch + columns.epochs.values[i]);
    SlotId slot(static_cast<std::uint32_t>(ids[i]));
    slots.emplace_hint(
        slots.end(), slot,
        SlotRecord{*owner, epoch, holding->phase, *target, *zone});
  }
  return slots.size() == ids.size();
}

}  // namespace

template <class A>
void fields(A& a, Like<A, SlotColumns>& v) {
  a("servers", v.servers);
  a("zones", v.zones);
  a("holdings", v.holdings);
  a("least_epoch", v.least_epoch);
  a("slots", v.slots);
  a("holding_of", v.holding_of);
  a("epochs", v.epochs);
}

namespace {

template <class A>
void heading(A& a, Like<A, OwnershipMap>& v) {
  a("service", v.service);
  a("zone", v.zone);
  a("coordinator_epoch", v.coordinator_epoch);
  a("write_id", v.write_id);
  a("recent_write_ids", v.recent_write_ids);
  a("overrides", v.overrides);
}

template <class A>
void heading(A& a, Like<A, ZoneMap>& v) {
  a("service", v.service);
  a("write_id", v.write_id);
  a("zones", v.zones);
}

/// Reports columns that do not fit together.
struct Unfitting {};

}  // namespace

template <>
struct Json<Unfitting> {
  static void take(const json::value&, Unfitting&, Failure& failure) {
    failure.set("columns do not fit together");
  }
};

void fields(ObjectWriter& a, const OwnershipMap& map) {
  heading(a, map);
  a("columns", to_columns(map.slots));
}

void fields(ObjectReader& a, OwnershipMap& map) {
  heading(a, map);
  SlotColumns columns;
  a("columns", columns);
  Unfitting unfitting;
  if (!from_columns(columns, map.slots)) a("columns", unfitting);
}

void fields(ObjectWriter& a, const ZoneMap& map) {
  heading(a, map);
  a("slots", Runs{Column(map.slots.begin(), map.slots.end())});
  a("epochs", Runs{map.epochs});
}

void fields(ObjectReader& a, ZoneMap& map) {
  heading(a, map);
  Runs slots;
  Runs epochs;
  a("slots", slots);
  a("epochs", epochs);
  Unfitting unfitting;
  bool fits = slots.values.size() == epochs.values.size();
  for (std::uint64_t zone : slots.values) fits &= zone < map.zones.size();
  if (!fits) a("slots", unfitting);
  map.slots.assign(slots.values.begin(), slots.values.end());
  map.epochs = epochs.values;
}

}  // namespace eelgrasspin::codec
