#ifndef EELGRASSPIN_CONFIG_VALUES_H_
#define EELGRASSPIN_CONFIG_VALUES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/ini.h"
#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/units.h"

/// Reads typed values of INI sections and reports invalid ones as findings.
namespace eelgrasspin::config {

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Whether `text` is an IP address with a port above 0.
bool is_endpoint(std::string_view text);

/// Words of an enumeration with their enumerators.
template <class E>
using Choices = std::vector<std::pair<std::string, E>>;

/// Reads the values of one section. Each function leaves `out` unchanged if the
/// value is missing or invalid, and records the name as known.
class ValueReader {
 public:
  ValueReader(const IniSection& section, const std::string& file,
              std::vector<Finding>& findings)
      : section_(section), file_(file), findings_(findings) {}

  void text(const std::string& name, std::string& out, Presence presence);
  template <class Tag>
  void name(const std::string& name, Name<Tag>& out, Presence presence) {
    std::string text;
    if (read_name(name, text, presence)) out = Name<Tag>(text);
  }
  void endpoint(const std::string& name, Endpoint& out, Presence presence);
  /// Reads any number of endpoints, separated by spaces, on one or more lines.
  void endpoints(const std::string& name, std::vector<Endpoint>& out);
  void number(const std::string& name, std::uint32_t& out,
              std::uint32_t min_value, std::uint32_t max_value,
              Presence presence);
  void weight(const std::string& name, double& out);
  void duration(const std::string& name, Duration& out, Duration min_value,
                Duration max_value);
  void yes_or_no(const std::string& name, bool& out);
  template <class E>
  void choice(const std::string& name, E& out, const Choices<E>& choices,
              Presence presence) {
    const IniValue* value = find(name, presence);
    if (value == nullptr) return;
    std::vector<std::string> words;
    for (const auto& [word, constant] : choices) {
      words.push_back(word);
      if (word == value->value) {
        out = constant;
        return;
      }
    }
    report_choice(*value, words);
  }

  /// Reports names that no function asked for, and names given twice.
  void finish();

  int line_of(const std::string& name) const;
  const std::vector<std::string>& known_names() const { return known_names_; }

 private:
  const IniValue* find(const std::string& name, Presence presence);
  bool read_name(const std::string& name, std::string& out, Presence presence);
  void report(const IniValue& value, const std::string& message,
              std::string hint);
  void report_choice(const IniValue& value,
                     const std::vector<std::string>& words);

  const IniSection& section_;
  const std::string& file_;
  std::vector<Finding>& findings_;
  std::vector<std::string> known_names_;
  std::vector<std::string> repeatable_names_;
};

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_VALUES_H_
