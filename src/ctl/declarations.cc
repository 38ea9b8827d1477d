#include "ctl/declarations.h"

#include <iostream>
#include <map>
#include <optional>

#include "codec/message_json.h"
#include "config/ini.h"
#include "config/settings.h"
#include "ctl/files.h"
#include "ctl/print.h"

namespace eelgrasspin::ctl {
namespace {

using Values = std::map<std::string, std::string>;

/// Values of each section, from canonical text.
std::map<std::string, Values> sections_of(const std::string& ini) {
  std::map<std::string, Values> sections;
  for (const config::IniSection& section : config::read_ini(ini, "").sections) {
    Values& values = sections[section.title];
    for (const config::IniValue& value : section.values) {
      values[value.name] = value.value;
    }
  }
  return sections;
}

struct Checked {
  std::string source;
  Declarations declarations;
};

/// The checked file; prints every finding if there is one.
std::optional<Checked> read_checked(const std::string& file) {
  std::optional<std::string> text = read_file(file);
  if (!text) {
    std::cerr << "eelctl: cannot read " << file << "\n";
    return std::nullopt;
  }
  auto checked = config::read_declarations(*text, file);
  if (auto* findings = std::get_if<std::vector<Finding>>(&checked)) {
    for (const Finding& finding : *findings) {
      std::cerr << to_string(finding) << "\n";
    }
    return std::nullopt;
  }
  return Checked{*text, std::get<Declarations>(std::move(checked))};
}

/// The declarations in force, empty if there are none or this version cannot
/// read them.
Declarations parsed(const InForce& in_force) {
  auto read = config::read_declarations(in_force.text, "declarations");
  auto* declarations = std::get_if<Declarations>(&read);
  return declarations == nullptr ? Declarations{} : std::move(*declarations);
}

std::vector<std::string> changes(const InForce& in_force,
                                 const Declarations& wanted) {
  std::string before = in_force.version.value == 0
                           ? ""
                           : config::print_declarations(parsed(in_force));
  return differences(before, config::print_declarations(wanted));
}

bool report_forbidden(const InForce& in_force, const Declarations& wanted,
                      const std::string& file) {
  if (in_force.version.value == 0) return false;
  auto findings = config::check_change(parsed(in_force), wanted, file);
  for (const Finding& finding : findings) {
    std::cerr << to_string(finding) << "\n";
  }
  return !findings.empty();
}

int report(const Failure& failure) {
  std::cerr << "eelctl: " << failure.message << "\n";
  return failure.code;
}

/// Whether a change whose answer was lost is in force, by reading again.
Answer settle(Client& client, const Checked& wanted, const Failure& lost) {
  auto now = client.declarations();
  const auto* in_force = std::get_if<InForce>(&now);
  if (in_force == nullptr || in_force->text != wanted.source) return lost;
  CommandAnswer answer;
  answer.version = in_force->version;
  answer.message =
      "accepted as version " + std::to_string(in_force->version.value);
  return answer;
}

}  // namespace

std::vector<std::string> differences(const std::string& before_ini,
                                     const std::string& after_ini) {
  auto before = sections_of(before_ini);
  auto after = sections_of(after_ini);
  std::vector<std::string> out;
  for (const auto& [title, values] : before) {
    if (!after.contains(title)) out.push_back("- [" + title + "]");
  }
  for (const auto& [title, values] : after) {
    auto old = before.find(title);
    if (old == before.end()) {
      out.push_back("+ [" + title + "]");
      continue;
    }
    for (const auto& [name, value] : values) {
      const std::string& was = old->second[name];
      if (was == value) continue;
      std::string line = "~ [";
      line.append(title).append("] ").append(name).append(": ");
      line.append(was).append(" -> ").append(value);
      out.push_back(std::move(line));
    }
  }
  return out;
}

int check(const std::string& file) {
  if (!read_checked(file)) return kBadInput;
  std::cout << file << ": ok\n";
  return kDone;
}

int diff(Client& client, const std::string& file) {
  auto wanted = read_checked(file);
  if (!wanted) return kBadInput;
  auto got = client.declarations();
  if (auto* failure = std::get_if<Failure>(&got)) return report(*failure);
  const auto& in_force = std::get<InForce>(got);
  std::cout << "version " << in_force.version << "\n";
  for (const std::string& line : changes(in_force, wanted->declarations)) {
    std::cout << line << "\n";
  }
  bool forbidden = report_forbidden(in_force, wanted->declarations, file);
  return forbidden ? kBadInput : kDone;
}

int apply(Client& client, const Options& options, const std::string& file) {
  auto wanted = read_checked(file);
  if (!wanted) return kBadInput;
  auto got = client.declarations();
  if (auto* failure = std::get_if<Failure>(&got)) return report(*failure);
  const auto& in_force = std::get<InForce>(got);
  if (report_forbidden(in_force, wanted->declarations, file)) return kBadInput;
  Version base = options.base.value_or(in_force.version);
  Answer answer = client.apply(wanted->source, file, base);
  if (auto* lost = std::get_if<Failure>(&answer)) {
    answer = settle(client, *wanted, Failure(*lost));
  }
  if (auto* failure = std::get_if<Failure>(&answer)) return report(*failure);
  const auto& accepted = std::get<CommandAnswer>(answer);
  std::cout << (options.json ? codec::encode_answer(accepted) + "\n"
                             : to_text(accepted));
  return exit_code_of(accepted, false);
}

}  // namespace eelgrasspin::ctl
