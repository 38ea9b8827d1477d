#ifndef EELGRASSPIN_LANG_NAMES_H_
#define EELGRASSPIN_LANG_NAMES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasspin::lang {

inline constexpr std::size_t kMaxNameLength = 40;

/// Whether `text` may name a service, server, zone and so on: letters, digits,
/// '.', '_' and '-', not longer than kMaxNameLength.
bool is_name(std::string_view text);

/// The known name that is fewest edits away from `name`; empty if none is near.
std::string nearest(std::string_view name,
                    const std::vector<std::string>& known);

/// "did you mean NAME?" for the nearest known name, else "known: A, B, C".
std::string name_hint(std::string_view name,
                      const std::vector<std::string>& known);

/// "A, B, C".
std::string join(const std::vector<std::string>& names);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_NAMES_H_
