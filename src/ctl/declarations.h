#ifndef EELGRASSPIN_CTL_DECLARATIONS_H_
#define EELGRASSPIN_CTL_DECLARATIONS_H_

#include <string>
#include <vector>

#include "ctl/client.h"
#include "ctl/options.h"

namespace eelgrasspin::ctl {

/// Differences between two declaration texts, one line each: "+ [zone a]" is
/// added, "- [zone b]" removed, "~ [service c] deadline: 5s -> 7s" changed.
std::vector<std::string> differences(const std::string& before_ini,
                                     const std::string& after_ini);

/// The commands of the same names. Findings and errors go to the standard
/// error; the return value is the exit status.
int check(const std::string& file);
int diff(Client& client, const std::string& file);
int apply(Client& client, const Options& options, const std::string& file);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_DECLARATIONS_H_
