#include "ctl/svg.h"

#include <algorithm>
#include <sstream>

#include "core/operator/report.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::ctl {
namespace {

// Lengths in pixels.
constexpr int kWidth = 860;
constexpr int kLabelWidth = 190;
constexpr int kValueWidth = 110;
constexpr int kPlotWidth = kWidth - kLabelWidth - kValueWidth;
constexpr int kBarHeight = 16;
constexpr int kBarRowHeight = 24;
constexpr int kStepHeight = 26;
constexpr int kStepRowHeight = 34;
constexpr int kAxisHeight = 22;
constexpr int kTextBaseline = 12;  ///< From the top of a row to its base line.

std::string open_svg(const std::string& title, int height) {
  std::ostringstream out;
  out << "<svg role=\"img\" viewBox=\"0 0 " << kWidth << " " << height
      << "\" width=\"100%\"><title>" << escape_html(title) << "</title>\n";
  return out.str();
}

std::string text_at(int x, int y, const std::string& anchor,
                    const std::string& text) {
  std::ostringstream out;
  out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor
      << "\">" << escape_html(text) << "</text>\n";
  return out.str();
}

std::uint64_t sum_of(const Bar& bar) {
  std::uint64_t sum = 0;
  for (const BarPart& part : bar.parts) sum += part.value;
  return sum;
}

/// Width in pixels; at least one pixel for a value above zero, so that it stays
/// visible.
double bar_width(std::uint64_t value, std::uint64_t max_value) {
  if (value == 0) return 0;
  double width = static_cast<double>(value) * kPlotWidth /
                 static_cast<double>(std::max<std::uint64_t>(max_value, 1));
  return std::max(width, 1.0);
}

std::string bar_row(const Bar& bar, std::uint64_t max_value, int y) {
  std::ostringstream out;
  double x = kLabelWidth;
  out << text_at(kLabelWidth - 8, y + kTextBaseline, "end", bar.label);
  for (const BarPart& part : bar.parts) {
    double width = bar_width(part.value, max_value);
    if (width == 0) continue;
    out << "<rect class=\"" << part.style << "\" x=\"" << x << "\" y=\"" << y
        << "\" width=\"" << width << "\" height=\"" << kBarHeight
        << "\"><title>" << escape_html(bar.label + ": " + part.label) << " "
        << part.value << "</title></rect>\n";
    x += width;
  }
  out << text_at(static_cast<int>(x) + 6, y + kTextBaseline, "start",
                 std::to_string(sum_of(bar)));
  return out.str();
}

/// The area below a series, drawn to the full height at `max_value`.
std::string step_row(const StepSeries& series, std::int64_t max_value,
                     std::int64_t first, std::int64_t last, int y) {
  auto x_at = [&](std::int64_t time) {
    auto span = static_cast<double>(std::max<std::int64_t>(last - first, 1));
    double offset = static_cast<double>(std::clamp(time, first, last) - first);
    return kLabelWidth + offset / span * kPlotWidth;
  };
  auto y_at = [&](std::int64_t value) {
    double fraction = static_cast<double>(std::max<std::int64_t>(value, 0)) /
                      static_cast<double>(std::max<std::int64_t>(max_value, 1));
    return y + kStepHeight - fraction * kStepHeight;
  };
  std::ostringstream path;
  std::int64_t value = 0;
  std::int64_t highest = 0;
  path << "M" << x_at(first) << " " << y_at(0);
  for (const auto& [time, new_value] : series.points) {
    path << " L" << x_at(time) << " " << y_at(value) << " L" << x_at(time)
         << " " << y_at(new_value);
    value = new_value;
    highest = std::max(highest, value);
  }
  path << " L" << x_at(last) << " " << y_at(value) << " L" << x_at(last) << " "
       << y_at(0) << " Z";
  std::ostringstream out;
  out << text_at(kLabelWidth - 8, y + kStepHeight - 6, "end", series.label)
      << "<path class=\"held\" d=\"" << path.str() << "\"><title>"
      << escape_html(series.label) << ": at most " << highest
      << "</title></path>\n"
      << "<line class=\"rule\" x1=\"" << kLabelWidth << "\" x2=\""
      << kLabelWidth + kPlotWidth << "\" y1=\"" << y + kStepHeight << "\" y2=\""
      << y + kStepHeight << "\"/>\n"
      << text_at(kLabelWidth + kPlotWidth + 6, y + kStepHeight - 6, "start",
                 "max " + std::to_string(highest));
  return out.str();
}

std::string format_ms(std::int64_t ms) {
  return core::operators::format_time(WallTime(milliseconds(ms)));
}

}  // namespace

std::string escape_html(const std::string& text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += static_cast<unsigned char>(c) < ' ' && c != '\n' ? '.' : c;
    }
  }
  return out;
}

std::string bar_chart(const std::string& title, const std::vector<Bar>& bars) {
  std::uint64_t max_value = 0;
  for (const Bar& bar : bars) max_value = std::max(max_value, sum_of(bar));
  int height = static_cast<int>(bars.size()) * kBarRowHeight;
  std::string out = open_svg(title, std::max(height, kBarRowHeight));
  int y = 0;
  for (const Bar& bar : bars) {
    out += bar_row(bar, max_value, y);
    y += kBarRowHeight;
  }
  return out + "</svg>\n";
}

std::string step_chart(const std::string& title,
                       const std::vector<StepSeries>& all_series,
                       std::int64_t first, std::int64_t last) {
  std::int64_t max_value = 0;
  for (const StepSeries& series : all_series) {
    for (const auto& [time, value] : series.points)
      max_value = std::max(max_value, value);
  }
  int height =
      static_cast<int>(all_series.size()) * kStepRowHeight + kAxisHeight;
  std::string out = open_svg(title, height);
  int y = 0;
  for (const StepSeries& series : all_series) {
    out += step_row(series, max_value, first, last, y);
    y += kStepRowHeight;
  }
  out += text_at(kLabelWidth, height - 6, "start", format_ms(first));
  out += text_at(kLabelWidth + kPlotWidth, height - 6, "end", format_ms(last));
  return out + "</svg>\n";
}

}  // namespace eelgrasspin::ctl
