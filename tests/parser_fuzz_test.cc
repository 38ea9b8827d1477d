#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config/settings.h"
#include "lang/lang.h"

/// Fuzzes the parsers of commands, declarations and settings: each input is
/// accepted, or rejected with findings that have a location and a message.
/// Accepted commands and declarations survive printing and parsing again.
namespace eelgrasspin {
namespace {

/// Number of mutations of a valid text per RapidCheck case.
constexpr int kMutationsPerCase = 20;

using Findings = std::vector<Finding>;

std::string example(const std::string& path) {
  const char* root = std::getenv("EELGRASSPIN_SOURCE");
  std::ifstream in(std::string(root == nullptr ? "." : root) + "/examples/" +
                   path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void check_findings(const Findings& findings) {
  RC_ASSERT(!findings.empty());
  for (const Finding& finding : findings) {
    RC_ASSERT(finding.file == "f");
    RC_ASSERT(finding.line >= 0);
    RC_ASSERT(!finding.message.empty());
  }
}

void check_declarations(const std::string& text) {
  auto checked = config::read_declarations(text, "f");
  if (auto* findings = std::get_if<Findings>(&checked)) {
    return check_findings(*findings);
  }
  std::string printed =
      config::print_declarations(std::get<Declarations>(checked));
  auto reparsed = config::read_declarations(printed, "f");
  RC_ASSERT(std::holds_alternative<Declarations>(reparsed));
  RC_ASSERT(config::print_declarations(std::get<Declarations>(reparsed)) ==
            printed);
}

void check_settings(const std::string& text) {
  auto checked = config::read_settings(text, "f");
  if (auto* findings = std::get_if<Findings>(&checked)) {
    check_findings(*findings);
  }
}

void check_command(const std::string& text) {
  auto checked = lang::parse(text, "f");
  lang::completions(text);
  if (auto* findings = std::get_if<Findings>(&checked)) {
    RC_ASSERT(findings->front().column >= 1);
    return check_findings(*findings);
  }
  const auto& command = std::get<Command>(checked);
  auto reparsed = lang::parse(lang::print(command));
  RC_ASSERT(std::get<Command>(reparsed) == command);
}

/// Applies one to three random changes of bytes or lines to a valid text.
std::string mutated(std::string text) {
  static const std::string kBytes = "[]=:;#\"\\ \n\t{}0a-";
  int changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    std::size_t line_end = std::min(text.find('\n', position), text.size() - 1);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        text[position] = *rc::gen::elementOf(kBytes);
        break;
      case 1:
        text[position] = *rc::gen::arbitrary<char>();
        break;
      case 2:
        text.erase(position, *rc::gen::inRange<std::size_t>(1, 30));
        break;
      case 3:
        text.insert(position, text.substr(position, line_end - position + 1));
        break;
      default:
        text.insert(position, 1, *rc::gen::elementOf(kBytes));
    }
  }
  return text;
}

std::string random_name() {
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
             rc::gen::elementOf(std::string("abz09.-_")))) +
         "n";
}

rc::Gen<Command> random_command() {
  return rc::gen::exec([]() -> Command {
    auto name = [] { return random_name().substr(0, 40); };
    auto text = [] { return *rc::gen::arbitrary<std::string>(); };
    auto duration = [] {
      return Duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000));
    };
    switch (*rc::gen::inRange(0, 12)) {
      case 0: {
        ShowCommand show;
        show.subject = static_cast<Subject>(
            *rc::gen::inRange(0, static_cast<int>(Subject::kStore) + 1));
        int count = *rc::gen::inRange(0, 3);
        for (int i = 0; i < count; ++i) {
          show.conditions.push_back(
              {name(), static_cast<Comparison>(*rc::gen::inRange(0, 6)),
               text()});
        }
        if (*rc::gen::arbitrary<bool>()) show.since = duration();
        if (*rc::gen::arbitrary<bool>()) {
          show.limit = *rc::gen::arbitrary<std::uint32_t>();
        }
        return show;
      }
      case 1:
        return OwnerCommand{ServiceName(name()), Key(text())};
      case 2:
        return MoveCommand{ServiceName(name()),
                           SlotId(*rc::gen::arbitrary<std::uint32_t>()),
                           {},
                           ServerName(name()),
                           {}};
      case 3:
        return MoveCommand{ServiceName(name()), std::nullopt, Key("k" + text()),
                           ServerName(name())};
      case 4:
        return MoveCommand{
            ServiceName(name()), SlotId(3), {}, {}, ZoneName(name())};
      case 5:
        return DrainCommand{ServerName(name()), duration()};
      case 6:
        return UndrainCommand{ServerName(name())};
      case 7:
        return CloseCommand{ServiceName(name()), duration(), text()};
      case 8:
        return CancelClosureCommand{ServiceName(name())};
      case 9:
        return ReportCommand{ServiceName(name())};
      case 10:
        return FenceCommand{{}, DaemonName(name())};
      default:
        return ReleaseCommand{*rc::gen::arbitrary<std::uint64_t>()};
    }
  });
}

RC_GTEST_PROP(ParserFuzz, CommandsAreReadBackAsPrinted, ()) {
  Command command = *random_command();
  auto read = lang::parse(lang::print(command));
  RC_ASSERT(std::holds_alternative<Command>(read));
  RC_ASSERT(std::get<Command>(read) == command);
}

RC_GTEST_PROP(ParserFuzz, CommandsOfAnyBytes, ()) {
  check_command(*rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(ParserFuzz, MutatedCommands, ()) {
  std::string valid = lang::print(*random_command());
  for (int i = 0; i < kMutationsPerCase; ++i) check_command(mutated(valid));
}

RC_GTEST_PROP(ParserFuzz, DeclarationsAndSettingsOfAnyBytes, ()) {
  auto text = *rc::gen::arbitrary<std::string>();
  check_declarations(text);
  check_settings(text);
}

RC_GTEST_PROP(ParserFuzz, MutatedDeclarations, ()) {
  static const std::string kValid = example("magarini/demo.ini");
  for (int i = 0; i < kMutationsPerCase; ++i)
    check_declarations(mutated(kValid));
}

RC_GTEST_PROP(ParserFuzz, MutatedSettings, ()) {
  static const std::string kValid = example("ocsa/daemon.ini");
  for (int i = 0; i < kMutationsPerCase; ++i) check_settings(mutated(kValid));
}

}  // namespace
}  // namespace eelgrasspin
