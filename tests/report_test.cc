#include "core/operator/report.h"

#include <gtest/gtest.h>

namespace eelgrasspin::core::operators {
namespace {

ClosurePart part_of(const char* zone, std::uint64_t answered,
                    std::uint64_t refused) {
  ClosurePart part{.service = ServiceName("panboard"),
                   .zone = ZoneName(zone),
                   .closure = "c1"};
  DaemonAccount account{.daemon = DaemonName(std::string(zone) + "-1"),
                        .incarnation = Incarnation(3)};
  account.counts.admitted = answered + refused;
  account.counts.by_reason[0][Reason::kNone] = answered;
  account.counts.by_reason[1][Reason::kQueueFull] = refused;
  part.accounts = {account};
  return part;
}

class ReportTest : public ::testing::Test {
 protected:
  ReportTest() : parts_{part_of("gongoni", 40, 2), part_of("marereni", 7, 1)} {
    closure_.service = ServiceName("panboard");
    closure_.id = "c1";
    closure_.step = ClosureStep::kSealed;
    for (const ClosurePart& part : parts_)
      closure_.part_hashes[part.zone.str()] =
          hash_sections(part_sections(part));
    closure_.seal = seal_of(closure_);
  }

  Closure closure_;
  std::vector<ClosurePart> parts_;
};

TEST_F(ReportTest, SoundReportHasNoFindings) {
  EXPECT_TRUE(verify_report(build_report(closure_, parts_, {})).empty());
}

TEST_F(ReportTest, ChangedPartIsFound) {
  parts_[0].accounts[0].samples.push_back({.operation = "reading"});
  std::vector<Finding> findings =
      verify_report(build_report(closure_, parts_, {}));
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].message, "part gongoni was changed after the seal");
}

TEST_F(ReportTest, MissingPartIsFound) {
  parts_.pop_back();
  std::vector<Finding> findings =
      verify_report(build_report(closure_, parts_, {}));
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].message, "part marereni is missing");
}

TEST_F(ReportTest, TotalsThatDoNotAddUpAreFound) {
  CommandAnswer report = build_report(closure_, parts_, {});
  report.sections[1].table.rows[0][1] = "48";
  EXPECT_EQ(verify_report(report).size(), 1U);
}

TEST_F(ReportTest, ReplacedHashBreaksTheSeal) {
  parts_[1].accounts[0].counts.by_reason[1][Reason::kQueueFull] = 2;
  parts_[1].accounts[0].counts.admitted = 9;
  closure_.part_hashes["marereni"] = hash_sections(part_sections(parts_[1]));
  EXPECT_EQ(verify_report(build_report(closure_, parts_, {})).size(), 1U);
}

}  // namespace
}  // namespace eelgrasspin::core::operators
