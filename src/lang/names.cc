#include "lang/names.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace eelgrasspin::lang {
namespace {

/// Longer names are not compared; they are not typing errors.
constexpr std::size_t kMaxComparedBytes = 64;
/// Shorter names may differ from a known name by one edit only.
constexpr std::size_t kShortNameBytes = 4;

/// Levenshtein distance.
std::size_t edit_distance(std::string_view left, std::string_view right) {
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

bool is_name(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c < 0x80 && (std::isalnum(c) || c == '.' || c == '_' || c == '-');
  });
}

std::string nearest(std::string_view name,
                    const std::vector<std::string>& known) {
  if (name.empty() || name.size() > kMaxComparedBytes) return {};
  std::string nearest_name;
  std::size_t max_edits = name.size() < kShortNameBytes ? 1 : 2;
  std::size_t best_edits = std::max(max_edits, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    std::size_t edits = edit_distance(name, candidate);
    if (edits >= best_edits) continue;
    nearest_name = candidate;
    best_edits = edits;
  }
  return nearest_name;
}

std::string name_hint(std::string_view name,
                      const std::vector<std::string>& known) {
  std::string suggestion = nearest(name, known);
  if (!suggestion.empty()) return "did you mean " + suggestion + "?";
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
