#ifndef EELGRASSPIN_CONFIG_INI_H_
#define EELGRASSPIN_CONFIG_INI_H_

#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/result.h"

/// Reads INI text by means of inih and keeps the line of each section and
/// value.
namespace eelgrasspin::config {

struct IniValue {
  std::string name;
  std::string value;
  int line = 0;
};

struct IniSection {
  std::string title;  ///< Text between the brackets, trimmed.
  int line = 0;
  std::vector<IniValue> values;
};

struct IniText {
  std::vector<IniSection> sections;
  std::vector<Finding> findings;  ///< Lines that are not valid INI.
};

IniText read_ini(std::string_view text, const std::string& file);

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_INI_H_
