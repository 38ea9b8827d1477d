#include "codec/record_json.h"

#include "codec/compact_map_p.h"
#include "codec/record_fields_p.h"
#include "config/settings.h"
#include "eelgrasspin/result.h"

namespace eelgrasspin::codec {

template <>
struct TypeName<std::monostate> {
  static constexpr std::string_view kValue = "absent";
};
template <>
struct TypeName<DamagedRecord> {
  static constexpr std::string_view kValue = "damaged";
};
template <>
struct TypeName<DeclarationsRecord> {
  static constexpr std::string_view kValue = "declarations";
};
template <>
struct TypeName<CoordinatorLease> {
  static constexpr std::string_view kValue = "coordinator_lease";
};
template <>
struct TypeName<ZoneRoster> {
  static constexpr std::string_view kValue = "zone_roster";
};
template <>
struct TypeName<ZoneMap> {
  static constexpr std::string_view kValue = "zone_map";
};
template <>
struct TypeName<OwnershipMap> {
  static constexpr std::string_view kValue = "ownership_map";
};
template <>
struct TypeName<IntentSegment> {
  static constexpr std::string_view kValue = "intent_segment";
};
template <>
struct TypeName<QuarantineList> {
  static constexpr std::string_view kValue = "quarantine_list";
};
template <>
struct TypeName<ZoneAccount> {
  static constexpr std::string_view kValue = "zone_account";
};
template <>
struct TypeName<OwnershipHistory> {
  static constexpr std::string_view kValue = "ownership_history";
};
template <>
struct TypeName<ClosurePart> {
  static constexpr std::string_view kValue = "closure_part";
};
template <>
struct TypeName<Closure> {
  static constexpr std::string_view kValue = "closure";
};
template <>
struct TypeName<CommandRecord> {
  static constexpr std::string_view kValue = "command";
};
template <>
struct TypeName<DrainPlan> {
  static constexpr std::string_view kValue = "drain_plan";
};

/// Declarations are encoded as their INI text.
template <>
struct Json<Declarations> {
  static json::value encode(const Declarations& declarations) {
    return to_json(declarations.source.empty()
                       ? config::print_declarations(declarations)
                       : declarations.source);
  }
  static void decode(const json::value& value, Declarations& out,
                     Failure& failure) {
    std::string source;
    from_json(value, source, failure);
    if (failure.failed()) return;
    auto checked = config::read_declarations(source, "declarations");
    if (auto* findings = std::get_if<std::vector<Finding>>(&checked)) {
      return failure.set(to_string(findings->front()));
    }
    out = std::get<Declarations>(std::move(checked));
  }
};

template <class A>
void fields(A& a, ConstIfWriting<A, DeclarationsRecord>& v) {
  a("source", v.declarations);
  a("applied_by", v.applied_by);
  a("applied", v.applied);
  a("write_id", v.write_id);
}

template <class A>
void fields(A&, ConstIfWriting<A, std::monostate>&) {}

namespace {

constexpr std::uint64_t kFormat = 1;

/// The key under which a record is kept.
struct StoreKeyOf {
  StoreKey operator()(const DeclarationsRecord&) { return declarations_key(); }
  StoreKey operator()(const CoordinatorLease& r) {
    return coordinator_lease_key(r.zone);
  }
  StoreKey operator()(const ZoneRoster& r) { return roster_key(r.zone); }
  StoreKey operator()(const ZoneMap& r) { return zone_map_key(r.service); }
  StoreKey operator()(const OwnershipMap& r) {
    return ownership_map_key(r.service, r.zone);
  }
  StoreKey operator()(const IntentSegment& r) {
    return intent_segment_key(r.zone, r.number);
  }
  StoreKey operator()(const QuarantineList& r) {
    return quarantine_key(r.zone);
  }
  StoreKey operator()(const ZoneAccount& r) {
    return account_key(r.service, r.zone);
  }
  StoreKey operator()(const OwnershipHistory& r) {
    return ownership_history_key(r.service, r.zone);
  }
  StoreKey operator()(const ClosurePart& r) {
    return closure_part_key(r.service, r.zone);
  }
  StoreKey operator()(const Closure& r) { return closure_key(r.service); }
  StoreKey operator()(const CommandRecord& r) { return command_key(r.id); }
  StoreKey operator()(const DrainPlan& r) { return drain_key(r.server); }
  template <class T>
  StoreKey operator()(const T&) {
    return {};
  }
};

bool belongs_under(const StoreKey& key, const Record& record) {
  if (std::holds_alternative<std::monostate>(record)) return true;
  if (std::holds_alternative<DamagedRecord>(record)) return true;
  return std::visit(StoreKeyOf{}, record) == key;
}

}  // namespace

json::value record_to_json(const Record& record) {
  json::value value = to_json(record);
  value.as_object().emplace("format", kFormat);
  return value;
}

Record record_from_json(const StoreKey& key, const json::value& value) {
  Failure failure;
  const json::object* object = value.if_object();
  if (object == nullptr) return DamagedRecord{"not an object"};
  std::uint64_t format = 0;
  ObjectReader(*object, failure)("format", format);
  if (!failure.failed() && format != kFormat) {
    failure.set("format " + std::to_string(format) + ", this version reads " +
                std::to_string(kFormat));
  }
  Record record;
  from_json(value, record, failure);
  if (!failure.failed() && !belongs_under(key, record)) {
    failure.set("record does not match key " + key.str());
  }
  if (failure.failed()) return DamagedRecord{failure.message};
  return record;
}

std::string encode_record(const Record& record) {
  if (std::holds_alternative<std::monostate>(record)) return {};
  return json::serialize(record_to_json(record));
}

Record decode_record(const StoreKey& key, std::string_view text) {
  if (text.empty()) return std::monostate{};
  Failure failure;
  json::value value = parse_text(text, failure);
  if (failure.failed()) return DamagedRecord{failure.message};
  return record_from_json(key, value);
}

json::value Json<StoreEntry>::encode(const StoreEntry& entry) {
  json::object object;
  object.emplace("key", to_json(entry.key));
  object.emplace("version", to_json(entry.version));
  object.emplace("record", record_to_json(entry.record));
  return object;
}

void Json<StoreEntry>::decode(const json::value& value, StoreEntry& out,
                              Failure& failure) {
  const json::object* object = value.if_object();
  if (object == nullptr) return failure.set("not an object");
  ObjectReader reader(*object, failure);
  reader("key", out.key);
  reader("version", out.version);
  const json::value* record = object->if_contains("record");
  if (record == nullptr) return failure.set("record: missing");
  out.record = record_from_json(out.key, *record);
}

}  // namespace eelgrasspin::codec
