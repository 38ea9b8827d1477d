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
  std::optional<Version> base;  ///< Of the declarations a change was made for.
  std::string html;             ///< File for the page of a report.
  std::vector<std::string> words;
};

/// Nothing more to do; end with this status.
struct Finished {
  int status = 0;
};

/// Reads the command line, and the environment for what it leaves out. Prints
/// help and complaints.
std::variant<Options, Finished> read_options(int argc, char** argv);

/// One text from the words of a command line: a lone word is taken as it is,
/// several are quoted where the shell took quotes away.
std::string command_text(const std::vector<std::string>& words);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_OPTIONS_H_
