#include "config/values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

#include "lang/lang.h"
#include "lang/names.h"

namespace eelgrasspin::config {
namespace {

constexpr double kMaxWeight = 1'000'000;

template <class T>
bool parse_whole(std::string_view text, T& out) {
  const char* end = text.data() + text.size();
  auto [rest, code] = std::from_chars(text.data(), end, out);
  return code == std::errc() && rest == end;
}

bool is_ip_address(const std::string& text) {
  in6_addr buffer;
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

}  // namespace

bool is_endpoint(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::uint16_t port = 0;
  if (!parse_whole(text.substr(colon + 1), port) || port == 0) return false;
  std::string host(text.substr(0, colon));
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string::npos) {
    return false;
  }
  return is_ip_address(host);
}

const IniValue* ValueReader::find(const std::string& name, Presence presence) {
  known_names_.push_back(name);
  for (const IniValue& value : section_.values) {
    if (value.name == name) return &value;
  }
  if (presence == Presence::kRequired) {
    findings_.push_back({file_, section_.line, 0,
                         "[" + section_.title + "] lacks " + name,
                         name + " = ..."});
  }
  return nullptr;
}

int ValueReader::line_of(const std::string& name) const {
  for (const IniValue& value : section_.values) {
    if (value.name == name) return value.line;
  }
  return section_.line;
}

void ValueReader::report(const IniValue& value, const std::string& message,
                         std::string hint) {
  findings_.push_back({file_, value.line, 0,
                       value.name + " = " + value.value + ": " + message,
                       std::move(hint)});
}

void ValueReader::report_choice(const IniValue& value,
                                const std::vector<std::string>& words) {
  report(value, "not one of the choices", lang::join(words));
}

void ValueReader::text(const std::string& name, std::string& out,
                       Presence presence) {
  const IniValue* value = find(name, presence);
  if (value == nullptr) return;
  if (value->value.empty()) return report(*value, "empty", "some text");
  out = value->value;
}

bool ValueReader::read_name(const std::string& name, std::string& out,
                            Presence presence) {
  const IniValue* value = find(name, presence);
  if (value == nullptr) return false;
  if (!lang::is_name(value->value)) {
    report(*value, "not a name", "letters, digits, '.', '_' and '-'");
    return false;
  }
  out = value->value;
  return true;
}

void ValueReader::endpoint(const std::string& name, Endpoint& out,
                           Presence presence) {
  const IniValue* value = find(name, presence);
  if (value == nullptr) return;
  if (!is_endpoint(value->value)) {
    return report(*value, "not an address", "IP number and port");
  }
  out = Endpoint(value->value);
}

void ValueReader::endpoints(const std::string& name,
                            std::vector<Endpoint>& out) {
  known_names_.push_back(name);
  repeatable_names_.push_back(name);
  for (const IniValue& value : section_.values) {
    if (value.name != name) continue;
    std::istringstream words(value.value);
    std::string word;
    while (words >> word) {
      if (is_endpoint(word)) {
        out.emplace_back(word);
      } else {
        report(value, word + " is not an address", "IP number and port");
      }
    }
  }
}

void ValueReader::number(const std::string& name, std::uint32_t& out,
                         std::uint32_t min_value, std::uint32_t max_value,
                         Presence presence) {
  const IniValue* value = find(name, presence);
  if (value == nullptr) return;
  std::uint32_t read = 0;
  if (!parse_whole(value->value, read) || read < min_value ||
      read > max_value) {
    return report(*value, "not a number in range",
                  "from " + std::to_string(min_value) + " to " +
                      std::to_string(max_value));
  }
  out = read;
}

void ValueReader::weight(const std::string& name, double& out) {
  const IniValue* value = find(name, Presence::kOptional);
  if (value == nullptr) return;
  double read = 0;
  bool parsed = parse_whole(value->value, read);
  if (!parsed || !(read >= 0 && read <= kMaxWeight)) {
    return report(*value, "not a weight", "a number from 0 to 1000000");
  }
  out = read;
}

void ValueReader::duration(const std::string& name, Duration& out,
                           Duration min_value, Duration max_value) {
  const IniValue* value = find(name, Presence::kOptional);
  if (value == nullptr) return;
  auto read = lang::parse_duration(value->value);
  if (!ok(read)) return report(*value, "not a duration", error(read).message);
  if (Duration span = eelgrasspin::value(read);
      span < min_value || span > max_value) {
    return report(*value, "out of range",
                  "from " + lang::print_duration(min_value) + " to " +
                      lang::print_duration(max_value));
  }
  out = eelgrasspin::value(read);
}

void ValueReader::yes_or_no(const std::string& name, bool& out) {
  choice<bool>(name, out, {{"yes", true}, {"no", false}}, Presence::kOptional);
}

void ValueReader::finish() {
  std::set<std::string> seen;
  for (const IniValue& value : section_.values) {
    bool known =
        std::count(known_names_.begin(), known_names_.end(), value.name) > 0;
    bool repeatable = std::count(repeatable_names_.begin(),
                                 repeatable_names_.end(), value.name) > 0;
    if (!known) {
      findings_.push_back(
          {file_, value.line, 0,
           "unknown name " + value.name + " in [" + section_.title + "]",
           lang::name_hint(value.name, known_names_)});
    } else if (!seen.insert(value.name).second && !repeatable) {
      findings_.push_back(
          {file_, value.line, 0,
           value.name + " is given twice in [" + section_.title + "]",
           "keep one"});
    }
  }
}

}  // namespace eelgrasspin::config
