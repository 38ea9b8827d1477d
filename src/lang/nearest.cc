#include "lang/nearest.h"

#include <algorithm>
#include <numeric>

namespace eelgrasspin::lang {
namespace {

/// Longest names that are compared; longer ones are nobody's typing error.
constexpr std::size_t kMaxCompared = 64;

/// Levenshtein distance.
std::size_t edits_between(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string nearest(std::string_view name,
                    const std::vector<std::string>& known) {
  if (name.empty() || name.size() > kMaxCompared) return {};
  std::string best;
  std::size_t best_edits = std::max<std::size_t>(1, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    std::size_t edits = edits_between(name, candidate);
    if (edits >= best_edits) continue;
    best = candidate;
    best_edits = edits;
  }
  return best;
}

std::string name_hint(std::string_view name,
                      const std::vector<std::string>& known) {
  std::string near = nearest(name, known);
  if (!near.empty()) return "did you mean " + near + "?";
  if (known.empty()) return {};
  return "known: " + join(known);
}

std::string join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (!text.empty()) text += ", ";
    text += name;
  }
  return text;
}

}  // namespace eelgrasspin::lang
