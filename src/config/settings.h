#ifndef EELGRASSPIN_CONFIG_SETTINGS_H_
#define EELGRASSPIN_CONFIG_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/declarations.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"

/// Reads and checks the settings of a daemon and the operators' declarations,
/// both in INI format.
namespace eelgrasspin::config {

/// Settings of one daemon. Endpoints are IP addresses with ports.
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

/// Reads and checks settings. `file` is the file name in findings.
Checked<Settings> read_settings(std::string_view text, const std::string& file);

/// Reads and checks declarations as a whole. `file` is the file name in
/// findings.
Checked<Declarations> read_declarations(std::string_view text,
                                        const std::string& file);

/// Every name that is valid in settings or declarations, as "section name".
std::vector<std::string> known_keys();

/// Reports changes of declarations that are not allowed, such as a different
/// number of key slots of an existing service.
std::vector<Finding> check_change(const Declarations& before,
                                  const Declarations& after,
                                  const std::string& file);

/// Canonical INI text; read_declarations(print_declarations(d)) equals d except
/// for `source`.
std::string print_declarations(const Declarations& declarations);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_SETTINGS_H_
