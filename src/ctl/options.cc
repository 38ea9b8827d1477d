#include "ctl/options.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "ctl/exit_codes.h"
#include "lang/lang.h"
#include "lang/lexer.h"

namespace eelgrasspin::ctl {
namespace {

namespace options = boost::program_options;

constexpr std::string_view kUsage =
    "eelctl [options] COMMAND...\n"
    "\n"
    "  check FILE                 check declarations, without a daemon\n"
    "  diff FILE                  what applying FILE would change\n"
    "  apply FILE                 replace the declarations in force by FILE\n"
    "  report verify FILE         check a report saved with --json\n"
    "  explain ID LOG...          print the log lines about one request\n"
    "  show, owner, move, drain, undrain, close, cancel, report, stop, fence,\n"
    "  release ...                see docs/COMMANDS.md\n"
    "\n"
    "Without a command, commands are read from the terminal.\n"
    "EELCTL_DAEMON, EELCTL_OPERATOR and EELCTL_TOKEN give the defaults of the\n"
    "options of the same names.\n";

/// Options as given, before their conversion.
struct RawOptions {
  std::vector<std::string> daemons;
  std::string wait_limit;
  std::uint64_t base_version = 0;
};

std::string environment_value(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

options::options_description describe_options(Options& out, RawOptions& raw) {
  options::options_description description("Options");
  auto add = description.add_options();
  add("daemon", options::value(&raw.daemons)->composing(),
      "IP:PORT of a daemon's operators port; can be repeated, tried in order");
  add("operator", options::value<std::string>(),
      "name of the operator, part of command ids");
  add("token", options::value(&out.token), "token of the operator");
  add("json", options::bool_switch(&out.json), "print answers as JSON");
  add("wait", options::bool_switch(&out.wait),
      "wait until a drain, move or closure is finished");
  add("wait-limit", options::value(&raw.wait_limit),
      "longest wait, such as 10m");
  add("base", options::value(&raw.base_version),
      "apply: version that FILE was made for");
  add("html", options::value(&out.html_file),
      "report: write an HTML page to this file");
  add("help", "print this help");
  add("version", "print the version");
  add("command", options::value(&out.words)->composing());
  return description;
}

EarlyExit usage_error(const std::string& why) {
  std::cerr << "eelctl: " << why << " (see eelctl --help)\n";
  return {kBadInput};
}

std::variant<Options, EarlyExit> resolve_options(
    Options out, const RawOptions& raw, const options::variables_map& values) {
  std::vector<std::string> daemons = raw.daemons;
  if (daemons.empty()) daemons = {environment_value("EELCTL_DAEMON")};
  for (const std::string& daemon : daemons) {
    if (!daemon.empty()) out.daemons.emplace_back(daemon);
  }
  out.operator_name = OperatorName(values.count("operator") > 0
                                       ? values["operator"].as<std::string>()
                                       : environment_value("EELCTL_OPERATOR"));
  if (out.token.empty()) out.token = environment_value("EELCTL_TOKEN");
  if (values.count("base") > 0) out.base_version = Version(raw.base_version);
  if (!raw.wait_limit.empty()) {
    auto limit = lang::parse_duration(raw.wait_limit);
    if (!ok(limit)) return usage_error("--wait-limit: " + error(limit).message);
    out.wait_limit = value(limit);
  }
  return out;
}

}  // namespace

std::variant<Options, EarlyExit> read_options(int argc, char** argv) {
  Options out;
  RawOptions raw;
  options::options_description description = describe_options(out, raw);
  options::positional_options_description positions;
  positions.add("command", -1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positions)
                       .run(),
                   values);
    options::notify(values);
  } catch (const options::error& failure) {
    return usage_error(failure.what());
  }
  if (values.count("help") > 0) {
    std::cout << kUsage << "\n" << description;
    return EarlyExit{kDone};
  }
  if (values.count("version") > 0) {
    std::cout << "eelctl " << EELGRASSPIN_VERSION << "\n";
    return EarlyExit{kDone};
  }
  return resolve_options(std::move(out), raw, values);
}

std::string command_text(const std::vector<std::string>& words) {
  if (words.size() == 1) return words.front();
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) text += ' ';
    bool needs_no_quotes =
        !word.empty() &&
        std::all_of(word.begin(), word.end(), [](unsigned char c) {
          return c > ' ' && c < 0x7f && c != '"';
        });
    text += needs_no_quotes ? word : lang::quoted(word);
  }
  return text;
}

}  // namespace eelgrasspin::ctl
