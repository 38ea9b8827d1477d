#ifndef EELGRASSPIN_CTL_EXIT_CODES_H_
#define EELGRASSPIN_CTL_EXIT_CODES_H_

namespace eelgrasspin::ctl {

/// Exit status of eelctl; docs/COMMANDS.md lists them.
enum ExitCode : int {
  kDone = 0,
  kRefused = 1,  ///< Refused, not found, or lost to a conflicting command.
  kBadInput = 2,
  kUnreachable = 3,     ///< No daemon answered; nothing was done.
  kUnknownOutcome = 4,  ///< A change was sent, but its result is not known.
};

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_EXIT_CODES_H_
