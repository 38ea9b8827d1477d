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

using SectionValues = std::map<std::string, std::string>;

/// Values by section title and name, from INI text in canonical form.
std::map<std::string, SectionValues> parse_sections(const std::string& ini) {
  std::map<std::string, SectionValues> sections;
  for (const config::IniSection& section : config::read_ini(ini, "").sections) {
    SectionValues& values = sections[section.title];
    for (const config::IniValue& value : section.values) {
      values[value.name] = value.value;
    }
  }
  return sections;
}

struct CheckedFile {
  std::string source;
  Declarations declarations;
};

/// Reads and checks a declarations file. Prints the findings if there are any.
std::optional<CheckedFile> read_checked_file(const std::string& file) {
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
  return CheckedFile{*text, std::get<Declarations>(std::move(checked))};
}

/// The declarations in force, empty if there are none or this version cannot
/// read them.
Declarations parse_current(const CurrentDeclarations& current) {
  auto read = config::read_declarations(current.text, "declarations");
  auto* declarations = std::get_if<Declarations>(&read);
  return declarations == nullptr ? Declarations{} : std::move(*declarations);
}

std::vector<std::string> list_changes(const CurrentDeclarations& current,
                                      const Declarations& proposed) {
  std::string before = current.version.value == 0
                           ? ""
                           : config::print_declarations(parse_current(current));
  return differences(before, config::print_declarations(proposed));
}

/// Prints changes that are not allowed. Returns whether there are any.
bool print_forbidden_changes(const CurrentDeclarations& current,
                             const Declarations& proposed,
                             const std::string& file) {
  if (current.version.value == 0) return false;
  auto findings = config::check_change(parse_current(current), proposed, file);
  for (const Finding& finding : findings) {
    std::cerr << to_string(finding) << "\n";
  }
  return !findings.empty();
}

int print_failure(const Failure& failure) {
  std::cerr << "eelctl: " << failure.message << "\n";
  return failure.code;
}

/// For a change whose answer was lost: reads the declarations again, and
/// returns success if their text is that of the file.
Answer resolve_lost_answer(Client& client, const CheckedFile& proposed,
                           const Failure& lost) {
  auto refetched = client.fetch_declarations();
  const auto* current = std::get_if<CurrentDeclarations>(&refetched);
  if (current == nullptr || current->text != proposed.source) return lost;
  CommandAnswer answer;
  answer.version = current->version;
  answer.message =
      "accepted as version " + std::to_string(current->version.value);
  return answer;
}

}  // namespace

std::vector<std::string> differences(const std::string& before_ini,
                                     const std::string& after_ini) {
  auto before = parse_sections(before_ini);
  auto after = parse_sections(after_ini);
  std::vector<std::string> out;
  for (const auto& [title, values] : before) {
    if (!after.contains(title)) out.push_back("- [" + title + "]");
  }
  for (const auto& [title, values] : after) {
    auto old_section = before.find(title);
    if (old_section == before.end()) {
      out.push_back("+ [" + title + "]");
      continue;
    }
    for (const auto& [name, value] : values) {
      const std::string& old_value = old_section->second[name];
      if (old_value == value) continue;
      std::string line = "~ [";
      line.append(title).append("] ").append(name).append(": ");
      line.append(old_value).append(" -> ").append(value);
      out.push_back(std::move(line));
    }
  }
  return out;
}

int check(const std::string& file) {
  if (!read_checked_file(file)) return kBadInput;
  std::cout << file << ": ok\n";
  return kDone;
}

int diff(Client& client, const std::string& file) {
  auto proposed = read_checked_file(file);
  if (!proposed) return kBadInput;
  auto result = client.fetch_declarations();
  if (auto* failure = std::get_if<Failure>(&result))
    return print_failure(*failure);
  const auto& current = std::get<CurrentDeclarations>(result);
  std::cout << "version " << current.version << "\n";
  for (const std::string& line :
       list_changes(current, proposed->declarations)) {
    std::cout << line << "\n";
  }
  bool forbidden =
      print_forbidden_changes(current, proposed->declarations, file);
  return forbidden ? kBadInput : kDone;
}

int apply(Client& client, const Options& options, const std::string& file) {
  auto proposed = read_checked_file(file);
  if (!proposed) return kBadInput;
  auto result = client.fetch_declarations();
  if (auto* failure = std::get_if<Failure>(&result))
    return print_failure(*failure);
  const auto& current = std::get<CurrentDeclarations>(result);
  if (print_forbidden_changes(current, proposed->declarations, file))
    return kBadInput;
  Version base_version = options.base_version.value_or(current.version);
  Answer answer = client.apply(proposed->source, file, base_version);
  if (auto* lost = std::get_if<Failure>(&answer)) {
    answer = resolve_lost_answer(client, *proposed, Failure(*lost));
  }
  if (auto* failure = std::get_if<Failure>(&answer))
    return print_failure(*failure);
  const auto& command_answer = std::get<CommandAnswer>(answer);
  std::cout << (options.json ? codec::encode_answer(command_answer) + "\n"
                             : to_text(command_answer));
  return exit_code_for(command_answer, false);
}

}  // namespace eelgrasspin::ctl
