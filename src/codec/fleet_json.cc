#include "codec/fleet_json.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>

#include "codec/fleet_fields_p.h"

namespace eelgrasspin::codec {
namespace {

namespace json = boost::json;
using fleet::ShardKey;

/// Parses a JSON object and converts it with `read`. Boost.JSON throws on a
/// missing field or a wrong type; the exception is returned as an error.
template <class T, class Read>
Result<T> parse_object(std::string_view text, std::string_view what,
                       Read read) {
  try {
    // Most messages fit the buffer, so that parsing them allocates nothing.
    std::array<unsigned char, 16 * 1024> buffer;
    json::monotonic_resource memory(buffer.data(), buffer.size());
    return read(json::parse(text, &memory).as_object());
  } catch (const std::exception& failure) {
    return Error{ErrorCode::kInvalid,
                 std::string(what) + ": " + failure.what()};
  }
}

json::object daemon_object(const fleet::DaemonRecord& daemon) {
  return {
      {"name", daemon.name.str()}, {"incarnation", daemon.incarnation.value},
      {"zone", daemon.zone.str()}, {"region", daemon.region.str()},
      {"peer", daemon.peer.str()}, {"capacity", daemon.capacity}};
}

fleet::DaemonRecord daemon_of(const json::object& object) {
  const json::value* capacity = object.if_contains("capacity");
  return {DaemonName(text_of(object, "name")),
          Incarnation(number(object.at("incarnation"))),
          ZoneName(text_of(object, "zone")),
          RegionName(text_of(object, "region")),
          Endpoint(text_of(object, "peer")),
          capacity == nullptr ? 0 : capacity->to_number<std::uint32_t>()};
}

json::array server_incarnation_array(const fleet::ServerIncarnation& server) {
  return {server.name.str(), server.incarnation.value};
}

fleet::ServerIncarnation server_incarnation_of(const json::value& value) {
  const json::array& parts = value.as_array();
  return {ServerName(view_of(parts.at(0))), Incarnation(number(parts.at(1)))};
}

/// Numbers are rounded down to hundredths, which are short and precise enough.
std::uint64_t hundredths(double number) {
  return static_cast<std::uint64_t>(number * 100);
}
double from_hundredths(const json::value& value) {
  return static_cast<double>(number(value)) / 100;
}

/// Pairs of the number of answers and their mean time in microseconds.
json::array curve_array(const fleet::LoadCurve& curve) {
  std::size_t used = curve.levels.size();
  while (used > 0 && hundredths(curve.levels[used - 1].answer_count) == 0)
    --used;
  json::array levels;
  for (std::size_t i = 0; i < used; ++i) {
    double mean_us = std::exp(curve.levels[i].mean_log) * 1e3;
    levels.push_back(hundredths(curve.levels[i].answer_count));
    levels.push_back(
        static_cast<std::uint64_t>(std::clamp(mean_us, 1.0, 1e12)));
  }
  return levels;
}

fleet::LoadCurve curve_of(const json::value& value) {
  constexpr double kMaxAnswers = 1e6;
  const json::array& parts = value.as_array();
  fleet::LoadCurve curve;
  for (std::size_t i = 0; i < curve.levels.size() && 2 * i + 1 < parts.size();
       ++i) {
    double mean_us = static_cast<double>(number(parts[2 * i + 1]));
    curve.levels[i] = {std::min(from_hundredths(parts[2 * i]), kMaxAnswers),
                       std::log(std::max(mean_us, 1.0) / 1e3)};
  }
  return curve;
}

/// Earlier versions send and read the first three fields only.
json::array service_time_array(
    const fleet::Heartbeat::MeasuredServiceTime& entry) {
  json::array fields = {entry.server.str(), hundredths(entry.answer_count),
                        to_ms(entry.service_time)};
  json::array latencies = curve_array(entry.latencies);
  json::array work_times = curve_array(entry.work_times);
  if (entry.concurrency == 0 && latencies.empty() && work_times.empty())
    return fields;
  fields.emplace_back(entry.incarnation.value);
  fields.emplace_back(entry.concurrency);
  if (latencies.empty() && work_times.empty()) return fields;
  fields.emplace_back(std::move(latencies));
  if (!work_times.empty()) fields.emplace_back(std::move(work_times));
  return fields;
}

fleet::Heartbeat::MeasuredServiceTime service_time_of(
    const json::array& fields) {
  fleet::Heartbeat::MeasuredServiceTime entry{
      ServerName(view_of(fields.at(0))), from_hundredths(fields.at(1)),
      milliseconds(number(fields.at(2)))};
  if (fields.size() > 4) {
    entry.incarnation = Incarnation(number(fields[3]));
    entry.concurrency = fields[4].to_number<std::uint32_t>();
  }
  if (fields.size() > 5) entry.latencies = curve_of(fields[5]);
  if (fields.size() > 6) entry.work_times = curve_of(fields[6]);
  return entry;
}

json::array key_load_reports_array(const fleet::Heartbeat& heartbeat) {
  json::array key_load_reports;
  for (const auto& report : heartbeat.key_load_reports) {
    json::array keys;
    for (const fleet::KeyLoad& key : report.keys) {
      keys.push_back(key.key.value);
      keys.push_back(hundredths(key.request_count));
    }
    json::array service_times;
    for (const auto& entry : report.service_times)
      service_times.push_back(service_time_array(entry));
    key_load_reports.push_back(json::array{
        report.service.str(), std::move(keys), std::move(service_times)});
  }
  return key_load_reports;
}

fleet::Heartbeat::KeyLoadReport key_load_report_of(const json::value& value) {
  const json::array& parts = value.as_array();
  fleet::Heartbeat::KeyLoadReport report{
      ServiceName(view_of(parts.at(0))), {}, {}};
  const json::array& keys = parts.at(1).as_array();
  for (std::size_t i = 0; i + 1 < keys.size(); i += 2) {
    report.keys.push_back({ShardKey(keys[i].to_number<std::uint32_t>()),
                           from_hundredths(keys[i + 1])});
  }
  for (const json::value& entry : parts.at(2).as_array()) {
    report.service_times.push_back(service_time_of(entry.as_array()));
  }
  return report;
}

std::vector<fleet::Heartbeat::Load> loads_of(const json::value& value) {
  std::vector<fleet::Heartbeat::Load> loads;
  for (const json::value& entry : value.as_array()) {
    const json::array& parts = entry.as_array();
    loads.push_back({ServerName(view_of(parts.at(0))),
                     parts.at(1).to_number<std::uint32_t>()});
  }
  return loads;
}

json::array loads_array(const std::vector<fleet::Heartbeat::Load>& list) {
  json::array loads;
  for (const auto& load : list)
    loads.push_back(json::array{load.server.str(), load.in_flight});
  return loads;
}

json::array limits_array(const std::vector<fleet::LimitReport>& reports) {
  json::array limits;
  for (const fleet::LimitReport& report : reports) {
    json::value limit;  // Null if it was withdrawn.
    if (report.limit) limit = hundredths(report.limit->per_second);
    limits.push_back(json::array{
        server_incarnation_array(report.server), std::move(limit),
        to_ms(report.age), hundredths(report.demand.per_second), report.sent});
  }
  return limits;
}

std::vector<fleet::LimitReport> limits_of(const json::object& object) {
  std::vector<fleet::LimitReport> reports;
  const json::value* limits = object.if_contains("limits");
  if (limits == nullptr) return reports;
  for (const json::value& value : limits->as_array()) {
    const json::array& parts = value.as_array();
    fleet::LimitReport report;
    report.server = server_incarnation_of(parts.at(0));
    if (!parts.at(1).is_null())
      report.limit = fleet::RequestRate{from_hundredths(parts.at(1))};
    report.age = milliseconds(number(parts.at(2)));
    report.demand = {from_hundredths(parts.at(3))};
    report.sent = parts.at(4).to_number<std::uint32_t>();
    reports.push_back(report);
  }
  return reports;
}

/// Where no evacuations are ordered, the last two elements are absent.
fleet::Heartbeat::View view_state_of(const json::array& parts, StoreEra era) {
  auto position = [&](std::size_t index) {
    return fleet::StorePosition{era, Version(number(parts.at(index)))};
  };
  fleet::Heartbeat::View view{
      position(0), position(1), milliseconds(number(parts.at(2))), {}, {}};
  if (parts.size() <= 3) return view;
  view.evacuations = position(3);
  for (const json::value& zone : parts.at(4).as_array())
    view.evacuated_zones.emplace_back(view_of(zone));
  return view;
}

json::array view_state_array(const fleet::Heartbeat::View& view) {
  json::array parts = {view.configuration.revision.value,
                       view.servers.revision.value, to_ms(view.age)};
  if (view.evacuations.revision.value == 0) return parts;
  json::array zones;
  for (const ZoneName& zone : view.evacuated_zones)
    zones.emplace_back(zone.str());
  parts.emplace_back(view.evacuations.revision.value);
  parts.emplace_back(std::move(zones));
  return parts;
}

/// Where the store states no era, the last two elements are absent. The last
/// one is also absent while it is unknown.
fleet::Heartbeat::Term term_of(const json::array& parts) {
  fleet::Heartbeat::Term term{ServiceName(view_of(parts.at(0))),
                              TermEpoch(number(parts.at(1))),
                              milliseconds(number(parts.at(2))),
                              {StoreEra(), Version(number(parts.at(3)))},
                              std::nullopt};
  if (parts.size() > 4) term.position.era = StoreEra(number(parts.at(4)));
  if (parts.size() > 5) term.coordinated = TermEpoch(number(parts.at(5)));
  return term;
}

json::array term_array(const fleet::Heartbeat::Term& term, bool states_era) {
  json::array parts = {term.service.str(), term.term.value,
                       to_ms(term.coordinator_heartbeat_age),
                       term.position.revision.value};
  if (!states_era) return parts;
  parts.emplace_back(term.position.era.value);
  if (term.coordinated) parts.emplace_back(term.coordinated->value);
  return parts;
}

fleet::Heartbeat heartbeat_of(const json::object& object) {
  fleet::Heartbeat heartbeat;
  if (const json::value* daemon = object.if_contains("daemon")) {
    heartbeat.daemon = daemon_of(daemon->as_object());
  } else {
    heartbeat.has_full_record = false;
    heartbeat.daemon.name = DaemonName(text_of(object, "name"));
    heartbeat.daemon.incarnation =
        Incarnation(number(object.at("incarnation")));
  }
  heartbeat.sequence = number(object.at("seq"));
  if (const json::value* age = object.if_contains("age_ms")) {
    heartbeat.age = milliseconds(number(*age));
  }
  heartbeat.stopping = object.if_contains("stopping") != nullptr;
  if (const json::value* silence = object.if_contains("store_silent_ms")) {
    heartbeat.store_unreachable_for = milliseconds(number(*silence));
  }
  if (const json::value* era = object.if_contains("era"))
    heartbeat.store_era = StoreEra(number(*era));
  for (const json::value& value : object.at("terms").as_array())
    heartbeat.terms.push_back(term_of(value.as_array()));
  heartbeat.loads = loads_of(object.at("loads"));
  heartbeat.limits = limits_of(object);
  if (const json::value* view = object.if_contains("view")) {
    const json::array& parts = view->as_array();
    heartbeat.view =
        view_state_of(parts, heartbeat.store_era.value_or(StoreEra()));
  }
  if (const json::value* key_load_reports = object.if_contains("heats")) {
    for (const json::value& value : key_load_reports->as_array()) {
      heartbeat.key_load_reports.push_back(key_load_report_of(value));
    }
  }
  if (const json::value* leaving = object.if_contains("leaving")) {
    for (const json::value& value : leaving->as_array())
      heartbeat.leaving_servers.push_back(server_incarnation_of(value));
  }
  if (const json::value* servers = object.if_contains("displaced")) {
    for (const json::value& value : servers->as_array())
      heartbeat.displaced_servers.push_back(server_incarnation_of(value));
  }
  if (const json::value* servers = object.if_contains("unreachable")) {
    for (const json::value& value : servers->as_array())
      heartbeat.unreachable_servers.push_back(server_incarnation_of(value));
  }
  if (const json::value* strikes = object.if_contains("strikes")) {
    for (const json::value& value : strikes->as_array()) {
      const json::array& parts = value.as_array();
      // Daemons of earlier versions send no age.
      Duration age =
          parts.size() > 2 ? milliseconds(number(parts[2])) : Duration(0);
      heartbeat.strikes.push_back({fleet::Fingerprint(number(parts.at(0))),
                                   server_incarnation_of(parts.at(1)), age});
    }
  }
  return heartbeat;
}

fleet::KeyRange range_of(const json::value& value) {
  const json::array& parts = value.as_array();
  fleet::KeyRange range{ShardKey(parts.at(0).to_number<std::uint32_t>()),
                        ShardKey(parts.at(1).to_number<std::uint32_t>()),
                        server_incarnation_of(parts.at(2)),
                        Epoch(number(parts.at(3))),
                        {}};
  for (const json::value& previous_owner : parts.at(4).as_array()) {
    range.previous_owners.push_back(server_incarnation_of(previous_owner));
  }
  return range;
}

json::array ranges_array(const std::vector<fleet::KeyRange>& list) {
  json::array ranges;
  for (const fleet::KeyRange& range : list) {
    json::array previous_owners;
    for (const fleet::ServerIncarnation& previous_owner :
         range.previous_owners) {
      previous_owners.push_back(server_incarnation_array(previous_owner));
    }
    ranges.push_back(json::array{range.first.value, range.last.value,
                                 server_incarnation_array(range.owner),
                                 range.epoch.value,
                                 std::move(previous_owners)});
  }
  return ranges;
}

/// Earlier versions do not write the list.
std::vector<fleet::DaemonIncarnation> replaced_coordinators_of(
    const json::object& object) {
  std::vector<fleet::DaemonIncarnation> coordinators;
  const json::value* list = object.if_contains("replaced");
  if (list == nullptr) return coordinators;
  for (const json::value& value : list->as_array()) {
    const json::array& parts = value.as_array();
    coordinators.push_back(
        {DaemonName(view_of(parts.at(0))), Incarnation(number(parts.at(1)))});
  }
  return coordinators;
}

void add_replaced_coordinators(
    const std::vector<fleet::DaemonIncarnation>& coordinators,
    json::object& object) {
  if (coordinators.empty()) return;
  json::array list;
  for (const fleet::DaemonIncarnation& coordinator : coordinators) {
    list.push_back(
        json::array{coordinator.name.str(), coordinator.incarnation.value});
  }
  object["replaced"] = std::move(list);
}

fleet::MapChange change_of(const json::object& object) {
  fleet::MapChange change;
  change.service = ServiceName(text_of(object, "map"));
  change.base.revision = Version(number(object.at("base")));
  change.position.revision = Version(number(object.at("revision")));
  if (const json::value* era = object.if_contains("era")) {
    change.states_era = true;
    change.position.era = StoreEra(number(*era));
    change.base.era = StoreEra(number(object.at("base_era")));
  }
  change.grants_lost = object.if_contains("grants_lost") != nullptr;
  change.coordinator = DaemonName(text_of(object, "coordinator"));
  change.coordinator_incarnation =
      Incarnation(number(object.at("coordinator_incarnation")));
  change.term = TermEpoch(number(object.at("term")));
  change.last_epoch = Epoch(number(object.at("next_epoch")));
  change.replaced_coordinators = replaced_coordinators_of(object);
  change.forward_within_zone = object.if_contains("relay") != nullptr;
  for (const json::value& value : object.at("ranges").as_array()) {
    change.ranges.push_back(range_of(value));
  }
  return change;
}

void check_ranges(const std::vector<fleet::KeyRange>& ranges) {
  std::uint32_t expected = 0;
  for (const fleet::KeyRange& range : ranges) {
    if (range.first.value != expected || range.last < range.first ||
        range.last.value > fleet::kMaxShardKey) {
      throw std::runtime_error("key ranges overlap or have gaps");
    }
    expected = range.last.value + 1;
  }
  if (expected != fleet::kMaxShardKey + 1) {
    throw std::runtime_error("key ranges do not cover all keys");
  }
}

fleet::OwnerMap map_of(const json::object& object, StoreEra unstated) {
  fleet::OwnerMap map;
  map.service = ServiceName(text_of(object, "service"));
  map.coordinator = DaemonName(text_of(object, "coordinator"));
  map.coordinator_incarnation =
      Incarnation(number(object.at("coordinator_incarnation")));
  map.term = TermEpoch(number(object.at("term")));
  map.last_epoch = Epoch(number(object.at("next_epoch")));
  for (const json::value& value : object.at("ranges").as_array()) {
    map.ranges.push_back(range_of(value));
  }
  check_ranges(map.ranges);
  map.replaced_coordinators = replaced_coordinators_of(object);
  const json::value* era = object.if_contains("era");
  map.era = era == nullptr ? unstated : StoreEra(number(*era));
  map.grants_lost = object.if_contains("grants_lost") != nullptr;
  return map;
}

}  // namespace

namespace {

json::array server_incarnations_array(
    const std::vector<fleet::ServerIncarnation>& servers) {
  json::array array;
  for (const fleet::ServerIncarnation& server : servers)
    array.push_back(server_incarnation_array(server));
  return array;
}

json::object heartbeat_object(const fleet::Heartbeat& heartbeat) {
  json::array terms;
  for (const auto& term : heartbeat.terms) {
    terms.push_back(term_array(term, heartbeat.store_era.has_value()));
  }
  json::object object = {{"seq", heartbeat.sequence},
                         {"terms", std::move(terms)},
                         {"loads", loads_array(heartbeat.loads)}};
  if (heartbeat.has_full_record) {
    object["daemon"] = daemon_object(heartbeat.daemon);
  } else {
    object["name"] = heartbeat.daemon.name.str();
    object["incarnation"] = heartbeat.daemon.incarnation.value;
  }
  // Fields with default values are omitted, because heartbeats are frequent.
  if (heartbeat.store_era) object["era"] = heartbeat.store_era->value;
  if (heartbeat.stopping) object["stopping"] = true;
  if (heartbeat.store_unreachable_for.count() > 0) {
    object["store_silent_ms"] = to_ms(heartbeat.store_unreachable_for);
  }
  if (!heartbeat.key_load_reports.empty())
    object["heats"] = key_load_reports_array(heartbeat);
  if (!heartbeat.limits.empty())
    object["limits"] = limits_array(heartbeat.limits);
  if (!heartbeat.leaving_servers.empty())
    object["leaving"] = server_incarnations_array(heartbeat.leaving_servers);
  if (!heartbeat.displaced_servers.empty())
    object["displaced"] =
        server_incarnations_array(heartbeat.displaced_servers);
  if (!heartbeat.unreachable_servers.empty()) {
    object["unreachable"] =
        server_incarnations_array(heartbeat.unreachable_servers);
  }
  if (!heartbeat.strikes.empty()) {
    json::array strikes;
    for (const fleet::Strike& strike : heartbeat.strikes) {
      strikes.push_back(json::array{strike.request.value,
                                    server_incarnation_array(strike.server),
                                    to_ms(strike.age)});
    }
    object["strikes"] = std::move(strikes);
  }
  if (heartbeat.view) {
    object["view"] = view_state_array(*heartbeat.view);
  }
  if (heartbeat.age.count() > 0) object["age_ms"] = to_ms(heartbeat.age);
  return object;
}

fleet::HeartbeatBatch heartbeat_batch_of(const json::object& object) {
  fleet::HeartbeatBatch batch;
  batch.forward_within_zone = object.if_contains("relay") != nullptr;
  batch.zone = ZoneName(text_of(object, "zone"));
  batch.loads = loads_of(object.at("loads"));
  batch.limits = limits_of(object);
  for (const json::value& heartbeat : object.at("heartbeats").as_array()) {
    batch.heartbeats.push_back(heartbeat_of(heartbeat.as_object()));
  }
  return batch;
}

}  // namespace

std::string encode_heartbeat(const fleet::Heartbeat& heartbeat) {
  return json::serialize(heartbeat_object(heartbeat));
}

std::string encode_heartbeat_batch(const fleet::HeartbeatBatch& batch) {
  json::array heartbeats;
  for (const fleet::Heartbeat& heartbeat : batch.heartbeats) {
    heartbeats.push_back(heartbeat_object(heartbeat));
  }
  json::object object = {{"heartbeats", std::move(heartbeats)},
                         {"zone", batch.zone.str()},
                         {"loads", loads_array(batch.loads)}};
  if (!batch.limits.empty()) object["limits"] = limits_array(batch.limits);
  if (batch.forward_within_zone) object["relay"] = true;
  return json::serialize(object);
}

std::string encode_map_change(const fleet::MapChange& change) {
  json::object object = {
      {"map", change.service.str()},
      {"base", change.base.revision.value},
      {"revision", change.position.revision.value},
      {"coordinator", change.coordinator.str()},
      {"coordinator_incarnation", change.coordinator_incarnation.value},
      {"term", change.term.value},
      {"next_epoch", change.last_epoch.value},
      {"ranges", ranges_array(change.ranges)}};
  if (change.states_era) {
    object["era"] = change.position.era.value;
    object["base_era"] = change.base.era.value;
  }
  if (change.grants_lost) object["grants_lost"] = true;
  add_replaced_coordinators(change.replaced_coordinators, object);
  if (change.forward_within_zone) object["relay"] = true;
  return json::serialize(object);
}

Result<DaemonMessage> decode_datagram(std::string_view text) {
  return parse_object<DaemonMessage>(
      text, "message", [](const json::object& object) {
        if (object.if_contains("map") != nullptr) {
          return DaemonMessage(change_of(object));
        }
        if (object.if_contains("as_of") != nullptr) {
          return DaemonMessage(store_update_of(object));
        }
        if (object.if_contains("heartbeats") != nullptr) {
          return DaemonMessage(heartbeat_batch_of(object));
        }
        return DaemonMessage(heartbeat_of(object));
      });
}

std::string encode_owner_map(const fleet::OwnerMap& map) {
  json::object object = {
      {"service", map.service.str()},
      {"coordinator", map.coordinator.str()},
      {"coordinator_incarnation", map.coordinator_incarnation.value},
      {"term", map.term.value},
      {"next_epoch", map.last_epoch.value},
      {"ranges", ranges_array(map.ranges)},
      {"era", map.era.value}};
  if (map.grants_lost) object["grants_lost"] = true;
  add_replaced_coordinators(map.replaced_coordinators, object);
  return json::serialize(object);
}

Result<fleet::OwnerMap> decode_owner_map(std::string_view text,
                                         StoreEra unstated) {
  return parse_object<fleet::OwnerMap>(text, "owner map",
                                       [unstated](const json::object& object) {
                                         return map_of(object, unstated);
                                       });
}

std::string encode_strikes(const std::vector<fleet::Strike>& strikes,
                           WallTime now) {
  json::array entries;
  for (const fleet::Strike& strike : strikes) {
    entries.push_back(json::array{strike.request.value,
                                  server_incarnation_array(strike.server),
                                  to_ms(now - strike.age)});
  }
  return json::serialize(json::object{{"strikes", std::move(entries)}});
}

Result<std::vector<fleet::Strike>> decode_strikes(std::string_view text,
                                                  WallTime now) {
  return parse_object<std::vector<fleet::Strike>>(
      text, "strikes", [now](const json::object& object) {
        std::vector<fleet::Strike> strikes;
        for (const json::value& entry : object.at("strikes").as_array()) {
          const json::array& parts = entry.as_array();
          auto age_ms = to_ms(now) - parts.at(2).to_number<std::int64_t>();
          strikes.push_back({fleet::Fingerprint(number(parts.at(0))),
                             server_incarnation_of(parts.at(1)),
                             milliseconds(std::max<std::int64_t>(0, age_ms))});
        }
        return strikes;
      });
}

std::string encode_daemon(const fleet::DaemonRecord& daemon) {
  return json::serialize(daemon_object(daemon));
}

Result<fleet::DaemonRecord> decode_daemon(std::string_view text) {
  return parse_object<fleet::DaemonRecord>(text, "daemon", daemon_of);
}

}  // namespace eelgrasspin::codec
