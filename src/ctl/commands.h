#ifndef EELGRASSPIN_CTL_COMMANDS_H_
#define EELGRASSPIN_CTL_COMMANDS_H_

#include <string>

#include "ctl/client.h"
#include "ctl/options.h"

namespace eelgrasspin::ctl {

/// Runs one command of the language and prints its answer. Returns the exit
/// status.
int run_command(Client& client, const Options& options,
                const std::string& text);

/// Checks a report that was saved as JSON.
int verify_report_file(const std::string& file);

/// Reads commands until the end of the input. Returns the status of the last.
int run_prompt(Client& client, const Options& options);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_COMMANDS_H_
