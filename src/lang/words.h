#ifndef EELGRASSPIN_LANG_WORDS_H_
#define EELGRASSPIN_LANG_WORDS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"

/// Words of the command language for enumerators.
namespace eelgrasspin::lang {

std::string_view to_string(Subject subject);
std::optional<Subject> subject_of(std::string_view word);
std::vector<std::string> subject_words();

std::string_view to_string(Comparison comparison);
std::optional<Comparison> comparison_of(std::string_view word);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_WORDS_H_
