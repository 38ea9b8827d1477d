#include "config/settings.h"

#include <algorithm>
#include <set>

#include "config/declarations_fields.h"
#include "config/values.h"
#include "lang/names.h"

namespace eelgrasspin::config {
namespace {

constexpr std::size_t kLeastTokenBytes = 8;

const std::vector<std::string>& section_names() {
  static const std::vector<std::string> kNames = {"daemon", "platform",
                                                  "operators", "log"};
  return kNames;
}

void read_daemon(Values& values, Settings& out) {
  values.name("name", out.name, Presence::kRequired);
  values.name("zone", out.zone, Presence::kRequired);
  values.name("region", out.region, Presence::kRequired);
  values.endpoint("callers", out.callers, Presence::kRequired);
  values.endpoint("peers", out.peers, Presence::kRequired);
  values.endpoint("operators", out.operators, Presence::kRequired);
  values.endpoints("seeds", out.seeds);
}

void read_platform(Values& values, Settings& out) {
  values.endpoint("store", out.store, Presence::kRequired);
  values.endpoint("vms", out.vm_list, Presence::kRequired);
}

void read_log(Values& values, Settings& out) {
  static const Choices<std::string> kLevels = {{"debug", "debug"},
                                               {"info", "info"},
                                               {"warning", "warning"},
                                               {"error", "error"}};
  values.choice("level", out.log_level, kLevels, Presence::kRequired);
}

class Builder {
 public:
  Builder(std::string_view text, const std::string& file)
      : file_(file), ini_(read_ini(text, file)), findings_(ini_.findings) {}

  Checked<Settings> build() {
    for (const IniSection& section : ini_.sections) read_section(section);
    for (const char* required : {"daemon", "platform", "operators"}) {
      if (!seen_.contains(required)) {
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
    if (!seen_.insert(section.title).second) {
      return report(section.line, "[" + section.title + "] is given twice",
                    "keep one");
    }
    if (section.title == "operators") return read_operators(section);
    Values values(section, file_, findings_);
    if (section.title == "daemon") {
      read_daemon(values, out_);
      check_ports(values);
    } else if (section.title == "platform") {
      read_platform(values, out_);
    } else {
      read_log(values, out_);
    }
    values.finish();
  }

  void check_ports(const Values& values) {
    std::set<Endpoint> taken;
    const std::pair<const char*, Endpoint> ports[] = {
        {"callers", out_.callers},
        {"peers", out_.peers},
        {"operators", out_.operators}};
    for (const auto& [name, endpoint] : ports) {
      if (endpoint.empty() || taken.insert(endpoint).second) continue;
      report(values.line_of(name),
             std::string(name) + " = " + endpoint.str() + " is taken",
             "a port of its own");
    }
  }

  void read_operators(const IniSection& section) {
    for (const IniValue& value : section.values) {
      if (!lang::is_name(value.name)) {
        report(value.line, value.name + ": not a name",
               "letters, digits, '.', '_' and '-'");
      } else if (value.value.size() < kLeastTokenBytes) {
        report(value.line, "token of " + value.name + " is too short",
               "at least " + std::to_string(kLeastTokenBytes) + " bytes");
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
  std::set<std::string> seen_;
};

/// Names that `read` asks for, each after its section.
template <class Read>
void add_known(const std::string& section, Read read,
               std::vector<std::string>& out) {
  static const IniSection kEmpty;
  std::vector<Finding> ignored;
  Values values(kEmpty, section, ignored);
  read(values);
  for (const std::string& name : values.known()) {
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
  add_known(
      "daemon", [&](Values& v) { read_daemon(v, settings); }, keys);
  add_known(
      "platform", [&](Values& v) { read_platform(v, settings); }, keys);
  add_known(
      "log", [&](Values& v) { read_log(v, settings); }, keys);
  Declarations all;
  ZoneDeclaration zone;
  ServiceDeclaration service;
  Operation operation;
  ServerDeclaration server;
  add_known(
      "deployment", [&](Values& v) { read_deployment(v, all); }, keys);
  add_known(
      "zone", [&](Values& v) { read_zone(v, zone); }, keys);
  add_known(
      "service", [&](Values& v) { read_service(v, service); }, keys);
  add_known(
      "operation", [&](Values& v) { read_operation(v, operation); }, keys);
  add_known(
      "server", [&](Values& v) { read_server(v, server); }, keys);
  return keys;
}

Checked<Settings> read_settings(std::string_view text,
                                const std::string& file) {
  return Builder(text, file).build();
}

}  // namespace eelgrasspin::config
