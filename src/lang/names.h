#ifndef EELGRASSPIN_LANG_NAMES_H_
#define EELGRASSPIN_LANG_NAMES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasspin::lang {

inline constexpr std::size_t kMaxNameLength = 40;

/// Whether `text` is a valid name of a service, server, zone and so on: 1 to
/// kMaxNameLength letters, digits, '.', '_' and '-'.
bool is_name(std::string_view text);

/// The known name with the smallest edit distance to `name`; empty if none is
/// similar enough to be meant.
std::string nearest(std::string_view name,
                    const std::vector<std::string>& known);

/// "did you mean NAME?" with the nearest known name, or else "known: A, B, C".
std::string name_hint(std::string_view name,
                      const std::vector<std::string>& known);

/// "A, B, C".
std::string join(const std::vector<std::string>& names);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_NAMES_H_
