#ifndef EELGRASSPIN_CONFIG_SETTINGS_H_
#define EELGRASSPIN_CONFIG_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/declarations.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"

/// Settings of one daemon and declarations of the operators, read from INI and
/// checked.
namespace eelgrasspin::config {

/// One daemon's own settings. Addresses are IP numbers with ports.
struct Settings {
  DaemonName name;
  ZoneName zone;
  RegionName region;
  Endpoint callers;    ///< [daemon] callers: port for callers.
  Endpoint peers;      ///< [daemon] peers: port for other daemons.
  Endpoint operators;  ///< [daemon] operators: port for operators, health and
                       ///< metrics.
  Endpoint store;      ///< [platform] store.
  Endpoint vm_list;    ///< [platform] vms.
  std::vector<Endpoint> seeds;  ///< [daemon] seeds, separated by spaces.
  std::map<OperatorName, std::string> tokens;  ///< [operators] name = token.
  std::string log_level = "info";              ///< [log] level.
};

/// Reads and checks a settings text. `file` names it in findings.
Checked<Settings> read_settings(std::string_view text, const std::string& file);

/// Reads and checks declarations as a whole. `file` names the text in findings.
Checked<Declarations> read_declarations(std::string_view text,
                                        const std::string& file);

/// Every name that settings and declarations may have, as "section name".
std::vector<std::string> known_keys();

/// Findings of a change that is not allowed, such as another number of key
/// slots for an existing service.
std::vector<Finding> check_change(const Declarations& before,
                                  const Declarations& after,
                                  const std::string& file);

/// Canonical INI text; read_declarations(print_declarations(d)) equals d but
/// for `source`.
std::string print_declarations(const Declarations& declarations);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_SETTINGS_H_
