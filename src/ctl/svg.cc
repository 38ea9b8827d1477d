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
constexpr int kBarRow = 24;
constexpr int kLineHeight = 26;
constexpr int kLineRow = 34;
constexpr int kAxisHeight = 22;
constexpr int kTextShift = 12;  ///< From the top of a row to its base line.

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

/// Keeps a value that is there visible, however small beside the others.
double scaled(std::uint64_t value, std::uint64_t most) {
  if (value == 0) return 0;
  double width = static_cast<double>(value) * kPlotWidth /
                 static_cast<double>(std::max<std::uint64_t>(most, 1));
  return std::max(width, 1.0);
}

std::string bar_row(const Bar& bar, std::uint64_t most, int y) {
  std::ostringstream out;
  double x = kLabelWidth;
  out << text_at(kLabelWidth - 8, y + kTextShift, "end", bar.label);
  for (const BarPart& part : bar.parts) {
    double width = scaled(part.value, most);
    if (width == 0) continue;
    out << "<rect class=\"" << part.style << "\" x=\"" << x << "\" y=\"" << y
        << "\" width=\"" << width << "\" height=\"" << kBarHeight
        << "\"><title>" << escape_html(bar.label + ": " + part.label) << " "
        << part.value << "</title></rect>\n";
    x += width;
  }
  out << text_at(static_cast<int>(x) + 6, y + kTextShift, "start",
                 std::to_string(sum_of(bar)));
  return out.str();
}

/// The area below a step line; `most` is its scale.
std::string step_row(const StepLine& line, std::int64_t most,
                     std::int64_t first, std::int64_t last, int y) {
  auto x_of = [&](std::int64_t at) {
    auto span = static_cast<double>(std::max<std::int64_t>(last - first, 1));
    double share = static_cast<double>(std::clamp(at, first, last) - first);
    return kLabelWidth + share / span * kPlotWidth;
  };
  auto y_of = [&](std::int64_t value) {
    double share = static_cast<double>(std::max<std::int64_t>(value, 0)) /
                   static_cast<double>(std::max<std::int64_t>(most, 1));
    return y + kLineHeight - share * kLineHeight;
  };
  std::ostringstream path;
  std::int64_t value = 0;
  std::int64_t highest = 0;
  path << "M" << x_of(first) << " " << y_of(0);
  for (const auto& [at, next] : line.points) {
    path << " L" << x_of(at) << " " << y_of(value) << " L" << x_of(at) << " "
         << y_of(next);
    value = next;
    highest = std::max(highest, value);
  }
  path << " L" << x_of(last) << " " << y_of(value) << " L" << x_of(last) << " "
       << y_of(0) << " Z";
  std::ostringstream out;
  out << text_at(kLabelWidth - 8, y + kLineHeight - 6, "end", line.label)
      << "<path class=\"held\" d=\"" << path.str() << "\"><title>"
      << escape_html(line.label) << ": at most " << highest
      << "</title></path>\n"
      << "<line class=\"rule\" x1=\"" << kLabelWidth << "\" x2=\""
      << kLabelWidth + kPlotWidth << "\" y1=\"" << y + kLineHeight << "\" y2=\""
      << y + kLineHeight << "\"/>\n"
      << text_at(kLabelWidth + kPlotWidth + 6, y + kLineHeight - 6, "start",
                 "max " + std::to_string(highest));
  return out.str();
}

std::string time_text(std::int64_t ms) {
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
  std::uint64_t most = 0;
  for (const Bar& bar : bars) most = std::max(most, sum_of(bar));
  int height = static_cast<int>(bars.size()) * kBarRow;
  std::string out = open_svg(title, std::max(height, kBarRow));
  int y = 0;
  for (const Bar& bar : bars) {
    out += bar_row(bar, most, y);
    y += kBarRow;
  }
  return out + "</svg>\n";
}

std::string step_chart(const std::string& title,
                       const std::vector<StepLine>& lines, std::int64_t first,
                       std::int64_t last) {
  std::int64_t most = 0;
  for (const StepLine& line : lines) {
    for (const auto& [at, value] : line.points) most = std::max(most, value);
  }
  int height = static_cast<int>(lines.size()) * kLineRow + kAxisHeight;
  std::string out = open_svg(title, height);
  int y = 0;
  for (const StepLine& line : lines) {
    out += step_row(line, most, first, last, y);
    y += kLineRow;
  }
  out += text_at(kLabelWidth, height - 6, "start", time_text(first));
  out += text_at(kLabelWidth + kPlotWidth, height - 6, "end", time_text(last));
  return out + "</svg>\n";
}

}  // namespace eelgrasspin::ctl
