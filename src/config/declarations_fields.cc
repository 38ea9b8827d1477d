#include "config/declarations_fields.h"

namespace eelgrasspin::config {
namespace {

constexpr std::uint32_t kMaxQueueLimit = 100'000;
constexpr std::uint32_t kMaxMovesPerMinute = 100'000;
constexpr std::uint32_t kMaxConcurrency = 10'000;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr Duration kLeastTime = milliseconds(1);
constexpr Duration kLeastYieldAfter = seconds(10);
constexpr Duration kMostYieldAfter = std::chrono::hours(24);
constexpr Duration kMostConnectionInterval = seconds(1);

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

void read_deployment(Values& values, Declarations& out) {
  Name<struct DeploymentTag> name;
  values.name("name", name, Presence::kRequired);
  out.deployment = name.str();
  values.number("schema", out.schema, kSchema, kSchema, Presence::kRequired);
}

void read_region(Values&) {}

void read_zone(Values& values, ZoneDeclaration& out) {
  values.name("region", out.region, Presence::kRequired);
}

void read_service(Values& values, ServiceDeclaration& out) {
  values.number("key_slots", out.key_slots, 1, kMaxKeySlots,
                Presence::kOptional);
  values.duration("deadline", out.deadline, kLeastTime, kMaxDeadline);
  values.duration("execution_limit", out.execution_limit, kLeastTime,
                  kMaxDeadline);
  values.number("queue_limit", out.queue_limit, 0, kMaxQueueLimit,
                Presence::kOptional);
  values.choice("on_isolation", out.on_isolation, isolation_choices(),
                Presence::kOptional);
  values.duration("yield_after", out.yield_after, kLeastYieldAfter,
                  kMostYieldAfter);
  values.choice("when_store_down", out.when_store_down, store_down_choices(),
                Presence::kOptional);
  values.weight("weight_imbalance", out.weights.imbalance);
  values.weight("weight_churn", out.weights.churn);
  values.weight("weight_unavailable", out.weights.unavailable);
  values.number("moves_per_minute", out.weights.moves_per_minute, 0,
                kMaxMovesPerMinute, Presence::kOptional);
}

void read_operation(Values& values, Operation& out) {
  static const Choices<std::string> kMethods = {
      {"GET", "GET"}, {"HEAD", "HEAD"},     {"POST", "POST"},
      {"PUT", "PUT"}, {"DELETE", "DELETE"}, {"PATCH", "PATCH"}};
  values.choice("method", out.method, kMethods, Presence::kRequired);
  values.text("path", out.path, Presence::kRequired);
  values.choice("class", out.execution_class, execution_class_choices(),
                Presence::kRequired);
}

void read_server(Values& values, ServerDeclaration& out) {
  values.name("service", out.service, Presence::kRequired);
  values.name("zone", out.zone, Presence::kRequired);
  values.endpoint("address", out.address, Presence::kRequired);
  values.number("slots", out.concurrency, 1, kMaxConcurrency,
                Presence::kOptional);
  values.number("connections", out.connections, 1, kMaxConnections,
                Presence::kOptional);
  values.duration("connection_interval", out.connection_interval, Duration(0),
                  kMostConnectionInterval);
  values.yes_or_no("checks_grants", out.checks_grants);
}

}  // namespace eelgrasspin::config
