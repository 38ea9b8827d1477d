#ifndef EELGRASSPIN_CTL_SVG_H_
#define EELGRASSPIN_CTL_SVG_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Charts as inline SVG.
namespace eelgrasspin::ctl {

/// Text with the characters that HTML reserves escaped. Control characters
/// other than line ends become dots.
std::string escape_html(const std::string& text);

struct BarPart {
  std::string label;
  std::string style;  ///< CSS class that sets the colour.
  std::uint64_t value = 0;
};

struct Bar {
  std::string label;
  std::vector<BarPart> parts;
};

/// SVG of horizontal stacked bars on a common scale, each followed by its sum.
std::string bar_chart(const std::string& title, const std::vector<Bar>& bars);

/// A number that changes in steps.
struct StepSeries {
  std::string label;
  /// Times in Unix milliseconds, with the value from then on.
  std::vector<std::pair<std::int64_t, std::int64_t>> points;
};

/// SVG with one row for each series, on a common scale, from the time `first`
/// to `last` (Unix milliseconds).
std::string step_chart(const std::string& title,
                       const std::vector<StepSeries>& all_series,
                       std::int64_t first, std::int64_t last);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_SVG_H_
