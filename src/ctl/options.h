#ifndef EELGRASSPIN_CTL_OPTIONS_H_
#define EELGRASSPIN_CTL_OPTIONS_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::ctl {

struct Options {
  std::vector<Endpoint> daemons;  ///< Tried in order.
  OperatorName operator_name;
  std::string token;
  bool json = false;
  bool wait = false;
  Duration wait_limit = minutes(10);
  std::optional<Version> base_version;  ///< Version that apply replaces.
  std::string html_file;                ///< File for the HTML page of a report.
  std::vector<std::string> words;       ///< Of the command.
};

/// The program ends at once with this exit status.
struct EarlyExit {
  int status = 0;
};

/// Reads the command line, with the environment for options that it lacks.
/// Prints help, version and usage errors.
std::variant<Options, EarlyExit> read_options(int argc, char** argv);

/// Joins the words of a command line to one command. A single word is the whole
/// command; of several, those that need quotes are quoted again, as the shell
/// has removed them.
std::string command_text(const std::vector<std::string>& words);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_OPTIONS_H_
