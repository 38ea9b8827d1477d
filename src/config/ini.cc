#include "config/ini.h"

#include <ini.h>

#include <cstring>

namespace eelgrasspin::config {
namespace {

/// inih copies the names of values into buffers of 50 bytes.
constexpr std::size_t kMaxNameBytes = 49;
constexpr std::string_view kSpaces = " \t\r\n\v\f";

std::string_view trim(std::string_view text) {
  std::size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) return {};
  std::size_t last = text.find_last_not_of(kSpaces);
  return text.substr(first, last - first + 1);
}

bool is_comment(std::string_view trimmed) {
  return trimmed.starts_with(';') || trimmed.starts_with('#');
}

/// Passes the text to inih line by line, in order to know the line of each
/// value. Section headings are parsed here, because inih does not report empty
/// sections.
class LineSource {
 public:
  LineSource(std::string_view text, const std::string& file, IniText& out)
      : remaining_(text), file_(file), out_(out) {}

  /// Reader callback of inih, with the contract of fgets().
  static char* next(char* buffer, int capacity, void* self) {
    return static_cast<LineSource*>(self)->next_line(
        buffer, static_cast<std::size_t>(capacity));
  }

  /// Value callback of inih.
  static int handle(void* self, const char*, const char* name,
                    const char* value) {
    static_cast<LineSource*>(self)->add_value(name, value);
    return 1;
  }

  /// Reports the last line if inih could not parse it.
  void finish() { report_unparsed_value(); }

 private:
  char* next_line(char* buffer, std::size_t capacity) {
    report_unparsed_value();
    if (remaining_.empty()) return nullptr;
    std::size_t end = remaining_.find('\n');
    std::string_view line = trim(remaining_.substr(0, end));
    remaining_ = end == std::string_view::npos ? std::string_view()
                                               : remaining_.substr(end + 1);
    ++line_;
    if (line_ == 1 && line.starts_with("\xEF\xBB\xBF")) line.remove_prefix(3);
    // Lines that inih is not to see become blank, so that its line count stays
    // correct.
    std::string_view visible_line = is_value_line(line, capacity) ? line : "";
    std::memcpy(buffer, visible_line.data(), visible_line.size());
    buffer[visible_line.size()] = '\0';
    return buffer;
  }

  /// Whether inih is to parse the line as a value. Handles section headings and
  /// reports invalid lines.
  bool is_value_line(std::string_view line, std::size_t capacity) {
    if (line.empty() || is_comment(line)) return false;
    if (line.find('\0') != std::string_view::npos) {
      report("a zero byte", "plain text");
      return false;
    }
    if (line.size() + 3 > capacity) {
      report("line of " + std::to_string(line.size()) + " bytes",
             "at most " + std::to_string(capacity - 3));
      return false;
    }
    if (line.starts_with('[')) {
      start_section(line);
      return false;
    }
    std::size_t name_end = line.find_first_of("=:");
    if (name_end != std::string_view::npos &&
        trim(line.substr(0, name_end)).size() > kMaxNameBytes) {
      report("name too long",
             "at most " + std::to_string(kMaxNameBytes) + " bytes");
      return false;
    }
    value_expected_ = true;
    return true;
  }

  void start_section(std::string_view line) {
    std::size_t close = line.find(']');
    if (close == std::string_view::npos) {
      return report("heading without ']'", "[section]");
    }
    std::string_view after = trim(line.substr(close + 1));
    if (!after.empty() && !is_comment(after)) {
      report("text after ']'", "a line of its own");
    }
    std::string title(trim(line.substr(1, close - 1)));
    out_.sections.push_back({std::move(title), line_, {}});
  }

  void add_value(const char* name, const char* value) {
    value_expected_ = false;
    if (out_.sections.empty()) {
      return report("value before any section", "[section] first");
    }
    out_.sections.back().values.push_back({name, value, line_});
  }

  void report_unparsed_value() {
    if (value_expected_) report("not a value", "name = value");
    value_expected_ = false;
  }

  void report(std::string message, std::string hint) {
    out_.findings.push_back(
        {file_, line_, 0, std::move(message), std::move(hint)});
  }

  std::string_view remaining_;
  const std::string& file_;
  IniText& out_;
  int line_ = 0;
  bool value_expected_ = false;
};

}  // namespace

IniText read_ini(std::string_view text, const std::string& file) {
  IniText out;
  LineSource source(text, file, out);
  ini_parse_stream(&LineSource::next, &source, &LineSource::handle, &source);
  source.finish();
  return out;
}

}  // namespace eelgrasspin::config
