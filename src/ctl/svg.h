#ifndef EELGRASSPIN_CTL_SVG_H_
#define EELGRASSPIN_CTL_SVG_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Charts as inline SVG.
namespace eelgrasspin::ctl {

/// Text with the characters that HTML reserves replaced.
std::string escape_html(const std::string& text);

struct BarPart {
  std::string label;
  std::string style;  ///< CSS class of its colour.
  std::uint64_t value = 0;
};

struct Bar {
  std::string label;
  std::vector<BarPart> parts;
};

/// Horizontal stacked bars on one scale, each with its sum at the end.
std::string bar_chart(const std::string& title, const std::vector<Bar>& bars);

/// A number that changes at points in time (Unix milliseconds).
struct StepLine {
  std::string label;
  std::vector<std::pair<std::int64_t, std::int64_t>> points;
};

/// One row for each line, on one scale, from `first` to `last`.
std::string step_chart(const std::string& title,
                       const std::vector<StepLine>& lines, std::int64_t first,
                       std::int64_t last);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_SVG_H_
