#include <gtest/gtest.h>

#include "core/operator/report.h"
#include "ctl/declarations.h"
#include "ctl/options.h"
#include "ctl/print.h"
#include "ctl/report_page.h"

namespace eelgrasspin::ctl {
namespace {

TEST(Eelctl, RestoresQuotesThatTheShellRemoved) {
  EXPECT_EQ(command_text({"owner", "of", "panboard", "pan 17"}),
            "owner of panboard \"pan 17\"");
  EXPECT_EQ(command_text({"show slots where epoch>=3"}),
            "show slots where epoch>=3");
  EXPECT_EQ(command_text({"owner", "of", "s", ""}), "owner of s \"\"");
}

TEST(Eelctl, PrintsCaretBelowTheFindingsColumn) {
  EXPECT_EQ(
      findings_text("drain a", {{"command", 1, 7, "expected server", "h"}}),
      "drain a\n      ^ expected server (h)\n");
}

TEST(Eelctl, PrintsTablesWithoutControlCharacters) {
  CommandAnswer answer;
  answer.message = "ok";
  answer.sections.push_back(
      {"t", {{"key", "server"}, {{"a\x1b[31m", "s1"}, {"bb", "s2"}}}});
  EXPECT_EQ(to_text(answer),
            "ok\n"
            "key     server\n"
            "a.[31m  s1\n"
            "bb      s2\n");
}

TEST(Eelctl, ShowsDifferencesBySection) {
  std::vector<std::string> expected = {
      "- [zone b]", "~ [zone a] region: r -> q", "+ [zone c]"};
  EXPECT_EQ(differences("[zone a]\nregion = r\n[zone b]\nregion = r\n",
                        "[zone a]\nregion = q\n[zone c]\nregion = r\n"),
            expected);
}

CommandAnswer sample_report() {
  Closure closure;
  closure.service = ServiceName("ledgerhouse");
  closure.id = "c1";
  closure.reason = "<season> ended";
  closure.step = ClosureStep::kSealed;
  closure.sealed_at = WallTime(seconds(1'000'000'100));
  ClosurePart part;
  part.service = closure.service;
  part.zone = ZoneName("gongoni");
  part.closure = closure.id;
  DaemonAccount account;
  account.daemon = DaemonName("gongoni-1");
  account.counts.admitted = 12;
  account.counts.by_reason[0][Reason::kNone] = 9;
  account.counts.by_reason[1][Reason::kServiceClosed] = 3;
  part.accounts.push_back(account);
  part.ownership.push_back({SlotId(0), SlotId(511), Key(),
                            ServerName("ledgerhouse-01"), Epoch(1),
                            WallTime(seconds(1'000'000'000)), std::nullopt});
  std::vector<Section> sections = core::operators::part_sections(part);
  closure.part_hashes["gongoni"] = core::operators::hash_sections(sections);
  closure.seal = core::operators::seal_of(closure);
  return core::operators::build_report(closure, {part}, {});
}

TEST(Eelctl, ReportPageIsSelfContainedAndEscaped) {
  std::string page = report_page(sample_report());
  EXPECT_NE(page.find("Verified: every part"), std::string::npos);
  EXPECT_NE(page.find("&lt;season&gt; ended"), std::string::npos);
  EXPECT_NE(page.find("gongoni: answered 9"), std::string::npos);
  EXPECT_NE(page.find("ledgerhouse-01: at most 512"), std::string::npos);
  EXPECT_EQ(page.find("src="), std::string::npos);
  EXPECT_EQ(page.find("href="), std::string::npos);
}

TEST(Eelctl, ReportPageShowsThatTotalsDoNotVerify) {
  CommandAnswer report = sample_report();
  for (Section& section : report.sections) {
    if (section.title.ends_with(": accounts")) {
      section.table.rows[0][4] = "13";
    }
  }
  EXPECT_NE(report_page(report).find("Not verified"), std::string::npos);
}

TEST(Eelctl, ParsesTheTimesOfReports) {
  EXPECT_EQ(parse_time("1970-01-02T00:00:01.500Z"), 86'401'500);
  EXPECT_EQ(parse_time(core::operators::format_time(
                WallTime(milliseconds(1'796'379'533'924)))),
            1'796'379'533'924);
  EXPECT_FALSE(parse_time("").has_value());
}

}  // namespace
}  // namespace eelgrasspin::ctl
