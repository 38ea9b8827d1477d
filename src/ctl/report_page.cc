#include "ctl/report_page.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <map>
#include <vector>

#include "core/operator/report.h"
#include "ctl/svg.h"

namespace eelgrasspin::ctl {
namespace {

constexpr std::string_view kStyle = R"(
:root { color-scheme: light dark; --ink: #1c2430; --soft: #5d6878;
  --paper: #ffffff; --rule: #d5dae1; --answered: #2f6fce; --not-run: #d99a1c;
  --unknown: #c43d3d; --in-flight: #8a93a0; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6e9ee; --soft: #9aa5b4;
  --paper: #171b21; --rule: #39414d; --answered: #6aa0f0; --not-run: #e6b450;
  --unknown: #ef7373; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink);
  background: var(--paper); max-width: 900px; margin: 2rem auto;
  padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; }
h2 { font-size: 1.1rem; margin-top: 2rem; }
h3 { font-size: .95rem; margin-bottom: .3rem; color: var(--soft); }
svg text { font: 12px system-ui, sans-serif; fill: var(--ink); }
.answered { fill: var(--answered); background: var(--answered); }
.not_run { fill: var(--not-run); background: var(--not-run); }
.unknown { fill: var(--unknown); background: var(--unknown); }
.in_flight { fill: var(--in-flight); background: var(--in-flight); }
.held { fill: var(--answered); fill-opacity: .45; stroke: var(--answered); }
.rule { stroke: var(--rule); }
.legend span { display: inline-block; margin-right: 1.2rem; }
.legend i { display: inline-block; width: .8rem; height: .8rem;
  margin-right: .4rem; }
.verdict { padding: .5rem .8rem; border-left: 4px solid; margin: 1rem 0; }
.sound { border-color: var(--answered); }
.unsound { border-color: var(--unknown); }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-size: 13px; }
th, td { text-align: left; padding: .2rem .7rem .2rem 0;
  border-bottom: 1px solid var(--rule); vertical-align: top; }
th { color: var(--soft); font-weight: 600; }
summary { cursor: pointer; font-weight: 600; margin-top: .6rem; }
)";

const std::vector<std::string>& outcome_columns() {
  static const std::vector<std::string> kColumns = {"answered", "not_run",
                                                    "unknown", "in_flight"};
  return kColumns;
}

std::uint64_t parse_number(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

const std::string& cell(const Table& table, const std::vector<std::string>& row,
                        const std::string& column) {
  static const std::string kEmpty;
  auto found = std::find(table.columns.begin(), table.columns.end(), column);
  auto index = static_cast<std::size_t>(found - table.columns.begin());
  return index < row.size() ? row[index] : kEmpty;
}

/// "gongoni" from the title "part gongoni: accounts"; empty if the section is
/// not of this kind.
std::optional<std::string> zone_of_part(const Section& section,
                                        const std::string& kind) {
  constexpr std::string_view kPrefix = "part ";
  std::string suffix = ": " + kind;
  const std::string& title = section.title;
  if (!title.starts_with(kPrefix) || !title.ends_with(suffix)) {
    return std::nullopt;
  }
  return title.substr(kPrefix.size(),
                      title.size() - kPrefix.size() - suffix.size());
}

std::string summary_field(const CommandAnswer& report,
                          const std::string& name) {
  for (const Section& section : report.sections) {
    if (section.title != "summary") continue;
    for (const auto& row : section.table.rows) {
      if (row.size() == 2 && row[0] == name) return row[1];
    }
  }
  return {};
}

std::vector<Bar> outcome_bars(const CommandAnswer& report) {
  std::vector<Bar> bars;
  for (const Section& section : report.sections) {
    auto zone = zone_of_part(section, "accounts");
    if (!zone) continue;
    Bar bar{*zone, {}};
    for (const std::string& column : outcome_columns()) {
      std::uint64_t sum = 0;
      for (const auto& row : section.table.rows) {
        sum += parse_number(cell(section.table, row, column));
      }
      bar.parts.push_back({column, column, sum});
    }
    bars.push_back(std::move(bar));
  }
  return bars;
}

std::vector<Bar> reason_bars(const CommandAnswer& report) {
  std::map<std::pair<std::string, std::string>, std::uint64_t> counts;
  for (const Section& section : report.sections) {
    if (!zone_of_part(section, "refused and unknown by reason")) continue;
    for (const auto& row : section.table.rows) {
      auto key = std::pair(cell(section.table, row, "outcome"),
                           cell(section.table, row, "reason"));
      counts[key] += parse_number(cell(section.table, row, "count"));
    }
  }
  std::vector<Bar> bars;
  for (const auto& [key, count] : counts) {
    const auto& [outcome, reason] = key;
    std::string style = outcome == "unknown" ? "unknown" : "not_run";
    bars.push_back({reason, {{outcome, style, count}}});
  }
  return bars;
}

/// Number of units in a row of the ownership table: one for a key, else that of
/// the slot range, such as "0-511".
std::uint64_t unit_count(const std::string& slots, const std::string& key) {
  if (!key.empty()) return 1;
  std::size_t dash = slots.find('-');
  if (dash == std::string::npos) return 1;
  return parse_number(slots.substr(dash + 1)) - parse_number(slots) + 1;
}

/// Number of slots and keys that each server held over time. Times are Unix
/// milliseconds.
class HoldingsTimeline {
 public:
  /// Holdings that have not ended are taken to end at `end`.
  void add(const Section& section, std::int64_t end) {
    const Table& table = section.table;
    for (const auto& row : table.rows) {
      auto from = parse_time(cell(table, row, "from"));
      if (!from) continue;
      auto until = parse_time(cell(table, row, "until"));
      auto units = static_cast<std::int64_t>(
          unit_count(cell(table, row, "slots"), cell(table, row, "key")));
      auto& changes = changes_by_server_[cell(table, row, "server")];
      changes[*from] += units;
      changes[until.value_or(end)] -= units;
      first_time_ = first_time_ ? std::min(*first_time_, *from) : *from;
      last_time_ = std::max({last_time_, *from, until.value_or(end)});
    }
  }

  bool empty() const { return changes_by_server_.empty(); }
  std::int64_t first() const { return first_time_.value_or(0); }
  std::int64_t last() const { return last_time_; }

  std::vector<StepSeries> series() const {
    std::vector<StepSeries> series;
    for (const auto& [server, changes] : changes_by_server_) {
      StepSeries server_series{server, {}};
      std::int64_t held = 0;
      for (const auto& [at, change] : changes) {
        held += change;
        server_series.points.emplace_back(at, held);
      }
      series.push_back(std::move(server_series));
    }
    return series;
  }

 private:
  std::map<std::string, std::map<std::int64_t, std::int64_t>>
      changes_by_server_;
  std::optional<std::int64_t> first_time_;
  std::int64_t last_time_ = 0;
};

std::string ownership_charts(const CommandAnswer& report) {
  std::int64_t sealed = parse_time(summary_field(report, "sealed")).value_or(0);
  std::string out;
  for (const Section& section : report.sections) {
    auto zone = zone_of_part(section, "ownership");
    if (!zone) continue;
    HoldingsTimeline timeline;
    timeline.add(section, sealed);
    if (timeline.empty()) continue;
    out += "<h3>" + escape_html(*zone) + "</h3>\n";
    out += step_chart("Slots and keys held in " + *zone, timeline.series(),
                      timeline.first(), timeline.last());
  }
  return out.empty() ? "<p>No ownership on record.</p>\n" : out;
}

std::string legend() {
  std::string out = "<p class=\"legend\">";
  for (const std::string& column : outcome_columns()) {
    std::string label = column;
    std::replace(label.begin(), label.end(), '_', ' ');
    out.append("<span><i class=\"").append(column).append("\"></i>");
    out.append(label).append("</span>");
  }
  return out + "</p>\n";
}

std::string verdict(const CommandAnswer& report) {
  auto findings = core::operators::verify_report(report);
  if (findings.empty()) {
    return "<p class=\"verdict sound\">Verified: every part matches its hash, "
           "the seal matches the parts, and the totals add up.</p>\n";
  }
  std::string out = "<div class=\"verdict unsound\">Not verified:<ul>";
  for (const Finding& finding : findings) {
    out += "<li>" + escape_html(finding.message) + "</li>";
  }
  return out + "</ul></div>\n";
}

std::string html_table(const Table& table) {
  std::string out = "<div class=\"scroll\"><table><tr>";
  for (const std::string& column : table.columns) {
    out += "<th>" + escape_html(column) + "</th>";
  }
  out += "</tr>\n";
  for (const auto& row : table.rows) {
    out += "<tr>";
    for (const std::string& text : row) {
      out += "<td>" + escape_html(text) + "</td>";
    }
    out += "</tr>\n";
  }
  return out + "</table></div>\n";
}

std::string all_tables(const CommandAnswer& report) {
  std::string out;
  for (const Section& section : report.sections) {
    bool open = !section.title.starts_with("part ");
    out += "<details" + std::string(open ? " open" : "") + "><summary>" +
           escape_html(section.title) + " (" +
           std::to_string(section.table.rows.size()) + ")</summary>\n" +
           html_table(section.table) + "</details>\n";
  }
  return out;
}

}  // namespace

std::optional<std::int64_t> parse_time(const std::string& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int ms = 0;
  int fields_read =
      std::sscanf(text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ", &year, &month,
                  &day, &hour, &minute, &second, &ms);
  constexpr int kFieldCount = 7;
  if (fields_read != kFieldCount) return std::nullopt;
  std::chrono::sys_days date = std::chrono::year(year) /
                               std::chrono::month(month) /
                               std::chrono::day(day);
  auto since_epoch = date.time_since_epoch() + std::chrono::hours(hour) +
                     minutes(minute) + seconds(second) + milliseconds(ms);
  return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

std::string report_page(const CommandAnswer& report) {
  std::string service = summary_field(report, "service");
  std::string title = "Closing report of " + service;
  std::string reasons = bar_chart("Refusals by reason", reason_bars(report));
  std::string out = "<!doctype html>\n<html lang=\"en\"><head>\n";
  out +=
      "<meta charset=\"utf-8\">\n<meta name=\"viewport\" "
      "content=\"width=device-width\">\n";
  out += "<title>" + escape_html(title) + "</title>\n<style>";
  out += std::string(kStyle) + "</style></head><body>\n";
  out += "<h1>" + escape_html(title) + "</h1>\n<p>" +
         escape_html(summary_field(report, "reason")) + "; ordered by " +
         escape_html(summary_field(report, "ordered_by")) + ", sealed " +
         escape_html(summary_field(report, "sealed")) + "</p>\n";
  out += verdict(report);
  out += "<h2>Outcomes by zone</h2>\n" + legend() +
         bar_chart("Outcomes by zone", outcome_bars(report));
  out += "<h2>Refused and unknown, by reason</h2>\n" + reasons;
  out += "<h2>Slots and keys held over time</h2>\n" + ownership_charts(report);
  out += "<h2>Tables</h2>\n" + all_tables(report);
  return out + "</body></html>\n";
}

}  // namespace eelgrasspin::ctl
