#include <array>
#include <charconv>
#include <set>
#include <sstream>

#include "config/declarations_fields.h"
#include "config/settings.h"
#include "lang/lang.h"

namespace eelgrasspin::config {
namespace {

std::string print_weight(double weight) {
  std::array<char, 64> buffer;
  auto [end, code] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), weight);
  return {buffer.data(), end};
}

void print(std::ostream& out, const ServiceDeclaration& service) {
  out << "\n[service " << service.name << "]\n"
      << "key_slots = " << service.key_slots << "\n"
      << "deadline = " << lang::print_duration(service.deadline) << "\n"
      << "execution_limit = " << lang::print_duration(service.execution_limit)
      << "\n"
      << "queue_limit = " << service.queue_limit << "\n"
      << "on_isolation = " << word_of(isolation_choices(), service.on_isolation)
      << "\n"
      << "yield_after = " << lang::print_duration(service.yield_after) << "\n"
      << "when_store_down = "
      << word_of(store_down_choices(), service.when_store_down) << "\n"
      << "weight_imbalance = " << print_weight(service.weights.imbalance)
      << "\n"
      << "weight_churn = " << print_weight(service.weights.churn) << "\n"
      << "weight_unavailable = " << print_weight(service.weights.unavailable)
      << "\n"
      << "moves_per_minute = " << service.weights.moves_per_minute << "\n";
}

void print(std::ostream& out, const ServiceName& service,
           const Operation& operation) {
  out << "\n[operation " << service << " " << operation.name << "]\n"
      << "method = " << operation.method << "\n"
      << "path = " << operation.path << "\n"
      << "class = "
      << word_of(execution_class_choices(), operation.execution_class) << "\n";
}

void print(std::ostream& out, const ServerDeclaration& server) {
  out << "\n[server " << server.name << "]\n"
      << "service = " << server.service << "\n"
      << "zone = " << server.zone << "\n"
      << "address = " << server.address << "\n"
      << "slots = " << server.concurrency << "\n"
      << "connections = " << server.connections << "\n"
      << "connection_interval = "
      << lang::print_duration(server.connection_interval) << "\n"
      << "checks_grants = " << (server.checks_grants ? "yes" : "no") << "\n";
}

}  // namespace

std::string print_declarations(const Declarations& declarations) {
  std::ostringstream out;
  out << "[deployment]\n"
      << "name = " << declarations.deployment << "\n"
      << "schema = " << declarations.schema << "\n";
  std::set<RegionName> regions;
  for (const auto& [name, zone] : declarations.zones) {
    regions.insert(zone.region);
  }
  for (const RegionName& region : regions)
    out << "\n[region " << region << "]\n";
  for (const auto& [name, zone] : declarations.zones) {
    out << "\n[zone " << name << "]\nregion = " << zone.region << "\n";
  }
  for (const auto& [name, service] : declarations.services) {
    print(out, service);
    for (const Operation& operation : service.operations) {
      print(out, name, operation);
    }
  }
  for (const auto& [name, server] : declarations.servers) print(out, server);
  return out.str();
}

}  // namespace eelgrasspin::config
