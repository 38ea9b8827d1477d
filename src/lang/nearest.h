#ifndef EELGRASSPIN_LANG_NEAREST_H_
#define EELGRASSPIN_LANG_NEAREST_H_

#include <string>
#include <string_view>
#include <vector>

namespace eelgrasspin::lang {

/// The known name that is fewest edits away from `name`; empty if none is near.
std::string nearest(std::string_view name,
                    const std::vector<std::string>& known);

/// "did you mean NAME?" for the nearest known name, else "known: A, B, C".
std::string name_hint(std::string_view name,
                      const std::vector<std::string>& known);

/// "A, B, C".
std::string join(const std::vector<std::string>& names);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_NEAREST_H_
