#include "config/settings.h"

#include <algorithm>
#include <set>

#include "config/declarations_fields.h"
#include "config/values.h"
#include "lang/names.h"

namespace eelgrasspin::config {
namespace {

constexpr std::size_t kMinTokenBytes = 8;

const std::vector<std::string>& section_names() {
  static const std::vector<std::string> kNames = {"daemon", "platform",
                                                  "operators", "log"};
  return kNames;
}

void read_daemon(ValueReader& reader, Settings& out) {
  reader.name("name", out.name, Presence::kRequired);
  reader.name("zone", out.zone, Presence::kRequired);
  reader.name("region", out.region, Presence::kRequired);
  reader.endpoint("callers", out.callers, Presence::kRequired);
  reader.endpoint("peers", out.peers, Presence::kRequired);
  reader.endpoint("operators", out.operators, Presence::kRequired);
  reader.endpoints("seeds", out.seeds);
}

void read_platform(ValueReader& reader, Settings& out) {
  reader.endpoint("store", out.store, Presence::kRequired);
  reader.endpoint("vms", out.vm_list, Presence::kRequired);
}

void read_log(ValueReader& reader, Settings& out) {
  static const Choices<std::string> kLevels = {{"debug", "debug"},
                                               {"info", "info"},
                                               {"warning", "warning"},
                                               {"error", "error"}};
  reader.choice("level", out.log_level, kLevels, Presence::kRequired);
}

/// Reads the sections of one text into Settings.
class SettingsReader {
 public:
  SettingsReader(std::string_view text, const std::string& file)
      : file_(file), ini_(read_ini(text, file)), findings_(ini_.findings) {}

  Checked<Settings> build() {
    for (const IniSection& section : ini_.sections) read_section(section);
    for (const char* required : {"daemon", "platform", "operators"}) {
      if (!seen_sections_.contains(required)) {
        report(0, "no [" + std::string(required) + "] section", "");
      }
    }
    if (findings_.empty()) return std::move(out_);
    std::stable_sort(
        findings_.begin(), findings_.end(),
        [](const Finding& a, const Finding& b) { return a.line < b.line; });
    return std::move(findings_);
  }

 private:
  void read_section(const IniSection& section) {
    const auto& names = section_names();
    if (std::count(names.begin(), names.end(), section.title) == 0) {
      return report(section.line, "unknown section [" + section.title + "]",
                    lang::name_hint(section.title, names));
    }
    if (!seen_sections_.insert(section.title).second) {
      return report(section.line, "[" + section.title + "] is given twice",
                    "keep one");
    }
    if (section.title == "operators") return read_operators(section);
    ValueReader reader(section, file_, findings_);
    if (section.title == "daemon") {
      read_daemon(reader, out_);
      check_ports(reader);
    } else if (section.title == "platform") {
      read_platform(reader, out_);
    } else {
      read_log(reader, out_);
    }
    reader.finish();
  }

  void check_ports(const ValueReader& reader) {
    std::set<Endpoint> seen_endpoints;
    const std::pair<const char*, Endpoint> ports[] = {
        {"callers", out_.callers},
        {"peers", out_.peers},
        {"operators", out_.operators}};
    for (const auto& [name, endpoint] : ports) {
      if (endpoint.empty() || seen_endpoints.insert(endpoint).second) continue;
      report(reader.line_of(name),
             std::string(name) + " = " + endpoint.str() + " is taken",
             "a port of its own");
    }
  }

  void read_operators(const IniSection& section) {
    for (const IniValue& value : section.values) {
      if (!lang::is_name(value.name)) {
        report(value.line, value.name + ": not a name",
               "letters, digits, '.', '_' and '-'");
      } else if (value.value.size() < kMinTokenBytes) {
        report(value.line, "token of " + value.name + " is too short",
               "at least " + std::to_string(kMinTokenBytes) + " bytes");
      } else if (!out_.tokens.emplace(OperatorName(value.name), value.value)
                      .second) {
        report(value.line, value.name + " is given twice", "keep one");
      }
    }
    if (section.values.empty()) {
      report(section.line, "no operator", "name = token");
    }
  }

  void report(int line, std::string message, std::string hint) {
    findings_.push_back({file_, line, 0, std::move(message), std::move(hint)});
  }

  const std::string& file_;
  IniText ini_;
  std::vector<Finding> findings_;
  Settings out_;
  std::set<std::string> seen_sections_;
};

/// Appends the names that `read` asks for, each as "section name".
template <class Read>
void add_known_keys(const std::string& section, Read read,
                    std::vector<std::string>& out) {
  static const IniSection kEmpty;
  std::vector<Finding> ignored;
  ValueReader reader(kEmpty, section, ignored);
  read(reader);
  for (const std::string& name : reader.known_names()) {
    std::string key = section;
    key += " ";
    key += name;
    out.push_back(std::move(key));
  }
}

}  // namespace

std::vector<std::string> known_keys() {
  std::vector<std::string> keys;
  Settings settings;
  add_known_keys(
      "daemon", [&](ValueReader& v) { read_daemon(v, settings); }, keys);
  add_known_keys(
      "platform", [&](ValueReader& v) { read_platform(v, settings); }, keys);
  add_known_keys(
      "log", [&](ValueReader& v) { read_log(v, settings); }, keys);
  Declarations declarations;
  ZoneDeclaration zone;
  ServiceDeclaration service;
  Operation operation;
  ServerDeclaration server;
  add_known_keys(
      "deployment", [&](ValueReader& v) { read_deployment(v, declarations); },
      keys);
  add_known_keys(
      "zone", [&](ValueReader& v) { read_zone(v, zone); }, keys);
  add_known_keys(
      "service", [&](ValueReader& v) { read_service(v, service); }, keys);
  add_known_keys(
      "operation", [&](ValueReader& v) { read_operation(v, operation); }, keys);
  add_known_keys(
      "server", [&](ValueReader& v) { read_server(v, server); }, keys);
  return keys;
}

Checked<Settings> read_settings(std::string_view text,
                                const std::string& file) {
  return SettingsReader(text, file).build();
}

}  // namespace eelgrasspin::config
