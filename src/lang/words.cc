#include "lang/words.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace eelgrasspin::lang {
namespace {

/// In the order of Subject.
constexpr std::string_view kSubjects[] = {
    "services", "slots",    "keys",     "servers",       "zones",
    "daemons",  "requests", "refusals", "quarantine",    "closures",
    "drains",   "commands", "timeline", "configuration", "store"};
static_assert(std::size(kSubjects) ==
              static_cast<std::size_t>(Subject::kStore) + 1);

/// In the order of Comparison.
constexpr std::string_view kComparisons[] = {"=", "!=", "<", "<=", ">", ">="};
static_assert(std::size(kComparisons) ==
              static_cast<std::size_t>(Comparison::kGreaterOrEqual) + 1);

template <class E, std::size_t N>
std::optional<E> enumerator_of(const std::string_view (&words)[N],
                               std::string_view word) {
  const auto* it = std::find(std::begin(words), std::end(words), word);
  if (it == std::end(words)) return std::nullopt;
  return static_cast<E>(it - std::begin(words));
}

}  // namespace

std::string_view to_string(Subject subject) {
  return kSubjects[static_cast<std::size_t>(subject)];
}

std::optional<Subject> subject_of(std::string_view word) {
  return enumerator_of<Subject>(kSubjects, word);
}

std::vector<std::string> subject_words() {
  return {std::begin(kSubjects), std::end(kSubjects)};
}

std::string_view to_string(Comparison comparison) {
  return kComparisons[static_cast<std::size_t>(comparison)];
}

std::optional<Comparison> comparison_of(std::string_view word) {
  return enumerator_of<Comparison>(kComparisons, word);
}

}  // namespace eelgrasspin::lang
