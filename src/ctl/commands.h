#ifndef EELGRASSPIN_CTL_COMMANDS_H_
#define EELGRASSPIN_CTL_COMMANDS_H_

#include <string>

#include "ctl/client.h"
#include "ctl/options.h"

namespace eelgrasspin::ctl {

/// Runs one command of the command language and prints its answer. Returns the
/// exit status.
int run_command(Client& client, const Options& options,
                const std::string& text);

/// Checks the hashes and totals of a closing report that was saved as JSON.
/// Returns the exit status.
int verify_report_file(const std::string& file);

/// Reads and runs commands until the end of the input. Returns the exit status
/// of the last one.
int run_prompt(Client& client, const Options& options);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_COMMANDS_H_
