#include <algorithm>
#include <bit>
#include <map>
#include <set>
#include <sstream>

#include "config/declarations_fields.h"
#include "config/ini.h"
#include "config/settings.h"
#include "lang/names.h"

namespace eelgrasspin::config {
namespace {

constexpr std::string_view kKeyPlaceholder = "{key}";

template <class M>
std::vector<std::string> names_of(const M& map) {
  std::vector<std::string> names;
  names.reserve(map.size());
  for (const auto& [name, declared] : map) names.push_back(name.str());
  return names;
}

/// Whether `path` starts with '/' and has exactly one segment {key}, no other
/// braces, no query, no fragment and no space.
bool is_valid_path_pattern(const std::string& path) {
  if (!path.starts_with('/')) return false;
  std::size_t keys = 0;
  std::istringstream segments(path.substr(1));
  std::string segment;
  while (std::getline(segments, segment, '/')) {
    if (segment == kKeyPlaceholder) {
      ++keys;
    } else if (segment.find_first_of("{}?# \t") != std::string::npos) {
      return false;
    }
  }
  return keys == 1;
}

/// Reads the sections of one text and checks them against each other.
class DeclarationsReader {
 public:
  DeclarationsReader(std::string_view text, const std::string& file)
      : file_(file) {
    out_.source = std::string(text);
    ini_ = read_ini(text, file);
    findings_ = ini_.findings;
  }

  Checked<Declarations> build() {
    for (const IniSection& section : ini_.sections) read_section(section);
    if (!lines_.contains("deployment")) {
      report(0, "no [deployment] section", "name and schema");
    }
    check_zones();
    check_operations();
    check_services();
    check_servers();
    if (findings_.empty()) return std::move(out_);
    std::stable_sort(
        findings_.begin(), findings_.end(),
        [](const Finding& a, const Finding& b) { return a.line < b.line; });
    return std::move(findings_);
  }

 private:
  struct PendingOperation {
    ServiceName service;
    Operation operation;
    int line = 0;
  };

  void read_section(const IniSection& section) {
    std::istringstream words(section.title);
    std::vector<std::string> title;
    std::string word;
    while (words >> word) title.push_back(word);
    std::string kind = title.empty() ? "" : title[0];
    std::size_t name_count = kind == "deployment"  ? 0
                             : kind == "operation" ? 2
                                                   : 1;
    static const std::vector<std::string> kKinds = {
        "deployment", "region", "zone", "service", "operation", "server"};
    if (std::count(kKinds.begin(), kKinds.end(), kind) == 0) {
      return report(section.line, "unknown section [" + section.title + "]",
                    lang::name_hint(kind, kKinds));
    }
    if (title.size() != name_count + 1) {
      return report(section.line,
                    "[" + section.title + "] has " +
                        std::to_string(title.size() - 1) + " names",
                    name_count == 0   ? "[deployment]"
                    : name_count == 1 ? "[" + kind + " NAME]"
                                      : "[operation SERVICE NAME]");
    }
    if (!std::all_of(title.begin() + 1, title.end(), lang::is_name)) {
      return report(section.line, "[" + section.title + "]: not a name",
                    "letters, digits, '.', '_' and '-'");
    }
    auto [known, added] = lines_.emplace(lang::join(title), section.line);
    if (!added) {
      return report(section.line, "[" + section.title + "] is given twice",
                    "first in line " + std::to_string(known->second));
    }
    read_values(section, title);
  }

  void read_values(const IniSection& section,
                   const std::vector<std::string>& title) {
    ValueReader reader(section, file_, findings_);
    const std::string& kind = title[0];
    if (kind == "deployment") {
      read_deployment(reader, out_);
    } else if (kind == "region") {
      read_region(reader);
      regions_.insert(RegionName(title[1]));
    } else if (kind == "zone") {
      ZoneDeclaration& zone = out_.zones[ZoneName(title[1])];
      zone.name = ZoneName(title[1]);
      read_zone(reader, zone);
    } else if (kind == "service") {
      ServiceDeclaration& service = out_.services[ServiceName(title[1])];
      service.name = ServiceName(title[1]);
      read_service(reader, service);
    } else if (kind == "operation") {
      PendingOperation pending{ServiceName(title[1]), {title[2]}, section.line};
      read_operation(reader, pending.operation);
      operations_.push_back(std::move(pending));
    } else {
      ServerDeclaration& server = out_.servers[ServerName(title[1])];
      server.name = ServerName(title[1]);
      read_server(reader, server);
    }
    reader.finish();
  }

  void check_zones() {
    std::vector<std::string> regions;
    for (const RegionName& region : regions_) regions.push_back(region.str());
    for (const auto& [name, zone] : out_.zones) {
      if (zone.region.empty() || regions_.contains(zone.region)) continue;
      report(line_of("zone", name.str()),
             "zone " + name.str() + ": no region " + zone.region.str(),
             lang::name_hint(zone.region.str(), regions));
    }
  }

  void check_operations() {
    std::map<std::string, std::string> names_by_route;
    for (PendingOperation& pending : operations_) {
      const Operation& operation = pending.operation;
      std::string label =
          "operation " + pending.service.str() + " " + operation.name;
      if (!operation.path.empty() && !is_valid_path_pattern(operation.path)) {
        report(pending.line, label + ": path " + operation.path,
               "starts with '/' and has exactly one segment {key}");
      }
      std::string route =
          pending.service.str() + " " + operation.method + " " + operation.path;
      auto [first, added] = names_by_route.emplace(route, operation.name);
      if (!added && !operation.path.empty()) {
        report(pending.line,
               label + ": same method and path as " + first->second,
               "one operation for each");
      }
      auto service = out_.services.find(pending.service);
      if (service == out_.services.end()) {
        report(pending.line, label + ": no service " + pending.service.str(),
               lang::name_hint(pending.service.str(), names_of(out_.services)));
      } else {
        service->second.operations.push_back(operation);
      }
    }
  }

  void check_services() {
    if (out_.services.empty()) report(0, "no service", "[service NAME]");
    for (const auto& [name, service] : out_.services) {
      int line = line_of("service", name.str());
      std::string label = "service " + name.str();
      if (!std::has_single_bit(service.key_slots)) {
        report(line, label + ": key_slots is not a power of two",
               "such as " + std::to_string(std::bit_ceil(service.key_slots)));
      }
      if (service.operations.empty()) {
        report(line, label + " has no operation",
               "[operation " + name.str() + " NAME]");
      }
      bool has_server = false;
      for (const auto& [server_name, server] : out_.servers) {
        has_server = has_server || server.service == name;
      }
      if (!has_server) {
        report(line, label + " has no server", "[server NAME]");
      }
    }
  }

  void check_servers() {
    std::map<Endpoint, ServerName> addresses;
    for (const auto& [name, server] : out_.servers) {
      int line = line_of("server", name.str());
      std::string label = "server " + name.str();
      if (!server.service.empty() && !out_.services.contains(server.service)) {
        report(line, label + ": no service " + server.service.str(),
               lang::name_hint(server.service.str(), names_of(out_.services)));
      }
      if (!server.zone.empty() && !out_.zones.contains(server.zone)) {
        report(line, label + ": no zone " + server.zone.str(),
               lang::name_hint(server.zone.str(), names_of(out_.zones)));
      }
      if (server.address.empty()) continue;
      auto [first, added] = addresses.emplace(server.address, name);
      if (!added) {
        report(line,
               label + ": address " + server.address.str() + " is that of " +
                   first->second.str(),
               "an address of its own");
      }
    }
  }

  int line_of(const std::string& kind, const std::string& name) const {
    auto it = lines_.find(lang::join({kind, name}));
    return it == lines_.end() ? 0 : it->second;
  }

  void report(int line, std::string message, std::string hint) {
    findings_.push_back({file_, line, 0, std::move(message), std::move(hint)});
  }

  const std::string& file_;
  IniText ini_;
  Declarations out_;
  std::vector<Finding> findings_;
  std::map<std::string, int> lines_;  ///< Line of each section, by its title.
  std::set<RegionName> regions_;
  std::vector<PendingOperation> operations_;
};

}  // namespace

Checked<Declarations> read_declarations(std::string_view text,
                                        const std::string& file) {
  return DeclarationsReader(text, file).build();
}

}  // namespace eelgrasspin::config
