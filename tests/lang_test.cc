#include "lang/lang.h"

#include <gtest/gtest.h>

#include "lang/names.h"

namespace eelgrasspin::lang {
namespace {

std::string findings(const std::string& text) {
  auto parsed = parse(text);
  std::string out;
  if (auto* found = std::get_if<std::vector<Finding>>(&parsed)) {
    for (const Finding& finding : *found) out += to_string(finding);
  }
  return out;
}

std::string canonical(const std::string& text) {
  auto parsed = parse(text);
  if (!std::holds_alternative<Command>(parsed)) return findings(text);
  return print(std::get<Command>(parsed));
}

TEST(Lang, ReadsEveryCommand) {
  for (const char* text : {
           "show services",
           "show keys where service = panboard and zone != gongoni",
           "show timeline since 5m limit 20",
           "show slots where epoch >= 12 and owner = \"a b\"",
           "owner of panboard \"pan-17\"",
           "move panboard slot 812 to panboard-07",
           "move panboard key \"pan 17\" to panboard-07",
           "move panboard slot 812 to zone gongoni",
           "move panboard slot 812 to \"zone\"",
           "drain server panboard-03 within 1m",
           "undrain server panboard-03",
           "close service ledgerhouse deadline 10m reason \"season ended\"",
           "cancel closure ledgerhouse",
           "show closure ledgerhouse",
           "report closure ledgerhouse",
           "stop daemon gongoni-1",
           "fence zone salalah-a",
           "fence daemon gongoni-1",
           "release quarantined 7f3a",
       }) {
    EXPECT_EQ(canonical(text), text);
  }
  EXPECT_EQ(canonical(" drain\tserver a\n"), "drain server a within 1m");
  EXPECT_EQ(canonical("close service s reason off"),
            "close service s deadline 10m reason \"off\"");
  EXPECT_EQ(canonical("owner of s \"\\x00\\xff\\\"\\\\\""),
            "owner of s \"\\x00\\xff\\\"\\\\\"");
}

TEST(Lang, SaysWhatWasExpectedAndWhere) {
  EXPECT_EQ(findings("drian server a"),
            "command:1:1: expected show, owner, move, drain, undrain, close, "
            "cancel, report, stop, fence or release, found drian (did you mean "
            "drain?)");
  EXPECT_EQ(findings("drain panboard-03"),
            "command:1:7: expected server, found panboard-03");
  EXPECT_EQ(findings("move panboard slot twelve to a"),
            "command:1:20: expected <slot number>, found twelve");
  EXPECT_EQ(findings("move panboard slot 12"),
            "command:1:22: expected to, found the end");
  EXPECT_EQ(findings("show slots where owner panboard-01"),
            "command:1:24: expected =, !=, <, <=, > or >=, found panboard-01");
  EXPECT_EQ(findings("show slots limit 3 since 1m"),
            "command:1:20: expected the end, found since");
  EXPECT_EQ(findings("drain server a within soon"),
            "command:1:23: expected <duration>, found soon");
  EXPECT_EQ(findings("owner of panboard \"pan"),
            "command:1:19: expected <key>, found a string without its closing "
            "quote");
  EXPECT_EQ(findings("owner of a/b \"pan\""),
            "command:1:10: expected <service>, found a/b");
  EXPECT_EQ(findings("move s key \"\" to a"),
            "command:1:12: an empty key (<key>)");
  EXPECT_EQ(findings("release quarantined 7f3g"),
            "command:1:21: expected <fingerprint>, found 7f3g (up to 16 hex "
            "digits)");
  EXPECT_EQ(findings("show servers where zone = gongoni and"),
            "command:1:38: expected <column>, found the end");
  EXPECT_EQ(findings("owner of s \xff"),
            "command:1:12: expected <key>, found a byte that is not printable "
            "ASCII");
  EXPECT_EQ(findings(std::string(5000, 'x')),
            "command:1:1: command of 5000 bytes (at most 4096)");
}

TEST(Lang, TellsQueriesFromOrders) {
  EXPECT_TRUE(is_query(std::get<Command>(parse("show slots"))));
  EXPECT_TRUE(is_query(std::get<Command>(parse("report closure s"))));
  EXPECT_FALSE(is_query(std::get<Command>(parse("undrain server s"))));
  EXPECT_FALSE(is_query(std::get<Command>(parse("cancel closure s"))));
}

TEST(Lang, Completes) {
  using StringList = std::vector<std::string>;
  EXPECT_EQ(completions("dr"), StringList{"drain"});
  EXPECT_EQ(completions("show s"),
            (StringList{"services", "slots", "servers", "store"}));
  EXPECT_EQ(completions("drain "), StringList{"server"});
  EXPECT_EQ(completions("drain server "), StringList{"<server>"});
  EXPECT_EQ(completions("drain server pan"), StringList{"<server>"});
  EXPECT_EQ(completions("show slots "),
            (StringList{"where", "since", "limit"}));
  EXPECT_EQ(completions("move s slot 1 to "), (StringList{"zone", "<server>"}));
  EXPECT_EQ(completions("nonsense "), StringList{});
}

TEST(Lang, ReadsAndPrintsDurations) {
  for (const char* text : {"250ms", "90s", "2m", "1h", "7us", "0s"}) {
    EXPECT_EQ(print_duration(value(parse_duration(text))), text);
  }
  EXPECT_EQ(print_duration(value(parse_duration("120s"))), "2m");
  for (const char* text : {"", "5", "s", "-5s", "5 s", "1.5s", "5sec",
                           "99999999999999999999s", "9000h"}) {
    EXPECT_FALSE(ok(parse_duration(text))) << text;
  }
}

TEST(Lang, HintsAtTheNearestName) {
  EXPECT_EQ(name_hint("panbord", {"panboard", "dispatchbook"}),
            "did you mean panboard?");
  EXPECT_EQ(name_hint("x", {"panboard", "dispatchbook"}),
            "known: panboard, dispatchbook");
  EXPECT_EQ(name_hint("x", {}), "");
}

}  // namespace
}  // namespace eelgrasspin::lang
