#include "ctl/print.h"

#include <algorithm>

namespace eelgrasspin::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

/// Replaces control characters by dots: keys and reasons come from callers, and
/// could hold escape sequences of the terminal.
std::string printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char c) { return c < ' ' || c == 0x7f; }, '.');
  return text;
}

void add_row(std::string& out, const std::vector<std::string>& row,
             const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
    std::string cell = printable(row[i]);
    line += cell;
    std::size_t padded_size = widths[i] + kColumnGap;
    if (cell.size() < padded_size) line.append(padded_size - cell.size(), ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  out += line + "\n";
}

}  // namespace

std::string to_text(const Table& table) {
  std::vector<std::size_t> widths;
  widths.reserve(table.columns.size());
  for (const std::string& column : table.columns) {
    widths.push_back(column.size());
  }
  for (const auto& row : table.rows) {
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  add_row(out, table.columns, widths);
  for (const auto& row : table.rows) add_row(out, row, widths);
  return out;
}

std::string to_text(const CommandAnswer& answer) {
  std::string out;
  if (answer.error) {
    out += "error: " + printable(answer.error->message) + "\n";
  } else if (!answer.message.empty()) {
    out += printable(answer.message) + "\n";
  }
  if (!answer.command.empty()) out += "command: " + answer.command.str() + "\n";
  bool has_titles = answer.sections.size() > 1;
  for (const Section& section : answer.sections) {
    if (has_titles) out += "\n" + printable(section.title) + "\n";
    out += to_text(section.table);
  }
  return out;
}

std::string findings_text(const std::string& command,
                          const std::vector<Finding>& findings) {
  std::string out;
  for (const Finding& finding : findings) {
    out += printable(command) + "\n";
    if (finding.column > 0) {
      out.append(static_cast<std::size_t>(finding.column) - 1, ' ');
    }
    out += "^ " + finding.message;
    if (!finding.hint.empty()) out += " (" + finding.hint + ")";
    out += "\n";
  }
  return out;
}

}  // namespace eelgrasspin::ctl
