#include "config/settings.h"

namespace eelgrasspin::config {

std::vector<Finding> check_change(const Declarations& before,
                                  const Declarations& after,
                                  const std::string& file) {
  std::vector<Finding> findings;
  auto report = [&](std::string message, std::string hint) {
    findings.push_back({file, 0, 0, std::move(message), std::move(hint)});
  };
  if (after.deployment != before.deployment) {
    report("deployment " + after.deployment + " replaces " + before.deployment,
           "name = " + before.deployment);
  }
  if (after.schema < before.schema) {
    report("schema regresses from " + std::to_string(before.schema) + " to " +
               std::to_string(after.schema),
           "schema = " + std::to_string(before.schema));
  }
  for (const auto& [name, old_service] : before.services) {
    auto after_entry = after.services.find(name);
    if (after_entry == after.services.end()) continue;
    if (after_entry->second.key_slots == old_service.key_slots) continue;
    report("service " + name.str() + ": key_slots cannot change from " +
               std::to_string(old_service.key_slots),
           "another service name");
  }
  for (const auto& [name, old_server] : before.servers) {
    auto after_entry = after.servers.find(name);
    if (after_entry == after.servers.end()) continue;
    if (after_entry->second.service == old_server.service &&
        after_entry->second.zone == old_server.zone) {
      continue;
    }
    report("server " + name.str() + " cannot change from service " +
               old_server.service.str() + " in zone " + old_server.zone.str(),
           "another server name");
  }
  return findings;
}

}  // namespace eelgrasspin::config
