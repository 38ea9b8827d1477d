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

/// Typed values of INI sections, with findings for everything that is wrong.
namespace eelgrasspin::config {

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Whether `text` may name a service, server, zone and so on: letters, digits,
/// '.', '_' and '-', not longer than kMaxNameLength.
bool is_name(std::string_view text);
inline constexpr std::size_t kMaxNameLength = 40;

/// Whether `text` is an IP number with a port above 0.
bool is_endpoint(std::string_view text);

/// Words of an enumeration and their constants.
template <class E>
using Choices = std::vector<std::pair<std::string, E>>;

/// Reads the values of one section. Each reader leaves `out` as it is when the
/// value is missing or wrong, and remembers the name as known.
class Values {
 public:
  Values(const IniSection& section, const std::string& file,
         std::vector<Finding>& findings)
      : section_(section), file_(file), findings_(findings) {}

  void text(const std::string& name, std::string& out, Presence presence);
  template <class Tag>
  void name(const std::string& name, Name<Tag>& out, Presence presence) {
    std::string text;
    if (read_name(name, text, presence)) out = Name<Tag>(text);
  }
  void endpoint(const std::string& name, Endpoint& out, Presence presence);
  /// Several, separated by spaces, on one line or more.
  void endpoints(const std::string& name, std::vector<Endpoint>& out);
  void number(const std::string& name, std::uint32_t& out, std::uint32_t least,
              std::uint32_t most, Presence presence);
  void weight(const std::string& name, double& out);
  void duration(const std::string& name, Duration& out, Duration least,
                Duration most);
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

  /// Reports values that no reader asked for, and names given twice.
  void finish();

  int line_of(const std::string& name) const;
  const std::vector<std::string>& known() const { return known_; }

 private:
  const IniValue* find(const std::string& name, Presence presence);
  bool read_name(const std::string& name, std::string& out, Presence presence);
  void report(const IniValue& value, std::string message, std::string hint);
  void report_choice(const IniValue& value,
                     const std::vector<std::string>& words);

  const IniSection& section_;
  const std::string& file_;
  std::vector<Finding>& findings_;
  std::vector<std::string> known_;
  std::vector<std::string> repeatable_;
};

}  // namespace eelgrasspin::config

#endif  // EELGRASSPIN_CONFIG_VALUES_H_
