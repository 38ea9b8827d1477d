#include "core/operator/report.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace eelgrasspin::core::operators {
namespace {

constexpr std::string_view kPartPrefix = "part ";
constexpr std::string_view kPartsTitle = "parts";
constexpr std::string_view kSummaryTitle = "summary";
constexpr std::string_view kTotalsTitle = "totals";

std::string part_title(const ZoneName& zone, std::string_view subtitle) {
  return std::string(kPartPrefix) + zone.str() + ": " + std::string(subtitle);
}

std::string number(std::uint64_t value) { return std::to_string(value); }

std::uint64_t sum(const std::map<Reason, std::uint64_t>& counts) {
  std::uint64_t total = 0;
  for (const auto& [reason, count] : counts) total += count;
  return total;
}

std::uint64_t total(const OutcomeCounts& counts, Outcome outcome) {
  return sum(counts.by_reason[static_cast<std::size_t>(outcome)]);
}

Section steps_section(const ClosurePart& part) {
  Section section{part_title(part.zone, "in flight at each step"),
                  {{"step", "in_flight"}, {}}};
  for (const auto& [step, in_flight] : part.in_flight_at) {
    section.table.rows.push_back(
        {std::string(to_string(step)), number(in_flight)});
  }
  return section;
}

Section accounts_section(const ClosurePart& part) {
  Section section{part_title(part.zone, "accounts"),
                  {{"daemon", "incarnation", "as_of", "heard", "admitted",
                    "answered", "not_run", "unknown", "in_flight"},
                   {}}};
  for (const DaemonAccount& account : part.accounts) {
    bool not_reported =
        std::find(part.not_reported.begin(), part.not_reported.end(),
                  account.daemon) != part.not_reported.end();
    section.table.rows.push_back(
        {account.daemon.str(), number(account.incarnation.value),
         format_time(account.as_of),
         not_reported ? "not heard since as_of" : "yes",
         number(account.counts.admitted),
         number(total(account.counts, Outcome::kAnswered)),
         number(total(account.counts, Outcome::kNotRun)),
         number(total(account.counts, Outcome::kUnknown)),
         number(account.counts.in_flight)});
  }
  return section;
}

Section refusals_section(const ClosurePart& part) {
  Section section{part_title(part.zone, "refused and unknown by reason"),
                  {{"outcome", "reason", "count"}, {}}};
  for (Outcome outcome : {Outcome::kNotRun, Outcome::kUnknown}) {
    std::map<Reason, std::uint64_t> sums;
    for (const DaemonAccount& account : part.accounts) {
      for (const auto& [reason, count] :
           account.counts.by_reason[static_cast<std::size_t>(outcome)]) {
        sums[reason] += count;
      }
    }
    for (const auto& [reason, count] : sums) {
      section.table.rows.push_back({std::string(to_string(outcome)),
                                    std::string(to_string(reason)),
                                    number(count)});
    }
  }
  return section;
}

Section samples_section(const ClosurePart& part) {
  Section section{
      part_title(part.zone, "samples"),
      {{"when", "daemon", "operation", "key", "outcome", "reason"}, {}}};
  for (const DaemonAccount& account : part.accounts) {
    for (const RefusalSample& sample : account.samples) {
      section.table.rows.push_back(
          {format_time(sample.when), account.daemon.str(), sample.operation,
           sample.key.str(), std::string(to_string(sample.outcome)),
           std::string(to_string(sample.reason))});
    }
  }
  return section;
}

Section ownership_section(const ClosurePart& part) {
  Section section{part_title(part.zone, "ownership"),
                  {{"slots", "key", "server", "epoch", "from", "until"}, {}}};
  for (const OwnershipSpan& span : part.ownership) {
    std::string slots =
        number(span.first_slot.value) + "-" + number(span.last_slot.value);
    section.table.rows.push_back(
        {slots, span.key.str(), span.server.str(), number(span.epoch.value),
         format_time(span.from), span.until ? format_time(*span.until) : ""});
  }
  return section;
}

Section summary_section(const Closure& closure) {
  Section section{std::string(kSummaryTitle), {{"field", "value"}, {}}};
  std::string not_reported;
  for (const ZoneName& zone : closure.not_reported)
    not_reported += (not_reported.empty() ? "" : " ") + zone.str();
  section.table.rows = {{"service", closure.service.str()},
                        {"closure", closure.id},
                        {"ordered_by", closure.ordered_by.str()},
                        {"ordered", format_time(closure.ordered)},
                        {"deadline", format_time(closure.deadline)},
                        {"reason", closure.reason},
                        {"step", std::string(to_string(closure.step))},
                        {"sealed", closure.step == ClosureStep::kSealed
                                       ? format_time(closure.sealed_at)
                                       : ""},
                        {"zones_not_heard", not_reported},
                        {"seal", closure.seal}};
  return section;
}

Section totals_section(const std::vector<ClosurePart>& parts) {
  std::uint64_t admitted = 0;
  std::uint64_t in_flight = 0;
  std::array<std::uint64_t, 3> ended{};
  for (const ClosurePart& part : parts) {
    for (const DaemonAccount& account : part.accounts) {
      admitted += account.counts.admitted;
      in_flight += account.counts.in_flight;
      for (std::size_t i = 0; i < ended.size(); ++i)
        ended[i] += sum(account.counts.by_reason[i]);
    }
  }
  return {std::string(kTotalsTitle),
          {{"admitted", "answered", "not_run", "unknown", "in_flight"},
           {{number(admitted), number(ended[0]), number(ended[1]),
             number(ended[2]), number(in_flight)}}}};
}

Section parts_section(const Closure& closure) {
  Section section{std::string(kPartsTitle), {{"part", "hash"}, {}}};
  for (const auto& [name, hash] : closure.part_hashes)
    section.table.rows.push_back({name, hash});
  return section;
}

Section commands_section(const Closure& closure,
                         const std::vector<CommandRecord>& commands) {
  static constexpr std::array<std::string_view, 5> kStates = {
      "pending", "running", "done", "refused", "lost to conflict"};
  Section section{
      "commands",
      {{"ordered", "id", "operator", "command", "state", "result"}, {}}};
  for (const CommandRecord& command : commands) {
    if (closure.sealed_at.time_since_epoch().count() > 0 &&
        command.ordered > closure.sealed_at)
      continue;
    section.table.rows.push_back(
        {format_time(command.ordered), command.id.str(),
         command.ordered_by.str(), command.text,
         std::string(kStates[static_cast<std::size_t>(command.state)]),
         command.result});
  }
  return section;
}

const Section* find_section(const CommandAnswer& report,
                            std::string_view title) {
  auto it = std::find_if(
      report.sections.begin(), report.sections.end(),
      [&](const Section& section) { return section.title == title; });
  return it == report.sections.end() ? nullptr : &*it;
}

std::string field(const Section& summary, std::string_view name) {
  for (const auto& row : summary.table.rows) {
    if (row.size() == 2 && row[0] == name) return row[1];
  }
  return "";
}

void verify_parts(const CommandAnswer& report, const Section& parts,
                  std::vector<Finding>& findings) {
  for (std::size_t i = 0; i < parts.table.rows.size(); ++i) {
    const auto& row = parts.table.rows[i];
    if (row.size() != 2) continue;
    std::vector<Section> sections_of_part;
    std::string prefix = std::string(kPartPrefix) + row[0] + ": ";
    std::copy_if(report.sections.begin(), report.sections.end(),
                 std::back_inserter(sections_of_part),
                 [&](const Section& section) {
                   return section.title.starts_with(prefix);
                 });
    int line = static_cast<int>(i) + 1;
    if (sections_of_part.empty()) {
      findings.push_back(
          {"report", line, 0, "part " + row[0] + " is missing", ""});
    } else if (hash_sections(sections_of_part) != row[1]) {
      findings.push_back({"report", line, 0,
                          "part " + row[0] + " was changed after the seal",
                          ""});
    }
  }
}

void verify_totals(const CommandAnswer& report,
                   std::vector<Finding>& findings) {
  const Section* totals = find_section(report, kTotalsTitle);
  if (totals == nullptr || totals->table.rows.size() != 1 ||
      totals->table.rows[0].size() != 5) {
    findings.push_back({"report", 0, 0, "the totals are missing", ""});
    return;
  }
  std::array<std::uint64_t, 5> sums{};
  for (const Section& section : report.sections) {
    if (!section.title.starts_with(kPartPrefix) ||
        !section.title.ends_with(": accounts"))
      continue;
    for (const auto& row : section.table.rows) {
      for (std::size_t i = 0; i < sums.size() && i + 4 < row.size(); ++i)
        sums[i] += std::strtoull(row[i + 4].c_str(), nullptr, 10);
    }
  }
  for (std::size_t i = 0; i < sums.size(); ++i) {
    if (number(sums[i]) != totals->table.rows[0][i]) {
      findings.push_back({"report", 0, 0,
                          "the total of " + totals->table.columns[i] +
                              " does not match the parts",
                          ""});
    }
  }
  if (sums[0] != sums[1] + sums[2] + sums[3] + sums[4]) {
    findings.push_back(
        {"report", 0, 0,
         "admitted is not answered + not_run + unknown + in_flight", ""});
  }
}

std::string seal_text(const std::string& service, const std::string& id,
                      const std::vector<std::vector<std::string>>& parts) {
  std::string text = service + "\n" + id + "\n";
  for (const auto& row : parts) text += row[0] + "=" + row[1] + "\n";
  return text;
}

std::string hash_text(const std::string& text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> hex{};
  std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return hex.data();
}

}  // namespace

std::vector<Section> part_sections(const ClosurePart& part) {
  return {steps_section(part), accounts_section(part), refusals_section(part),
          samples_section(part), ownership_section(part)};
}

std::string hash_sections(const std::vector<Section>& sections) {
  std::string text;
  for (const Section& section : sections) {
    text += section.title + "\x1d";
    for (const std::string& column : section.table.columns)
      text += column + "\x1f";
    for (const auto& row : section.table.rows) {
      text += "\x1e";
      for (const std::string& cell : row) text += cell + "\x1f";
    }
  }
  return hash_text(text);
}

std::string seal_of(const Closure& closure) {
  return hash_text(seal_text(closure.service.str(), closure.id,
                             parts_section(closure).table.rows));
}

CommandAnswer build_report(const Closure& closure,
                           const std::vector<ClosurePart>& parts,
                           const std::vector<CommandRecord>& commands) {
  CommandAnswer answer;
  answer.message = "closing report of " + closure.service.str() + ", " +
                   std::string(to_string(closure.step));
  answer.sections = {summary_section(closure), totals_section(parts),
                     parts_section(closure),
                     commands_section(closure, commands)};
  for (const ClosurePart& part : parts) {
    for (Section& section : part_sections(part))
      answer.sections.push_back(std::move(section));
  }
  return answer;
}

std::vector<Finding> verify_report(const CommandAnswer& report) {
  std::vector<Finding> findings;
  const Section* summary = find_section(report, kSummaryTitle);
  const Section* parts = find_section(report, kPartsTitle);
  if (summary == nullptr || parts == nullptr)
    return {{"report", 0, 0, "not a closing report", ""}};
  if (field(*summary, "step") != to_string(ClosureStep::kSealed)) {
    findings.push_back({"report", 0, 0, "the closure is not sealed", ""});
  }
  verify_parts(report, *parts, findings);
  verify_totals(report, findings);
  std::string seal =
      hash_text(seal_text(field(*summary, "service"),
                          field(*summary, "closure"), parts->table.rows));
  if (seal != field(*summary, "seal"))
    findings.push_back(
        {"report", 0, 0, "the seal does not match the parts", ""});
  return findings;
}

std::string_view to_string(ClosureStep step) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "announced", "admission stopped", "drained", "revoked",
      "sealed",    "cancelled"};
  return kNames[static_cast<std::size_t>(step)];
}

std::string format_time(WallTime time) {
  std::int64_t ms = to_ms(time);
  std::time_t whole_seconds = ms / 1000;
  std::tm utc{};
  gmtime_r(&whole_seconds, &utc);
  std::array<char, 40> text{};
  std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text.data() + length, text.size() - length, ".%03dZ",
                static_cast<int>(ms % 1000));
  return text.data();
}

}  // namespace eelgrasspin::core::operators
