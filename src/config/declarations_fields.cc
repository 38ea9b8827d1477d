#include "config/declarations_fields.h"

namespace eelgrasspin::config {
namespace {

constexpr std::uint32_t kMaxQueueLimit = 100'000;
constexpr std::uint32_t kMaxMovesPerMinute = 100'000;
constexpr std::uint32_t kMaxConcurrency = 10'000;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr Duration kMinRequestTime = milliseconds(1);
constexpr Duration kMinYieldAfter = seconds(10);
constexpr Duration kMaxYieldAfter = std::chrono::hours(24);
constexpr Duration kMaxConnectionInterval = seconds(1);

}  // namespace

const Choices<IsolationPolicy>& isolation_choices() {
  static const Choices<IsolationPolicy> kChoices = {
      {"keep", IsolationPolicy::kKeep}, {"yield", IsolationPolicy::kYield}};
  return kChoices;
}

const Choices<StoreDownPolicy>& store_down_choices() {
  static const Choices<StoreDownPolicy> kChoices = {
      {"refuse", StoreDownPolicy::kRefuse},
      {"front_ledger", StoreDownPolicy::kFrontLedger}};
  return kChoices;
}

const Choices<ExecutionClass>& execution_class_choices() {
  static const Choices<ExecutionClass> kChoices = {
      {"read", ExecutionClass::kRead},
      {"idempotent", ExecutionClass::kIdempotent},
      {"at_most_once", ExecutionClass::kAtMostOnce}};
  return kChoices;
}

void read_deployment(ValueReader& reader, Declarations& out) {
  Name<struct DeploymentTag> name;
  reader.name("name", name, Presence::kRequired);
  out.deployment = name.str();
  reader.number("schema", out.schema, kSchemaVersion, kSchemaVersion,
                Presence::kRequired);
}

void read_region(ValueReader&) {}

void read_zone(ValueReader& reader, ZoneDeclaration& out) {
  reader.name("region", out.region, Presence::kRequired);
}

void read_service(ValueReader& reader, ServiceDeclaration& out) {
  reader.number("key_slots", out.key_slots, 1, kMaxKeySlots,
                Presence::kOptional);
  reader.duration("deadline", out.deadline, kMinRequestTime, kMaxDeadline);
  reader.duration("execution_limit", out.execution_limit, kMinRequestTime,
                  kMaxDeadline);
  reader.number("queue_limit", out.queue_limit, 0, kMaxQueueLimit,
                Presence::kOptional);
  reader.choice("on_isolation", out.on_isolation, isolation_choices(),
                Presence::kOptional);
  reader.duration("yield_after", out.yield_after, kMinYieldAfter,
                  kMaxYieldAfter);
  reader.choice("when_store_down", out.when_store_down, store_down_choices(),
                Presence::kOptional);
  reader.weight("weight_imbalance", out.weights.imbalance);
  reader.weight("weight_churn", out.weights.churn);
  reader.weight("weight_unavailable", out.weights.unavailable);
  reader.number("moves_per_minute", out.weights.moves_per_minute, 0,
                kMaxMovesPerMinute, Presence::kOptional);
}

void read_operation(ValueReader& reader, Operation& out) {
  static const Choices<std::string> kMethods = {
      {"GET", "GET"}, {"HEAD", "HEAD"},     {"POST", "POST"},
      {"PUT", "PUT"}, {"DELETE", "DELETE"}, {"PATCH", "PATCH"}};
  reader.choice("method", out.method, kMethods, Presence::kRequired);
  reader.text("path", out.path, Presence::kRequired);
  reader.choice("class", out.execution_class, execution_class_choices(),
                Presence::kRequired);
}

void read_server(ValueReader& reader, ServerDeclaration& out) {
  reader.name("service", out.service, Presence::kRequired);
  reader.name("zone", out.zone, Presence::kRequired);
  reader.endpoint("address", out.address, Presence::kRequired);
  reader.number("slots", out.concurrency, 1, kMaxConcurrency,
                Presence::kOptional);
  reader.number("connections", out.connections, 1, kMaxConnections,
                Presence::kOptional);
  reader.duration("connection_interval", out.connection_interval, Duration(0),
                  kMaxConnectionInterval);
  reader.yes_or_no("checks_grants", out.checks_grants);
}

}  // namespace eelgrasspin::config
