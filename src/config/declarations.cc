#include "config/settings.h"

namespace eelgrasspin::config {

Checked<Declarations> read_declarations(std::string_view,
                                        const std::string& file) {
  return std::vector<Finding>{{file, 0, 0, "not readable yet", ""}};
}

std::string print_declarations(const Declarations& declarations) {
  return declarations.source;
}

}  // namespace eelgrasspin::config
