#include <array>
#include <charconv>

#include "lang/lang.h"

namespace eelgrasspin::lang {
namespace {

struct Unit {
  std::string_view name;
  Duration length;
};

/// Longest first, so that print_duration() uses the largest unit without
/// remainder.
constexpr std::array<Unit, 5> kUnits = {{{"h", std::chrono::hours(1)},
                                         {"m", minutes(1)},
                                         {"s", seconds(1)},
                                         {"ms", milliseconds(1)},
                                         {"us", microseconds(1)}}};
constexpr Duration kMaxDuration = std::chrono::hours(24 * 365);

}  // namespace

Result<Duration> parse_duration(std::string_view text) {
  const Error error{ErrorCode::kInvalid,
                    "expected a duration such as 250ms, 90s, 2m or 1h"};
  std::uint64_t count = 0;
  const char* end = text.data() + text.size();
  auto [rest, code] = std::from_chars(text.data(), end, count);
  if (code != std::errc() || rest == text.data()) return error;
  std::string_view unit_name(rest, static_cast<std::size_t>(end - rest));
  for (const Unit& unit : kUnits) {
    if (unit.name != unit_name) continue;
    auto max_count = static_cast<std::uint64_t>(kMaxDuration / unit.length);
    if (count > max_count)
      return Error{ErrorCode::kInvalid, "longer than a year"};
    return static_cast<Duration::rep>(count) * unit.length;
  }
  return error;
}

std::string print_duration(Duration duration) {
  for (const Unit& unit : kUnits) {
    if (duration.count() != 0 && duration % unit.length == Duration(0)) {
      return std::to_string(duration / unit.length) + std::string(unit.name);
    }
  }
  return "0s";
}

}  // namespace eelgrasspin::lang
